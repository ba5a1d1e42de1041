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

/// Knows how the deployment is split into shards. At the first start of a
/// deployment one host counts the workers and stores the layout; all others
/// read it. Racks that come later are added to the stored layout before a
/// worker of them is used.
class LayoutService : public Service {
 public:
  explicit LayoutService(Context& context);

  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return the layout, once it is known. The number of shards never changes.
  const std::optional<ShardLayout>& layout() const { return layout_; }

  /// @return the shard of a worker; nothing if its rack has none yet, in which
  ///   case it is being assigned and `on_racks` follows.
  std::optional<ShardId> ShardOf(const WorkerEntry& worker);

  /// Called once, when the layout is known first.
  std::function<void()> on_known;
  /// Called when further racks have been assigned.
  std::function<void()> on_racks;

 private:
  void Read();
  void OnRead(const RowPage& page);
  void Take(const StoredRow& row);
  void BecomeCounter(RowVersion expected);
  void Count();
  void OnCounted(const LoadedRows& loaded);
  void Create(const std::map<WorkerId, WorkerEntry>& workers);
  void AssignNewRacks();
  void Retry();
  RowAddress Address() const { return {kLayoutTable, "", kLayoutKey}; }
  RowAddress CounterAddress() const { return {kLayoutTable, "", kCounterKey}; }

  Context& context_;
  Logger log_{"layout"};
  Timer retry_;
  Timer write_;
  std::optional<ShardLayout> layout_;
  std::optional<ShardMap> map_;
  RowVersion version_;

  Time started_{};
  /// The counter row as last seen, and since when it is unchanged.
  RowVersion counter_version_;
  Time counter_since_{};
  bool counting_ = false;
  /// Workers listed at the latest count that differed from the one before.
  std::size_t counted_ = 0;
  Time counted_since_{};

  /// Listed workers whose racks have no shard yet.
  std::map<WorkerId, WorkerEntry> unassigned_;
  bool assigning_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_LAYOUT_SERVICE_H_
