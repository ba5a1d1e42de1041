// Changes of the durable state: appended records, their outcome, recovery.

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

JournalTicket TaskTable::Impl::Append(const TaskRecord& record,
                                      TaskActions& actions) {
  const JournalTicket ticket(++last_ticket_);
  actions.emplace_back(AppendRecord{ticket, EncodeRecord(record)});
  pending_.emplace(ticket, record);
  return ticket;
}

void TaskTable::Impl::AppendTransition(Task& task, const TaskRecord& record,
                                       TaskActions& actions) {
  // The record may be the unsaved one.
  task.transition = Append(record, actions);
  task.unsaved.reset();
}

void TaskTable::Impl::AppendCancel(Task& task, TaskActions& actions) {
  task.cancel_pending = true;
  Append(CancelRecord{task.durable.key}, actions);
}

void TaskTable::Impl::OnDurable(JournalTicket ticket, Time now,
                                TaskActions& actions) {
  const auto node = pending_.extract(ticket);
  if (node.empty()) return;
  const TaskRecord& record = node.mapped();
  Task* const task = Find(KeyOf(record));
  if (task == nullptr) return;
  const TaskState before = task->durable.state;
  if (std::holds_alternative<CancelRecord>(record)) {
    task->cancel_pending = false;
  } else if (task->transition == ticket) {
    task->transition.reset();
  }
  if (std::holds_alternative<AcceptedRecord>(record)) {
    OnAccepted(*task, actions);
    return;
  }
  // The record is about an ended task that was dropped and submitted anew.
  if (before == TaskState::kAccepting) return;
  if (Apply(record, task->durable)) Settle(*task, before, now, actions);
}

void TaskTable::Impl::OnAccepted(Task& task, TaskActions& actions) {
  task.durable.state = TaskState::kQueued;
  queue_.Add(EntryOf(task));
  actions.emplace_back(Notify{StatusOf(task)});
  if (std::exchange(task.cancel_wanted, false)) AppendCancel(task, actions);
}

// Brings what is known in memory in line with a durable change.
void TaskTable::Impl::Settle(Task& task, TaskState before, Time now,
                             TaskActions& actions) {
  const DurableTask& durable = task.durable;
  if (before == TaskState::kQueued && !IsQueued(task)) {
    CountQueued(durable.key.customer, -1);
  }
  const bool has_attempt = durable.state == TaskState::kStarting;
  if (before == TaskState::kStarting && !has_attempt) {
    OnAttemptOver(task, now, actions);
  } else if (before == TaskState::kQueued && has_attempt) {
    OnIntentDurable(task, now, actions);
  } else if (durable.ended()) {
    if (task.phase == Phase::kReserving) ClearAttempt(task);
  } else if (has_attempt && durable.cancel_requested) {
    task.stop_wanted = true;
    SendStop(task, now, actions);
  }
  actions.emplace_back(Notify{StatusOf(task)});
  if (durable.ended()) KeepEnded(task, now);
}

void TaskTable::Impl::OnIntentDurable(Task& task, Time now,
                                      TaskActions& actions) {
  task.phase = Phase::kUnsent;
  task.started = false;
  task.start_sends = 0;
  task.stop_wanted = false;
  // An intent that is not sent in this time is given up.
  task.over_at = now + options_.renew_interval;
  by_worker_[task.durable.worker].insert(task.durable.key);
  SendStart(task, now, actions);
}

void TaskTable::Impl::OnAttemptOver(Task& task, Time now,
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
    queue_.AddLater(EntryOf(task), BackoffEnd(task, now));
  }
}

void TaskTable::Impl::ClearAttempt(Task& task) {
  task.phase = Phase::kNone;
  task.unsaved.reset();
  task.stop_wanted = false;
  task.checkpoint.clear();
  task.over_at = Time::max();
  active_.erase(task.durable.key);
  queue_.Release(task.durable.key.customer);
}

void TaskTable::Impl::OnLost(JournalTicket ticket, TaskActions& actions) {
  lost_ = true;
  const auto node = pending_.extract(ticket);
  Task* const task = node.empty() ? nullptr : Find(KeyOf(node.mapped()));
  if (task == nullptr) return;
  TaskStatus status = StatusOf(*task);
  status.error = Error{ErrorKind::kOutcomeUnknown,
                       "the partition moved while the call was being stored"};
  actions.emplace_back(Notify{std::move(status)});
}

void TaskTable::Impl::OnRefused(JournalTicket ticket, Time now,
                                ErrorKind reason, TaskActions& actions) {
  const auto node = pending_.extract(ticket);
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
    task->transition.reset();
    // A durable cancellation may have ended the task before.
    if (task->phase == Phase::kReserving) ReservationFailed(*task, now);
  } else {
    task->transition.reset();
    task->unsaved = std::move(record);
    task->resend_at = now + options_.resend_interval;
    Attend(task->resend_at);
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
    // The previous owner dropped an ended task with the same id.
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
    KeepEnded(task, takeover_time);
  } else if (durable.state == TaskState::kQueued) {
    CountQueued(durable.key.customer, 1);
    queue_.Add(EntryOf(task));
  } else {
    task.phase = Phase::kAdopting;
    task.stop_wanted = durable.cancel_requested;
    task.over_at = takeover_time + durable.spec.run_without_contact +
                   options_.attempt_lease + options_.lease_margin;
    task.resend_at = takeover_time;
    active_.insert(durable.key);
    by_worker_[durable.worker].insert(durable.key);
    queue_.CountRunning(durable.key.customer);
    Attend(takeover_time);
  }
}

void TaskTable::Impl::CountQueued(const CustomerId& customer, int change) {
  const auto queued = queued_.try_emplace(customer, 0).first;
  queued->second += static_cast<std::size_t>(change);
  if (queued->second == 0) queued_.erase(queued);
}

void TaskTable::Impl::KeepEnded(const Task& task, Time now) {
  const Ended ended{now, task.durable.key, task.durable.arrival};
  ended_.push_back(ended);
  auto& kept = ended_by_customer_[ended.key.customer];
  kept.push_back(ended);
  while (kept.size() > options_.max_ended_per_customer) {
    const Ended oldest = kept.front();
    kept.pop_front();
    Drop(oldest);
  }
  if (kept.empty()) ended_by_customer_.erase(ended.key.customer);
}

void TaskTable::Impl::Drop(const Ended& ended) {
  const Task* const task = Find(ended.key);
  if (task == nullptr || task->durable.arrival != ended.arrival) return;
  attempt_floor_ = std::max(attempt_floor_, task->durable.attempt);
  tasks_.erase(ended.key);
}

}  // namespace gypsumfall
