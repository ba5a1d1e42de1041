#include "gypsumfall/scheduler/internal/peer_service.h"

#include <charconv>
#include <memory>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// Calls go to /scheduler/v1/SHARD/CALL.
constexpr std::string_view kPathPrefix = "/scheduler/v1/";
constexpr std::string_view kAcceptedCall = "accepted";
constexpr std::string_view kStateCall = "state";
constexpr std::string_view kCancelCall = "cancel";
constexpr std::string_view kQueueCall = "queue-length";
constexpr std::string_view kHandoverCall = "handover";
constexpr std::string_view kReservePlacesCall = "reserve-places";
constexpr std::string_view kOfferJobsCall = "offer-jobs";

constexpr Duration kReportTimeout = milliseconds(500);
constexpr Duration kHandoverTimeout = milliseconds(2500);
constexpr Duration kHandoverCheckInterval = milliseconds(200);
// Delay of the next request for leadership after one that was rejected.
constexpr Duration kHandoverRetryDelay = seconds(2);
constexpr Duration kStopGrace = seconds(1);

// A host that is not the shard's leader answers with this HTTP status and the
// id of its process.
constexpr int kNotSchedulingStatus = 409;

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
  shards_ = context_.kernel.Find<ShardService>(kShardService);
  context_.runtime.RunEvery(kHandoverCheckInterval,
                            [this] { RequestHandovers(); });
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

void PeerService::ReportAccepted(Shard& shard, const JobRecord& record,
                                 const std::string& text) {
  if (shard.dispatch.is_scheduling()) {
    shard.dispatch.OnAccepted(record);
    return;
  }
  Call(shard, kAcceptedCall, text, kReportTimeout,
       [this, id = record.id](const Result<std::string>& reply) {
         if (reply) return;
         log_.Info("failed to report an accepted job; the leader will find it",
                   {{"request", id}, {"why", reply.error().detail}});
       });
}

void PeerService::QueryState(Shard& shard, const JobId& id, Duration timeout,
                             UniqueFunction<Result<JobStateReply>> done) {
  if (shard.dispatch.is_scheduling()) {
    done(shard.dispatch.StateOf(id));
    return;
  }
  Call(shard, kStateCall, Encode(JobQuery{id}), timeout,
       DecodeInto(std::move(done)));
}

void PeerService::QueryQueueLength(
    const QueueId& queue, Duration timeout,
    UniqueFunction<Result<QueueLengthReply>> done) {
  struct Sum {
    std::size_t pending_replies = 0;
    Result<QueueLengthReply> total = QueueLengthReply{};
    UniqueFunction<Result<QueueLengthReply>> done;
  };
  auto sum = std::make_shared<Sum>();
  sum->pending_replies = shards_->shards().size();
  sum->done = std::move(done);
  for (const auto& shard : shards_->shards()) {
    QueryQueueLength(*shard, queue, timeout,
                     [sum](Result<QueueLengthReply> reply) {
                       if (!reply) {
                         sum->total = std::move(reply);
                       } else if (sum->total) {
                         sum->total->waiting += reply->waiting;
                       }
                       if (--sum->pending_replies == 0)
                         sum->done(std::move(sum->total));
                     });
  }
}

void PeerService::QueryQueueLength(
    Shard& shard, const QueueId& queue, Duration timeout,
    UniqueFunction<Result<QueueLengthReply>> done) {
  if (shard.dispatch.is_scheduling()) {
    done(QueueLengthReply{shard.dispatch.CountWaiting(queue)});
    return;
  }
  Call(shard, kQueueCall, Encode(QueueQuery{queue}), timeout,
       DecodeInto(std::move(done)));
}

void PeerService::Cancel(Shard& shard, const JobId& id, Duration timeout,
                         UniqueFunction<Result<JobStateReply>> done) {
  // The call goes over HTTP even if this host is the leader, so that a loss of
  // leadership ends in a timeout of the call instead of in no reply.
  Call(shard, kCancelCall, Encode(JobQuery{id}), timeout,
       DecodeInto(std::move(done)));
}

void PeerService::ReservePlaces(
    Shard& shard, const ReservePlacesRequest& request, Duration timeout,
    UniqueFunction<Result<ReservePlacesReply>> done) {
  if (shard.dispatch.is_scheduling()) {
    done(shard.dispatch.ReservePlaces(request));
    return;
  }
  Call(shard, kReservePlacesCall, Encode(request), timeout,
       DecodeInto(std::move(done)));
}

void PeerService::OfferJobs(Shard& shard, const OfferJobsRequest& request,
                            Duration timeout,
                            UniqueFunction<Result<OfferJobsReply>> done) {
  if (shard.dispatch.is_scheduling()) {
    done(shard.dispatch.ChooseOffered(request));
    return;
  }
  Call(shard, kOfferJobsCall, Encode(request), timeout,
       DecodeInto(std::move(done)));
}

// Leadership returns from small hosts, which lead only while no larger host
// can, to larger ones.
void PeerService::RequestHandovers() {
  const Time now = context_.Now();
  if (requesting_handover_ || now < next_handover_request_) return;
  for (const auto& shard : shards_->shards()) {
    if (!shard->elector.WantsHandover()) continue;
    requesting_handover_ = true;
    const SchedulerHostSettings& host = context_.settings.host;
    const HandoverRequest request{
        .host = host.id, .processors = ProcessorsOf(host.processor_share)};
    Call(*shard, kHandoverCall, Encode(request), kHandoverTimeout,
         [this, &shard = *shard](const Result<std::string>& reply) {
           requesting_handover_ = false;
           next_handover_request_ = context_.Now() + kHandoverRetryDelay;
           if (reply) shard.elector.ReadSoon();
         });
    return;
  }
}

void PeerService::Call(Shard& shard, std::string_view call, std::string body,
                       Duration timeout,
                       UniqueFunction<Result<std::string>> done) {
  const std::optional<LeaderRecord>& leader = shard.elector.lease().record();
  if (!leader || leader->released) {
    shard.elector.ReadSoon();
    done(Fail(ErrorKind::kOwnerUnavailable, "no host schedules"));
    return;
  }
  std::string path = std::string(kPathPrefix) +
                     std::to_string(shard.scope.id.value()) + "/" +
                     std::string(call);
  context_.peers.Call(
      leader->endpoint, {.path = std::move(path), .body = std::move(body)},
      timeout,
      [this, &shard, done = std::move(done)](CallOutcome outcome) mutable {
        OnOutcome(shard, std::move(outcome), done);
      });
}

void PeerService::OnOutcome(Shard& shard, CallOutcome outcome,
                            UniqueFunction<Result<std::string>>& done) {
  if (!outcome.failure && outcome.status == 200) {
    done(std::move(outcome.body));
    return;
  }
  failed_calls_.Add();
  if (outcome.failure) {
    if (*outcome.failure == CallFailure::kRefused)
      shard.elector.OnHolderRefused();
    done(Fail(ErrorKind::kOwnerUnavailable,
              std::string(CallFailureName(*outcome.failure))));
    return;
  }
  if (outcome.status == kNotSchedulingStatus) {
    shard.elector.OnHolderReplaced(outcome.body);
  }
  done(Fail(ErrorKind::kOwnerUnavailable,
            "status " + std::to_string(outcome.status)));
}

void PeerService::Serve(const HttpRequest& request, Responder respond) {
  std::string_view path = request.path;
  if (!path.starts_with(kPathPrefix)) {
    return respond(ErrorResponse(ErrorKind::kNotFound, request.path));
  }
  path.remove_prefix(kPathPrefix.size());
  std::uint64_t shard_number = 0;
  const auto [end, parse_error] =
      std::from_chars(path.data(), path.data() + path.size(), shard_number);
  path.remove_prefix(static_cast<std::size_t>(end - path.data()));
  if (parse_error != std::errc() || !path.starts_with('/')) {
    return respond(ErrorResponse(ErrorKind::kNotFound, request.path));
  }
  path.remove_prefix(1);
  // A host that has just started may not know the layout yet.
  Shard* shard = shards_->FindShard(ShardId(shard_number));
  if (shard == nullptr || !shard->dispatch.is_scheduling()) {
    respond({.status = kNotSchedulingStatus, .body = context_.process});
  } else {
    if (path == kHandoverCall) {
      ServeHandover(shard->elector, request, std::move(respond));
    } else {
      ServeJobCall(shard->dispatch, request, path, std::move(respond));
    }
  }
}

void PeerService::ServeHandover(LeaderElector& elector,
                                const HttpRequest& request, Responder respond) {
  const Result<HandoverRequest> handover =
      Decode<HandoverRequest>(request.body);
  if (!handover) return respond(ErrorResponse(handover.error()));
  elector.HandOver(
      *handover, [respond = std::move(respond)](bool released) mutable {
        if (released) return respond({.body = "{}"});
        respond(ErrorResponse(
            Error{ErrorKind::kOwnerUnavailable, "leadership is not released"}));
      });
}

void PeerService::ServeJobCall(DispatchService& dispatch,
                               const HttpRequest& request,
                               std::string_view call, Responder respond) {
  if (call == kAcceptedCall) {
    Result<JobRecord> record = Decode<JobRecord>(request.body);
    if (!record) return respond(ErrorResponse(record.error()));
    dispatch.OnAccepted(*std::move(record));
    return respond({.body = "{}"});
  }
  if (call == kQueueCall) {
    Result<QueueQuery> query = Decode<QueueQuery>(request.body);
    if (!query) return respond(ErrorResponse(query.error()));
    return respond({.body = Encode(QueueLengthReply{
                        dispatch.CountWaiting(query->queue)})});
  }
  if (call == kReservePlacesCall) {
    const Result<ReservePlacesRequest> places =
        Decode<ReservePlacesRequest>(request.body);
    if (!places) return respond(ErrorResponse(places.error()));
    return respond({.body = Encode(dispatch.ReservePlaces(*places))});
  }
  if (call == kOfferJobsCall) {
    const Result<OfferJobsRequest> offer =
        Decode<OfferJobsRequest>(request.body);
    if (!offer) return respond(ErrorResponse(offer.error()));
    return respond({.body = Encode(dispatch.ChooseOffered(*offer))});
  }
  Result<JobQuery> query = Decode<JobQuery>(request.body);
  if (!query) return respond(ErrorResponse(query.error()));
  if (call == kStateCall) {
    return respond({.body = Encode(dispatch.StateOf(query->id))});
  }
  if (call == kCancelCall) {
    dispatch.Cancel(query->id, [respond = std::move(respond)](
                                   const Result<JobStateReply>& reply) mutable {
      if (!reply) return respond(ErrorResponse(reply.error()));
      respond({.body = Encode(*reply)});
    });
    return;
  }
  respond(ErrorResponse(ErrorKind::kNotFound, request.path));
}

}  // namespace gypsumfall::scheduler_internal
