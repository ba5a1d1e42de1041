#include "gypsumfall/scheduler/internal/transfer_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// A search for a place looks at all workers of a shard. The interval and the
// number of tasks in a request bound what searches cost while all shards are
// full.
constexpr Duration kSearchInterval = milliseconds(500);
constexpr std::size_t kMaxTasksPerRequest = 16;
// More than for tasks, so that many jobs which no shard can run do not delay
// the offer of the others. A search ends at the first worker that would do.
constexpr std::size_t kMaxJobsPerRequest = 64;
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
    if (!shard->dispatch.is_scheduling()) continue;
    Search& search = searches_[shard->scope.id];
    if (!search.pending) AskNextShard(*shard, search);
    Search& job_search = job_searches_[shard->scope.id];
    if (!job_search.pending) OfferJobs(*shard, job_search);
  }
}

Shard& TransferService::NextShard(const Shard& shard,
                                  const Search& search) const {
  const std::uint64_t count = shards_->shards().size();
  return *shards_->FindShard(
      ShardId((shard.scope.id.value() + search.next_offset) % count));
}

void TransferService::Advance(Search& search) const {
  search.next_offset = search.next_offset % (shards_->shards().size() - 1) + 1;
}

void TransferService::AskNextShard(Shard& shard, Search& search) {
  Shard& other_shard = NextShard(shard, search);
  const ShardId other = other_shard.scope.id;
  const ReservePlacesRequest request =
      shard.dispatch.TasksToTransfer(other, kMaxTasksPerRequest);
  if (request.tasks.empty()) return;
  Advance(search);
  search.pending = true;
  peers_->ReservePlaces(
      other_shard, request, kRequestTimeout,
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

void TransferService::OfferJobs(Shard& shard, Search& search) {
  Shard& other_shard = NextShard(shard, search);
  const ShardId other = other_shard.scope.id;
  const OfferJobsRequest request =
      shard.dispatch.JobsToMove(other, kMaxJobsPerRequest);
  if (request.offers.empty() && request.load_offers.empty()) return;
  Advance(search);
  search.pending = true;
  peers_->OfferJobs(
      other_shard, request, kRequestTimeout,
      [this, &shard, &search, other](const Result<OfferJobsReply>& reply) {
        search.pending = false;
        if (!reply) {
          log_.Info("another shard does not tell which jobs it can take",
                    {{"shard", shard.scope.id},
                     {"other_shard", other},
                     {"why", reply.error().detail}});
          return;
        }
        shard.dispatch.MoveJobs(*reply, other);
      });
}

}  // namespace gypsumfall::scheduler_internal
