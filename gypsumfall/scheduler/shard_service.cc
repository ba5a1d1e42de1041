#include "gypsumfall/scheduler/internal/shard_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// Interval at which electors and dispatchers check their deadlines.
constexpr Duration kTickInterval = milliseconds(40);

}  // namespace

Result<void> ShardService::Start() {
  layout_ = context_.kernel.Find<LayoutService>(kLayoutService);
  auto* worker_list =
      context_.kernel.Find<WorkerListService>(kWorkerListService);
  auto* topology = context_.kernel.Find<TopologyService>(kTopologyService);
  layout_->on_layout_known = [this, worker_list, topology] {
    for (std::uint64_t i = 0; i < layout_->layout()->shard_count; ++i) {
      shards_.push_back(std::make_unique<Shard>(context_, ShardId(i),
                                                host_leadership_, *layout_,
                                                *worker_list, *topology));
    }
  };
  layout_->on_racks_assigned = [this] {
    for (const auto& shard : shards_) shard->dispatch.OnRacksAssigned();
  };
  topology->on_evacuations = [this] {
    for (const auto& shard : shards_) shard->dispatch.OnEvacuations();
  };
  context_.runtime.RunEvery(kTickInterval, [this] { Tick(); });
  return {};
}

void ShardService::Stop(std::function<void()> stopped) {
  Release();
  stopped();
}

void ShardService::Tick() {
  for (const auto& shard : shards_) {
    shard->elector.Tick();
    shard->dispatch.Tick();
  }
}

Shard* ShardService::FindShard(ShardId id) const {
  return id.value() < shards_.size() ? shards_[id.value()].get() : nullptr;
}

Shard& ShardService::HomeShardOf(const JobId& job) const {
  return *shards_[ShardOf(*layout_->layout(), job).value()];
}

void ShardService::Release() {
  host_leadership_.stopping = true;
  for (const auto& shard : shards_) shard->elector.Release();
}

std::string ShardService::Dump() const {
  if (shards_.empty()) return "no shards yet\n";
  std::string text;
  for (const auto& shard : shards_) {
    text += "shard " + std::to_string(shard->scope.id.value()) + ": " +
            shard->elector.Dump() + shard->dispatch.Dump();
  }
  return text;
}

}  // namespace gypsumfall::scheduler_internal
