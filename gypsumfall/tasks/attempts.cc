// Handles replies of workers and worker owners and derives from them which
// attempts run, ended or were never started.

#include <algorithm>
#include <string>
#include <vector>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

Time TaskTable::Impl::BackoffEnd(const Task& task, Time now) const {
  if (task.consecutive_refusals == 0) return now;
  constexpr int kMaxDoublings = 16;
  const int doublings = std::min(task.consecutive_refusals - 1, kMaxDoublings);
  return now + std::min(options_.first_backoff * (1 << doublings),
                        options_.longest_backoff);
}

void TaskTable::Impl::AvoidWorker(Task& task) {
  constexpr std::size_t kMaxAvoided = 3;
  task.avoid.push_back(task.durable.worker);
  if (task.avoid.size() > kMaxAvoided) task.avoid.erase(task.avoid.begin());
}

void TaskTable::Impl::ReservationFailed(Task& task, Time now) {
  ClearAttempt(task);
  ++task.consecutive_refusals;
  if (task.durable.state == TaskState::kQueued) {
    queue_.AddDelayed(EntryOf(task), BackoffEnd(task, now));
  }
}

void TaskTable::Impl::OnReservation(const AttemptId& id,
                                    const Result<WorkerClockReading>& granted,
                                    Time now, TaskActions& actions) {
  Task* const task = Find({id.customer, id.task});
  const bool awaited = task != nullptr && task->phase == Phase::kReserving &&
                       !task->change_id &&
                       id.number == task->durable.attempt.Next();
  if (!awaited || ownership_lost_) return;
  if (!granted || task->cancel_pending ||
      RecordReading(*granted, now, actions) == ReadingAge::kStale) {
    ReservationFailed(*task, now);
    return;
  }
  AppendTransition(*task,
                   IntentRecord{task->durable.key, id.number, granted->worker,
                                granted->incarnation},
                   actions);
}

void TaskTable::Impl::OnStartReply(const AttemptId& id,
                                   const StartAttemptReply& reply, Time now,
                                   TaskActions& actions) {
  Task* const task = FindAttempt(id);
  if (task == nullptr || task->change_id || task->phase != Phase::kStarting) {
    return;
  }
  if (!reply.refused) {
    // A worker only accepts starts that name its current incarnation.
    RecordReading(
        {task->durable.worker, task->durable.incarnation, reply.clock}, now,
        actions);
    MarkRunning(*task, now, actions);
    return;
  }
  AvoidWorker(*task);
  ++task->consecutive_refusals;
  if (task->start_sends == 1) {
    AppendStopped(*task, WasRun::kNo, actions);
    return;
  }
  // Another copy of the start may have been accepted or may still be in flight,
  // so the refusal does not prove that the attempt never ran.
  task->stop_requested = true;
  SendStop(*task, now, actions);
}

void TaskTable::Impl::OnStartUnknown(const AttemptId& id, Time now) {
  Task* const task = FindAttempt(id);
  if (task == nullptr || task->phase != Phase::kStarting) return;
  task->resend_at = now + options_.resend_interval;
  ScheduleExamination(task->resend_at);
}

WasRun TaskTable::Impl::KnownStart(const Task& task) const {
  if (task.started) return WasRun::kYes;
  return task.phase == Phase::kUnsent ? WasRun::kNo : WasRun::kUnknown;
}

void TaskTable::Impl::AppendStopped(Task& task, WasRun started,
                                    TaskActions& actions) {
  StoppedRecord record{task.durable.key,
                       task.durable.attempt,
                       started,
                       false,
                       false,
                       task.checkpoint,
                       {}};
  if (EncodeRecord(record).size() > options_.max_record_bytes) {
    record.checkpoint.clear();
  }
  AppendTransition(task, record, actions);
}

void TaskTable::Impl::AppendFailure(Task& task, const AttemptReport& report,
                                    TaskActions& actions) {
  AvoidWorker(task);
  const bool is_last_attempt =
      task.durable.failed_attempts + 1 >= options_.max_failed_attempts;
  StoppedRecord record{task.durable.key,
                       task.durable.attempt,
                       WasRun::kYes,
                       true,
                       is_last_attempt || !task.durable.spec.idempotent,
                       {},
                       report.result};
  if (EncodeRecord(record).size() > options_.max_record_bytes) {
    record.text = "the failure text exceeds a journal record";
  }
  AppendTransition(task, record, actions);
}

void TaskTable::Impl::AppendResult(Task& task, const AttemptReport& report,
                                   TaskActions& actions) {
  const DoneRecord done{task.durable.key, task.durable.attempt, report.result};
  if (EncodeRecord(done).size() <= options_.max_record_bytes) {
    AppendTransition(task, done, actions);
    return;
  }
  AppendTransition(task,
                   StoppedRecord{task.durable.key,
                                 task.durable.attempt,
                                 WasRun::kYes,
                                 true,
                                 true,
                                 {},
                                 "the result exceeds a journal record"},
                   actions);
}

TaskTable::Impl::ReadingAge TaskTable::Impl::RecordReading(
    const WorkerClockReading& reading, Time now, TaskActions& actions) {
  const ReceivedReading new_reading{reading.incarnation, reading.clock, now};
  const auto [known, added] =
      readings_.try_emplace(reading.worker, new_reading);
  ReceivedReading& newest = known->second;
  if (added) return ReadingAge::kNew;
  if (reading.incarnation < newest.incarnation) return ReadingAge::kStale;
  if (reading.incarnation > newest.incarnation) {
    newest = new_reading;
    StopSuperseded(reading.worker, reading.incarnation, actions);
    return ReadingAge::kNew;
  }
  if (reading.clock < newest.clock) return ReadingAge::kStale;
  // For a duplicate of the newest reading the first time of receipt stays,
  // because it gives the earlier lease expiry.
  if (reading.clock == newest.clock) return ReadingAge::kDuplicate;
  newest = new_reading;
  return ReadingAge::kNew;
}

void TaskTable::Impl::OnIncarnationChanged(const WorkerId& worker,
                                           Incarnation incarnation,
                                           TaskActions& actions) {
  // The clock of the new incarnation is unknown; ReadingFor() ignores readings
  // received at Time::min().
  ReceivedReading& newest = readings_[worker];
  if (incarnation <= newest.incarnation) return;
  newest = {incarnation, WorkerTime::min(), Time::min()};
  StopSuperseded(worker, incarnation, actions);
}

void TaskTable::Impl::StopSuperseded(const WorkerId& worker,
                                     Incarnation incarnation,
                                     TaskActions& actions) {
  const auto keys = by_worker_.find(worker);
  if (keys == by_worker_.end() || ownership_lost_) return;
  for (const TaskKey& key : keys->second) {
    Task& task = tasks_.at(key);
    if (task.change_id || task.refused_record) continue;
    if (task.durable.incarnation < incarnation) {
      AppendStopped(task, KnownStart(task), actions);
    }
  }
}

void TaskTable::Impl::OnReports(const WorkerClockReading& reading,
                                const std::vector<AttemptReport>& reports,
                                bool complete, Time now, TaskActions& actions) {
  if (ownership_lost_) return;
  const ReadingAge reading_age = RecordReading(reading, now, actions);
  if (reading.incarnation < readings_.at(reading.worker).incarnation) return;
  for (const AttemptReport& report : reports) {
    ProcessReport(report, reading, reading_age, now, actions);
  }
  if (complete && reading_age == ReadingAge::kNew) {
    StopUnlisted(reading, reports, now, actions);
  }
}

void TaskTable::Impl::ProcessReport(const AttemptReport& report,
                                    const WorkerClockReading& reading,
                                    ReadingAge reading_age, Time now,
                                    TaskActions& actions) {
  Task* const task = FindAttempt(report.id);
  if (task == nullptr || task->durable.worker != reading.worker ||
      task->durable.incarnation != reading.incarnation) {
    ProcessLateReport(report, reading, now, actions);
    return;
  }
  if (task->change_id || task->refused_record) return;
  if (reading_age != ReadingAge::kStale && !report.checkpoint.empty()) {
    task->checkpoint = report.checkpoint;
  }
  task->started = task->started || report.started;
  switch (report.state) {
    case AttemptState::kRunning:
      MarkRunning(*task, now, actions);
      return;
    case AttemptState::kFinished:
      AppendResult(*task, report, actions);
      return;
    case AttemptState::kFailed:
      AppendFailure(*task, report, actions);
      return;
    case AttemptState::kStopped:
      AppendStopped(*task, task->started ? WasRun::kYes : WasRun::kNo, actions);
      return;
  }
}

// Returns whether the journal proves that the attempt has ended.
bool TaskTable::Impl::HasAttemptEnded(const AttemptId& id, Time now) const {
  const auto found = tasks_.find({id.customer, id.task});
  // The task was dropped, or only a newer owner of the partition knows it.
  if (found == tasks_.end()) return HoldsHostLease(now);
  const DurableTask& durable = found->second.durable;
  if (durable.state == TaskState::kStarting) return id.number < durable.attempt;
  return id.number <= durable.attempt;
}

void TaskTable::Impl::ProcessLateReport(const AttemptReport& report,
                                        const WorkerClockReading& reading,
                                        Time now, TaskActions& actions) {
  ++late_reports_;
  if (!HasAttemptEnded(report.id, now)) return;
  if (report.state == AttemptState::kRunning) {
    actions.emplace_back(
        StopAttempt{report.id, reading.worker, reading.incarnation});
  } else {
    actions.emplace_back(
        AcknowledgeAttempt{report.id, reading.worker, reading.incarnation});
  }
}

void TaskTable::Impl::MarkRunning(Task& task, Time now, TaskActions& actions) {
  task.started = true;
  task.consecutive_refusals = 0;
  if (task.phase == Phase::kRunning) return;
  // The lease of an adopted attempt may be about to expire, so it is renewed at
  // once.
  const bool adopted = task.phase == Phase::kAdopting;
  task.renew_at = adopted ? now : NextRenewal(now);
  task.phase = Phase::kRunning;
  ScheduleExamination(task.renew_at);
  actions.emplace_back(Notify{StatusOf(task)});
}

void TaskTable::Impl::StopUnlisted(const WorkerClockReading& reading,
                                   const std::vector<AttemptReport>& reports,
                                   Time now, TaskActions& actions) {
  const auto keys = by_worker_.find(reading.worker);
  if (keys == by_worker_.end()) return;
  for (const TaskKey& key : keys->second) {
    Task& task = tasks_.at(key);
    const bool expected =
        (task.phase == Phase::kRunning || task.phase == Phase::kAdopting) &&
        task.durable.incarnation == reading.incarnation;
    if (!expected || task.change_id || task.refused_record ||
        task.stop_requested) {
      continue;
    }
    const AttemptId id = CurrentId(task);
    const bool listed =
        std::any_of(reports.begin(), reports.end(),
                    [&id](const AttemptReport& r) { return r.id == id; });
    if (listed) continue;
    // The stop closes the attempt number, so that the worker rejects a delayed
    // start of it.
    task.stop_requested = true;
    SendStop(task, now, actions);
  }
}

}  // namespace gypsumfall
