#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_PEER_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_PEER_SERVICE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/shard_service.h"

namespace gypsumfall::scheduler_internal {

/// Reaches the scheduling host of a shard from any host: directly if it is this
/// one, otherwise over HTTP. Serves the calls of the other hosts. The shards
/// must be known.
class PeerService : public Service {
 public:
  explicit PeerService(Context& context);

  std::vector<std::string> dependencies() const override {
    return {kShardService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Reports an accepted job. If the report is lost, the scheduling host finds
  /// the stored job later.
  void ReportAccepted(Shard& shard, const JobRecord& record,
                      const std::string& text);
  /// Each `done` gets an error if the scheduling host can not be asked.
  void AskState(Shard& shard, const JobId& id, Duration timeout,
                UniqueFunction<Result<JobStateReply>> done);
  /// Adds up what all shards answer.
  void AskQueueLength(const QueueId& queue, Duration timeout,
                      UniqueFunction<Result<QueueLengthReply>> done);
  /// The answer tells whether the job is known; it is stored as cancelled or
  /// has ended.
  void Cancel(Shard& shard, const JobId& id, Duration timeout,
              UniqueFunction<Result<JobStateReply>> done);

  /// @return how full the shards are, as far as is known here.
  const std::vector<ShardLoad>& loads();
  /// This host sends a job to the shard that reserves the processors for long.
  void NoteSent(ShardId shard, MilliCores reserved);

 private:
  void NoteRoom(const Shard& shard, const JobAcceptedReply& room);
  void Serve(const HttpRequest& request, Responder respond);
  void ServeJobCall(DispatchService& dispatch, const HttpRequest& request,
                    std::string_view call, Responder respond);
  void Call(Shard& shard, std::string_view call, std::string body,
            Duration timeout, UniqueFunction<Result<std::string>> done);
  void OnOutcome(Shard& shard, CallOutcome outcome,
                 UniqueFunction<Result<std::string>>& done);
  void AskQueueLength(Shard& shard, const QueueId& queue, Duration timeout,
                      UniqueFunction<Result<QueueLengthReply>> done);

  Context& context_;
  Logger log_{"peers"};
  ShardService* shards_ = nullptr;
  Server server_;
  std::vector<ShardLoad> loads_;
  Counter& failed_calls_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_PEER_SERVICE_H_
