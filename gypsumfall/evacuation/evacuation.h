#ifndef GYPSUMFALL_EVACUATION_EVACUATION_H_
#define GYPSUMFALL_EVACUATION_EVACUATION_H_

/// @file
/// Tells on which workers tasks may start while the operator has closed data
/// centres. After a data centre is opened again, its workers return one by one,
/// so that the queued work does not all start on workers that are still cold.
/// The library does no I/O and reads no clock.
///
/// Example:
/// @code
///   EvacuationSet evacuations({.return_time = seconds(3)});
///   evacuations.Replace({DataCentreId("a")}, now);
///   evacuations.Confirm(read_sent);
///   evacuations.IsOpen(WorkerId("w1"), DataCentreId("b"), now);  // true
///   evacuations.Reopen(DataCentreId("a"), now);
/// @endcode

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Limits of an `EvacuationSet`.
struct EvacuationTerms {
  /// Time over which the workers of a data centre return.
  Duration return_time = seconds(3);
  /// Age of the latest read above which it is not known any more what is
  /// closed; unset if the latest read holds until the next one.
  std::optional<Duration> max_age;
};

/// Time in which tasks may start on a worker, judged by what is known now.
struct OpenPeriod {
  Time from = Time::min();
  /// First time at which they may not start any more.
  Time until = Time::max();

  bool Contains(Time now) const { return from <= now && now < until; }
};

/// A data centre that was closed or opened.
struct EvacuationChange {
  DataCentreId data_centre;
  bool closed = false;

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

/// The data centres that the operator has closed. Before the first call of
/// `Confirm`, all count as closed.
class EvacuationSet {
 public:
  explicit EvacuationSet(const EvacuationTerms& terms = {}) : terms_(terms) {}

  /// Sets which data centres are closed; all others are opened.
  /// @return what has changed.
  std::vector<EvacuationChange> Replace(const std::set<DataCentreId>& closed,
                                        Time now);
  /// Closes a data centre.
  /// @return whether it was open, or returning.
  bool Close(const DataCentreId& data_centre);
  /// Opens a data centre; its workers return from now on.
  /// @return whether it was closed.
  bool Reopen(const DataCentreId& data_centre, Time now);
  /// Notes that all changes until a time are known.
  /// @param known_at time at which the latest successful read was sent.
  void Confirm(Time known_at);

  /// @return whether the latest successful read is recent enough.
  bool IsKnown(Time now) const { return now < KnownUntil(); }
  /// @return when tasks may start on the worker. The result holds until the
  ///   next call that changes this object.
  OpenPeriod OpenPeriodOf(const WorkerId& worker,
                          const DataCentreId& data_centre) const;
  /// @return whether tasks may start on the worker.
  bool IsOpen(const WorkerId& worker, const DataCentreId& data_centre,
              Time now) const {
    return OpenPeriodOf(worker, data_centre).Contains(now);
  }
  const std::set<DataCentreId>& closed() const { return closed_; }

 private:
  Time KnownUntil() const {
    if (!known_at_) return Time::min();
    return terms_.max_age ? *known_at_ + *terms_.max_age : Time::max();
  }

  EvacuationTerms terms_;
  std::set<DataCentreId> closed_;
  /// When data centres were opened whose workers may still be returning.
  std::map<DataCentreId, Time> opened_at_;
  std::optional<Time> known_at_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_EVACUATION_EVACUATION_H_
