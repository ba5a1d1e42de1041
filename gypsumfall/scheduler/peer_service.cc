#include "gypsumfall/scheduler/internal/peer_service.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <utility>

#include "gypsumfall/scheduler/internal/stored_jobs.h"

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
constexpr std::string_view kStoreJobCall = "store-job";

constexpr Duration kReportTimeout = milliseconds(500);
constexpr Duration kHandoverTimeout = milliseconds(2500);
constexpr Duration kHandoverCheckInterval = milliseconds(200);
// Delay of the next request for leadership after one that was rejected.
constexpr Duration kHandoverRetryDelay = seconds(2);
constexpr Duration kStopGrace = seconds(1);
// Part of the timeout of a relayed write that is left for the answer of the
// host that writes; data centres are a few milliseconds apart.
constexpr milliseconds kStoreJobMargin{50};

// A host that is not the shard's leader answers with this HTTP status and the
// id of its process.
constexpr int kNotSchedulingStatus = 409;
// Statuses with which a host answers calls that it has not carried out: it does
// not schedule the shard, does not know the call, or cannot read it.
constexpr std::array kNotCarriedOutStatuses = {kNotSchedulingStatus, 400, 404,
                                               413};

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

StoreJobOutcome ToMessage(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return StoreJobOutcome::kDone;
    case StoreOutcome::kConflict:
      return StoreJobOutcome::kConflict;
    case StoreOutcome::kNotApplied:
      return StoreJobOutcome::kNotApplied;
    case StoreOutcome::kRejected:
      return StoreJobOutcome::kRejected;
    case StoreOutcome::kUnknown:
    case StoreOutcome::kHistoryGone:
      break;
  }
  return StoreJobOutcome::kUnknown;
}

StoreOutcome FromMessage(StoreJobOutcome outcome) {
  switch (outcome) {
    case StoreJobOutcome::kDone:
      return StoreOutcome::kDone;
    case StoreJobOutcome::kConflict:
      return StoreOutcome::kConflict;
    case StoreJobOutcome::kNotApplied:
      return StoreOutcome::kNotApplied;
    case StoreJobOutcome::kRejected:
      return StoreOutcome::kRejected;
    case StoreJobOutcome::kUnknown:
      break;
  }
  return StoreOutcome::kUnknown;
}

// Returns the outcome of a relayed write. Only what shows that the other host
// has not written counts as not applied.
TransactionReply RelayedWrite(const CallOutcome& outcome) {
  if (outcome.certainly_not_sent) return {StoreOutcome::kNotApplied, {}, {}};
  if (outcome.failure) return {StoreOutcome::kUnknown, {}, {}};
  if (outcome.status != 200) {
    const bool carried_out =
        std::find(kNotCarriedOutStatuses.begin(), kNotCarriedOutStatuses.end(),
                  outcome.status) == kNotCarriedOutStatuses.end();
    return {carried_out ? StoreOutcome::kUnknown : StoreOutcome::kNotApplied,
            {},
            {}};
  }
  Result<StoreJobReply> reply = Decode<StoreJobReply>(outcome.body);
  if (!reply) return {StoreOutcome::kUnknown, {}, {}};
  TransactionReply write{FromMessage(reply->outcome), {}, {}};
  for (std::string& value : reply->current) {
    write.current.push_back({.address = {}, .value = std::move(value)});
  }
  return write;
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

void PeerService::StoreJob(Shard& shard, const std::string& text, bool sliced,
                           Duration timeout,
                           UniqueFunction<TransactionReply> done) {
  const StoreJobRequest request{
      .sliced = sliced,
      .timeout =
          std::chrono::duration_cast<milliseconds>(timeout) - kStoreJobMargin,
      .record = text};
  Send(shard, kStoreJobCall, Encode(request), timeout,
       [done = std::move(done)](const CallOutcome& outcome) mutable {
         done(RelayedWrite(outcome));
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
  Send(shard, call, std::move(body), timeout,
       [done = std::move(done)](CallOutcome outcome) mutable {
         if (!outcome.failure && outcome.status == 200) {
           done(std::move(outcome.body));
           return;
         }
         done(Fail(ErrorKind::kOwnerUnavailable,
                   outcome.failure
                       ? std::string(CallFailureName(*outcome.failure))
                       : "status " + std::to_string(outcome.status)));
       });
}

void PeerService::Send(Shard& shard, std::string_view call, std::string body,
                       Duration timeout, UniqueFunction<CallOutcome> done) {
  std::string path = std::string(kPathPrefix) +
                     std::to_string(shard.scope.id.value()) + "/" +
                     std::string(call);
  const LeaderRecord& leader = *shard.elector.lease().record();
  context_.peers.Call(leader.endpoint,
                      {.path = std::move(path), .body = std::move(body)},
                      timeout,
                      [this, &shard, called = leader.process,
                       done = std::move(done)](CallOutcome outcome) mutable {
                        ObserveLeader(shard, called, outcome);
                        done(std::move(outcome));
                      });
}

void PeerService::ObserveLeader(Shard& shard, const std::string& called,
                                const CallOutcome& outcome) {
  if (!outcome.failure && outcome.status == 200) return;
  failed_calls_.Add();
  if (outcome.failure) {
    if (*outcome.failure == CallFailure::kRefused)
      shard.elector.OnHolderRefused(called);
  } else if (outcome.status == kNotSchedulingStatus) {
    shard.elector.OnHolderReplaced(called, outcome.body);
  }
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
    } else if (path == kStoreJobCall &&
               context_.settings.overload.acceptance_relay) {
      ServeStoreJob(request, std::move(respond));
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

// Any host can store the job of any shard. Callers choose leaders, because they
// know their endpoints and because a leader's store calls usually succeed.
void PeerService::ServeStoreJob(const HttpRequest& request, Responder respond) {
  Result<StoreJobRequest> call = Decode<StoreJobRequest>(request.body);
  if (!call) return respond(ErrorResponse(call.error()));
  Result<JobRecord> record = Decode<JobRecord>(call->record);
  if (!record) return respond(ErrorResponse(record.error()));
  Shard& home = shards_->HomeShardOf(record->id);
  RowTransaction write =
      call->sliced ? AcceptSlicedTransaction(record->id, call->record)
                   : AcceptTransaction(home.scope, record->id, call->record);
  const Duration timeout = call->timeout;
  context_.ports.store.transact(
      std::move(write), timeout,
      [this, &home, call = *std::move(call), record = *std::move(record),
       respond = std::move(respond)](const TransactionReply& written) mutable {
        StoreJobReply reply{.outcome = ToMessage(written.outcome),
                            .current = {}};
        if (written.outcome == StoreOutcome::kConflict) {
          for (const StoredRow& row : written.current)
            reply.current.push_back(row.value);
        }
        log_.Info("job written for another host",
                  {{"request", record.id},
                   {"shard", home.scope.id},
                   {"outcome", StoreOutcomeName(written.outcome)}});
        respond({.body = Encode(reply)});
        if (!call.sliced && home.dispatch.is_scheduling() &&
            IsStored(call.record, written))
          home.dispatch.OnAccepted(std::move(record));
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
