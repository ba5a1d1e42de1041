#include "gypsumfall/scheduler/internal/transfer_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// A search for a place looks at all workers of a shard. The interval and the
// number of tasks in a request bound what searches cost while all shards are
// full.
constexpr Duration kSearchInterval = milliseconds(500);
constexpr std::size_t kMaxTasksPerRequest = 16;
constexpr Duration kRequestTimeout = milliseconds(500);

}  // namespace

Result<void> TransferService::Start() {
  shards_ = context_.kernel.Find<ShardService>(kShardService);
  peers_ = context_.kernel.Find<PeerService>(kPeerService);
  context_.runtime.RunEvery(kSearchInterval, [this] { Tick(); });
  return {};
}

std::string TransferService::Dump() const {
  std::string text;
  for (const auto& [shard, search] : searches_) {
    if (!search.pending) continue;
    text += "shard " + std::to_string(shard.value()) +
            " waits for the answer of another shard\n";
  }
  return text;
}

void TransferService::Tick() {
  if (shards_->shards().size() <= 1) return;
  for (const auto& shard : shards_->shards()) {
    Search& search = searches_[shard->scope.id];
    if (!search.pending && shard->dispatch.is_scheduling())
      AskNextShard(*shard, search);
  }
}

void TransferService::AskNextShard(Shard& shard, Search& search) {
  const std::uint64_t count = shards_->shards().size();
  const ShardId other((shard.scope.id.value() + search.next_offset) % count);
  const std::vector<TaskName> tasks =
      shard.dispatch.TasksToTransfer(other, kMaxTasksPerRequest);
  if (tasks.empty()) return;
  search.next_offset = search.next_offset % (count - 1) + 1;
  search.pending = true;
  peers_->ReservePlaces(
      *shards_->FindShard(other), {.tasks = tasks}, kRequestTimeout,
      [this, &shard, &search, other](Result<ReservePlacesReply> reply) {
        search.pending = false;
        if (!reply) {
          log_.Info("another shard does not tell whether it has capacity",
                    {{"shard", shard.scope.id},
                     {"other_shard", other},
                     {"why", reply.error().detail}});
          return;
        }
        shard.dispatch.TransferTasks(reply->reserved, other);
      });
}

}  // namespace gypsumfall::scheduler_internal
