// What is due at a time: placement, commands to workers, leases, retention.

#include <algorithm>
#include <optional>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

void TaskTable::Impl::OnAuthorityConfirmed(Time confirmed_at) {
  if (!authority_ || confirmed_at > *authority_) authority_ = confirmed_at;
}

TaskCounts TaskTable::Impl::counts() const {
  return {tasks_.size(), active_.size(), results_accepted_, late_reports_};
}

void TaskTable::Impl::Tick(Time now, TaskActions& actions) {
  if (lost_) return;
  queried_.clear();
  if (now >= attention_) {
    attention_ = Time::max();
    for (auto it = active_.begin(); it != active_.end();) {
      Task& task = tasks_.at(*it);
      ++it;  // Examining may remove the task from the set.
      Examine(task, now, actions);
      Attend(NextDue(task));
    }
  }
  Place(now, actions);
  DropExpired(now);
}

void TaskTable::Impl::Place(Time now, TaskActions& actions) {
  if (!CertainlyOwner(now)) return;
  std::size_t examine = options_.reservations_per_tick;
  while (const auto entry = queue_.Take(now, examine)) {
    Task* const task = Find(entry->key);
    const bool wanted =
        task != nullptr && task->durable.state == TaskState::kQueued &&
        task->durable.arrival == entry->arrival && task->phase == Phase::kNone;
    if (!wanted) {
      queue_.Release(entry->key.customer);
      continue;
    }
    if (task->cancel_pending) {
      queue_.Release(entry->key.customer);
      queue_.AddLater(*entry, now + options_.resend_interval);
      continue;
    }
    task->phase = Phase::kReserving;
    task->resend_at = now + options_.reservation_timeout;
    active_.insert(entry->key);
    Attend(task->resend_at);
    actions.emplace_back(RequestReservation{
        {entry->key.customer, entry->key.task, task->durable.attempt.Next()},
        task->durable.spec.resources,
        task->durable.spec.kind,
        task->avoid});
  }
}

void TaskTable::Impl::Examine(Task& task, Time now, TaskActions& actions) {
  if (task.transition) return;
  if (task.unsaved) {
    if (now >= task.resend_at) AppendTransition(task, *task.unsaved, actions);
    return;
  }
  if (task.phase == Phase::kReserving) {
    if (now >= task.resend_at) ReservationFailed(task, now);
    return;
  }
  const bool never_sent = task.phase == Phase::kUnsent && task.stop_wanted;
  if (never_sent || now >= task.over_at || IsSuperseded(task)) {
    Conclude(task, StartedSoFar(task), actions);
    return;
  }
  if (task.stop_wanted) {
    if (now >= task.resend_at) SendStop(task, now, actions);
  } else if (task.phase == Phase::kRunning) {
    if (now >= task.renew_at) SendRenew(task, now, actions);
  } else if (now >= task.resend_at) {
    if (task.phase == Phase::kAdopting) {
      SendQuery(task, now, actions);
    } else {
      SendStart(task, now, actions);
    }
  }
}

Time TaskTable::Impl::NextDue(const Task& task) const {
  if (task.transition || task.phase == Phase::kNone) return Time::max();
  if (task.unsaved || task.phase == Phase::kReserving) return task.resend_at;
  const bool renews = task.phase == Phase::kRunning && !task.stop_wanted;
  return std::min(task.over_at, renews ? task.renew_at : task.resend_at);
}

void TaskTable::Impl::SendStart(Task& task, Time now, TaskActions& actions) {
  task.resend_at = now + options_.resend_interval;
  Attend(std::min(task.resend_at, task.over_at));
  const std::optional<Time> authority_end = AuthorityEnd(task);
  if (!authority_end || now >= *authority_end || IsSuperseded(task)) return;
  const Reading* const reading = ReadingFor(task);
  // With an old reading the lease would be short or over on arrival.
  if (reading == nullptr ||
      now - reading->received_at > options_.attempt_lease / 2) {
    SendQuery(task, now, actions);
    return;
  }
  if (task.phase == Phase::kUnsent) {
    task.over_at = Time::min();
    task.phase = Phase::kStarting;
  }
  ExtendOverAt(task, *reading);
  ++task.start_sends;
  const DurableTask& durable = task.durable;
  actions.emplace_back(StartAttempt{
      CurrentId(task), durable.worker, durable.incarnation, durable.spec.kind,
      durable.spec.resources, durable.payload, durable.checkpoint,
      options_.epoch, reading->clock + options_.attempt_lease, *authority_end});
}

void TaskTable::Impl::SendStop(Task& task, Time now, TaskActions& actions) {
  task.resend_at = now + options_.resend_interval;
  Attend(task.resend_at);
  if (task.phase == Phase::kUnsent) {
    Attend(now);
    return;
  }
  actions.emplace_back(StopAttempt{CurrentId(task), task.durable.worker,
                                   task.durable.incarnation});
}

void TaskTable::Impl::SendRenew(Task& task, Time now, TaskActions& actions) {
  task.renew_at = NextRenewal(now);
  const std::optional<Time> authority_end = AuthorityEnd(task);
  if (!authority_end || now >= *authority_end) return;
  const Reading* const reading = ReadingFor(task);
  if (reading == nullptr) {
    SendQuery(task, now, actions);
    return;
  }
  ExtendOverAt(task, *reading);
  actions.emplace_back(RenewAttempt{
      CurrentId(task), task.durable.worker, task.durable.incarnation,
      options_.epoch, reading->clock + options_.attempt_lease, *authority_end});
}

void TaskTable::Impl::SendQuery(Task& task, Time now, TaskActions& actions) {
  task.resend_at = now + options_.resend_interval;
  Attend(task.resend_at);
  if (!queried_.insert(task.durable.worker).second) return;
  actions.emplace_back(
      QueryWorker{task.durable.worker, task.durable.incarnation});
}

void TaskTable::Impl::ExtendOverAt(Task& task, const Reading& reading) {
  // The reading was taken before its receipt, so a lease that ends a fixed time
  // after the reading ends no later than that time after the receipt.
  task.over_at =
      std::max(task.over_at, reading.received_at + options_.attempt_lease +
                                 options_.lease_margin);
}

const TaskTable::Impl::Reading* TaskTable::Impl::ReadingFor(
    const Task& task) const {
  const auto reading = readings_.find(task.durable.worker);
  const bool usable = reading != readings_.end() &&
                      reading->second.incarnation == task.durable.incarnation &&
                      reading->second.received_at != Time::min();
  return usable ? &reading->second : nullptr;
}

bool TaskTable::Impl::IsSuperseded(const Task& task) const {
  const auto reading = readings_.find(task.durable.worker);
  return reading != readings_.end() &&
         reading->second.incarnation > task.durable.incarnation;
}

bool TaskTable::Impl::CertainlyOwner(Time now) const {
  return authority_ && now - *authority_ < options_.host_row_lease;
}

std::optional<Time> TaskTable::Impl::AuthorityEnd(const Task& task) const {
  if (!authority_) return std::nullopt;
  return *authority_ + task.durable.spec.run_without_contact;
}

Time TaskTable::Impl::NextRenewal(Time now) const {
  // All attempts are renewed at the same times, so that one batch per worker
  // owner carries them.
  const Duration since = now.time_since_epoch();
  return Time((since / options_.renew_interval + 1) * options_.renew_interval);
}

void TaskTable::Impl::DropExpired(Time now) {
  while (!ended_.empty() && now - ended_.front().at >= options_.retention) {
    DropOldestEnded();
  }
}

void TaskTable::Impl::DropOldestEnded() {
  const Ended oldest = ended_.front();
  ended_.pop_front();
  const auto kept = ended_by_customer_.find(oldest.key.customer);
  if (kept != ended_by_customer_.end() &&
      kept->second.front().arrival == oldest.arrival) {
    kept->second.pop_front();
    if (kept->second.empty()) ended_by_customer_.erase(kept);
  }
  Drop(oldest);
}

}  // namespace gypsumfall
