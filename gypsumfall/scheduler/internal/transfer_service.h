#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_TRANSFER_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_TRANSFER_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/peer_service.h"
#include "gypsumfall/scheduler/internal/shard_service.h"

namespace gypsumfall::scheduler_internal {

/// Finds shards that run the waiting work of the shards that this host leads:
/// asks the other shards in turn to reserve workers for tasks of sliced jobs,
/// and which other jobs they can take, and gives these away.
class TransferService : public Service {
 public:
  explicit TransferService(Context& context) : context_(context) {}

  std::vector<std::string> dependencies() const override {
    return {kShardService, kPeerService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

 private:
  /// The search for places for the tasks, or for the jobs, of one shard.
  struct Search {
    bool pending = false;
    /// Distance from the shard to the one that is asked next.
    std::uint64_t next_offset = 1;
  };

  void Tick();
  void AskNextShard(Shard& shard, Search& search);
  void OfferJobs(Shard& shard, Search& search);
  /// @return the shard that is asked next.
  Shard& NextShard(const Shard& shard, const Search& search) const;
  void Advance(Search& search) const;

  Context& context_;
  Logger log_{"transfers"};
  ShardService* shards_ = nullptr;
  PeerService* peers_ = nullptr;
  std::map<ShardId, Search> searches_;
  std::map<ShardId, Search> job_searches_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_TRANSFER_SERVICE_H_
