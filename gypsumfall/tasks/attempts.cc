// Answers of workers and worker owners, and what they prove about attempts.

#include <algorithm>
#include <string>
#include <vector>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

Time TaskTable::Impl::BackoffEnd(const Task& task, Time now) const {
  if (task.refusals == 0) return now;
  constexpr int kMaxDoublings = 16;
  const int doublings = std::min(task.refusals - 1, kMaxDoublings);
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
  ++task.refusals;
  if (task.durable.state == TaskState::kQueued) {
    queue_.AddLater(EntryOf(task), BackoffEnd(task, now));
  }
}

void TaskTable::Impl::OnReservation(const AttemptId& id,
                                    const Result<WorkerReading>& granted,
                                    Time now, TaskActions& actions) {
  Task* const task = Find({id.customer, id.task});
  const bool awaited = task != nullptr && task->phase == Phase::kReserving &&
                       !task->transition &&
                       id.number == task->durable.attempt.Next();
  if (!awaited || lost_) return;
  if (!granted || task->cancel_pending ||
      NoteReading(*granted, now, actions) == Freshness::kLate) {
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
  if (task == nullptr || task->transition || task->phase != Phase::kStarting) {
    return;
  }
  if (!reply.refused) {
    // The worker starts attempts of its own incarnation only.
    NoteReading({task->durable.worker, task->durable.incarnation, reply.clock},
                now, actions);
    TakeRunning(*task, now, actions);
    return;
  }
  AvoidWorker(*task);
  ++task->refusals;
  if (task->start_sends == 1) {
    Conclude(*task, WasRun::kNo, actions);
    return;
  }
  // Another copy of the start may have been accepted, or may yet arrive.
  task->stop_wanted = true;
  SendStop(*task, now, actions);
}

void TaskTable::Impl::OnStartUnknown(const AttemptId& id, Time now) {
  Task* const task = FindAttempt(id);
  if (task == nullptr || task->phase != Phase::kStarting) return;
  task->resend_at = now + options_.resend_interval;
  Attend(task->resend_at);
}

WasRun TaskTable::Impl::StartedSoFar(const Task& task) const {
  if (task.started) return WasRun::kYes;
  return task.phase == Phase::kUnsent ? WasRun::kNo : WasRun::kUnknown;
}

void TaskTable::Impl::Conclude(Task& task, WasRun started,
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

void TaskTable::Impl::ConcludeFailed(Task& task, const AttemptReport& report,
                                     TaskActions& actions) {
  AvoidWorker(task);
  const bool last =
      task.durable.failed_attempts + 1 >= options_.max_failed_attempts;
  StoppedRecord record{task.durable.key,
                       task.durable.attempt,
                       WasRun::kYes,
                       true,
                       last || !task.durable.spec.idempotent,
                       {},
                       report.result};
  if (EncodeRecord(record).size() > options_.max_record_bytes) {
    record.text = "the failure text exceeds a journal record";
  }
  AppendTransition(task, record, actions);
}

void TaskTable::Impl::ConcludeDone(Task& task, const AttemptReport& report,
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

TaskTable::Impl::Freshness TaskTable::Impl::NoteReading(
    const WorkerReading& reading, Time now, TaskActions& actions) {
  const Reading taken{reading.incarnation, reading.clock, now};
  const auto [known, added] = readings_.try_emplace(reading.worker, taken);
  Reading& newest = known->second;
  if (added) return Freshness::kNew;
  if (reading.incarnation < newest.incarnation) return Freshness::kLate;
  if (reading.incarnation > newest.incarnation) {
    newest = taken;
    ConcludeSuperseded(reading.worker, reading.incarnation, actions);
    return Freshness::kNew;
  }
  if (reading.clock < newest.clock) return Freshness::kLate;
  // A copy of a known reading leaves the earlier time of receipt, which gives
  // the earlier end of a lease.
  if (reading.clock == newest.clock) return Freshness::kKnown;
  newest = taken;
  return Freshness::kNew;
}

void TaskTable::Impl::OnIncarnationChanged(const WorkerId& worker,
                                           Incarnation incarnation,
                                           TaskActions& actions) {
  // No clock is known; a reading from the start of time is never used.
  Reading& newest = readings_[worker];
  if (incarnation <= newest.incarnation) return;
  newest = {incarnation, WorkerTime::min(), Time::min()};
  ConcludeSuperseded(worker, incarnation, actions);
}

void TaskTable::Impl::ConcludeSuperseded(const WorkerId& worker,
                                         Incarnation incarnation,
                                         TaskActions& actions) {
  const auto keys = by_worker_.find(worker);
  if (keys == by_worker_.end() || lost_) return;
  for (const TaskKey& key : keys->second) {
    Task& task = tasks_.at(key);
    if (task.transition || task.unsaved) continue;
    if (task.durable.incarnation < incarnation) {
      Conclude(task, StartedSoFar(task), actions);
    }
  }
}

void TaskTable::Impl::OnReports(const WorkerReading& reading,
                                const std::vector<AttemptReport>& reports,
                                bool complete, Time now, TaskActions& actions) {
  if (lost_) return;
  const Freshness freshness = NoteReading(reading, now, actions);
  if (reading.incarnation < readings_.at(reading.worker).incarnation) return;
  for (const AttemptReport& report : reports) {
    TakeReport(report, reading, freshness, now, actions);
  }
  if (complete && freshness == Freshness::kNew) {
    StopUnlisted(reading, reports, now, actions);
  }
}

void TaskTable::Impl::TakeReport(const AttemptReport& report,
                                 const WorkerReading& reading,
                                 Freshness freshness, Time now,
                                 TaskActions& actions) {
  Task* const task = FindAttempt(report.id);
  if (task == nullptr || task->durable.worker != reading.worker ||
      task->durable.incarnation != reading.incarnation) {
    TakeLateReport(report, reading, now, actions);
    return;
  }
  if (task->transition || task->unsaved) return;
  if (freshness != Freshness::kLate && !report.checkpoint.empty()) {
    task->checkpoint = report.checkpoint;
  }
  task->started = task->started || report.started;
  switch (report.state) {
    case AttemptState::kRunning:
      TakeRunning(*task, now, actions);
      return;
    case AttemptState::kFinished:
      ConcludeDone(*task, report, actions);
      return;
    case AttemptState::kFailed:
      ConcludeFailed(*task, report, actions);
      return;
    case AttemptState::kStopped:
      Conclude(*task, task->started ? WasRun::kYes : WasRun::kNo, actions);
      return;
  }
}

// Whether the journal shows that an attempt is over.
bool TaskTable::Impl::IsOver(const AttemptId& id, Time now) const {
  const auto found = tasks_.find({id.customer, id.task});
  // The task was dropped, or it belongs to a newer owner.
  if (found == tasks_.end()) return CertainlyOwner(now);
  const DurableTask& durable = found->second.durable;
  if (durable.state == TaskState::kStarting) return id.number < durable.attempt;
  return id.number <= durable.attempt;
}

void TaskTable::Impl::TakeLateReport(const AttemptReport& report,
                                     const WorkerReading& reading, Time now,
                                     TaskActions& actions) {
  ++late_reports_;
  if (!IsOver(report.id, now)) return;
  if (report.state == AttemptState::kRunning) {
    actions.emplace_back(
        StopAttempt{report.id, reading.worker, reading.incarnation});
  } else {
    actions.emplace_back(
        AcknowledgeAttempt{report.id, reading.worker, reading.incarnation});
  }
}

void TaskTable::Impl::TakeRunning(Task& task, Time now, TaskActions& actions) {
  task.started = true;
  task.refusals = 0;
  if (task.phase == Phase::kRunning) return;
  // An adopted attempt's lease may be about to end.
  const bool adopted = task.phase == Phase::kAdopting;
  task.renew_at = adopted ? now : NextRenewal(now);
  task.phase = Phase::kRunning;
  Attend(task.renew_at);
  actions.emplace_back(Notify{StatusOf(task)});
}

void TaskTable::Impl::StopUnlisted(const WorkerReading& reading,
                                   const std::vector<AttemptReport>& reports,
                                   Time now, TaskActions& actions) {
  const auto keys = by_worker_.find(reading.worker);
  if (keys == by_worker_.end()) return;
  for (const TaskKey& key : keys->second) {
    Task& task = tasks_.at(key);
    const bool expected =
        (task.phase == Phase::kRunning || task.phase == Phase::kAdopting) &&
        task.durable.incarnation == reading.incarnation;
    if (!expected || task.transition || task.unsaved || task.stop_wanted) {
      continue;
    }
    const AttemptId id = CurrentId(task);
    const bool listed =
        std::any_of(reports.begin(), reports.end(),
                    [&id](const AttemptReport& r) { return r.id == id; });
    if (listed) continue;
    // The number is closed, so that a delayed start cannot revive it.
    task.stop_wanted = true;
    SendStop(task, now, actions);
  }
}

}  // namespace gypsumfall
