#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_SHARD_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_SHARD_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/dispatch_service.h"
#include "gypsumfall/scheduler/internal/layout_service.h"
#include "gypsumfall/scheduler/internal/leader_elector.h"
#include "gypsumfall/scheduler/internal/topology_service.h"
#include "gypsumfall/scheduler/internal/worker_list_service.h"

namespace gypsumfall::scheduler_internal {

/// State of one shard on this host: its leader election, and its dispatcher
/// while this host is the leader.
struct Shard {
  Shard(Context& context, ShardId id, HostLeadership& host_leadership,
        LayoutService& layout, WorkerListService& worker_list,
        TopologyService& topology)
      : scope(id),
        elector(context, scope, host_leadership),
        dispatch(context, scope, elector, layout, worker_list, topology) {}
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  const ShardScope scope;
  LeaderElector elector;
  DispatchService dispatch;
};

/// Holds the shards of the deployment, once the layout is known.
class ShardService : public Service {
 public:
  explicit ShardService(Context& context) : context_(context) {}

  std::vector<std::string> dependencies() const override {
    return {kLayoutService, kTopologyService, kWorkerListService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return whether the layout, and thus the shards, are known.
  bool is_ready() const { return !shards_.empty(); }
  const std::vector<std::unique_ptr<Shard>>& shards() const { return shards_; }
  /// @return the shard, or null if no shard has this id.
  Shard* FindShard(ShardId id) const;
  /// @return the home shard of a job; the shards must be known.
  Shard& HomeShardOf(const JobId& job) const;

  /// Releases leadership of all shards and stops claiming it.
  void Release();

 private:
  void Tick();

  Context& context_;
  LayoutService* layout_ = nullptr;
  HostLeadership host_leadership_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_SHARD_SERVICE_H_
