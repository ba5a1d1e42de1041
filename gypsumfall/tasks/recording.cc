// Changes the durable state: appends records, applies them once they are
// durable, and restores the state at a takeover.

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

JournalRecordId TaskTable::Impl::Append(const TaskRecord& record,
                                        TaskActions& actions) {
  const JournalRecordId record_id(++last_record_id_);
  actions.emplace_back(AppendRecord{record_id, EncodeRecord(record)});
  pending_records_.emplace(record_id, record);
  return record_id;
}

void TaskTable::Impl::AppendTransition(Task& task, const TaskRecord& record,
                                       TaskActions& actions) {
  // `record` may alias `refused_record`, so it is reset only after the append.
  task.change_id = Append(record, actions);
  task.refused_record.reset();
}

void TaskTable::Impl::AppendCancel(Task& task, TaskActions& actions) {
  task.cancel_pending = true;
  Append(CancelRecord{task.durable.key}, actions);
}

void TaskTable::Impl::OnRecordDurable(JournalRecordId record_id, Time now,
                                      TaskActions& actions) {
  const auto node = pending_records_.extract(record_id);
  if (node.empty()) return;
  const TaskRecord& record = node.mapped();
  Task* const task = Find(KeyOf(record));
  if (task == nullptr) return;
  const TaskState previous = task->durable.state;
  if (std::holds_alternative<CancelRecord>(record)) {
    task->cancel_pending = false;
  } else if (task->change_id == record_id) {
    task->change_id.reset();
  }
  if (std::holds_alternative<AcceptedRecord>(record)) {
    OnAccepted(*task, actions);
    return;
  }
  // The record belongs to a dropped task whose id has been submitted again.
  if (previous == TaskState::kAccepting) return;
  if (Apply(record, task->durable)) OnChanged(*task, previous, now, actions);
}

void TaskTable::Impl::OnAccepted(Task& task, TaskActions& actions) {
  task.durable.state = TaskState::kQueued;
  queue_.Add(EntryOf(task));
  actions.emplace_back(Notify{StatusOf(task)});
  if (std::exchange(task.cancel_on_accept, false)) AppendCancel(task, actions);
}

// Updates the in-memory state of a task after a durable change.
void TaskTable::Impl::OnChanged(Task& task, TaskState previous, Time now,
                                TaskActions& actions) {
  const DurableTask& durable = task.durable;
  if (previous == TaskState::kQueued && !IsQueued(task)) {
    CountQueued(durable.key.customer, -1);
  }
  const bool has_attempt = durable.state == TaskState::kStarting;
  if (previous == TaskState::kStarting && !has_attempt) {
    OnAttemptEnded(task, now, actions);
  } else if (previous == TaskState::kQueued && has_attempt) {
    OnIntentDurable(task, now, actions);
  } else if (durable.ended()) {
    if (task.phase == Phase::kReserving) ClearAttempt(task);
  } else if (has_attempt && durable.cancel_requested) {
    task.stop_requested = true;
    SendStop(task, now, actions);
  }
  actions.emplace_back(Notify{StatusOf(task)});
  if (durable.ended()) RetainEnded(task, now);
}

void TaskTable::Impl::OnIntentDurable(Task& task, Time now,
                                      TaskActions& actions) {
  task.phase = Phase::kUnsent;
  task.started = false;
  task.start_sends = 0;
  task.stop_requested = false;
  // An intent whose start is not sent within this time is abandoned.
  task.expires_at = now + options_.renew_interval;
  by_worker_[task.durable.worker].insert(task.durable.key);
  SendStart(task, now, actions);
}

void TaskTable::Impl::OnAttemptEnded(Task& task, Time now,
                                     TaskActions& actions) {
  const DurableTask& durable = task.durable;
  actions.emplace_back(
      AcknowledgeAttempt{CurrentId(task), durable.worker, durable.incarnation});
  if (durable.state == TaskState::kDone) ++results_accepted_;
  const auto worker = by_worker_.find(durable.worker);
  if (worker != by_worker_.end()) {
    worker->second.erase(durable.key);
    if (worker->second.empty()) by_worker_.erase(worker);
  }
  ClearAttempt(task);
  if (durable.state == TaskState::kQueued) {
    CountQueued(durable.key.customer, 1);
    queue_.AddDelayed(EntryOf(task), BackoffEnd(task, now));
  }
}

void TaskTable::Impl::ClearAttempt(Task& task) {
  task.phase = Phase::kNone;
  task.refused_record.reset();
  task.stop_requested = false;
  task.checkpoint.clear();
  task.expires_at = Time::max();
  active_.erase(task.durable.key);
  queue_.Release(task.durable.key.customer);
}

void TaskTable::Impl::OnRecordUnknown(JournalRecordId record_id,
                                      TaskActions& actions) {
  ownership_lost_ = true;
  const auto node = pending_records_.extract(record_id);
  Task* const task = node.empty() ? nullptr : Find(KeyOf(node.mapped()));
  if (task == nullptr) return;
  TaskStatus status = StatusOf(*task);
  status.error = Error{ErrorKind::kOutcomeUnknown,
                       "the partition moved while the call was being stored"};
  actions.emplace_back(Notify{std::move(status)});
}

void TaskTable::Impl::OnRecordRefused(JournalRecordId record_id, Time now,
                                      ErrorKind reason, TaskActions& actions) {
  const auto node = pending_records_.extract(record_id);
  Task* const task = node.empty() ? nullptr : Find(KeyOf(node.mapped()));
  if (task == nullptr) return;
  TaskRecord& record = node.mapped();
  const bool accepting = std::holds_alternative<AcceptedRecord>(record);
  const bool cancel = std::holds_alternative<CancelRecord>(record);
  if (accepting || cancel) {
    TaskStatus status = StatusOf(*task);
    status.error = Error{reason, "the journal did not take the record"};
    if (accepting) status.was_run = WasRun::kNo;
    actions.emplace_back(Notify{std::move(status)});
  }
  if (accepting) {
    CountQueued(task->durable.key.customer, -1);
    tasks_.erase(KeyOf(record));
  } else if (cancel) {
    task->cancel_pending = false;
  } else if (std::holds_alternative<IntentRecord>(record)) {
    task->change_id.reset();
    // A durable cancellation may already have ended the task.
    if (task->phase == Phase::kReserving) ReservationFailed(*task, now);
  } else {
    task->change_id.reset();
    task->refused_record = std::move(record);
    task->resend_at = now + options_.resend_interval;
    ScheduleExamination(task->resend_at);
  }
}

std::string TaskTable::Impl::Snapshot() const {
  TaskSnapshot snapshot{attempt_floor_, {}};
  for (const auto& [key, task] : tasks_) {
    if (task.durable.state != TaskState::kAccepting) {
      snapshot.tasks.push_back(task.durable);
    }
  }
  return EncodeSnapshot(snapshot);
}

Result<void> TaskTable::Impl::Restore(const std::string& snapshot,
                                      const std::vector<std::string>& records,
                                      Time takeover_time) {
  if (!snapshot.empty()) {
    auto decoded = DecodeSnapshot(snapshot);
    if (!decoded) return tl::unexpected<Error>(decoded.error());
    attempt_floor_ = decoded->attempt_floor;
    for (DurableTask& task : decoded->tasks) {
      const TaskKey key = task.key;
      tasks_[key].durable = std::move(task);
    }
  }
  for (const std::string& text : records) {
    const auto record = DecodeRecord(text);
    if (!record) return tl::unexpected<Error>(record.error());
    RestoreRecord(*record);
  }
  for (auto& [key, task] : tasks_) Resume(task, takeover_time);
  return {};
}

void TaskTable::Impl::RestoreRecord(const TaskRecord& record) {
  if (const auto* accepted = std::get_if<AcceptedRecord>(&record)) {
    // Replaces an ended task with the same id that the previous owner dropped.
    tasks_[accepted->key].durable = NewTask(*accepted);
    attempt_floor_ = std::max(attempt_floor_, accepted->previous_attempt);
  } else if (Task* const task = Find(KeyOf(record))) {
    Apply(record, task->durable);
  }
}

void TaskTable::Impl::Resume(Task& task, Time takeover_time) {
  const DurableTask& durable = task.durable;
  last_arrival_ = std::max(last_arrival_, durable.arrival);
  if (durable.ended()) {
    RetainEnded(task, takeover_time);
  } else if (durable.state == TaskState::kQueued) {
    CountQueued(durable.key.customer, 1);
    queue_.Add(EntryOf(task));
  } else {
    task.phase = Phase::kAdopting;
    task.stop_requested = durable.cancel_requested;
    task.expires_at = takeover_time + durable.spec.run_without_contact +
                      options_.attempt_lease + options_.lease_margin;
    task.resend_at = takeover_time;
    active_.insert(durable.key);
    by_worker_[durable.worker].insert(durable.key);
    queue_.CountRunning(durable.key.customer);
    ScheduleExamination(takeover_time);
  }
}

void TaskTable::Impl::CountQueued(const CustomerId& customer, int change) {
  const auto queued = queued_.try_emplace(customer, 0).first;
  queued->second += static_cast<std::size_t>(change);
  if (queued->second == 0) queued_.erase(queued);
}

void TaskTable::Impl::RetainEnded(const Task& task, Time now) {
  const Ended ended{now, task.durable.key, task.durable.arrival};
  ended_.push_back(ended);
  auto& customer_ended = ended_by_customer_[ended.key.customer];
  customer_ended.push_back(ended);
  while (customer_ended.size() > options_.max_ended_per_customer) {
    const Ended oldest = customer_ended.front();
    customer_ended.pop_front();
    EraseEnded(oldest);
  }
  if (customer_ended.empty()) ended_by_customer_.erase(ended.key.customer);
}

void TaskTable::Impl::EraseEnded(const Ended& ended) {
  const Task* const task = Find(ended.key);
  if (task == nullptr || task->durable.arrival != ended.arrival) return;
  attempt_floor_ = std::max(attempt_floor_, task->durable.attempt);
  tasks_.erase(ended.key);
}

}  // namespace gypsumfall
