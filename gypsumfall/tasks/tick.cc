// Runs time-driven work: placement, commands to workers, lease renewal and
// retention.

#include <algorithm>
#include <optional>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

void TaskTable::Impl::OnHostLeaseRenewed(Time confirmed_at) {
  if (!lease_renewed_at_ || confirmed_at > *lease_renewed_at_)
    lease_renewed_at_ = confirmed_at;
}

TaskCounts TaskTable::Impl::counts() const {
  return {tasks_.size(), active_.size(), results_accepted_, late_reports_};
}

void TaskTable::Impl::Tick(Time now, TaskActions& actions) {
  if (ownership_lost_) return;
  queried_.clear();
  if (now >= next_examination_) {
    next_examination_ = Time::max();
    for (auto it = active_.begin(); it != active_.end();) {
      Task& task = tasks_.at(*it);
      ++it;  // Examining may remove the task from the set.
      Examine(task, now, actions);
      ScheduleExamination(NextDue(task));
    }
  }
  PlaceQueued(now, actions);
  DropExpired(now);
}

void TaskTable::Impl::PlaceQueued(Time now, TaskActions& actions) {
  if (!HoldsHostLease(now)) return;
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
      queue_.AddDelayed(*entry, now + options_.resend_interval);
      continue;
    }
    task->phase = Phase::kReserving;
    task->resend_at = now + options_.reservation_timeout;
    active_.insert(entry->key);
    ScheduleExamination(task->resend_at);
    actions.emplace_back(RequestReservation{
        {entry->key.customer, entry->key.task, task->durable.attempt.Next()},
        task->durable.spec.resources,
        task->durable.spec.kind,
        task->avoid});
  }
}

void TaskTable::Impl::Examine(Task& task, Time now, TaskActions& actions) {
  if (task.change_id) return;
  if (task.refused_record) {
    if (now >= task.resend_at)
      AppendTransition(task, *task.refused_record, actions);
    return;
  }
  if (task.phase == Phase::kReserving) {
    if (now >= task.resend_at) ReservationFailed(task, now);
    return;
  }
  const bool never_sent = task.phase == Phase::kUnsent && task.stop_requested;
  if (never_sent || now >= task.expires_at || IsSuperseded(task)) {
    AppendStopped(task, KnownStart(task), actions);
    return;
  }
  if (task.stop_requested) {
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
  if (task.change_id || task.phase == Phase::kNone) return Time::max();
  if (task.refused_record || task.phase == Phase::kReserving)
    return task.resend_at;
  const bool renews = task.phase == Phase::kRunning && !task.stop_requested;
  return std::min(task.expires_at, renews ? task.renew_at : task.resend_at);
}

void TaskTable::Impl::SendStart(Task& task, Time now, TaskActions& actions) {
  task.resend_at = now + options_.resend_interval;
  ScheduleExamination(std::min(task.resend_at, task.expires_at));
  const std::optional<Time> send_deadline = SendDeadline(task);
  if (!send_deadline || now >= *send_deadline || IsSuperseded(task)) return;
  const ReceivedReading* const reading = ReadingFor(task);
  // With an old reading the lease would be short or already expired when the
  // start arrives.
  if (reading == nullptr ||
      now - reading->received_at > options_.attempt_lease / 2) {
    SendQuery(task, now, actions);
    return;
  }
  if (task.phase == Phase::kUnsent) {
    task.expires_at = Time::min();
    task.phase = Phase::kStarting;
  }
  ExtendExpiry(task, *reading);
  ++task.start_sends;
  const DurableTask& durable = task.durable;
  actions.emplace_back(StartAttempt{
      CurrentId(task), durable.worker, durable.incarnation, durable.spec.kind,
      durable.spec.resources, durable.payload, durable.checkpoint,
      options_.epoch, reading->clock + options_.attempt_lease, *send_deadline});
}

void TaskTable::Impl::SendStop(Task& task, Time now, TaskActions& actions) {
  task.resend_at = now + options_.resend_interval;
  ScheduleExamination(task.resend_at);
  if (task.phase == Phase::kUnsent) {
    ScheduleExamination(now);
    return;
  }
  actions.emplace_back(StopAttempt{CurrentId(task), task.durable.worker,
                                   task.durable.incarnation});
}

void TaskTable::Impl::SendRenew(Task& task, Time now, TaskActions& actions) {
  task.renew_at = NextRenewal(now);
  const std::optional<Time> send_deadline = SendDeadline(task);
  if (!send_deadline || now >= *send_deadline) return;
  const ReceivedReading* const reading = ReadingFor(task);
  if (reading == nullptr) {
    SendQuery(task, now, actions);
    return;
  }
  ExtendExpiry(task, *reading);
  actions.emplace_back(RenewAttempt{
      CurrentId(task), task.durable.worker, task.durable.incarnation,
      options_.epoch, reading->clock + options_.attempt_lease, *send_deadline});
}

void TaskTable::Impl::SendQuery(Task& task, Time now, TaskActions& actions) {
  task.resend_at = now + options_.resend_interval;
  ScheduleExamination(task.resend_at);
  if (!queried_.insert(task.durable.worker).second) return;
  actions.emplace_back(
      QueryWorker{task.durable.worker, task.durable.incarnation});
}

void TaskTable::Impl::ExtendExpiry(Task& task, const ReceivedReading& reading) {
  // A reading is taken before it is received, so a lease that expires a fixed
  // time after the reading expires no later than that time after the receipt.
  task.expires_at =
      std::max(task.expires_at, reading.received_at + options_.attempt_lease +
                                    options_.lease_margin);
}

const TaskTable::Impl::ReceivedReading* TaskTable::Impl::ReadingFor(
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

bool TaskTable::Impl::HoldsHostLease(Time now) const {
  return lease_renewed_at_ &&
         now - *lease_renewed_at_ < options_.host_row_lease;
}

std::optional<Time> TaskTable::Impl::SendDeadline(const Task& task) const {
  if (!lease_renewed_at_) return std::nullopt;
  return *lease_renewed_at_ + task.durable.spec.run_without_contact;
}

Time TaskTable::Impl::NextRenewal(Time now) const {
  // All attempts are renewed at the same times, so that one batch per worker
  // owner is enough.
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
  EraseEnded(oldest);
}

}  // namespace gypsumfall
