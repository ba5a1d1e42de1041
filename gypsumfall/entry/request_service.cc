#include "gypsumfall/entry/internal/request_service.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/contract_service.h"
#include "gypsumfall/entry/internal/ownership_service.h"

namespace gypsumfall {
namespace {

// Time after the request's deadline for which its call stays open: an answer
// that arrives then still resolves the unknown outcome without a look-up.
constexpr Duration kLateAnswerGrace = seconds(1);
constexpr Duration kResolveTimeout = seconds(1);

AdmissionSettings AdmissionSettingsFrom(const EntrySettings& settings,
                                        Incarnation incarnation) {
  AdmissionSettings result{.self = settings.host.id,
                           .incarnation = incarnation};
  result.hosts.push_back(settings.host.id);
  for (const PeerSettings& peer : settings.peers) {
    result.hosts.push_back(peer.id);
  }
  return result;
}

RequestSettings RequestTableSettings() {
  RequestSettings settings;
  // Keeps the process below 64 MB with the full number of remembered answers.
  settings.max_cached_answers = 20'000;
  settings.max_cached_result_bytes = std::size_t{6} << 20U;
  return settings;
}

CallerAnswer Refusal(ErrorKind kind, std::string detail) {
  return {.was_run = ErrorTableEntryFor(kind).was_run,
          .error = kind,
          .detail = std::move(detail)};
}

// Distinguishes successive processes of this host without the table service,
// which may be unreachable at startup.
Incarnation ProcessIncarnation(Time now) {
  return Incarnation(
      static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

}  // namespace

RequestService::RequestService(const EntryContext& context)
    : context_(context),
      log_("requests"),
      admission_(AdmissionSettingsFrom(context.settings,
                                       ProcessIncarnation(context.Now())),
                 context.Now()),
      table_(std::make_unique<RequestTable>(RequestTableSettings(),
                                            StableHash(context.self().str()))),
      exchange_ids_(std::make_unique<ExchangeIdSource>(
          context.self(), ProcessIncarnation(context.Now()))),
      timer_(context.runtime,
             [this] {
               Perform(table_->Tick(context_.Now()));
               ScheduleTick();
             }),
      forwarded_(context.metrics.AddCounter("requests_forwarded_total")),
      latency_(context.metrics.AddLatency("request_latency_seconds")) {
  for (const WasRun was_run : {WasRun::kNo, WasRun::kYes, WasRun::kUnknown}) {
    answers_by_was_run_.push_back(&context.metrics.AddCounter(
        "requests_answered_total",
        {{"was_run", std::string(WasRunName(was_run))}}));
  }
}

Result<void> RequestService::Start() {
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  workers->on_reply = [this](const WorkerId& worker,
                             const RequestReply& reply) {
    Perform(table_->OnReply(reply, worker, context_.Now()));
    Perform(table_->OnCapacityFreed(context_.Now()));
    ScheduleTick();
  };
  workers->on_send_failed = [this](const ExchangeId& exchange,
                                   bool certainly_not_sent) {
    Perform(table_->OnSendFailed(exchange, certainly_not_sent, context_.Now()));
    ScheduleTick();
  };
  workers->on_cancel_reply = [this](const WorkerId& worker,
                                    const RequestReply& reply) {
    Perform(table_->OnCancelReply(reply, worker, context_.Now()));
    ScheduleTick();
  };
  workers->on_worker_lost = [this](const WorkerId& worker) {
    Perform(table_->OnWorkerLost(worker, context_.Now()));
    ScheduleTick();
  };
  workers->on_capacity_freed = [this] {
    if (table_->waiting() > 0) Perform(table_->OnCapacityFreed(context_.Now()));
    FinishStopIfDone();
  };
  return {};
}

void RequestService::SetLimits(const Contract& contract) {
  admission_.SetLimits(
      contract.customer, contract.version,
      {.rate = static_cast<double>(contract.ceiling.requests_per_second),
       .burst = contract.ceiling.burst,
       .concurrent = contract.ceiling.concurrent_requests},
      context_.Now());
}

bool RequestService::Admit(const IncomingRequest& request,
                           const AnswerCallback& done) {
  const AdmissionDecision decision =
      admission_.Admit(request.customer, request.deadline, context_.Now());
  if (decision == AdmissionDecision::kAdmitted) return true;
  const ErrorKind kind = decision == AdmissionDecision::kUnknownCustomer
                             ? ErrorKind::kUnauthenticated
                             : ErrorKind::kOverLimit;
  done(Refusal(kind, std::string(AdmissionDecisionName(decision))));
  return false;
}

void RequestService::Run(IncomingRequest request, AnswerCallback done) {
  const Time now = context_.Now();
  if (stopped_) {
    done(Refusal(ErrorKind::kStopping, "send it to another entry host"));
    return;
  }
  const bool admitted = !request.from_peer;
  if (admitted && !Admit(request, done)) return;
  const std::uint64_t content =
      StableHash(request.rule.kind.str() + "\n" + request.payload);
  BeginOutcome begun = table_->Begin(request.customer, request.id,
                                     {.kind = request.rule.kind,
                                      .idempotent = request.rule.idempotent,
                                      .resources = request.rule.resources,
                                      .deadline = request.deadline,
                                      .may_forward = !request.from_peer},
                                     content, now);
  if (auto* started = std::get_if<Admitted>(&begun)) {
    OpenRequest& open = open_requests_[started->key];
    open = {std::move(request), {std::move(done)}, admitted, now};
    Perform(std::move(started->actions));
    ScheduleTick();
    return;
  }
  if (admitted) admission_.Finish(request.customer, now);
  if (auto* duplicate = std::get_if<Duplicate>(&begun)) {
    const auto open = open_requests_.find(duplicate->key);
    if (duplicate->answer) {
      done(*duplicate->answer);
    } else if (open != open_requests_.end()) {
      open->second.callbacks.push_back(std::move(done));
    } else {
      done(Refusal(ErrorKind::kOutcomeUnknown, "being resolved"));
    }
  } else if (std::holds_alternative<Conflict>(begun)) {
    done(Refusal(ErrorKind::kConflict,
                 "this id was used with other kind or payload"));
  } else if (auto* refused = std::get_if<RequestRefused>(&begun)) {
    done(refused->answer);
  } else {
    done(Refusal(ErrorKind::kQueueFull, "this entry host is full"));
  }
}

void RequestService::Perform(RequestActions actions) {
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  for (RequestAction& action : actions) {
    if (auto* place = std::get_if<RequestCapacity>(&action)) {
      PlaceRequest(*place);
    } else if (auto* send = std::get_if<gypsumfall::SendToWorker>(&action)) {
      SendToWorker(*send);
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
      AnswerCallers(*answer);
    } else if (auto* cancel = std::get_if<CancelExchange>(&action)) {
      workers->SendCancel(cancel->worker, cancel->exchange);
    } else if (auto* ask = std::get_if<ResolveForward>(&action)) {
      ResolveForwarded(*ask);
    } else if (auto* release = std::get_if<ReleaseCapacity>(&action)) {
      // Frees only capacity whose request was not sent; otherwise the worker's
      // answer frees it.
      if (unsent_.erase(release->exchange) > 0) {
        workers->fleet().AbandonRequest(release->worker, release->exchange);
      }
    }
  }
}

void RequestService::PlaceRequest(const RequestCapacity& place) {
  const auto open = open_requests_.find(place.key);
  if (open == open_requests_.end()) return;
  const IncomingRequest& request = open->second.request;
  const Time now = context_.Now();
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  const ExchangeId exchange = exchange_ids_->Next();
  const WorkSpec work{.customer = request.customer,
                      .kind = request.rule.kind,
                      .resources = place.resources,
                      .idempotent = request.rule.idempotent};
  const auto placed = workers->fleet().PlaceRequest(
      exchange, work, {.workers = place.excluded_workers}, now);
  if (placed) {
    unsent_[exchange] = *placed;
    Perform(table_->OnPlaced(place.key, placed->worker, exchange, now));
  } else if (place.may_forward) {
    Forward(place, request);
  } else {
    table_->OnNotPlaced(place.key, now);
  }
}

void RequestService::SendToWorker(const gypsumfall::SendToWorker& send) {
  const auto open = open_requests_.find(send.key);
  const auto placed = unsent_.find(send.exchange);
  if (open == open_requests_.end() || placed == unsent_.end()) return;
  const IncomingRequest& request = open->second.request;
  const Placement placement = std::move(placed->second);
  unsent_.erase(placed);
  context_.kernel.Find<WorkerService>(kWorkerService)
      ->SendRequest(placement,
                    {placement.header, send.exchange, request.rule.kind,
                     request.rule.resources, request.payload},
                    request.deadline - context_.Now() + kLateAnswerGrace);
}

void RequestService::Forward(const RequestCapacity& place,
                             const IncomingRequest& request) {
  const Time now = context_.Now();
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  for (const EntryHostId& peer : members->membership().ForwardTargets()) {
    const HostView* view = members->membership().Host(peer);
    if (view == nullptr || view->summary.spare_slots <= 0) continue;
    const ExchangeId exchange = exchange_ids_->Next();
    if (!table_->OnForwarded(place.key, peer, exchange, now)) return;
    forwarded_.Add();
    const auto time_left = std::chrono::duration_cast<milliseconds>(
        std::max(request.deadline - now, Duration(0)));
    CallPeer(peer,
             {context_.self(), exchange, request.customer, request.id,
              request.rule.kind, request.payload, time_left.count()},
             time_left + kLateAnswerGrace);
    return;
  }
  table_->OnNotPlaced(place.key, now);
}

void RequestService::ResolveForwarded(const ResolveForward& ask) {
  CallPeer(ask.peer,
           {.from = context_.self(),
            .exchange = ask.exchange,
            .customer = ask.customer,
            .id = ask.id,
            .resolve_only = true},
           kResolveTimeout);
}

void RequestService::CallPeer(const EntryHostId& peer,
                              const ForwardedRequest& call, Duration timeout) {
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  HttpCall http{.path = "/peer/v1/request",
                .bearer = context_.settings.keys.peer_key.Reveal(),
                .body = Encode(call)};
  context_.clients.Call(
      members->AddressOf(peer), std::move(http), timeout,
      [this, peer, members, exchange = call.exchange,
       resolve_only = call.resolve_only](const CallOutcome& outcome) {
        members->OnCallOutcome(peer, outcome);
        ForwardOutcome result;
        const bool answered = !outcome.failure && outcome.status == 200;
        auto answer = answered ? Decode<ForwardedRequestReply>(outcome.body)
                               : Result<ForwardedRequestReply>(
                                     Fail(ErrorKind::kInternal, "no answer"));
        if (outcome.certainly_not_sent) {
          result.kind = ForwardOutcome::Kind::kNotSent;
        } else if (answer) {
          result.kind = resolve_only ? ForwardOutcome::Kind::kResolved
                                     : ForwardOutcome::Kind::kAnswered;
          result.answer = {.was_run = WasRunFromName(answer->was_run),
                           .detail = std::move(answer->detail),
                           .result = std::move(answer->result)};
          if (!answer->error.empty()) {
            result.answer.error = ErrorKindFromName(answer->error);
          }
        }
        // A failed look-up does not tell the outcome of the forwarded request.
        if (resolve_only && !answer) return;
        Perform(table_->OnForwardOutcome(exchange, result, context_.Now()));
        ScheduleTick();
      });
}

void RequestService::RunForwarded(const ForwardedRequest& request,
                                  AnswerCallback done) {
  if (request.resolve_only) {
    const auto view = table_->Lookup(request.customer, request.id);
    const bool has_answer = view && view->answer;
    done(has_answer
             ? *view->answer
             : Refusal(ErrorKind::kOutcomeUnknown, "no outcome is known"));
    return;
  }
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  const ContractPtr contract = contracts->book().Find(request.customer);
  const KindSpec* rule =
      contract == nullptr ? nullptr : contract->FindKind(request.kind);
  if (rule == nullptr || !rule->idempotent) {
    // The sender may have a newer contract. It keeps the request and runs it
    // elsewhere.
    done(Refusal(ErrorKind::kNoCapacity, "the kind is not known here yet"));
    return;
  }
  Run({.customer = request.customer,
       .id = request.id,
       .rule = *rule,
       .payload = request.payload,
       .deadline = context_.Now() + milliseconds(request.time_left_ms),
       .from_peer = true},
      std::move(done));
}

void RequestService::AnswerCallers(const AnswerCaller& answer) {
  const auto found = open_requests_.find(answer.key);
  if (found == open_requests_.end()) return;
  const OpenRequest open = std::move(found->second);
  open_requests_.erase(found);
  const Time now = context_.Now();
  if (open.admitted) admission_.Finish(open.request.customer, now);
  latency_.Record(now - open.arrived);
  answers_by_was_run_[static_cast<std::size_t>(answer.answer.was_run)]->Add();
  if (answer.answer.error) {
    context_.Explain(
        "request/" + open.request.customer.str() + "/" + open.request.id.str(),
        std::string(ErrorTableEntryFor(*answer.answer.error).name),
        answer.answer.detail);
  }
  for (const AnswerCallback& done : open.callbacks) done(answer.answer);
}

std::optional<RequestView> RequestService::Lookup(const CustomerId& customer,
                                                  const RequestId& id) const {
  return table_->Lookup(customer, id);
}

void RequestService::ScheduleTick() {
  if (const auto next = table_->NextTick()) timer_.ScheduleNoLaterThan(*next);
}

void RequestService::Stop(std::function<void()> stopped) {
  stopped_ = std::move(stopped);
  Perform(table_->RefuseWaiting(context_.Now()));
  FinishStopIfDone();
}

void RequestService::FinishStopIfDone() {
  if (stopped_ && table_->unanswered() == 0) {
    // The callback stays set, because `Run` refuses new requests while it is.
    const auto done = std::exchange(stopped_, [] {});
    done();
  }
}

std::string RequestService::Dump() const {
  return table_->Dump(context_.Now()) + admission_.Dump(context_.Now());
}

}  // namespace gypsumfall
