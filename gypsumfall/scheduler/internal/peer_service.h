#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_PEER_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_PEER_SERVICE_H_

#include <functional>
#include <string>
#include <string_view>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/shard_service.h"

namespace gypsumfall::scheduler_internal {

/// Forwards calls to the leader of a shard from any host: directly if this host
/// is the leader, otherwise over HTTP. Serves the calls of other hosts. The
/// shards must be known.
class PeerService : public Service {
 public:
  explicit PeerService(Context& context);

  std::vector<std::string> dependencies() const override {
    return {kShardService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Reports an accepted job to the shard's leader. If the report is lost, the
  /// leader finds the stored job later.
  /// @param text the encoded record.
  void ReportAccepted(Shard& shard, const JobRecord& record,
                      const std::string& text);
  /// Has the shard's leader, which must be another host, store an accepted job.
  /// The leader writes once to the store and calls no further host.
  /// @param text the encoded record, which is stored unchanged.
  /// @param timeout time for which the answer is waited for. The leader's write
  ///   is given less.
  /// @param done called with the outcome of the write: `kNotApplied` if the
  ///   leader has certainly not written, `kUnknown` without an answer. The
  ///   rows of a conflict have their values only.
  void StoreJob(Shard& shard, const std::string& text, bool sliced,
                Duration timeout, UniqueFunction<TransactionReply> done);
  /// Queries the state of a job.
  /// @param done called with the reply, or with an error if the shard's leader
  ///   does not answer; the same holds for the calls below.
  void QueryState(Shard& shard, const JobId& id, Duration timeout,
                  UniqueFunction<Result<JobStateReply>> done);
  /// Queries the number of waiting jobs, summed over all shards.
  void QueryQueueLength(const QueueId& queue, Duration timeout,
                        UniqueFunction<Result<QueueLengthReply>> done);
  /// Cancels a job. The reply tells whether the job is known; if it is, it is
  /// held by another shard that the reply names, or its cancellation is stored,
  /// or it has ended before.
  void Cancel(Shard& shard, const JobId& id, Duration timeout,
              UniqueFunction<Result<JobStateReply>> done);
  /// Asks a shard to reserve workers for tasks that other shards wait to run.
  void ReservePlaces(Shard& shard, const ReservePlacesRequest& request,
                     Duration timeout,
                     UniqueFunction<Result<ReservePlacesReply>> done);

  /// Asks a shard which of the jobs it can take that wait in another one.
  void OfferJobs(Shard& shard, const OfferJobsRequest& request,
                 Duration timeout, UniqueFunction<Result<OfferJobsReply>> done);

 private:
  void RequestHandovers();
  void Serve(const HttpRequest& request, Responder respond);
  void ServeHandover(LeaderElector& elector, const HttpRequest& request,
                     Responder respond);
  void ServeStoreJob(const HttpRequest& request, Responder respond);
  void ServeJobCall(DispatchService& dispatch, const HttpRequest& request,
                    std::string_view call, Responder respond);
  void Call(Shard& shard, std::string_view call, std::string body,
            Duration timeout, UniqueFunction<Result<std::string>> done);
  /// Sends a call to the leader, which must be known.
  void Send(Shard& shard, std::string_view call, std::string body,
            Duration timeout, UniqueFunction<CallOutcome> done);
  /// Tells the elector if the outcome shows that the leader is lost.
  /// @param called process of the leader to which the call was sent.
  void ObserveLeader(Shard& shard, const std::string& called,
                     const CallOutcome& outcome);
  void QueryQueueLength(Shard& shard, const QueueId& queue, Duration timeout,
                        UniqueFunction<Result<QueueLengthReply>> done);

  Context& context_;
  Logger log_{"peers"};
  ShardService* shards_ = nullptr;
  Server server_;
  bool requesting_handover_ = false;
  Time next_handover_request_{};
  Counter& failed_calls_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_PEER_SERVICE_H_
