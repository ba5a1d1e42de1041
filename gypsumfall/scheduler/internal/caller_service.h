#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/duty_service.h"
#include "gypsumfall/scheduler/internal/peer_service.h"
#include "gypsumfall/scheduler/internal/topology_service.h"

namespace gypsumfall::scheduler_internal {

/// Answers callers. A job is stored by the host that takes it, so that jobs
/// are accepted also while no host schedules.
class CallerService : public Service {
 public:
  explicit CallerService(Context& context);

  std::vector<std::string> dependencies() const override {
    return {kTopologyService, kShardService, kPeerService};
  }
  Result<void> Start() override;
  /// Answers what was received, then closes.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

 private:
  /// One request that is not answered yet.
  struct Exchange;

  void Handle(const HttpRequest& request, Responder respond);
  /// @return the shard that the job is in, as far as is known here.
  Shard& Locate(const JobId& job) const;
  bool IsHome(const Exchange& exchange) const;
  void MoveTo(Exchange& exchange, ShardId shard);
  void Submit(const std::shared_ptr<Exchange>& exchange);
  void PlaceJob(const std::shared_ptr<Exchange>& exchange, ShardId shard);
  void OnKnown(const std::shared_ptr<Exchange>& exchange,
               const std::vector<StoredRow>& rows);
  void StoreJob(const std::shared_ptr<Exchange>& exchange);
  void OnJobStored(const std::shared_ptr<Exchange>& exchange,
                   const TransactionReply& reply);
  void AskState(const std::shared_ptr<Exchange>& exchange);
  void ReadState(const std::shared_ptr<Exchange>& exchange);
  void OnUnknown(const std::shared_ptr<Exchange>& exchange,
                 std::function<void()> ask_again);
  void CancelJob(const std::shared_ptr<Exchange>& exchange);
  void OnCancelReply(const std::shared_ptr<Exchange>& exchange,
                     const Result<JobStateReply>& reply);
  void AskQueueLength(const std::shared_ptr<Exchange>& exchange);
  void RetryLater(const std::shared_ptr<Exchange>& exchange,
                  std::function<void()> retry);
  bool HasTime(const Exchange& exchange) const;
  void Answer(Exchange& exchange, const CallerAnswer& answer);
  void TryLater(Exchange& exchange, std::string detail);

  Context& context_;
  Logger log_{"callers"};
  TopologyService* topology_ = nullptr;
  ShardService* shards_ = nullptr;
  PeerService* peers_ = nullptr;
  std::unique_ptr<Server> server_;
  /// Jobs that are not in the shard that their id tells.
  std::unordered_map<JobId, ShardId> placements_;
  LatencyHistogram& answer_time_;
  /// Since when callers are refused, and when the latest was.
  Time outage_since_{};
  Time last_refusal_{};
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_
