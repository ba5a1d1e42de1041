#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/overload/overload.h"
#include "gypsumfall/scheduler/internal/acceptance_path.h"
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
  void Submit(const std::shared_ptr<Exchange>& exchange);
  /// @return whether a shard that would run the job accepts no further ones.
  bool IsFull(const Exchange& exchange) const;
  /// @return the load summary of the shard that was read last, or nothing if
  ///   it has none or its age is not known.
  std::optional<ObservedLoad> LoadOf(const Shard& shard) const;
  /// Stores the job, unless by the load of its shard it cannot end in time and
  /// no earlier attempt has stored it.
  void StoreUnlessTooLate(const std::shared_ptr<Exchange>& exchange);
  /// Answers a job that is refused because of the load.
  void RefuseForLoad(Exchange& exchange, const AdmissionDecision& decision);
  /// Makes the next attempt to store the job, or answers if there is none.
  void StoreJob(const std::shared_ptr<Exchange>& exchange);
  void WriteJob(const std::shared_ptr<Exchange>& exchange, Duration timeout);
  /// Has the leader of a shard, which is another host, store the job.
  void RelayJob(const std::shared_ptr<Exchange>& exchange, Shard& shard);
  /// @return the leaders on other hosts, the home shard's first.
  std::vector<RelayTarget> RelayTargets(const Exchange& exchange) const;
  void RecordOwnWrite(StoreOutcome outcome);
  /// Answers a request whose job is stored, and reports the job.
  void OnAccepted(Exchange& exchange);
  void OnJobStored(const std::shared_ptr<Exchange>& exchange,
                   const TransactionReply& reply);
  /// Retries, or answers, after all paths to the store have failed.
  void OnJobNotStored(const std::shared_ptr<Exchange>& exchange);
  /// Answers a request whose job is stored already, or was cancelled.
  void OnJobConflict(Exchange& exchange, const std::vector<StoredRow>& current);
  void QueryState(const std::shared_ptr<Exchange>& exchange);
  /// Asks the leader of a shard for the state of the request's job.
  /// @param hops number of shards that have named another one.
  void QueryStateAt(Shard& shard, std::size_t hops,
                    const std::shared_ptr<Exchange>& exchange);
  void ReadState(const std::shared_ptr<Exchange>& exchange);
  /// Reads the stored state of the request's job.
  /// @param done called with the state, or with an error if the store does not
  ///   answer.
  void LoadState(const std::shared_ptr<Exchange>& exchange,
                 UniqueFunction<Result<JobStateReply>> done);
  void CancelJob(const std::shared_ptr<Exchange>& exchange);
  void CancelJobAt(Shard& shard, std::size_t hops,
                   const std::shared_ptr<Exchange>& exchange);
  /// @return the shard that the reply names, unless the calls have gone from
  ///   shard to shard for too long; otherwise null.
  Shard* NextShard(const Result<JobStateReply>& reply, std::size_t hops) const;
  void OnCancelReply(const std::shared_ptr<Exchange>& exchange,
                     const Result<JobStateReply>& reply);
  void RejectLateAcceptance(const std::shared_ptr<Exchange>& exchange);
  /// @param stored called once the marker is stored.
  void StoreMarker(const std::shared_ptr<Exchange>& exchange,
                   RowTransaction marker, std::function<void()> stored);
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
  LatencyHistogram& answer_latency_;
  /// Time that the latest attempt to store a job took, until its answer or its
  /// timeout.
  Duration latest_store_time_{0};
  AcceptancePath acceptance_path_;
  Counter& jobs_stored_through_peer_;
  Counter& relayed_jobs_failed_;
  /// Start of the current outage, and time of its latest refused request.
  Time outage_since_{};
  Time last_refusal_{};
  std::map<ShardId, AdmissionController> admission_;
  /// Decisions by `AdmissionReason`.
  std::array<Counter*, kAdmissionReasonCount> admissions_{};
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_CALLER_SERVICE_H_
