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
  const bool is_offered =
      request != nullptr && request->stage == Stage::kOffered;
  if (exchanges_.contains(exchange)) {
    // An id that is in use would release the room of the other request.
    if (is_offered) SetStage(*request, Stage::kBlocked);
    return;
  }
  if (!is_offered || request->attributes.deadline <= now) {
    actions_.push_back(ReleaseRoom{worker, exchange});
    ++released_;
    if (is_offered) GiveUp(*request, ErrorKind::kDeadlineUnreachable, now);
    return;
  }
  ++request->placements;
  Open(*request, exchange, {.key = key, .worker = worker, .sent = now});
  actions_.push_back(Send{key, worker, exchange});
}

bool RequestTable::Impl::OnForwarded(RequestKey key, const EntryHostId& peer,
                                     const ExchangeId& exchange, Time now) {
  Request* request = Find(key);
  if (request == nullptr || request->stage != Stage::kOffered) return false;
  RequestAttributes& attributes = request->attributes;
  if (!attributes.may_forward || attributes.deadline <= now) return false;
  if (peer.empty() || exchanges_.contains(exchange)) return false;
  attributes.may_forward = false;
  Open(*request, exchange, {.key = key, .peer = peer, .sent = now});
  return true;
}

void RequestTable::Impl::Open(Request& request, const ExchangeId& id,
                              Exchange exchange) {
  SetStage(request, Stage::kInExchange);
  request.open.push_back(id);
  exchanges_.emplace(id, std::move(exchange));
}

RequestTable::Impl::Exchanges::iterator RequestTable::Impl::FindFrom(
    const ExchangeId& id, const WorkerId& from) {
  const auto at = exchanges_.find(id);
  if (at != exchanges_.end() && !at->second.is_forward() &&
      at->second.worker == from) {
    return at;
  }
  ++counters_.unmatched_replies;
  return exchanges_.end();
}

void RequestTable::Impl::OnReply(const RequestReply& reply,
                                 const WorkerId& from, Time now) {
  const auto at = FindFrom(reply.exchange, from);
  if (at == exchanges_.end()) return;
  if (reply.refused.has_value()) {
    OnNotStarted(at, now);
    return;
  }
  OnOutcome(at, reply, now);
}

void RequestTable::Impl::OnCancelReply(const RequestReply& reply,
                                       const WorkerId& from, Time now) {
  // A refused cancel proves nothing; the next one is already scheduled.
  if (reply.refused.has_value()) return;
  const auto at = FindFrom(reply.exchange, from);
  if (at != exchanges_.end()) OnOutcome(at, reply, now);
}

void RequestTable::Impl::OnOutcome(Exchanges::iterator at,
                                   const RequestReply& reply, Time now) {
  switch (reply.state) {
    case ExchangeState::kNeverStarted:
      OnNotStarted(at, now);
      return;
    case ExchangeState::kFinished:
      OnRan(at, {WasRun::kYes, std::nullopt, {}, reply.result}, now);
      return;
    case ExchangeState::kFailed:
      OnRan(at, {WasRun::kYes, ErrorKind::kWorkerFailed, {}, reply.result},
            now);
      return;
    case ExchangeState::kRunning:
      if (!at->second.unresolved) StartResolving(at, now);
      return;
  }
}

void RequestTable::Impl::OnNotStarted(Exchanges::iterator at, Time now) {
  const WorkerId worker = at->second.worker;
  Request& request = Close(at);
  const bool may_retry = request.attributes.idempotent || request.open.empty();
  if (request.stage == Stage::kInExchange) {
    if (HasLiveExchange(request) || !may_retry) return;
    ExcludeWorker(request, worker);
    Requeue(request, now);
    return;
  }
  if (request.stage == Stage::kAnswered && request.open.empty() &&
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

void RequestTable::Impl::OnRan(Exchanges::iterator at, CallerAnswer answer,
                               Time now) {
  const Exchange exchange = at->second;
  Request& request = Close(at);
  request.may_have_run = true;
  const bool failed = answer.error.has_value();
  if (!failed && !exchange.unresolved && !exchange.is_forward()) {
    run_times_.Record({request.caller.customer, request.attributes.kind},
                      now - exchange.sent);
  }
  if (failed && request.stage != Stage::kAnswered) {
    request.failure = answer.result;
    // Another exchange, or a retry that waits, may still succeed.
    if (HasLiveExchange(request) || IsWaiting(request.stage)) return;
    ExcludeWorker(request, exchange.worker);
    if (RetryIdempotent(request, now)) return;
  }
  AnswerWith(request, std::move(answer), now);
}

void RequestTable::Impl::OnSendFailed(const ExchangeId& id,
                                      bool certainly_not_sent, Time now) {
  const auto at = exchanges_.find(id);
  if (at == exchanges_.end() || at->second.is_forward()) return;
  if (certainly_not_sent) {
    OnNotStarted(at, now);
  } else {
    OnLost(at, now);
  }
}

// The answer to a call that may have arrived is lost. The exchange is resolved
// with its worker; an idempotent request is also tried elsewhere.
void RequestTable::Impl::OnLost(Exchanges::iterator at, Time now) {
  if (at->second.unresolved) return;
  Request& request = requests_.at(at->second.key);
  const WorkerId worker = at->second.worker;
  StartResolving(at, now);
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
    Request& request = Close(exchanges_.find(id));
    request.may_have_run = true;
    ExcludeWorker(request, worker);
    if (request.stage != Stage::kInExchange) {
      CloseIfDone(request, now);
    } else if (!HasLiveExchange(request) && !RetryIdempotent(request, now) &&
               request.open.empty()) {
      GiveUp(request, ErrorKind::kOutcomeUnknown, now);
    }
  }
}

void RequestTable::Impl::OnForwardOutcome(const ExchangeId& id,
                                          const ForwardOutcome& outcome,
                                          Time now) {
  const auto at = exchanges_.find(id);
  if (at == exchanges_.end() || !at->second.is_forward()) {
    ++counters_.unmatched_replies;
    return;
  }
  switch (outcome.kind) {
    case ForwardOutcome::Kind::kNotSent:
      OnNotStarted(at, now);
      return;
    case ForwardOutcome::Kind::kLost:
      OnLost(at, now);
      return;
    case ForwardOutcome::Kind::kAnswered:
      OnForwardAnswer(at, outcome.answer, now);
      return;
    case ForwardOutcome::Kind::kResolved:
      if (outcome.answer.was_run != WasRun::kNo) {
        OnForwardAnswer(at, outcome.answer, now);
      }
      return;
  }
}

void RequestTable::Impl::OnForwardAnswer(Exchanges::iterator at,
                                         const CallerAnswer& answer, Time now) {
  if (answer.was_run == WasRun::kUnknown) {
    if (!at->second.unresolved) StartResolving(at, now);
    return;
  }
  if (answer.was_run == WasRun::kYes) {
    OnRan(at, answer, now);
    return;
  }
  const bool is_final =
      answer.error.has_value() && !AnswerFor(*answer.error).safe_to_retry;
  if (!is_final) {
    OnNotStarted(at, now);
    return;
  }
  Request& request = Close(at);
  if (request.may_have_run || !request.open.empty()) {
    CloseIfDone(request, now);
  } else {
    AnswerWith(request, answer, now);
  }
}

// Removes the exchange and returns its room.
RequestTable::Impl::Request& RequestTable::Impl::Close(Exchanges::iterator at) {
  const Exchange& exchange = at->second;
  if (exchange.unresolved) resolves_.Remove(exchange.next_resolve, at->first);
  if (!exchange.is_forward()) {
    actions_.push_back(ReleaseRoom{exchange.worker, at->first});
    ++released_;
  }
  Request& request = requests_.at(exchange.key);
  std::erase(request.open, at->first);
  exchanges_.erase(at);
  return request;
}

bool RequestTable::Impl::HasLiveExchange(const Request& request) const {
  return std::any_of(
      request.open.begin(), request.open.end(),
      [this](const ExchangeId& id) { return !exchanges_.at(id).unresolved; });
}

void RequestTable::Impl::ExcludeWorker(Request& request,
                                       const WorkerId& worker) {
  if (!worker.empty()) request.exclude.push_back(worker);
}

void RequestTable::Impl::StartResolving(Exchanges::iterator at, Time now) {
  Exchange& exchange = at->second;
  exchange.unresolved = true;
  exchange.expires = now + settings_.retention;
  Resolve(at, now);
}

void RequestTable::Impl::Resolve(Exchanges::iterator at, Time now) {
  Exchange& exchange = at->second;
  if (exchange.expires <= now) {
    Request& request = Close(at);
    request.may_have_run = true;
    CloseIfDone(request, now);
    return;
  }
  const int shift = std::min(exchange.resolve_attempts++, kMaxBackOffShift);
  const Duration delay =
      std::min(Duration(settings_.resolve_delay.count() << shift),
               settings_.max_resolve_delay);
  exchange.next_resolve = std::min(now + delay, exchange.expires);
  resolves_.Add(exchange.next_resolve, at->first);
  if (exchange.is_forward()) {
    const CallerId& caller = requests_.at(exchange.key).caller;
    actions_.push_back(
        ResolveForward{exchange.peer, at->first, caller.customer, caller.id});
  } else {
    actions_.push_back(CancelExchange{exchange.worker, at->first});
  }
}

// The answered request's exchanges are no longer waited for, only resolved.
void RequestTable::Impl::ResolveOpenExchanges(const Request& request,
                                              Time now) {
  for (const ExchangeId& id : request.open) {
    const auto at = exchanges_.find(id);
    if (!at->second.unresolved) StartResolving(at, now);
  }
}

}  // namespace gypsumfall
