#include "gypsumfall/scheduler/internal/caller_service.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

// Patience of callers that do not say how long they wait.
constexpr Duration kDefaultPatience = seconds(3);
// Kept back from a caller's patience for the way of the answer.
constexpr Duration kAnswerReserve = milliseconds(150);
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kPeerTimeout = milliseconds(600);
constexpr Duration kReadTimeout = milliseconds(500);
constexpr Duration kRetryDelay = milliseconds(60);
// Bounds of the time after which a refused caller may come back. In between it
// is the age of the outage: one that has lasted longer goes on for longer, and
// the few tries that a caller has reach further.
constexpr Duration kLeastRetryAfter = seconds(1);
constexpr Duration kMostRetryAfter = seconds(4);
// Refusals further apart than this belong to two outages.
constexpr Duration kOutageGap = seconds(2);
constexpr Duration kStopGrace = seconds(3);
// Shards of moved jobs that a host keeps in mind; the store knows the others.
constexpr std::size_t kMostPlacements = 10'000;

// @return the processors that the job reserves until it is cancelled.
MilliCores ReservedForLong(const JobSpec& spec) {
  std::int64_t reserved = 0;
  for (const StepSpec& step : spec.steps) {
    if (step.long_running) reserved += step.task_count * step.need.cpu.value();
  }
  return MilliCores(reserved);
}

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
  /// Where the job is, or is to be.
  Shard* shard = nullptr;
  /// The stored text of the job, for `kSubmit`.
  JobRecord record;
  std::string record_text;
  /// An attempt to store the job has no known outcome.
  bool maybe_stored = false;
};

CallerService::CallerService(Context& context)
    : context_(context),
      answer_time_(context.metrics.AddLatency("caller_answer_seconds")) {}

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
                  log_.Info("callers are served", {{"cut_off", cut_off}});
                  stopped();
                });
}

std::string CallerService::Dump() const {
  return "connections " + std::to_string(server_->connections()) +
         ", open requests " + std::to_string(server_->open_requests()) + "\n";
}

void CallerService::Handle(const HttpRequest& request, Responder respond) {
  const Time now = context_.Now();
  auto exchange = std::make_shared<Exchange>(
      Exchange{.respond = std::move(respond), .received = now});
  if (!topology_->topology()) {
    TryLater(*exchange, "no configuration yet");
    return;
  }
  if (!shards_->is_ready()) {
    TryLater(*exchange, "the shards are not known yet");
    return;
  }
  auto decoded = context_.ports.callers.decode(request, *topology_->topology());
  if (!decoded) {
    Answer(*exchange, decoded.error());
    return;
  }
  exchange->request = *std::move(decoded);
  const Duration patience = exchange->request.patience.count() > 0
                                ? exchange->request.patience
                                : kDefaultPatience;
  exchange->answer_by = now + patience - kAnswerReserve;
  exchange->shard = &Locate(exchange->request.job);
  switch (exchange->request.kind) {
    case CallerRequest::Kind::kSubmit:
      Submit(exchange);
      break;
    case CallerRequest::Kind::kState:
      AskState(exchange);
      break;
    case CallerRequest::Kind::kCancel:
      CancelJob(exchange);
      break;
    case CallerRequest::Kind::kQueueLength:
      AskQueueLength(exchange);
      break;
  }
}

Shard& CallerService::Locate(const JobId& job) const {
  const auto placed = placements_.find(job);
  Shard* shard =
      placed == placements_.end() ? nullptr : shards_->At(placed->second);
  return shard == nullptr ? shards_->Of(job) : *shard;
}

void CallerService::MoveTo(Exchange& exchange, ShardId shard) {
  if (placements_.size() >= kMostPlacements) placements_.clear();
  placements_.insert_or_assign(exchange.request.job, shard);
  exchange.shard = &Locate(exchange.request.job);
}

void CallerService::Submit(const std::shared_ptr<Exchange>& exchange) {
  CallerRequest& request = exchange->request;
  const QueueSettings* queue = topology_->topology()->FindQueue(request.queue);
  exchange->record = {.id = request.job,
                      .queue = request.queue,
                      .terms = TermsOf(*queue, request.spec),
                      .accepted_in = {},
                      .accepted_at = context_.WallNow(),
                      .spec = std::move(request.spec)};
  const MilliCores reserved = ReservedForLong(exchange->record.spec);
  const ShardId at = exchange->shard->scope.id;
  if (reserved.value() == 0 || !IsHome(*exchange)) return StoreJob(exchange);
  const ShardId chosen = ChooseShard(at, peers_->loads(), context_.Now());
  peers_->NoteSent(chosen, reserved);
  if (chosen == at) {
    StoreJob(exchange);
  } else {
    PlaceJob(exchange, chosen);
  }
}

bool CallerService::IsHome(const Exchange& exchange) const {
  return exchange.shard == &shards_->Of(exchange.request.job);
}

void CallerService::PlaceJob(const std::shared_ptr<Exchange>& exchange,
                             ShardId shard) {
  const Duration left = exchange->answer_by - context_.Now();
  context_.ports.store.transact(
      PlaceTransaction(exchange->shard->scope, exchange->request.job, shard),
      std::min(left, kStoreTimeout),
      [this, exchange, shard](const TransactionReply& reply) {
        switch (reply.outcome) {
          case StoreOutcome::kDone:
            log_.Info("job goes to an emptier shard",
                      {{"request", exchange->request.job}, {"shard", shard}});
            MoveTo(*exchange, shard);
            return StoreJob(exchange);
          case StoreOutcome::kConflict:
            return OnKnown(exchange, reply.current);
          case StoreOutcome::kUnknown:
          case StoreOutcome::kHistoryGone:
            if (HasTime(*exchange)) {
              return RetryLater(exchange, [this, exchange, shard] {
                PlaceJob(exchange, shard);
              });
            }
            break;
          case StoreOutcome::kNotDone:
            break;
        }
        // The job itself has not been sent to the store.
        TryLater(*exchange, "the store does not take the job's shard");
      });
}

// The job, or the shard that it is in, was stored before.
void CallerService::OnKnown(const std::shared_ptr<Exchange>& exchange,
                            const std::vector<StoredRow>& rows) {
  for (const StoredRow& row : rows) {
    if (row.address.table != kPlacementTable) continue;
    const Result<JobPlacement> placed = DecodePlacement(row.value);
    if (placed && IsHome(*exchange)) {
      MoveTo(*exchange, placed->shard);
      return StoreJob(exchange);
    }
    log_.Error("a stored placement makes no sense",
               {{"request", exchange->request.job}, {"value", row.value}});
  }
  Answer(*exchange, {.kind = CallerAnswer::Kind::kAccepted});
  if (exchange->maybe_stored) {
    peers_->ReportAccepted(*exchange->shard, exchange->record,
                           exchange->record_text);
  }
}

void CallerService::StoreJob(const std::shared_ptr<Exchange>& exchange) {
  const Duration left = exchange->answer_by - context_.Now();
  if (!exchange->maybe_stored) {
    const std::optional<DutyRecord>& duty =
        exchange->shard->duty.lease().record();
    exchange->record.accepted_in = duty ? duty->epoch : Epoch(0);
    exchange->record_text = Encode(exchange->record);
  }
  context_.ports.store.transact(
      AcceptTransaction(exchange->shard->scope, exchange->request.job,
                        exchange->record_text, IsHome(*exchange)),
      std::min(left, kStoreTimeout),
      [this, exchange](const TransactionReply& reply) {
        OnJobStored(exchange, reply);
      });
}

void CallerService::OnJobStored(const std::shared_ptr<Exchange>& exchange,
                                const TransactionReply& reply) {
  switch (reply.outcome) {
    case StoreOutcome::kDone:
      Answer(*exchange, {.kind = CallerAnswer::Kind::kAccepted});
      peers_->ReportAccepted(*exchange->shard, exchange->record,
                             exchange->record_text);
      return;
    case StoreOutcome::kConflict:
      return OnKnown(exchange, reply.current);
    case StoreOutcome::kUnknown:
    case StoreOutcome::kHistoryGone:
      exchange->maybe_stored = true;
      break;
    case StoreOutcome::kNotDone:
      break;
  }
  if (HasTime(*exchange) && exchange->maybe_stored) {
    RetryLater(exchange, [this, exchange] { StoreJob(exchange); });
  } else if (exchange->maybe_stored) {
    Answer(*exchange, {.kind = CallerAnswer::Kind::kOutcomeUnknown});
  } else {
    TryLater(*exchange, "the store does not take the job");
  }
}

void CallerService::AskState(const std::shared_ptr<Exchange>& exchange) {
  peers_->AskState(*exchange->shard, exchange->request.job, kPeerTimeout,
                   [this, exchange](const Result<JobStateReply>& reply) {
                     if (reply && reply->known) {
                       Answer(*exchange, {.kind = CallerAnswer::Kind::kState,
                                          .state = reply->state});
                       return;
                     }
                     // The scheduler may not have heard of a job that is
                     // stored.
                     ReadState(exchange);
                   });
}

void CallerService::ReadState(const std::shared_ptr<Exchange>& exchange) {
  LoadJobState(
      context_, exchange->shard->scope, exchange->request.job, kReadTimeout,
      [this, exchange](const Result<JobStateReply>& reply) {
        if (reply && !reply->known) {
          OnUnknown(exchange, [this, exchange] { AskState(exchange); });
        } else if (reply) {
          Answer(*exchange,
                 {.kind = CallerAnswer::Kind::kState, .state = reply->state});
        } else if (HasTime(*exchange)) {
          RetryLater(exchange, [this, exchange] { AskState(exchange); });
        } else {
          TryLater(*exchange, "neither scheduler nor store answers");
        }
      });
}

// The job is not in this shard; it may be noted that it is in another one.
void CallerService::OnUnknown(const std::shared_ptr<Exchange>& exchange,
                              std::function<void()> ask_again) {
  if (shards_->shards().size() == 1 || !IsHome(*exchange)) {
    Answer(*exchange, {.kind = CallerAnswer::Kind::kUnknownJob});
    return;
  }
  LoadPlacement(
      context_, exchange->shard->scope, exchange->request.job, kReadTimeout,
      [this, exchange, ask_again = std::move(ask_again)](
          const Result<std::optional<ShardId>>& placed) mutable {
        if (placed && *placed) {
          MoveTo(*exchange, **placed);
          ask_again();
        } else if (placed) {
          Answer(*exchange, {.kind = CallerAnswer::Kind::kUnknownJob});
        } else if (HasTime(*exchange)) {
          RetryLater(exchange, std::move(ask_again));
        } else {
          TryLater(*exchange, "the store does not tell the job's shard");
        }
      });
}

void CallerService::CancelJob(const std::shared_ptr<Exchange>& exchange) {
  peers_->Cancel(*exchange->shard, exchange->request.job, kPeerTimeout,
                 [this, exchange](const Result<JobStateReply>& reply) {
                   OnCancelReply(exchange, reply);
                 });
}

void CallerService::OnCancelReply(const std::shared_ptr<Exchange>& exchange,
                                  const Result<JobStateReply>& reply) {
  const auto retry = [this, exchange] { CancelJob(exchange); };
  if (!reply) {
    if (HasTime(*exchange)) {
      RetryLater(exchange, retry);
    } else {
      TryLater(*exchange, "the scheduler does not answer");
    }
    return;
  }
  if (reply->known) {
    Answer(*exchange, {.kind = CallerAnswer::Kind::kCancelled});
    return;
  }
  LoadJobState(context_, exchange->shard->scope, exchange->request.job,
               kReadTimeout,
               [this, exchange, retry](const Result<JobStateReply>& stored) {
                 if (stored && !stored->known) {
                   OnUnknown(exchange, retry);
                 } else if (HasTime(*exchange)) {
                   RetryLater(exchange, retry);
                 } else {
                   TryLater(*exchange, "the scheduler does not know the job");
                 }
               });
}

void CallerService::AskQueueLength(const std::shared_ptr<Exchange>& exchange) {
  peers_->AskQueueLength(
      exchange->request.queue, kPeerTimeout,
      [this, exchange](const Result<QueueLengthReply>& reply) {
        if (reply) {
          Answer(*exchange, {.kind = CallerAnswer::Kind::kQueueLength,
                             .waiting = reply->waiting});
        } else if (HasTime(*exchange)) {
          RetryLater(exchange, [this, exchange] { AskQueueLength(exchange); });
        } else {
          TryLater(*exchange, "the scheduler does not answer");
        }
      });
}

void CallerService::RetryLater(const std::shared_ptr<Exchange>& exchange,
                               std::function<void()> retry) {
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = std::make_unique<Timer>(context_.runtime,
                                   [timer, exchange, retry = std::move(retry)] {
                                     // Released at the end of this call, which
                                     // owns the timer's callback.
                                     const auto keep = std::move(*timer);
                                     retry();
                                   });
  (*timer)->NotAfter(context_.Now() + kRetryDelay);
}

bool CallerService::HasTime(const Exchange& exchange) const {
  return context_.Now() + kRetryDelay + kRetryDelay < exchange.answer_by;
}

void CallerService::TryLater(Exchange& exchange, std::string detail) {
  const Time now = context_.Now();
  if (now > last_refusal_ + kOutageGap) outage_since_ = now;
  last_refusal_ = now;
  Answer(exchange,
         {.kind = CallerAnswer::Kind::kTryLater,
          .detail = std::move(detail),
          .retry_after = std::clamp<Duration>(
              now - outage_since_, kLeastRetryAfter, kMostRetryAfter)});
}

void CallerService::Answer(Exchange& exchange, const CallerAnswer& answer) {
  const Duration taken = context_.Now() - exchange.received;
  answer_time_.Record(taken);
  const bool is_state = answer.kind == CallerAnswer::Kind::kState ||
                        answer.kind == CallerAnswer::Kind::kQueueLength;
  if (!is_state) {
    log_.Info(
        "request answered",
        {{"request", exchange.request.job},
         {"queue", exchange.request.queue},
         {"answer", AnswerName(answer.kind)},
         {"after_ms", taken.count() / 1000},
         {"configuration",
          topology_->topology() ? topology_->topology()->version.value() : 0},
         {"why", answer.detail}});
  }
  exchange.respond(context_.ports.callers.encode(answer));
}

}  // namespace gypsumfall::scheduler_internal
