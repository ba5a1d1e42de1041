#include "gypsumfall/tasks/tasks.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/tasks/internal/table_impl.h"

namespace gypsumfall {

std::string_view TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kAccepting:
      return "accepting";
    case TaskState::kQueued:
      return "queued";
    case TaskState::kStarting:
      return "starting";
    case TaskState::kRunning:
      return "running";
    case TaskState::kDone:
      return "done";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

TaskTable::TaskTable(TaskTableOptions options)
    : impl_(std::make_unique<Impl>(options)) {}
TaskTable::~TaskTable() = default;
TaskTable::TaskTable(TaskTable&&) noexcept = default;
TaskTable& TaskTable::operator=(TaskTable&&) noexcept = default;

Result<void> TaskTable::Restore(const std::string& snapshot,
                                const std::vector<std::string>& records,
                                Time takeover_time) {
  return impl_->Restore(snapshot, records, takeover_time);
}

std::string TaskTable::Snapshot() const { return impl_->Snapshot(); }

TaskDecision TaskTable::Submit(const TaskKey& key, const TaskSpec& spec,
                               std::string payload, const TaskLimits& limits,
                               Time now) {
  TaskActions actions;
  auto status =
      impl_->Submit(key, spec, std::move(payload), limits, now, actions);
  return {std::move(status), std::move(actions)};
}

TaskDecision TaskTable::Cancel(const TaskKey& key, Time /*now*/) {
  TaskActions actions;
  auto status = impl_->Cancel(key, actions);
  return {std::move(status), std::move(actions)};
}

TaskActions TaskTable::Evict(const AttemptId& id, Time now) {
  TaskActions actions;
  impl_->Evict(id, now, actions);
  return actions;
}

void TaskTable::SetLimits(const CustomerId& customer,
                          const TaskLimits& limits) {
  impl_->SetLimits(customer, limits);
}

Result<TaskStatus> TaskTable::Status(const TaskKey& key) const {
  return impl_->Status(key);
}

std::vector<TaskStatus> TaskTable::List(const CustomerId& customer,
                                        std::size_t limit) const {
  return impl_->List(customer, limit);
}

TaskActions TaskTable::OnRecordDurable(JournalRecordId record_id, Time now) {
  TaskActions actions;
  impl_->OnRecordDurable(record_id, now, actions);
  return actions;
}

TaskActions TaskTable::OnRecordUnknown(JournalRecordId record_id,
                                       Time /*now*/) {
  TaskActions actions;
  impl_->OnRecordUnknown(record_id, actions);
  return actions;
}

TaskActions TaskTable::OnRecordRefused(JournalRecordId record_id, Time now,
                                       ErrorKind reason) {
  TaskActions actions;
  impl_->OnRecordRefused(record_id, now, reason, actions);
  return actions;
}

TaskActions TaskTable::OnReservation(const AttemptId& id,
                                     const Result<WorkerClockReading>& granted,
                                     Time now) {
  TaskActions actions;
  impl_->OnReservation(id, granted, now, actions);
  return actions;
}

TaskActions TaskTable::OnStartReply(const AttemptId& id,
                                    const StartAttemptReply& reply, Time now) {
  TaskActions actions;
  impl_->OnStartReply(id, reply, now, actions);
  return actions;
}

TaskActions TaskTable::OnStartUnknown(const AttemptId& id, Time now) {
  impl_->OnStartUnknown(id, now);
  return {};
}

TaskActions TaskTable::OnReports(const WorkerClockReading& reading,
                                 const std::vector<AttemptReport>& reports,
                                 bool complete, Time now) {
  TaskActions actions;
  impl_->OnReports(reading, reports, complete, now, actions);
  return actions;
}

TaskActions TaskTable::OnIncarnationChanged(const WorkerId& worker,
                                            Incarnation incarnation,
                                            Time /*now*/) {
  TaskActions actions;
  impl_->OnIncarnationChanged(worker, incarnation, actions);
  return actions;
}

void TaskTable::OnHostLeaseRenewed(Time confirmed_at) {
  impl_->OnHostLeaseRenewed(confirmed_at);
}

TaskActions TaskTable::Tick(Time now) {
  TaskActions actions;
  impl_->Tick(now, actions);
  return actions;
}

TaskCounts TaskTable::counts() const { return impl_->counts(); }

}  // namespace gypsumfall
