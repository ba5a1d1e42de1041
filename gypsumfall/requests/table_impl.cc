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
// Waiting requests to place per released exchange; more than one, because the
// first may need more capacity than was released.
constexpr std::size_t kPlacementsPerRelease = 4;
constexpr int kMaxBackOffShift = 16;

CallerAnswer NotRun(ErrorKind kind, std::string detail = {}) {
  return {WasRun::kNo, kind, std::move(detail), {}};
}

}  // namespace

RequestTable::Impl::Impl(RequestSettings settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      answer_cache_(settings),
      retry_tokens_(settings.retry_burst * kOneRetry) {}

BeginOutcome RequestTable::Impl::Begin(const CallerId& caller,
                                       const RequestAttributes& attributes,
                                       std::uint64_t content_hash, Time now) {
  if (auto known = FindDuplicate(caller, content_hash))
    return *std::move(known);
  if (requests_.size() >= settings_.max_active) return TableFull{};
  if (auto refusal = CheckAdmission(caller, attributes, now)) {
    return RequestRefused{*std::move(refusal)};
  }
  answer_cache_.Erase(caller);
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
  deadline_timers_.Add(attributes.deadline, key);
  ++unanswered_;
  ++waiting_;
  waiting_by_customer_.Add(caller.customer);
  // A request that may be forwarded skips the queue, because a peer may have
  // capacity.
  if (!attributes.may_forward && blocked_.MustQueue(attributes.resources)) {
    SetStage(request, Stage::kBlocked);
  } else {
    StartPlacement(request);
  }
  return Admitted{key, {}};
}

std::optional<BeginOutcome> RequestTable::Impl::FindDuplicate(
    const CallerId& caller, std::uint64_t content_hash) {
  const auto active = active_ids_.find(caller);
  if (active != active_ids_.end()) {
    const Request& request = requests_.at(active->second);
    if (request.content_hash != content_hash) return Conflict{};
    Duplicate duplicate{request.key, std::nullopt};
    if (request.stage == Stage::kAnswered) duplicate.answer = request.answer;
    return duplicate;
  }
  const CachedRequest* cached = answer_cache_.Find(caller);
  if (cached == nullptr) return std::nullopt;
  if (cached->answer.was_run == WasRun::kNo) return std::nullopt;
  if (cached->content_hash != content_hash) return Conflict{};
  return Duplicate{cached->key, cached->answer};
}

std::optional<CallerAnswer> RequestTable::Impl::CheckAdmission(
    const CallerId& caller, const RequestAttributes& attributes, Time now) {
  if (waiting_by_customer_.Count(caller.customer) >=
      settings_.max_waiting_per_customer) {
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
  const auto it = requests_.find(key);
  return it == requests_.end() ? nullptr : &it->second;
}

bool RequestTable::Impl::IsWaiting(Stage stage) {
  return stage == Stage::kPlacing || stage == Stage::kBlocked ||
         stage == Stage::kDelayed;
}

void RequestTable::Impl::SetStage(Request& request, Stage stage) {
  const RequestAttributes& attributes = request.attributes;
  if (request.stage == Stage::kBlocked) {
    blocked_.Remove(request.key, attributes.deadline, attributes.resources);
  }
  if (request.stage == Stage::kDelayed) {
    retry_timers_.Remove(request.retry_at, request.key);
  }
  const bool waited = IsWaiting(request.stage);
  request.stage = stage;
  if (stage == Stage::kBlocked) {
    blocked_.Add(request.key, attributes.deadline, attributes.resources);
  }
  if (stage == Stage::kDelayed)
    retry_timers_.Add(request.retry_at, request.key);
  if (waited && !IsWaiting(stage)) {
    --waiting_;
    waiting_by_customer_.Remove(request.caller.customer);
  } else if (!waited && IsWaiting(stage)) {
    ++waiting_;
    waiting_by_customer_.Add(request.caller.customer);
  }
}

void RequestTable::Impl::StartPlacement(Request& request) {
  SetStage(request, Stage::kPlacing);
  actions_.push_back(RequestCapacity{request.key, request.attributes.resources,
                                     request.excluded_workers,
                                     request.attributes.may_forward});
}

void RequestTable::Impl::PlaceBlocked(std::size_t count) {
  for (const RequestKey key : blocked_.First(count)) StartPlacement(*Find(key));
}

void RequestTable::Impl::OnNotPlaced(RequestKey key) {
  Request* request = Find(key);
  if (request == nullptr || request->stage != Stage::kPlacing) return;
  SetStage(*request, Stage::kBlocked);
}

// Requests placement again. Requires that the request is idempotent, or that no
// exchange of it is in progress or may still run.
void RequestTable::Impl::Requeue(Request& request, Time now) {
  if (request.placements >= settings_.max_placements) {
    GiveUp(request, ErrorKind::kNoCapacity, now);
  } else if (request.attributes.deadline <= now) {
    GiveUp(request, ErrorKind::kDeadlineUnreachable, now);
  } else {
    StartPlacement(request);
  }
}

void RequestTable::Impl::GiveUp(Request& request, ErrorKind not_run_reason,
                                Time now) {
  if (request.failure_text.has_value()) {
    AnswerWith(
        request,
        {WasRun::kYes, ErrorKind::kWorkerFailed, {}, *request.failure_text},
        now);
  } else if (request.may_have_run || !request.open_exchanges.empty()) {
    AnswerWith(request, {WasRun::kUnknown, ErrorKind::kOutcomeUnknown, {}, {}},
               now);
  } else {
    AnswerWith(request, NotRun(not_run_reason), now);
  }
}

void RequestTable::Impl::AnswerWith(Request& request, CallerAnswer answer,
                                    Time now) {
  if (request.stage == Stage::kAnswered) {
    // Only an unknown outcome is replaced; a known answer is final.
    if (request.answer.was_run == WasRun::kUnknown &&
        answer.was_run != WasRun::kUnknown) {
      request.answer = std::move(answer);
      ++counters_.resolved_unknown;
    }
  } else {
    SetStage(request, Stage::kAnswered);
    deadline_timers_.Remove(request.attributes.deadline, request.key);
    --unanswered_;
    ++counters_.answered;
    if (answer.was_run == WasRun::kUnknown) ++counters_.unknown_answers;
    request.answer = std::move(answer);
    actions_.push_back(AnswerCaller{request.key, request.answer});
    ResolveOpenExchanges(request, now);
  }
  CloseIfDone(request, now);
}

void RequestTable::Impl::CloseIfDone(Request& request, Time now) {
  if (request.stage != Stage::kAnswered || !request.open_exchanges.empty())
    return;
  answer_cache_.Add(
      request.caller,
      CachedRequest{request.key, request.content_hash,
                    request.attributes.idempotent, std::move(request.answer),
                    now + settings_.retention});
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
  while (const auto key = deadline_timers_.PopDue(now)) {
    GiveUp(*Find(*key), ErrorKind::kDeadlineUnreachable, now);
  }
  while (const auto key = retry_timers_.PopDue(now))
    StartPlacement(*Find(*key));
  while (const auto id = resolve_timers_.PopDue(now)) {
    Resolve(exchanges_.find(*id), now);
  }
  answer_cache_.RemoveExpired(now);
  PlaceBlocked(settings_.placements_per_event);
}

bool RequestTable::Impl::WasNeverSent(const Request& request) {
  return IsWaiting(request.stage) && request.open_exchanges.empty() &&
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
       {deadline_timers_.earliest(), retry_timers_.earliest(),
        resolve_timers_.earliest()}) {
    if (time.has_value() && (!next.has_value() || *time < *next)) next = time;
  }
  return next;
}

std::optional<RequestView> RequestTable::Impl::Lookup(
    const CallerId& caller) const {
  const auto active = active_ids_.find(caller);
  if (active == active_ids_.end()) {
    const CachedRequest* cached = answer_cache_.Find(caller);
    if (cached == nullptr) return std::nullopt;
    return RequestView{cached->key, RequestState::kAnswered, cached->answer};
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
  if (released_exchanges_ > 0) {
    PlaceBlocked(
        std::min(kPlacementsPerRelease * std::exchange(released_exchanges_, 0),
                 settings_.placements_per_event));
  }
  return std::exchange(actions_, {});
}

RequestCounters RequestTable::Impl::counters() const {
  RequestCounters counters = counters_;
  counters.results_dropped = answer_cache_.results_dropped();
  return counters;
}

std::string RequestTable::Impl::Dump(Time now) const {
  std::ostringstream out;
  out << "requests: " << active() << " active of " << settings_.max_active
      << ", " << unanswered_ << " unanswered, " << waiting_ << " waiting, "
      << exchanges_.size() << " exchanges open\n"
      << "remembered: " << answer_cache_.size() << " answers, "
      << answer_cache_.bytes() << " result bytes\n"
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
    const auto remaining = request.attributes.deadline - now;
    out << "waiting: " << request.caller.customer << "/" << request.caller.id
        << " kind=" << request.attributes.kind << " needs "
        << request.attributes.resources.ToString() << ", "
        << remaining.count() / 1000 << " ms left\n";
  }
  return std::move(out).str();
}

}  // namespace gypsumfall
