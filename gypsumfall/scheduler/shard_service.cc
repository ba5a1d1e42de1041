#include "gypsumfall/scheduler/internal/shard_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// Without events, duties and dispatchers look at their deadlines this often.
constexpr Duration kTick = milliseconds(40);

}  // namespace

Result<void> ShardService::Start() {
  layout_ = context_.kernel.Find<LayoutService>(kLayoutService);
  auto* worker_list =
      context_.kernel.Find<WorkerListService>(kWorkerListService);
  layout_->on_known = [this, worker_list] {
    for (std::uint64_t i = 0; i < layout_->layout()->shard_count; ++i) {
      shards_.push_back(std::make_unique<Shard>(context_, ShardId(i), duties_,
                                                *layout_, *worker_list));
    }
  };
  layout_->on_racks = [this] {
    for (const auto& shard : shards_) shard->dispatch.OnRacksAssigned();
  };
  context_.runtime.Every(kTick, [this] { Tick(); });
  return {};
}

void ShardService::Stop(std::function<void()> stopped) {
  Release();
  stopped();
}

void ShardService::Tick() {
  for (const auto& shard : shards_) {
    shard->duty.Tick();
    shard->dispatch.Tick();
  }
}

Shard* ShardService::At(ShardId id) const {
  return id.value() < shards_.size() ? shards_[id.value()].get() : nullptr;
}

Shard& ShardService::Of(const JobId& job) const {
  return *shards_[ShardOf(*layout_->layout(), job).value()];
}

void ShardService::Release() {
  duties_.stopping = true;
  for (const auto& shard : shards_) shard->duty.Release();
}

std::string ShardService::Dump() const {
  if (shards_.empty()) return "no shards yet\n";
  std::string text;
  for (const auto& shard : shards_) {
    text += "shard " + std::to_string(shard->scope.id.value()) + ": " +
            shard->duty.Dump() + shard->dispatch.Dump();
  }
  return text;
}

}  // namespace gypsumfall::scheduler_internal
