#include "gypsumfall/requests/internal/table_impl.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace gypsumfall {
namespace {

// Retry tokens are counted in thousandths of a retry.
constexpr int kOneRetry = 1000;
// Waiting requests that are offered for each released room: the first may need
// more than was released.
constexpr std::size_t kOffersPerRelease = 4;
constexpr int kMaxBackOffShift = 16;

CallerAnswer NotRun(ErrorKind kind, std::string detail = {}) {
  return {WasRun::kNo, kind, std::move(detail), {}};
}

}  // namespace

RequestTable::Impl::Impl(RequestSettings settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      memory_(settings),
      retry_tokens_(settings.retry_burst * kOneRetry) {}

BeginOutcome RequestTable::Impl::Begin(const CallerId& caller,
                                       const RequestAttributes& attributes,
                                       std::uint64_t content_hash, Time now) {
  if (auto known = Known(caller, content_hash)) return *std::move(known);
  if (requests_.size() >= settings_.max_active) return TableFull{};
  if (auto refusal = WhyRefused(caller, attributes, now)) {
    return RequestRefused{*std::move(refusal)};
  }
  memory_.Forget(caller);
  ++counters_.admitted;
  retry_tokens_ = std::min(retry_tokens_ + settings_.retry_permille,
                           settings_.retry_burst * kOneRetry);
  const RequestKey key(++last_key_);
  Request& request = requests_[key];
  request.key = key;
  request.caller = caller;
  request.attributes = attributes;
  request.content_hash = content_hash;
  active_ids_.emplace(caller, key);
  deadlines_.Add(attributes.deadline, key);
  ++unanswered_;
  ++waiting_;
  waiting_of_.Add(caller.customer);
  // A request that a peer may take is offered in any case.
  if (!attributes.may_forward && blocked_.HoldsBack(attributes.resources)) {
    SetStage(request, Stage::kBlocked);
  } else {
    OfferOne(request);
  }
  return Admitted{key, {}};
}

std::optional<BeginOutcome> RequestTable::Impl::Known(
    const CallerId& caller, std::uint64_t content_hash) {
  const auto active = active_ids_.find(caller);
  if (active != active_ids_.end()) {
    const Request& request = requests_.at(active->second);
    if (request.content_hash != content_hash) return Conflict{};
    Duplicate duplicate{request.key, std::nullopt};
    if (request.stage == Stage::kAnswered) duplicate.answer = request.answer;
    return duplicate;
  }
  const RememberedRequest* remembered = memory_.Find(caller);
  if (remembered == nullptr) return std::nullopt;
  if (remembered->answer.was_run == WasRun::kNo) return std::nullopt;
  if (remembered->content_hash != content_hash) return Conflict{};
  return Duplicate{remembered->key, remembered->answer};
}

std::optional<CallerAnswer> RequestTable::Impl::WhyRefused(
    const CallerId& caller, const RequestAttributes& attributes, Time now) {
  if (waiting_of_.of(caller.customer) >= settings_.max_waiting_per_customer) {
    return NotRun(ErrorKind::kQueueFull);
  }
  const RunTimes::Key kind{caller.customer, attributes.kind};
  if (!run_times_.CanMeet(kind, attributes.deadline - now)) {
    return NotRun(ErrorKind::kDeadlineUnreachable,
                  "the deadline is sooner than this kind is answered");
  }
  return std::nullopt;
}

RequestTable::Impl::Request* RequestTable::Impl::Find(RequestKey key) {
  const auto at = requests_.find(key);
  return at == requests_.end() ? nullptr : &at->second;
}

bool RequestTable::Impl::IsWaiting(Stage stage) {
  return stage == Stage::kOffered || stage == Stage::kBlocked ||
         stage == Stage::kDelayed;
}

void RequestTable::Impl::SetStage(Request& request, Stage stage) {
  const RequestAttributes& attributes = request.attributes;
  if (request.stage == Stage::kBlocked) {
    blocked_.Remove(request.key, attributes.deadline, attributes.resources);
  }
  if (request.stage == Stage::kDelayed) {
    delayed_.Remove(request.retry_at, request.key);
  }
  const bool waited = IsWaiting(request.stage);
  request.stage = stage;
  if (stage == Stage::kBlocked) {
    blocked_.Add(request.key, attributes.deadline, attributes.resources);
  }
  if (stage == Stage::kDelayed) delayed_.Add(request.retry_at, request.key);
  if (waited && !IsWaiting(stage)) {
    --waiting_;
    waiting_of_.Remove(request.caller.customer);
  } else if (!waited && IsWaiting(stage)) {
    ++waiting_;
    waiting_of_.Add(request.caller.customer);
  }
}

void RequestTable::Impl::OfferOne(Request& request) {
  SetStage(request, Stage::kOffered);
  actions_.push_back(Place{request.key, request.attributes.resources,
                           request.exclude, request.attributes.may_forward});
}

void RequestTable::Impl::Offer(std::size_t count) {
  for (const RequestKey key : blocked_.First(count)) OfferOne(*Find(key));
}

void RequestTable::Impl::OnNotPlaced(RequestKey key) {
  Request* request = Find(key);
  if (request == nullptr || request->stage != Stage::kOffered) return;
  SetStage(*request, Stage::kBlocked);
}

// The request has no exchange under way and nothing of it runs, or it is
// idempotent.
void RequestTable::Impl::Requeue(Request& request, Time now) {
  if (request.placements >= settings_.max_placements) {
    GiveUp(request, ErrorKind::kNoCapacity, now);
  } else if (request.attributes.deadline <= now) {
    GiveUp(request, ErrorKind::kDeadlineUnreachable, now);
  } else {
    OfferOne(request);
  }
}

void RequestTable::Impl::GiveUp(Request& request, ErrorKind not_run, Time now) {
  if (request.failure.has_value()) {
    AnswerWith(request,
               {WasRun::kYes, ErrorKind::kWorkerFailed, {}, *request.failure},
               now);
  } else if (request.may_have_run || !request.open.empty()) {
    AnswerWith(request, {WasRun::kUnknown, ErrorKind::kOutcomeUnknown, {}, {}},
               now);
  } else {
    AnswerWith(request, NotRun(not_run), now);
  }
}

void RequestTable::Impl::AnswerWith(Request& request, CallerAnswer answer,
                                    Time now) {
  if (request.stage == Stage::kAnswered) {
    // Only an unknown outcome is replaced: what was told as known stays.
    if (request.answer.was_run == WasRun::kUnknown &&
        answer.was_run != WasRun::kUnknown) {
      request.answer = std::move(answer);
      ++counters_.resolved_unknown;
    }
  } else {
    SetStage(request, Stage::kAnswered);
    deadlines_.Remove(request.attributes.deadline, request.key);
    --unanswered_;
    ++counters_.answered;
    if (answer.was_run == WasRun::kUnknown) ++counters_.unknown_answers;
    request.answer = std::move(answer);
    actions_.push_back(Answer{request.key, request.answer});
    ResolveOpenExchanges(request, now);
  }
  CloseIfDone(request, now);
}

void RequestTable::Impl::CloseIfDone(Request& request, Time now) {
  if (request.stage != Stage::kAnswered || !request.open.empty()) return;
  memory_.Add(
      request.caller,
      RememberedRequest{request.key, request.content_hash,
                        request.attributes.idempotent,
                        std::move(request.answer), now + settings_.retention});
  active_ids_.erase(request.caller);
  requests_.erase(request.key);
}

bool RequestTable::Impl::RetryIdempotent(Request& request, Time now) {
  if (!request.attributes.idempotent) return false;
  if (request.placements >= settings_.max_placements) return false;
  const int shift = std::min(request.retries, kMaxBackOffShift);
  const auto longest = settings_.retry_jitter.count() << shift;
  std::uniform_int_distribution<Duration::rep> jitter(0, longest);
  const Time at = now + Duration(jitter(random_));
  if (at >= request.attributes.deadline) return false;
  if (retry_tokens_ < kOneRetry) {
    ++counters_.retry_budget_empty;
    return false;
  }
  retry_tokens_ -= kOneRetry;
  ++counters_.retried;
  ++request.retries;
  request.retry_at = at;
  SetStage(request, Stage::kDelayed);
  return true;
}

void RequestTable::Impl::Tick(Time now) {
  while (const auto key = deadlines_.PopDue(now)) {
    GiveUp(*Find(*key), ErrorKind::kDeadlineUnreachable, now);
  }
  while (const auto key = delayed_.PopDue(now)) OfferOne(*Find(*key));
  while (const auto id = resolves_.PopDue(now)) {
    Resolve(exchanges_.find(*id), now);
  }
  memory_.Expire(now);
  Offer(settings_.offers_per_event);
}

bool RequestTable::Impl::WasNeverSent(const Request& request) {
  return IsWaiting(request.stage) && request.open.empty() &&
         !request.may_have_run;
}

void RequestTable::Impl::RefuseWaiting(Time now) {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : requests_) {
    if (WasNeverSent(request)) keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  for (const RequestKey key : keys) {
    GiveUp(*Find(key), ErrorKind::kStopping, now);
  }
}

std::optional<Time> RequestTable::Impl::NextTick() const {
  std::optional<Time> next;
  for (const auto& time :
       {deadlines_.earliest(), delayed_.earliest(), resolves_.earliest()}) {
    if (time.has_value() && (!next.has_value() || *time < *next)) next = time;
  }
  return next;
}

std::optional<RequestView> RequestTable::Impl::Lookup(
    const CallerId& caller) const {
  const auto active = active_ids_.find(caller);
  if (active == active_ids_.end()) {
    const RememberedRequest* remembered = memory_.Find(caller);
    if (remembered == nullptr) return std::nullopt;
    return RequestView{remembered->key, RequestState::kAnswered,
                       remembered->answer};
  }
  const Request& request = requests_.at(active->second);
  if (IsWaiting(request.stage)) {
    return RequestView{request.key, RequestState::kWaiting, std::nullopt};
  }
  if (request.stage == Stage::kInExchange) {
    return RequestView{request.key, RequestState::kRunning, std::nullopt};
  }
  const RequestState state = request.answer.was_run == WasRun::kUnknown
                                 ? RequestState::kUnresolved
                                 : RequestState::kAnswered;
  return RequestView{request.key, state, request.answer};
}

RequestActions RequestTable::Impl::TakeActions() {
  if (released_ > 0) {
    Offer(std::min(kOffersPerRelease * std::exchange(released_, 0),
                   settings_.offers_per_event));
  }
  return std::exchange(actions_, {});
}

RequestCounters RequestTable::Impl::counters() const {
  RequestCounters counters = counters_;
  counters.results_dropped = memory_.results_dropped();
  return counters;
}

std::string RequestTable::Impl::Dump(Time now) const {
  std::ostringstream out;
  out << "requests: " << active() << " active of " << settings_.max_active
      << ", " << unanswered_ << " unanswered, " << waiting_ << " waiting, "
      << exchanges_.size() << " exchanges open\n"
      << "remembered: " << memory_.size() << " answers, " << memory_.bytes()
      << " result bytes\n"
      << "admitted: " << counters_.admitted
      << ", answered: " << counters_.answered
      << ", unknown: " << counters_.unknown_answers
      << ", resolved later: " << counters_.resolved_unknown
      << ", unmatched replies: " << counters_.unmatched_replies << "\n"
      << "retries: " << counters_.retried
      << ", refused by the budget: " << counters_.retry_budget_empty << "\n";
  constexpr std::size_t kMaxLines = 40;
  for (const RequestKey key : blocked_.First(kMaxLines)) {
    const Request& request = requests_.at(key);
    const auto left = request.attributes.deadline - now;
    out << "waiting: " << request.caller.customer << "/" << request.caller.id
        << " kind=" << request.attributes.kind << " needs "
        << request.attributes.resources.ToString() << ", "
        << left.count() / 1000 << " ms left\n";
  }
  return std::move(out).str();
}

}  // namespace gypsumfall
