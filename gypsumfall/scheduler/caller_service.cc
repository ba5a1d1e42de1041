#include "gypsumfall/scheduler/internal/caller_service.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

// Timeout of callers that do not specify one.
constexpr Duration kDefaultCallerTimeout = seconds(3);
// Part of the caller's timeout that is reserved for sending the answer.
constexpr Duration kAnswerMargin = milliseconds(150);
constexpr Duration kPeerTimeout = milliseconds(600);
constexpr Duration kReadTimeout = milliseconds(500);
// Bounds of the time for which another host is waited for when it stores a job.
// The upper one covers the shortest time for which a host waits for its own
// write (700 ms), and a caller that waits 3 s still has time for a second host.
constexpr Duration kMinRelayTimeout = milliseconds(100);
constexpr Duration kMaxRelayTimeout = milliseconds(900);
constexpr Duration kRetryDelay = milliseconds(60);
// Bounds of the retry delay that is sent to refused callers. Between the
// bounds, the delay is the age of the outage: an outage that has lasted longer
// is likely to last longer, and callers make only a few attempts.
constexpr Duration kMinOutageRetryAfter = seconds(1);
constexpr Duration kMaxOutageRetryAfter = seconds(4);
// Refusals further apart than this count as separate outages.
constexpr Duration kOutageGap = seconds(2);
constexpr Duration kStopGrace = seconds(3);
// The shards of a sliced job have different epochs. With the first epoch as the
// accepted one, each of them numbers its runs above those of its predecessors.
constexpr Epoch kAcceptedEpochOfSlicedJobs(1);

std::string_view AnswerName(CallerAnswer::Kind kind) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "accepted",     "state",       "cancelled",
      "queue_length", "unknown_job", "unknown_queue",
      "bad_request",  "try_later",   "outcome_unknown"};
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace

struct CallerService::Exchange {
  CallerRequest request;
  Responder respond;
  Time received;
  Time answer_by;
  /// Home shard of the job.
  Shard* shard = nullptr;
  /// Whether all shards run slices of the job, for `kSubmit`.
  bool sliced = false;
  /// The job and its encoded form, for `kSubmit`.
  JobRecord record;
  std::string record_text;
  /// Whether an attempt to store the job has an unknown outcome.
  bool maybe_stored = false;
  /// Paths tried since the latest delay, if jobs are relayed.
  AcceptanceAttempts attempts;
  /// Whether the home shard's leader has stored the job and thus knows it.
  bool home_leader_knows = false;
};

CallerService::CallerService(Context& context)
    : context_(context),
      answer_latency_(context.metrics.AddLatency("caller_answer_seconds")),
      jobs_stored_through_peer_(
          context.metrics.AddCounter("jobs_stored_through_peer")),
      relayed_jobs_failed_(context.metrics.AddCounter("relayed_jobs_failed")) {
  if (!context.settings.overload.load_admission) return;
  for (std::size_t i = 0; i < kAdmissionReasonCount; ++i) {
    const std::string_view reason =
        AdmissionReasonName(static_cast<AdmissionReason>(i));
    admissions_.at(i) = &context.metrics.AddCounter(
        "jobs_judged_by_load", {{"reason", std::string(reason)}});
  }
}

Result<void> CallerService::Start() {
  topology_ = context_.kernel.Find<TopologyService>(kTopologyService);
  shards_ = context_.kernel.Find<ShardService>(kShardService);
  peers_ = context_.kernel.Find<PeerService>(kPeerService);
  const LimitSettings& limits = context_.settings.limits;
  server_ = std::make_unique<Server>(
      context_.runtime.io(),
      ServerOptions{
          .listen = context_.settings.host.listen_callers.ToString(),
          .max_body = static_cast<std::size_t>(limits.max_body.value()),
          .max_header = static_cast<std::size_t>(limits.max_header.value()),
          .max_connections = static_cast<std::size_t>(limits.max_connections),
          .header_timeout = limits.header_timeout},
      [this](const HttpRequest& request, Responder respond) {
        Handle(request, std::move(respond));
      });
  const Result<std::string> listening = server_->Start();
  if (!listening) return tl::unexpected<Error>(listening.error());
  return {};
}

void CallerService::Stop(std::function<void()> stopped) {
  server_->Stop(kStopGrace,
                [this, stopped = std::move(stopped)](std::size_t cut_off) {
                  log_.Info("caller server stopped", {{"cut_off", cut_off}});
                  stopped();
                });
}

std::string CallerService::Dump() const {
  std::string text = "connections " + std::to_string(server_->connections()) +
                     ", open requests " +
                     std::to_string(server_->open_requests()) + "\n";
  for (const auto& [shard, controller] : admission_) {
    text += "admission by load, shard " + std::to_string(shard.value()) +
            ":\n" + controller.Dump();
  }
  return text;
}

void CallerService::Handle(const HttpRequest& request, Responder respond) {
  const Time now = context_.Now();
  auto exchange = std::make_shared<Exchange>(
      Exchange{.respond = std::move(respond), .received = now});
  if (!topology_->topology()) {
    RefuseTemporarily(*exchange, "no configuration yet");
    return;
  }
  if (!shards_->is_ready()) {
    RefuseTemporarily(*exchange, "the shards are not known yet");
    return;
  }
  auto decoded = context_.ports.callers.decode(request, *topology_->topology());
  if (!decoded) {
    Answer(*exchange, decoded.error());
    return;
  }
  exchange->request = *std::move(decoded);
  const Duration caller_timeout = exchange->request.caller_timeout.count() > 0
                                      ? exchange->request.caller_timeout
                                      : kDefaultCallerTimeout;
  exchange->answer_by = now + caller_timeout - kAnswerMargin;
  exchange->shard = &shards_->HomeShardOf(exchange->request.job);
  switch (exchange->request.kind) {
    case CallerRequest::Kind::kSubmit:
      Submit(exchange);
      break;
    case CallerRequest::Kind::kState:
      QueryState(exchange);
      break;
    case CallerRequest::Kind::kCancel:
      CancelJob(exchange);
      break;
    case CallerRequest::Kind::kQueueLength:
      QueryQueueLength(exchange);
      break;
  }
}

void CallerService::Submit(const std::shared_ptr<Exchange>& exchange) {
  CallerRequest& request = exchange->request;
  const QueueSettings* queue = topology_->topology()->FindQueue(request.queue);
  exchange->record = {.id = request.job,
                      .queue = request.queue,
                      .terms = TermsOf(*queue, request.spec),
                      .accepted_epoch = {},
                      .accepted_at = context_.WallNow(),
                      .spec = std::move(request.spec)};
  exchange->sliced =
      shards_->shards().size() > 1 && IsSliceable(exchange->record.spec);
  if (IsFull(*exchange)) {
    RefuseTemporarily(*exchange, "the accepted jobs need all memory");
    return;
  }
  if (context_.settings.overload.load_admission) {
    StoreUnlessTooLate(exchange);
  } else {
    StoreJob(exchange);
  }
}

std::optional<ObservedLoad> CallerService::LoadOf(const Shard& shard) const {
  const std::optional<LeaderRecord>& leader = shard.elector.lease().record();
  const std::optional<StoreTime> store_now =
      shard.elector.store_clock().LatestReadingAt(context_.Now());
  if (!leader || leader->load.empty() || !store_now) return std::nullopt;
  Result<LoadSummary> summary = DecodeLoad(leader->load);
  if (!summary) return std::nullopt;
  const Duration age = *store_now - summary->made_at;
  return ObservedLoad{*std::move(summary), age};
}

void CallerService::StoreUnlessTooLate(
    const std::shared_ptr<Exchange>& exchange) {
  const Shard& shard = *exchange->shard;
  const AdmissionDecision decision = admission_[shard.scope.id].Decide(
      exchange->request.job, DemandOf(exchange->record), LoadOf(shard),
      context_.Now());
  admissions_.at(static_cast<std::size_t>(decision.reason))->Add();
  if (decision.accepted) return StoreJob(exchange);
  LoadState(exchange,
            [this, exchange, decision](const Result<JobStateReply>& stored) {
              // An earlier attempt may have stored the job, also if the store
              // does not answer. The conditional write then finds it.
              if (!stored || stored->known) return StoreJob(exchange);
              RefuseForLoad(*exchange, decision);
            });
}

void CallerService::RefuseForLoad(Exchange& exchange,
                                  const AdmissionDecision& decision) {
  log_.Info(
      "job refused: it cannot end in time",
      {{"request", exchange.request.job},
       {"queue", exchange.request.queue},
       {"shard", exchange.shard->scope.id},
       {"priority", exchange.record.terms.priority},
       {"objective_ms", exchange.record.terms.objective / milliseconds(1)},
       {"estimated_wait_ms", decision.estimate->wait / milliseconds(1)},
       {"estimated_completion_ms",
        decision.estimate->completion / milliseconds(1)},
       {"waited_ms", decision.waited / milliseconds(1)},
       {"retry_after_ms", decision.retry_after / milliseconds(1)}});
  Answer(exchange, {.kind = CallerAnswer::Kind::kTryLater,
                    .detail = "the job cannot end in time",
                    .retry_after = decision.retry_after});
}

bool CallerService::IsFull(const Exchange& exchange) const {
  const auto is_full = [](const Shard& shard) {
    const std::optional<LeaderRecord>& leader = shard.elector.lease().record();
    return leader && leader->full;
  };
  if (!exchange.sliced) return is_full(*exchange.shard);
  return std::any_of(shards_->shards().begin(), shards_->shards().end(),
                     [&](const auto& shard) { return is_full(*shard); });
}

void CallerService::StoreJob(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->record_text.empty()) {
    const std::optional<LeaderRecord>& leader =
        exchange->shard->elector.lease().record();
    exchange->record.accepted_epoch = exchange->sliced
                                          ? kAcceptedEpochOfSlicedJobs
                                      : leader ? leader->epoch
                                               : Epoch(0);
    exchange->record_text = Encode(exchange->record);
  }
  const Time now = context_.Now();
  const Duration time_left = exchange->answer_by - now;
  const Duration accept_timeout = AcceptTimeout(latest_store_time_);
  if (!context_.settings.overload.acceptance_relay) {
    WriteJob(exchange, std::min(time_left, accept_timeout));
    return;
  }
  const std::vector<RelayTarget> targets = RelayTargets(*exchange);
  const AcceptanceStep step =
      acceptance_path_.NextStep(exchange->attempts, targets, now);
  // A write that is given no time would only have an unknown outcome.
  if (!exchange->attempts.relayed_to.empty() && time_left < kMinRelayTimeout) {
    OnJobNotStored(exchange);
    return;
  }
  switch (step.route) {
    case AcceptanceStep::Route::kOwnStore:
      WriteJob(exchange, OwnWriteTimeout(time_left, accept_timeout,
                                         /*relay_possible=*/
                                         exchange->attempts.relayed_to.size() <
                                             targets.size()));
      break;
    case AcceptanceStep::Route::kRelay:
      RelayJob(exchange, *shards_->FindShard(step.shard));
      break;
    case AcceptanceStep::Route::kNone:
      OnJobNotStored(exchange);
      break;
  }
}

void CallerService::WriteJob(const std::shared_ptr<Exchange>& exchange,
                             Duration timeout) {
  context_.ports.store.transact(
      exchange->sliced
          ? AcceptSlicedTransaction(exchange->request.job,
                                    exchange->record_text)
          : AcceptTransaction(exchange->shard->scope, exchange->request.job,
                              exchange->record_text),
      timeout,
      [this, exchange, sent = context_.Now()](const TransactionReply& reply) {
        latest_store_time_ = context_.Now() - sent;
        RecordOwnWrite(reply.outcome);
        OnJobStored(exchange, reply);
      });
}

void CallerService::RecordOwnWrite(StoreOutcome outcome) {
  if (!context_.settings.overload.acceptance_relay) return;
  const bool was_failing = acceptance_path_.is_own_store_failing();
  acceptance_path_.OnOwnWrite(outcome, context_.Now());
  if (acceptance_path_.is_own_store_failing() == was_failing) return;
  if (was_failing) {
    log_.Info("the store takes jobs of this host again", {});
  } else {
    log_.Warning("the store does not take jobs of this host",
                 {{"outcome", StoreOutcomeName(outcome)}});
  }
}

std::vector<RelayTarget> CallerService::RelayTargets(
    const Exchange& exchange) const {
  std::vector<RelayTarget> targets;
  for (const auto& shard : shards_->shards()) {
    const std::optional<LeaderRecord>& leader = shard->elector.lease().record();
    if (!leader || leader->released || shard->dispatch.is_scheduling() ||
        leader->holder == context_.settings.host.id) {
      continue;
    }
    const bool is_home = shard.get() == exchange.shard;
    targets.insert(is_home ? targets.begin() : targets.end(),
                   {shard->scope.id, leader->endpoint});
  }
  return targets;
}

void CallerService::RelayJob(const std::shared_ptr<Exchange>& exchange,
                             Shard& shard) {
  const Duration timeout = std::min<Duration>(
      exchange->answer_by - context_.Now(), kMaxRelayTimeout);
  peers_->StoreJob(shard, exchange->record_text, exchange->sliced, timeout,
                   [this, exchange, &shard,
                    endpoint = shard.elector.lease().record()->endpoint](
                       const TransactionReply& reply) {
                     acceptance_path_.OnRelayedWrite(endpoint, reply.outcome,
                                                     context_.Now());
                     const bool stored = IsStored(exchange->record_text, reply);
                     if (stored) {
                       jobs_stored_through_peer_.Add();
                     } else if (reply.outcome != StoreOutcome::kConflict) {
                       relayed_jobs_failed_.Add();
                     }
                     log_.Info(stored ? "job stored through another host"
                                      : "job not stored through another host",
                               {{"request", exchange->request.job},
                                {"shard", shard.scope.id},
                                {"host", endpoint},
                                {"outcome", StoreOutcomeName(reply.outcome)}});
                     exchange->home_leader_knows =
                         stored && &shard == exchange->shard;
                     OnJobStored(exchange, reply);
                   });
}

void CallerService::OnJobStored(const std::shared_ptr<Exchange>& exchange,
                                const TransactionReply& reply) {
  switch (reply.outcome) {
    case StoreOutcome::kDone:
      return OnAccepted(*exchange);
    case StoreOutcome::kConflict:
      return OnJobConflict(*exchange, reply.current);
    case StoreOutcome::kUnknown:
    case StoreOutcome::kHistoryGone:
      exchange->maybe_stored = true;
      break;
    case StoreOutcome::kRejected:
      if (exchange->maybe_stored) break;
      Answer(*exchange, {.kind = CallerAnswer::Kind::kBadRequest,
                         .detail = "the store rejects the job"});
      return;
    case StoreOutcome::kNotApplied:
      break;
  }
  if (context_.settings.overload.acceptance_relay) {
    StoreJob(exchange);
  } else {
    OnJobNotStored(exchange);
  }
}

void CallerService::OnJobNotStored(const std::shared_ptr<Exchange>& exchange) {
  if (HasTimeToRetry(*exchange) && exchange->maybe_stored) {
    RetryLater(exchange, [this, exchange] {
      exchange->attempts = {};
      StoreJob(exchange);
    });
  } else if (exchange->maybe_stored) {
    Answer(*exchange, {.kind = CallerAnswer::Kind::kOutcomeUnknown});
  } else {
    RefuseTemporarily(*exchange, "the store does not take the job");
  }
}

void CallerService::OnJobConflict(Exchange& exchange,
                                  const std::vector<StoredRow>& current) {
  for (const StoredRow& row : current) {
    if (DecodeNeverAccepted(row.value)) {
      Answer(exchange, {.kind = CallerAnswer::Kind::kUnknownJob,
                        .detail = "the job was cancelled"});
      return;
    }
    // An earlier attempt of this request has stored the job and could not
    // report it. The record of another request is not known here.
    if (row.value == exchange.record_text) return OnAccepted(exchange);
  }
  Answer(exchange, {.kind = CallerAnswer::Kind::kAccepted});
}

void CallerService::OnAccepted(Exchange& exchange) {
  Answer(exchange, {.kind = CallerAnswer::Kind::kAccepted});
  // The leaders wait for changes of the table of sliced jobs.
  if (exchange.sliced || exchange.home_leader_knows) return;
  peers_->ReportAccepted(*exchange.shard, exchange.record,
                         exchange.record_text);
}

void CallerService::QueryState(const std::shared_ptr<Exchange>& exchange) {
  QueryStateAt(*exchange->shard, 0, exchange);
}

Shard* CallerService::NextShard(const Result<JobStateReply>& reply,
                                std::size_t hops) const {
  if (!reply || !reply->moved_to || hops >= shards_->shards().size())
    return nullptr;
  return shards_->FindShard(*reply->moved_to);
}

void CallerService::QueryStateAt(Shard& shard, std::size_t hops,
                                 const std::shared_ptr<Exchange>& exchange) {
  peers_->QueryState(
      shard, exchange->request.job, kPeerTimeout,
      [this, hops, exchange](const Result<JobStateReply>& reply) {
        if (Shard* next = NextShard(reply, hops)) {
          QueryStateAt(*next, hops + 1, exchange);
        } else if (reply && reply->known) {
          Answer(*exchange,
                 {.kind = CallerAnswer::Kind::kState, .state = reply->state});
        } else {
          // The job may be stored and not yet reported to the
          // scheduler.
          ReadState(exchange);
        }
      });
}

void CallerService::ReadState(const std::shared_ptr<Exchange>& exchange) {
  LoadState(exchange, [this, exchange](const Result<JobStateReply>& reply) {
    if (reply && !reply->known) {
      Answer(*exchange, {.kind = CallerAnswer::Kind::kUnknownJob});
    } else if (reply) {
      Answer(*exchange,
             {.kind = CallerAnswer::Kind::kState, .state = reply->state});
    } else if (HasTimeToRetry(*exchange)) {
      RetryLater(exchange, [this, exchange] { QueryState(exchange); });
    } else {
      RefuseTemporarily(*exchange, "neither scheduler nor store answers");
    }
  });
}

void CallerService::LoadState(const std::shared_ptr<Exchange>& exchange,
                              UniqueFunction<Result<JobStateReply>> done) {
  LoadJobState(
      context_, exchange->shard->scope, exchange->request.job, kReadTimeout,
      [this, exchange,
       done = std::move(done)](Result<JobStateReply> stored) mutable {
        if (!stored || stored->known || shards_->shards().size() == 1) {
          done(std::move(stored));
          return;
        }
        LoadSlicedJobState(context_, exchange->request.job, kReadTimeout,
                           std::move(done));
      });
}

void CallerService::CancelJob(const std::shared_ptr<Exchange>& exchange) {
  CancelJobAt(*exchange->shard, 0, exchange);
}

void CallerService::CancelJobAt(Shard& shard, std::size_t hops,
                                const std::shared_ptr<Exchange>& exchange) {
  peers_->Cancel(shard, exchange->request.job, kPeerTimeout,
                 [this, hops, exchange](const Result<JobStateReply>& reply) {
                   if (Shard* next = NextShard(reply, hops)) {
                     CancelJobAt(*next, hops + 1, exchange);
                   } else {
                     OnCancelReply(exchange, reply);
                   }
                 });
}

void CallerService::OnCancelReply(const std::shared_ptr<Exchange>& exchange,
                                  const Result<JobStateReply>& reply) {
  const auto retry = [this, exchange] { CancelJob(exchange); };
  if (!reply) {
    if (HasTimeToRetry(*exchange)) {
      RetryLater(exchange, retry);
    } else {
      RefuseTemporarily(*exchange, "the scheduler does not answer");
    }
    return;
  }
  if (reply->known && !reply->moved_to) {
    Answer(*exchange, {.kind = CallerAnswer::Kind::kCancelled});
    return;
  }
  LoadState(
      exchange, [this, exchange, retry](const Result<JobStateReply>& stored) {
        if (stored && !stored->known) {
          RejectLateAcceptance(exchange);
        } else if (stored && IsFinal(stored->state)) {
          Answer(*exchange, {.kind = CallerAnswer::Kind::kCancelled});
        } else if (HasTimeToRetry(*exchange)) {
          RetryLater(exchange, retry);
        } else {
          RefuseTemporarily(*exchange, "the scheduler does not know the job");
        }
      });
}

// A write that was not answered may still store the job. The caller is told
// that there is no such job only once no write can store it.
void CallerService::RejectLateAcceptance(
    const std::shared_ptr<Exchange>& exchange) {
  const JobProgress marker{.id = exchange->request.job,
                           .queue = exchange->request.queue,
                           .state = JobState::kCancelled,
                           .ended_at = context_.WallNow(),
                           .steps = {},
                           .never_accepted = true};
  auto answer = [this, exchange] {
    Answer(*exchange, {.kind = CallerAnswer::Kind::kUnknownJob});
  };
  StoreMarker(
      exchange,
      scheduler_internal::RejectLateAcceptance(exchange->shard->scope, marker),
      [this, exchange, marker, answer] {
        if (shards_->shards().size() == 1) return answer();
        StoreMarker(exchange, RejectLateSlicedAcceptance(marker), answer);
      });
}

void CallerService::StoreMarker(const std::shared_ptr<Exchange>& exchange,
                                RowTransaction marker,
                                std::function<void()> stored) {
  context_.ports.store.transact(
      std::move(marker), kReadTimeout,
      [this, exchange,
       stored = std::move(stored)](const TransactionReply& reply) {
        // An earlier attempt, or another request, may have stored a marker.
        const bool has_marker =
            reply.outcome == StoreOutcome::kDone ||
            (reply.outcome == StoreOutcome::kConflict &&
             std::any_of(reply.current.begin(), reply.current.end(),
                         [](const StoredRow& row) {
                           return DecodeNeverAccepted(row.value).has_value();
                         }));
        if (has_marker) {
          stored();
        } else if (HasTimeToRetry(*exchange)) {
          // The job may have been stored in the meantime.
          RetryLater(exchange, [this, exchange] { CancelJob(exchange); });
        } else {
          RefuseTemporarily(*exchange, "the cancellation may not be stored");
        }
      });
}

void CallerService::QueryQueueLength(
    const std::shared_ptr<Exchange>& exchange) {
  peers_->QueryQueueLength(
      exchange->request.queue, kPeerTimeout,
      [this, exchange](const Result<QueueLengthReply>& reply) {
        if (reply) {
          Answer(*exchange, {.kind = CallerAnswer::Kind::kQueueLength,
                             .waiting = reply->waiting});
        } else if (HasTimeToRetry(*exchange)) {
          RetryLater(exchange,
                     [this, exchange] { QueryQueueLength(exchange); });
        } else {
          RefuseTemporarily(*exchange, "the scheduler does not answer");
        }
      });
}

void CallerService::RetryLater(const std::shared_ptr<Exchange>& exchange,
                               std::function<void()> retry) {
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = std::make_unique<Timer>(context_.runtime,
                                   [timer, exchange, retry = std::move(retry)] {
                                     // Keeps the timer, which owns this
                                     // callback, alive until the call ends.
                                     const auto owned_timer = std::move(*timer);
                                     retry();
                                   });
  (*timer)->ScheduleNoLaterThan(context_.Now() + kRetryDelay);
}

bool CallerService::HasTimeToRetry(const Exchange& exchange) const {
  return context_.Now() + kRetryDelay + kRetryDelay < exchange.answer_by;
}

void CallerService::RefuseTemporarily(Exchange& exchange, std::string detail) {
  const Time now = context_.Now();
  if (now > last_refusal_ + kOutageGap) outage_since_ = now;
  last_refusal_ = now;
  Answer(exchange, {.kind = CallerAnswer::Kind::kTryLater,
                    .detail = std::move(detail),
                    .retry_after = std::clamp<Duration>(now - outage_since_,
                                                        kMinOutageRetryAfter,
                                                        kMaxOutageRetryAfter)});
}

void CallerService::Answer(Exchange& exchange, const CallerAnswer& answer) {
  const Duration latency = context_.Now() - exchange.received;
  answer_latency_.Record(latency);
  const bool is_query = answer.kind == CallerAnswer::Kind::kState ||
                        answer.kind == CallerAnswer::Kind::kQueueLength;
  if (!is_query) {
    log_.Info(
        "request answered",
        {{"request", exchange.request.job},
         {"queue", exchange.request.queue},
         {"answer", AnswerName(answer.kind)},
         {"after_ms", latency.count() / 1000},
         {"configuration",
          topology_->topology() ? topology_->topology()->version.value() : 0},
         {"why", answer.detail}});
  }
  exchange.respond(context_.ports.callers.encode(answer));
}

}  // namespace gypsumfall::scheduler_internal
