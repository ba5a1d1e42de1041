// Handles submit, cancel, status, list and evict calls.

#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

AttemptId TaskTable::Impl::CurrentId(const Task& task) {
  const DurableTask& durable = task.durable;
  return {durable.key.customer, durable.key.task, durable.attempt};
}

PlacementQueue::Entry TaskTable::Impl::EntryOf(const Task& task) {
  return {task.durable.spec.urgency, task.durable.arrival, task.durable.key};
}

bool TaskTable::Impl::IsQueued(const Task& task) {
  return task.durable.state == TaskState::kAccepting ||
         task.durable.state == TaskState::kQueued;
}

TaskTable::Impl::Task* TaskTable::Impl::Find(const TaskKey& key) {
  const auto found = tasks_.find(key);
  return found == tasks_.end() ? nullptr : &found->second;
}

TaskTable::Impl::Task* TaskTable::Impl::FindAttempt(const AttemptId& id) {
  Task* const task = Find({id.customer, id.task});
  const bool current = task != nullptr &&
                       task->durable.state == TaskState::kStarting &&
                       task->durable.attempt == id.number;
  return current ? task : nullptr;
}

TaskStatus TaskTable::Impl::StatusOf(const Task& task) const {
  const DurableTask& durable = task.durable;
  TaskStatus status;
  status.key = durable.key;
  status.state = durable.state;
  if (task.phase == Phase::kRunning) status.state = TaskState::kRunning;
  status.attempt = durable.attempt;
  if (durable.ended()) status.was_run = durable.ran;
  status.cancel_requested = durable.cancel_requested;
  status.result = durable.result;
  return status;
}

Result<TaskStatus> TaskTable::Impl::Submit(const TaskKey& key,
                                           const TaskSpec& spec,
                                           std::string payload,
                                           const TaskLimits& limits,
                                           Time /*now*/, TaskActions& actions) {
  if (ownership_lost_) {
    return Fail(ErrorKind::kOwnerUnavailable, "the partition has moved");
  }
  SetLimits(key.customer, limits);
  if (const Task* existing = Find(key)) {
    if (existing->durable.content_hash == ContentHash(spec.kind, payload)) {
      return StatusOf(*existing);
    }
    return Fail(ErrorKind::kConflict,
                "task " + key.task.str() + " exists with other content");
  }
  while (tasks_.size() >= options_.max_tasks && !ended_.empty()) {
    DropOldestEnded();
  }
  if (tasks_.size() >= options_.max_tasks) {
    return Fail(ErrorKind::kQueueFull, "the partition holds too many tasks");
  }
  if (queued_[key.customer] >= limits.queued) {
    return Fail(ErrorKind::kQueueFull,
                "the customer's queued tasks are at the limit");
  }
  const AcceptedRecord record{key, spec, std::move(payload), last_arrival_ + 1,
                              attempt_floor_};
  if (EncodeRecord(record).size() > options_.max_record_bytes) {
    return Fail(ErrorKind::kTooLarge, "the payload exceeds a journal record");
  }
  ++last_arrival_;
  Task& task = tasks_[key];
  task.durable = NewTask(record);
  task.durable.state = TaskState::kAccepting;
  CountQueued(key.customer, 1);
  task.change_id = Append(record, actions);
  return StatusOf(task);
}

Result<TaskStatus> TaskTable::Impl::Cancel(const TaskKey& key,
                                           TaskActions& actions) {
  if (ownership_lost_) {
    return Fail(ErrorKind::kOwnerUnavailable, "the partition has moved");
  }
  Task* const task = Find(key);
  if (task == nullptr) return Fail(ErrorKind::kNotFound, key.task.str());
  const DurableTask& durable = task->durable;
  if (durable.state == TaskState::kAccepting) {
    task->cancel_on_accept = true;
  } else if (!durable.ended() && !durable.cancel_requested &&
             !task->cancel_pending) {
    AppendCancel(*task, actions);
  }
  return StatusOf(*task);
}

void TaskTable::Impl::Evict(const AttemptId& id, Time now,
                            TaskActions& actions) {
  Task* const task = FindAttempt(id);
  if (task == nullptr || task->stop_requested) return;
  task->stop_requested = true;
  SendStop(*task, now, actions);
}

void TaskTable::Impl::SetLimits(const CustomerId& customer,
                                const TaskLimits& limits) {
  queue_.SetLimit(customer, limits.running);
}

Result<TaskStatus> TaskTable::Impl::Status(const TaskKey& key) const {
  const auto found = tasks_.find(key);
  if (found == tasks_.end()) {
    return Fail(ErrorKind::kNotFound, "no task " + key.task.str());
  }
  return StatusOf(found->second);
}

std::vector<TaskStatus> TaskTable::Impl::List(const CustomerId& customer,
                                              std::size_t limit) const {
  std::vector<TaskStatus> statuses;
  for (auto it = tasks_.lower_bound({customer, TaskId()});
       it != tasks_.end() && it->first.customer == customer &&
       statuses.size() < limit;
       ++it) {
    statuses.push_back(StatusOf(it->second));
  }
  return statuses;
}

}  // namespace gypsumfall
