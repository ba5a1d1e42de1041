#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_LAYOUT_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_LAYOUT_SERVICE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/row_loader.h"

namespace gypsumfall::scheduler_internal {

/// Provides the deployment's shard layout. On the first start of a deployment,
/// one host counts the workers and stores the layout; all others read it. Racks
/// that are listed later are added to the stored layout before their workers
/// are used.
class LayoutService : public Service {
 public:
  explicit LayoutService(Context& context);

  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return the layout, or nothing before it has been read. The number of
  ///   shards never changes.
  const std::optional<ShardLayout>& layout() const { return layout_; }

  /// The layout must be known.
  /// @return the shard of a worker; nothing if its rack has none yet, in which
  ///   case it is being assigned and `on_racks_assigned` follows.
  std::optional<ShardId> ShardOf(const WorkerEntry& worker);

  /// Called once, when the layout becomes known.
  std::function<void()> on_layout_known;
  /// Called when the layout has changed: further racks have been assigned.
  std::function<void()> on_racks_assigned;

 private:
  void ReadLayout();
  void OnLayoutRead(const RowPage& page);
  void ApplyRow(const StoredRow& row);
  void ClaimCounting(RowVersion expected);
  void CountWorkers();
  void OnWorkersCounted(const LoadedRows& loaded);
  void StoreFirstLayout(const std::map<WorkerId, WorkerEntry>& workers);
  void AssignNewRacks();
  void RetryLater();
  RowAddress LayoutRowAddress() const { return {kLayoutTable, "", kLayoutKey}; }
  RowAddress CountingHostRowAddress() const {
    return {kLayoutTable, "", kCountingHostKey};
  }

  Context& context_;
  Logger log_{"layout"};
  Timer retry_;
  Timer assign_timer_;
  std::optional<ShardLayout> layout_;
  std::optional<ShardMap> shard_map_;
  RowVersion version_;

  Time started_at_{};
  /// Version of the counting host's row as last read, and the time since which
  /// it is unchanged.
  RowVersion counting_host_version_;
  Time counting_host_since_{};
  /// Whether this host counts the workers for the first layout.
  bool is_counting_ = false;
  /// Number of listed workers at the latest count, and the time since which it
  /// is unchanged.
  std::size_t counted_workers_ = 0;
  Time counted_since_{};

  /// Listed workers whose racks are not assigned to a shard yet.
  std::map<WorkerId, WorkerEntry> unassigned_workers_;
  bool assigning_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_LAYOUT_SERVICE_H_
