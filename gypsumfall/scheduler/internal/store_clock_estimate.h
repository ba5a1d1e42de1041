#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_STORE_CLOCK_ESTIMATE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_STORE_CLOCK_ESTIMATE_H_

#include <optional>

#include "gypsumfall/base/base.h"

namespace gypsumfall::scheduler_internal {

/// Converts between the clock of this host and that of the store, from the
/// latest reading of the store's clock. Each conversion errs on the late side,
/// so that a wait which one host stores is never shortened on another.
class StoreClockEstimate {
 public:
  /// Adds a reading from an answer of the store.
  /// @param sent time at which the call was sent.
  /// @param received time at which the answer was received.
  void Observe(const std::optional<StoreTime>& reading, Time sent,
               Time received);

  /// @return the latest reading that the store's clock may have at `time`, or
  ///   nothing before the first observation.
  std::optional<StoreTime> LatestReadingAt(Time time) const;
  /// @return a time at which the store's clock has certainly reached the
  ///   reading, or nothing before the first observation.
  std::optional<Time> TimeOfReading(StoreTime reading) const;

 private:
  struct Observation {
    StoreTime reading;
    Time sent;
    Time received;
  };
  std::optional<Observation> latest_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_STORE_CLOCK_ESTIMATE_H_
