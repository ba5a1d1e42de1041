#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_TOPOLOGY_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_TOPOLOGY_SERVICE_H_

#include <functional>
#include <optional>
#include <string>

#include "gypsumfall/evacuation/evacuation.h"
#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/row_loader.h"

namespace gypsumfall::scheduler_internal {

/// Reads the operator's rows and watches them for changes: the configuration,
/// and those that close data centres. Keeps the newest version of each; an
/// older one that is read later is ignored.
class TopologyService : public Service {
 public:
  explicit TopologyService(Context& context);

  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return the configuration, or nothing before it has been read.
  const std::optional<Topology>& topology() const { return topology_; }
  /// @return which data centres are closed, and whether that is known.
  const EvacuationSet& evacuations() const { return evacuations_; }

  /// Handles a read of all rows that close data centres. A data centre without
  /// a row is opened, unless a later state is known already.
  /// @param sent time at which the read was sent.
  void ApplyAllEvacuations(const LoadedRows& loaded, Time sent);

  /// Called after each read that may have changed `evacuations()`.
  std::function<void()> on_evacuations;

 private:
  void ReadAll();
  void ReadEvacuations(RowVersion topology_read_version);
  void AwaitChange();
  void RetryLater(StoreOutcome outcome);
  void Apply(const StoredRow& row);
  void ApplyChange(const StoredRow& row);
  /// @return the data centre that the row closes, if it is such a row.
  std::optional<DataCentreId> ClosedBy(const StoredRow& row) const;
  /// Notes that the evacuations are known as of a read.
  void ConfirmEvacuations(Time sent);
  void LogEvacuation(const EvacuationChange& change, RowVersion version) const;
  /// @return the time for which the next answer is waited for, longer while the
  ///   store is slow.
  Duration ReadTimeout() const;
  /// @param wait time for which the store was allowed to delay the answer.
  void NoteLatency(Time sent, Duration wait);

  Context& context_;
  Logger log_{"topology"};
  Timer retry_;
  std::optional<Topology> topology_;
  RowVersion read_version_;
  EvacuationSet evacuations_;
  /// Version of the store up to which the evacuations are known.
  RowVersion evacuations_version_;
  Gauge& evacuated_data_centres_;
  /// Time that the latest call took, until its answer or its timeout.
  Duration latency_{0};
  int failures_ = 0;
  bool stopping_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_TOPOLOGY_SERVICE_H_
