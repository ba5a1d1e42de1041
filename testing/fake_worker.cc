#include "testing/fake_worker.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace gypsumfall::testing {

void FakeWorker::AdvanceTo(Time now) {
  const double elapsed = static_cast<double>(now.time_since_epoch().count());
  clock_ =
      WorkerTime(Duration(static_cast<Duration::rep>(elapsed * clock_rate_)));
  for (auto& [id, attempt] : attempts_) {
    const bool running = attempt.report.state == AttemptState::kRunning;
    if (running && attempt.report.lease_until <= clock_) {
      EndAttempt(attempt, AttemptState::kStopped, Event::Type::kInterrupted);
    }
  }
}

void FakeWorker::EndAttempt(Attempt& attempt, AttemptState state,
                            Event::Type type) {
  AttemptReport& report = attempt.report;
  report.state = state;
  if (state == AttemptState::kFinished) {
    // Identifies the attempt, so that two results of one task differ.
    report.result = id_.str() + "/" + std::to_string(incarnation_.value()) +
                    "/" + std::to_string(report.id.number.value());
  }
  --running_;
  const TaskKey task{report.id.customer, report.id.task};
  AttemptNumber& closed = closed_[task];
  closed = std::max(closed, report.id.number);
  history_->push_back({type, task, report.id.number, id_, report.result});
}

void FakeWorker::Restart() {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.report.state == AttemptState::kRunning) {
      EndAttempt(attempt, AttemptState::kStopped, Event::Type::kInterrupted);
    }
  }
  attempts_.clear();
  closed_.clear();
  incarnation_ = incarnation_.Next();
}

StartAttemptReply FakeWorker::Start(const StartAttempt& call) {
  if (call.incarnation != incarnation_) {
    return {RefusalReason::kStaleEpoch, clock_};
  }
  const TaskKey task{call.id.customer, call.id.task};
  const auto known = attempts_.find(call.id);
  if (known != attempts_.end() &&
      known->second.report.state == AttemptState::kRunning) {
    return {{}, clock_};
  }
  if (call.id.number <= closed_[task]) return {RefusalReason::kClosed, clock_};
  if (call.lease_until <= clock_) return {RefusalReason::kExpired, clock_};
  if (!HasFreeSlot()) return {RefusalReason::kNoSlot, clock_};
  AttemptReport report;
  report.id = call.id;
  report.started = true;
  report.checkpoint = call.checkpoint;
  report.lease_until = call.lease_until;
  attempts_[call.id] = {report, call.task_epoch};
  ++running_;
  history_->push_back(
      {Event::Type::kStarted, task, call.id.number, id_, call.checkpoint});
  return {{}, clock_};
}

void FakeWorker::Renew(const RenewAttempt& call) {
  const auto known = attempts_.find(call.id);
  if (known == attempts_.end() || call.incarnation != incarnation_) return;
  Attempt& attempt = known->second;
  if (call.task_epoch < attempt.task_epoch) return;
  attempt.task_epoch = call.task_epoch;
  attempt.report.lease_until =
      std::max(attempt.report.lease_until, call.lease_until);
}

AttemptReport FakeWorker::Stop(const StopAttempt& call) {
  const auto known = attempts_.find(call.id);
  if (known != attempts_.end()) {
    Attempt& attempt = known->second;
    if (attempt.report.state == AttemptState::kRunning) {
      EndAttempt(attempt, AttemptState::kStopped, Event::Type::kInterrupted);
    }
    return attempt.report;
  }
  AttemptNumber& closed = closed_[{call.id.customer, call.id.task}];
  closed = std::max(closed, call.id.number);
  AttemptReport report;
  report.id = call.id;
  report.state = AttemptState::kStopped;
  return report;
}

void FakeWorker::Acknowledge(const AcknowledgeAttempt& call) {
  const auto known = attempts_.find(call.id);
  if (known != attempts_.end() &&
      known->second.report.state != AttemptState::kRunning) {
    attempts_.erase(known);
  }
}

void FakeWorker::ProgressAttempt(std::uint64_t random) {
  if (attempts_.empty()) return;
  constexpr std::uint64_t kOutcomes = 10;
  const auto chosen = std::next(
      attempts_.begin(),
      static_cast<std::ptrdiff_t>(random / kOutcomes % attempts_.size()));
  Attempt& attempt = chosen->second;
  if (attempt.report.state != AttemptState::kRunning) return;
  const std::uint64_t outcome = random % kOutcomes;
  if (outcome == 0) {
    EndAttempt(attempt, AttemptState::kFailed, Event::Type::kFailed);
  } else if (outcome < kOutcomes / 2) {
    EndAttempt(attempt, AttemptState::kFinished, Event::Type::kFinished);
  } else if (outcome == kOutcomes - 1) {
    attempt.report.checkpoint =
        "checkpoint " + std::to_string(attempt.report.id.number.value());
  }
}

std::vector<AttemptReport> FakeWorker::Reports() const {
  std::vector<AttemptReport> reports;
  reports.reserve(attempts_.size());
  for (const auto& [id, attempt] : attempts_) reports.push_back(attempt.report);
  return reports;
}

}  // namespace gypsumfall::testing
