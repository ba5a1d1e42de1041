#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/requests/internal/table_impl.h"

namespace gypsumfall {
namespace {

constexpr int kMaxBackOffShift = 16;

}  // namespace

void RequestTable::Impl::OnPlaced(RequestKey key, const WorkerId& worker,
                                  const ExchangeId& exchange, Time now) {
  Request* request = Find(key);
  const bool is_placing =
      request != nullptr && request->stage == Stage::kPlacing;
  if (exchanges_.contains(exchange)) {
    // Reusing an exchange id would release the capacity of the other request.
    if (is_placing) SetStage(*request, Stage::kBlocked);
    return;
  }
  if (!is_placing || request->attributes.deadline <= now) {
    actions_.push_back(ReleaseCapacity{worker, exchange});
    ++released_exchanges_;
    if (is_placing) GiveUp(*request, ErrorKind::kDeadlineUnreachable, now);
    return;
  }
  ++request->placements;
  OpenExchange(*request, exchange,
               {.key = key, .worker = worker, .sent_at = now});
  actions_.push_back(SendToWorker{key, worker, exchange});
}

bool RequestTable::Impl::OnForwarded(RequestKey key, const EntryHostId& peer,
                                     const ExchangeId& exchange, Time now) {
  Request* request = Find(key);
  if (request == nullptr || request->stage != Stage::kPlacing) return false;
  RequestAttributes& attributes = request->attributes;
  if (!attributes.may_forward || attributes.deadline <= now) return false;
  if (peer.empty() || exchanges_.contains(exchange)) return false;
  attributes.may_forward = false;
  OpenExchange(*request, exchange, {.key = key, .peer = peer, .sent_at = now});
  return true;
}

void RequestTable::Impl::OpenExchange(Request& request, const ExchangeId& id,
                                      Exchange exchange) {
  SetStage(request, Stage::kInExchange);
  request.open_exchanges.push_back(id);
  exchanges_.emplace(id, std::move(exchange));
}

RequestTable::Impl::Exchanges::iterator RequestTable::Impl::FindFrom(
    const ExchangeId& id, const WorkerId& from) {
  const auto it = exchanges_.find(id);
  if (it != exchanges_.end() && !it->second.is_forward() &&
      it->second.worker == from) {
    return it;
  }
  ++counters_.unmatched_replies;
  return exchanges_.end();
}

void RequestTable::Impl::OnReply(const RequestReply& reply,
                                 const WorkerId& from, Time now) {
  const auto it = FindFrom(reply.exchange, from);
  if (it == exchanges_.end()) return;
  if (reply.refused.has_value()) {
    OnNotStarted(it, now);
    return;
  }
  OnOutcome(it, reply, now);
}

void RequestTable::Impl::OnCancelReply(const RequestReply& reply,
                                       const WorkerId& from, Time now) {
  // A refused cancel does not prove that the request never started; the next
  // cancel is already scheduled.
  if (reply.refused.has_value()) return;
  const auto it = FindFrom(reply.exchange, from);
  if (it != exchanges_.end()) OnOutcome(it, reply, now);
}

void RequestTable::Impl::OnOutcome(Exchanges::iterator it,
                                   const RequestReply& reply, Time now) {
  switch (reply.state) {
    case ExchangeState::kNeverStarted:
      OnNotStarted(it, now);
      return;
    case ExchangeState::kFinished:
      OnCompleted(it, {WasRun::kYes, std::nullopt, {}, reply.result}, now);
      return;
    case ExchangeState::kFailed:
      OnCompleted(
          it, {WasRun::kYes, ErrorKind::kWorkerFailed, {}, reply.result}, now);
      return;
    case ExchangeState::kRunning:
      if (!it->second.unresolved) StartResolving(it, now);
      return;
  }
}

void RequestTable::Impl::OnNotStarted(Exchanges::iterator it, Time now) {
  const WorkerId worker = it->second.worker;
  Request& request = CloseExchange(it);
  const bool may_retry =
      request.attributes.idempotent || request.open_exchanges.empty();
  if (request.stage == Stage::kInExchange) {
    if (HasAwaitedExchange(request) || !may_retry) return;
    ExcludeWorker(request, worker);
    Requeue(request, now);
    return;
  }
  if (request.stage == Stage::kAnswered && request.open_exchanges.empty() &&
      !request.may_have_run) {
    AnswerWith(request,
               {WasRun::kNo,
                ErrorKind::kDeadlineUnreachable,
                "it was withdrawn before it started",
                {}},
               now);
    return;
  }
  CloseIfDone(request, now);
}

void RequestTable::Impl::OnCompleted(Exchanges::iterator it,
                                     CallerAnswer answer, Time now) {
  const Exchange exchange = it->second;
  Request& request = CloseExchange(it);
  request.may_have_run = true;
  const bool failed = answer.error.has_value();
  if (!failed && !exchange.unresolved && !exchange.is_forward()) {
    run_times_.Record({request.caller.customer, request.attributes.kind},
                      now - exchange.sent_at);
  }
  if (failed && request.stage != Stage::kAnswered) {
    request.failure_text = answer.result;
    // Another exchange or a pending retry may still succeed.
    if (HasAwaitedExchange(request) || IsWaiting(request.stage)) return;
    ExcludeWorker(request, exchange.worker);
    if (RetryIdempotent(request, now)) return;
  }
  AnswerWith(request, std::move(answer), now);
}

void RequestTable::Impl::OnSendFailed(const ExchangeId& id,
                                      bool certainly_not_sent, Time now) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || it->second.is_forward()) return;
  if (certainly_not_sent) {
    OnNotStarted(it, now);
  } else {
    OnAnswerLost(it, now);
  }
}

// The answer to a call that may have arrived is lost. Asks the exchange's
// worker for the outcome; an idempotent request is also retried on another
// worker.
void RequestTable::Impl::OnAnswerLost(Exchanges::iterator it, Time now) {
  if (it->second.unresolved) return;
  Request& request = requests_.at(it->second.key);
  const WorkerId worker = it->second.worker;
  StartResolving(it, now);
  if (request.stage != Stage::kInExchange) return;
  ExcludeWorker(request, worker);
  RetryIdempotent(request, now);
}

void RequestTable::Impl::OnWorkerLost(const WorkerId& worker, Time now) {
  std::vector<ExchangeId> lost;
  for (const auto& [id, exchange] : exchanges_) {
    if (!exchange.is_forward() && exchange.worker == worker) lost.push_back(id);
  }
  std::sort(lost.begin(), lost.end());
  for (const ExchangeId& id : lost) {
    Request& request = CloseExchange(exchanges_.find(id));
    request.may_have_run = true;
    ExcludeWorker(request, worker);
    if (request.stage != Stage::kInExchange) {
      CloseIfDone(request, now);
    } else if (!HasAwaitedExchange(request) && !RetryIdempotent(request, now) &&
               request.open_exchanges.empty()) {
      GiveUp(request, ErrorKind::kOutcomeUnknown, now);
    }
  }
}

void RequestTable::Impl::OnForwardOutcome(const ExchangeId& id,
                                          const ForwardOutcome& outcome,
                                          Time now) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || !it->second.is_forward()) {
    ++counters_.unmatched_replies;
    return;
  }
  switch (outcome.kind) {
    case ForwardOutcome::Kind::kNotSent:
      OnNotStarted(it, now);
      return;
    case ForwardOutcome::Kind::kLost:
      OnAnswerLost(it, now);
      return;
    case ForwardOutcome::Kind::kAnswered:
      OnForwardAnswer(it, outcome.answer, now);
      return;
    case ForwardOutcome::Kind::kResolved:
      if (outcome.answer.was_run != WasRun::kNo) {
        OnForwardAnswer(it, outcome.answer, now);
      }
      return;
  }
}

void RequestTable::Impl::OnForwardAnswer(Exchanges::iterator it,
                                         const CallerAnswer& answer, Time now) {
  if (answer.was_run == WasRun::kUnknown) {
    if (!it->second.unresolved) StartResolving(it, now);
    return;
  }
  if (answer.was_run == WasRun::kYes) {
    OnCompleted(it, answer, now);
    return;
  }
  const bool is_final = answer.error.has_value() &&
                        !ErrorTableEntryFor(*answer.error).safe_to_retry;
  if (!is_final) {
    OnNotStarted(it, now);
    return;
  }
  Request& request = CloseExchange(it);
  if (request.may_have_run || !request.open_exchanges.empty()) {
    CloseIfDone(request, now);
  } else {
    AnswerWith(request, answer, now);
  }
}

// Removes the exchange and releases its capacity.
RequestTable::Impl::Request& RequestTable::Impl::CloseExchange(
    Exchanges::iterator it) {
  const Exchange& exchange = it->second;
  if (exchange.unresolved)
    resolve_timers_.Remove(exchange.next_resolve, it->first);
  if (!exchange.is_forward()) {
    actions_.push_back(ReleaseCapacity{exchange.worker, it->first});
    ++released_exchanges_;
  }
  Request& request = requests_.at(exchange.key);
  std::erase(request.open_exchanges, it->first);
  exchanges_.erase(it);
  return request;
}

bool RequestTable::Impl::HasAwaitedExchange(const Request& request) const {
  return std::any_of(
      request.open_exchanges.begin(), request.open_exchanges.end(),
      [this](const ExchangeId& id) { return !exchanges_.at(id).unresolved; });
}

void RequestTable::Impl::ExcludeWorker(Request& request,
                                       const WorkerId& worker) {
  if (!worker.empty()) request.excluded_workers.push_back(worker);
}

void RequestTable::Impl::StartResolving(Exchanges::iterator it, Time now) {
  Exchange& exchange = it->second;
  exchange.unresolved = true;
  exchange.expires = now + settings_.retention;
  Resolve(it, now);
}

void RequestTable::Impl::Resolve(Exchanges::iterator it, Time now) {
  Exchange& exchange = it->second;
  if (exchange.expires <= now) {
    Request& request = CloseExchange(it);
    request.may_have_run = true;
    CloseIfDone(request, now);
    return;
  }
  const int shift = std::min(exchange.resolve_attempts++, kMaxBackOffShift);
  const Duration delay =
      std::min(Duration(settings_.resolve_delay.count() << shift),
               settings_.max_resolve_delay);
  exchange.next_resolve = std::min(now + delay, exchange.expires);
  resolve_timers_.Add(exchange.next_resolve, it->first);
  if (exchange.is_forward()) {
    const CallerId& caller = requests_.at(exchange.key).caller;
    actions_.push_back(
        ResolveForward{exchange.peer, it->first, caller.customer, caller.id});
  } else {
    actions_.push_back(CancelExchange{exchange.worker, it->first});
  }
}

// Starts to resolve the outcomes of all open exchanges of an answered request.
void RequestTable::Impl::ResolveOpenExchanges(const Request& request,
                                              Time now) {
  for (const ExchangeId& id : request.open_exchanges) {
    const auto it = exchanges_.find(id);
    if (!it->second.unresolved) StartResolving(it, now);
  }
}

}  // namespace gypsumfall
