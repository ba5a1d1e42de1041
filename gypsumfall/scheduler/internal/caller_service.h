#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/leader_elector.h"
#include "gypsumfall/scheduler/internal/peer_service.h"
#include "gypsumfall/scheduler/internal/topology_service.h"

namespace gypsumfall::scheduler_internal {

/// Serves callers' requests. The host that receives a job stores it, so that
/// jobs are accepted even while no host schedules.
class CallerService : public Service {
 public:
  explicit CallerService(Context& context);

  std::vector<std::string> dependencies() const override {
    return {kTopologyService, kShardService, kPeerService};
  }
  Result<void> Start() override;
  /// Answers the received requests, then closes the server.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

 private:
  /// A request that is not answered yet.
  struct Exchange;

  void Handle(const HttpRequest& request, Responder respond);
  /// @return the job's shard according to the cached placements, otherwise its
  ///   home shard.
  Shard& Locate(const JobId& job) const;
  bool IsInHomeShard(const Exchange& exchange) const;
  void UsePlacement(Exchange& exchange, ShardId shard);
  void Submit(const std::shared_ptr<Exchange>& exchange);
  void StorePlacement(const std::shared_ptr<Exchange>& exchange, ShardId shard);
  void OnAlreadyStored(const std::shared_ptr<Exchange>& exchange,
                       const std::vector<StoredRow>& rows);
  void StoreJob(const std::shared_ptr<Exchange>& exchange);
  void OnJobStored(const std::shared_ptr<Exchange>& exchange,
                   const TransactionReply& reply);
  void QueryState(const std::shared_ptr<Exchange>& exchange);
  void ReadState(const std::shared_ptr<Exchange>& exchange);
  void OnNotInShard(const std::shared_ptr<Exchange>& exchange,
                    std::function<void()> repeat_request);
  void CancelJob(const std::shared_ptr<Exchange>& exchange);
  void OnCancelReply(const std::shared_ptr<Exchange>& exchange,
                     const Result<JobStateReply>& reply);
  void QueryQueueLength(const std::shared_ptr<Exchange>& exchange);
  void RetryLater(const std::shared_ptr<Exchange>& exchange,
                  std::function<void()> retry);
  bool HasTimeToRetry(const Exchange& exchange) const;
  void Answer(Exchange& exchange, const CallerAnswer& answer);
  void RefuseTemporarily(Exchange& exchange, std::string detail);

  Context& context_;
  Logger log_{"callers"};
  TopologyService* topology_ = nullptr;
  ShardService* shards_ = nullptr;
  PeerService* peers_ = nullptr;
  std::unique_ptr<Server> server_;
  /// Shards of jobs that are not in their home shard.
  std::unordered_map<JobId, ShardId> cached_placements_;
  LatencyHistogram& answer_latency_;
  /// Start of the current outage, and time of its latest refused request.
  Time outage_since_{};
  Time last_refusal_{};
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_
