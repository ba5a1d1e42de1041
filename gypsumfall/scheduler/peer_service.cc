#include "gypsumfall/scheduler/internal/peer_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr const char* kAcceptedPath = "/scheduler/v1/accepted";
constexpr const char* kStatePath = "/scheduler/v1/state";
constexpr const char* kCancelPath = "/scheduler/v1/cancel";
constexpr const char* kQueuePath = "/scheduler/v1/queue-length";

constexpr Duration kReportTimeout = milliseconds(500);
constexpr Duration kStopGrace = seconds(1);

// A host that does not schedule answers with this status and its process id.
constexpr int kNotScheduling = 409;

template <typename Reply>
UniqueFunction<Result<std::string>> DecodeInto(
    UniqueFunction<Result<Reply>> done) {
  return [done = std::move(done)](Result<std::string> body) mutable {
    if (!body) {
      done(tl::unexpected<Error>(std::move(body).error()));
    } else {
      done(Decode<Reply>(*body));
    }
  };
}

}  // namespace

PeerService::PeerService(Context& context)
    : context_(context),
      server_(context.runtime.io(),
              {.listen = context.settings.host.listen_peers.ToString()},
              [this](const HttpRequest& request, Responder respond) {
                Serve(request, std::move(respond));
              }),
      failed_calls_(context.metrics.AddCounter("peer_calls_failed")) {}

Result<void> PeerService::Start() {
  duty_ = context_.kernel.Find<DutyService>(kDutyService);
  dispatch_ = context_.kernel.Find<DispatchService>(kDispatchService);
  const Result<std::string> listening = server_.Start();
  if (!listening) return tl::unexpected<Error>(listening.error());
  return {};
}

void PeerService::Stop(std::function<void()> stopped) {
  server_.Stop(kStopGrace,
               [stopped = std::move(stopped)](std::size_t) { stopped(); });
}

std::string PeerService::Dump() const {
  return "connections " + std::to_string(server_.connections()) + "\n";
}

void PeerService::ReportAccepted(const JobRecord& record,
                                 const std::string& text) {
  if (dispatch_->is_scheduling()) {
    dispatch_->OnAccepted(record);
    return;
  }
  Call(kAcceptedPath, text, kReportTimeout,
       [this, id = record.id](const Result<std::string>& reply) {
         if (reply) return;
         log_.Info("accepted job not reported; the scheduler will find it",
                   {{"request", id}, {"why", reply.error().detail}});
       });
}

void PeerService::AskState(const JobId& id, Duration timeout,
                           UniqueFunction<Result<JobStateReply>> done) {
  if (dispatch_->is_scheduling()) {
    done(dispatch_->StateOf(id));
    return;
  }
  Call(kStatePath, Encode(JobQuery{id}), timeout, DecodeInto(std::move(done)));
}

void PeerService::AskQueueLength(
    const QueueId& queue, Duration timeout,
    UniqueFunction<Result<QueueLengthReply>> done) {
  if (dispatch_->is_scheduling()) {
    done(QueueLengthReply{dispatch_->CountWaiting(queue)});
    return;
  }
  Call(kQueuePath, Encode(QueueQuery{queue}), timeout,
       DecodeInto(std::move(done)));
}

void PeerService::Cancel(const JobId& id, Duration timeout,
                         UniqueFunction<Result<JobStateReply>> done) {
  // Also when this host schedules the call goes over HTTP, so that a lost duty
  // ends in the call's time-out instead of in silence.
  Call(kCancelPath, Encode(JobQuery{id}), timeout, DecodeInto(std::move(done)));
}

void PeerService::Call(std::string path, std::string body, Duration timeout,
                       UniqueFunction<Result<std::string>> done) {
  const std::optional<DutyRecord>& duty = duty_->lease().record();
  if (!duty || duty->released) {
    duty_->ReadSoon();
    done(Fail(ErrorKind::kOwnerUnavailable, "no host schedules"));
    return;
  }
  context_.peers.Call(
      duty->endpoint, {.path = std::move(path), .body = std::move(body)},
      timeout, [this, done = std::move(done)](CallOutcome outcome) mutable {
        OnOutcome(std::move(outcome), done);
      });
}

void PeerService::OnOutcome(CallOutcome outcome,
                            UniqueFunction<Result<std::string>>& done) {
  if (!outcome.failure && outcome.status == 200) {
    done(std::move(outcome.body));
    return;
  }
  failed_calls_.Add();
  if (outcome.failure) {
    if (*outcome.failure == CallFailure::kRefused) duty_->OnHolderRefused();
    done(Fail(ErrorKind::kOwnerUnavailable,
              std::string(CallFailureName(*outcome.failure))));
    return;
  }
  if (outcome.status == kNotScheduling) duty_->OnHolderReplaced(outcome.body);
  done(Fail(ErrorKind::kOwnerUnavailable,
            "status " + std::to_string(outcome.status)));
}

void PeerService::Serve(const HttpRequest& request, Responder respond) {
  if (!request.path.starts_with("/scheduler/v1/")) {
    respond(ErrorResponse(ErrorKind::kNotFound, request.path));
  } else if (!dispatch_->is_scheduling()) {
    respond({.status = kNotScheduling, .body = context_.process});
  } else {
    ServeJobCall(request, std::move(respond));
  }
}

void PeerService::ServeJobCall(const HttpRequest& request, Responder respond) {
  if (request.path == kAcceptedPath) {
    Result<JobRecord> record = Decode<JobRecord>(request.body);
    if (!record) return respond(ErrorResponse(record.error()));
    dispatch_->OnAccepted(*std::move(record));
    return respond({.body = "{}"});
  }
  if (request.path == kQueuePath) {
    Result<QueueQuery> query = Decode<QueueQuery>(request.body);
    if (!query) return respond(ErrorResponse(query.error()));
    return respond({.body = Encode(QueueLengthReply{
                        dispatch_->CountWaiting(query->queue)})});
  }
  Result<JobQuery> query = Decode<JobQuery>(request.body);
  if (!query) return respond(ErrorResponse(query.error()));
  if (request.path == kStatePath) {
    return respond({.body = Encode(dispatch_->StateOf(query->id))});
  }
  if (request.path == kCancelPath) {
    dispatch_->Cancel(
        query->id, [respond = std::move(respond)](bool known) mutable {
          respond({.body = Encode(JobStateReply{known, JobState::kCancelled})});
        });
    return;
  }
  respond(ErrorResponse(ErrorKind::kNotFound, request.path));
}

}  // namespace gypsumfall::scheduler_internal
