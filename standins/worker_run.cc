#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "standins/internal/checkpoint.h"
#include "standins/models.h"

namespace gypsumfall::standins {
namespace {

constexpr std::size_t kMaxViolations = 100;
constexpr std::size_t kMaxEvents = 1'000'000;
// Usage is sampled at most once per this interval.
constexpr Duration kUsageInterval = seconds(1);
// Passes over the records of ended work per retention period.
constexpr int kRemovalsPerRetention = 20;

// Returns the time that the worker needs for `amount` of run time on an
// unshared host. Rounds up, so that the progress is complete when the time has
// passed.
Duration TimeFor(Duration amount, std::int64_t slowdown_permille) {
  const auto scaled = amount.count() * slowdown_permille;
  return Duration((scaled + 999) / 1000);
}

void EraseOlderThan(auto& entries, Time oldest) {
  std::erase_if(entries,
                [&](const auto& entry) { return entry.second.at < oldest; });
}

}  // namespace

std::vector<RequestReply> WorkerModel::Advance(Time now) {
  ProcessUntil(now);
  std::vector<RequestReply> due;
  if (!Reachable(now)) return due;
  const auto later = std::stable_partition(
      answers_.begin(), answers_.end(),
      [&](const auto& answer) { return answer.first <= now; });
  for (auto answer = answers_.begin(); answer != later; ++answer) {
    due.push_back(answer->second);
    if (faults_.duplicate_answers) due.push_back(answer->second);
  }
  answers_.erase(answers_.begin(), later);
  if (faults_.reverse_answers) std::reverse(due.begin(), due.end());
  return due;
}

std::optional<Time> WorkerModel::NextEvent() const {
  if (!alive_) return std::nullopt;
  std::optional<Time> next = NextWorkEvent();
  for (const auto& [at, reply] : answers_) {
    next = std::min(next.value_or(at), at);
  }
  if (next) *next = std::max(*next, paused_until_);
  return next;
}

void WorkerModel::ProcessUntil(Time now) {
  if (!Reachable(now)) return;
  // Work makes no progress during a pause, but the clock advances: leases that
  // expired during the pause end their attempts before any further progress.
  updated_ = std::max(updated_, paused_until_);
  while (true) {
    const std::optional<Time> next = NextWorkEvent();
    if (!next || *next > now) break;
    ProgressTo(*next);
    HandleDue(*next);
  }
  ProgressTo(now);
  RecordUsage(now);
  RemoveExpired(now);
}

std::optional<Time> WorkerModel::NextWorkEvent() const {
  std::optional<Time> next;
  for (const Work& work : running_) {
    const Duration amount =
        std::min(work.total, work.next_checkpoint) - work.progress;
    const Time reached = updated_ + TimeFor(amount, work.slowdown_permille);
    const Time at = std::min(reached, std::max(updated_, work.lease_end));
    next = std::min(next.value_or(at), at);
  }
  return next;
}

void WorkerModel::ProgressTo(Time at) {
  if (at <= updated_) return;
  const Duration elapsed = at - updated_;
  for (Work& work : running_) {
    const Duration progressed(elapsed.count() * 1000 / work.slowdown_permille);
    work.progress = std::min(work.total, work.progress + progressed);
  }
  updated_ = at;
}

void WorkerModel::HandleDue(Time at) {
  std::vector<Work> ended;
  std::vector<Work> still_running;
  for (Work& work : running_) {
    const bool lease_expired = work.lease_end <= at;
    if (!lease_expired && work.progress >= work.next_checkpoint) {
      work.checkpoint = CheckpointText(work.next_checkpoint);
      work.next_checkpoint += BehaviourOf(work.kind).checkpoint_every;
    }
    const bool has_ended = lease_expired || work.progress >= work.total;
    (has_ended ? ended : still_running).push_back(std::move(work));
  }
  running_ = std::move(still_running);
  for (const Work& work : ended) {
    if (work.exchange) {
      EndExchange(work, at);
    } else if (work.lease_end <= at) {
      EndAttempt(work, AttemptState::kStopped, at);
    } else {
      const bool fails =
          faults_.fail_everything || BehaviourOf(work.kind).fails;
      EndAttempt(work, fails ? AttemptState::kFailed : AttemptState::kFinished,
                 at);
    }
  }
  if (!ended.empty()) UpdateSlowdowns();
}

void WorkerModel::Start(Work work, Time at) {
  if (work.attempt) {
    for (const Work& other : running_) {
      if (other.attempt && other.attempt->customer == work.attempt->customer &&
          other.attempt->task == work.attempt->task) {
        Violation("two attempts of task " + work.attempt->task.str());
      }
    }
  }
  if (faults_.fail_everything) work.total = work.progress;
  if (events_.size() < kMaxEvents) {
    events_.push_back({at, true, work.attempt, work.exchange});
  }
  running_.push_back(std::move(work));
  peak_running_ = std::max(peak_running_, running_.size());
  if (!used().FitsIn(options_.capacity)) Violation("capacity exceeded");
  if (running_.size() > static_cast<std::size_t>(options_.slots)) {
    Violation("slots exceeded");
  }
  UpdateSlowdowns();
}

void WorkerModel::EndAttempt(const Work& work, AttemptState state, Time at) {
  ++attempts_ended_;
  AttemptReport report = ReportOf(work);
  report.state = state;
  if (state == AttemptState::kFinished) {
    report.result =
        "result of " + work.attempt->task.str() + " " + work.payload;
  } else if (state == AttemptState::kFailed) {
    report.result = "failed";
  }
  ended_[report.id] = report;
  closed_[{report.id.customer, report.id.task}] = {report.id.number, true, at};
  if (events_.size() < kMaxEvents) {
    events_.push_back({at, false, report.id, {}, state});
  }
}

void WorkerModel::EndExchange(const Work& work, Time at) {
  ++requests_ended_;
  const bool fails = faults_.fail_everything || BehaviourOf(work.kind).fails;
  RequestReply reply{
      .exchange = *work.exchange,
      .refused = {},
      .result = "result of " + work.exchange->str() + " " + work.payload};
  reply.state = fails ? ExchangeState::kFailed : ExchangeState::kFinished;
  if (fails) reply.result = "failed";
  exchanges_[*work.exchange] = {reply, at};
  answers_.emplace_back(at + faults_.answer_delay, reply);
  if (events_.size() < kMaxEvents) {
    events_.push_back({at, false, {}, work.exchange});
  }
}

void WorkerModel::UpdateSlowdowns() {
  for (Work& work : running_) {
    const auto& slowdowns = BehaviourOf(work.kind).slowdown_by_neighbour;
    work.slowdown_permille = 1000;
    for (const Work& other : running_) {
      if (&other == &work) continue;
      const auto found = slowdowns.find(other.kind);
      if (found != slowdowns.end()) work.slowdown_permille += found->second;
    }
  }
}

void WorkerModel::RecordUsage(Time at) {
  if (!usage_.empty() && at - usage_.back().at < kUsageInterval) return;
  UsageSnapshot snapshot{at, {}};
  for (const Work& work : running_) {
    const std::int64_t permille = BehaviourOf(work.kind).use_permille;
    const Resources& declared = work.resources;
    const Resources used{MilliCores(declared.cpu.value() * permille / 1000),
                         MebiBytes(declared.memory.value() * permille / 1000),
                         declared.accelerators};
    snapshot.usage.push_back(
        {work.kind, used, Clock(at), work.slowdown_permille});
  }
  usage_.push_back(std::move(snapshot));
}

std::vector<UsageReport> WorkerModel::LaggingUsage(Time now) {
  const Time cutoff = now - options_.usage_lag;
  while (usage_.size() > 1 && usage_[1].at <= cutoff) usage_.pop_front();
  if (usage_.empty() || usage_.front().at > cutoff) return {};
  return usage_.front().usage;
}

void WorkerModel::RemoveExpired(Time now) {
  if (now - last_removal_ > options_.retention / kRemovalsPerRetention) {
    last_removal_ = now;
    EraseOlderThan(exchanges_, now - options_.retention);
    EraseOlderThan(closed_, now - options_.retention);
  }
  while (usage_.size() > 1 && usage_[1].at < now - options_.usage_lag) {
    usage_.pop_front();
  }
}

void WorkerModel::Pause(Time until, Time now) {
  ProcessUntil(now);
  paused_until_ = std::max(paused_until_, until);
}

void WorkerModel::Crash(Time now) {
  ProcessUntil(now);
  for (const Work& work : running_) {
    events_.push_back(
        {now, false, work.attempt, work.exchange, AttemptState::kStopped});
  }
  alive_ = false;
  running_.clear();
  ended_.clear();
  closed_.clear();
  exchanges_.clear();
  answers_.clear();
  usage_.clear();
  epoch_ = Epoch();
  owner_ = EntryHostId();
}

void WorkerModel::Restart(Time now) {
  if (alive_) Crash(now);
  alive_ = true;
  updated_ = now;
  paused_until_ = Time();
  incarnation_ = incarnation_.Next();
}

void WorkerModel::ObserveConnections(int open) {
  if (open > options_.connections) Violation("connections exceeded");
}

void WorkerModel::Violation(std::string text) {
  if (violations_.size() < kMaxViolations) {
    violations_.push_back(std::move(text));
  }
}

const KindBehaviour& WorkerModel::BehaviourOf(const KindId& kind) const {
  return options_.kinds.at(kind);
}

}  // namespace gypsumfall::standins
