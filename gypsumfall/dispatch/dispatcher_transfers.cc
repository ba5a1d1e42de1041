// Moves waiting tasks of sliced jobs to shards that have capacity.
//
// At any time one shard runs a task: the one of its slice, or the one that the
// latest transfer names. Only that shard transfers the task, and stores the
// transfer in its own partition under the condition that it still has its
// leader. So a successor that reads its own partition knows all tasks that were
// given away. A transfer of another shard may be read late, when a predecessor
// has already started the task; then that run has to end first.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// Time for which a task has found no worker before it is transferred. The
// second one holds while a worker is reserved for it: what runs there ends.
constexpr Duration kWaitBeforeTransfer = seconds(2);
constexpr Duration kReservedWaitBeforeTransfer = seconds(4);
// Time in which a transfer is stored and read by the other shard.
constexpr Duration kTransferTime = seconds(3);

}  // namespace

using dispatch_internal::ChooseWorker;
using dispatch_internal::ChooseWorkerToReserve;
using dispatch_internal::FailsRuns;
using dispatch_internal::kRunsPerEpoch;
using dispatch_internal::Reserve;
using dispatch_internal::TaskPhase;
using dispatch_internal::TimeUntilFits;

const Dispatcher::Task* Dispatcher::FindTransferable(const TaskName& name) {
  const Job* job = jobs_.Find(name.job);
  const Task* task = jobs_.FindTask(name);
  if (job == nullptr || task == nullptr || job->slice.IsWhole() ||
      IsFinal(job->state) || task->phase != TaskPhase::kReady) {
    return nullptr;
  }
  if (!job->spec_of(name).long_running) return nullptr;
  // The task may still run on a worker that has not reported yet.
  return EarlierRunsKnown(*job, name) ? task : nullptr;
}

std::vector<TaskName> Dispatcher::TasksToTransfer(ShardId other, Time now,
                                                  std::size_t limit) {
  std::vector<TaskName> names;
  for (const StepRef& ref : ready_steps_) {
    Job* job = FindJobOf(ref);
    if (job == nullptr || job->slice.IsWhole()) continue;
    TaskName name{ref.job, ref.occurrence, ref.step, 0};
    // Best-effort tasks wait while those that serve need the workers.
    const StepSpec& spec = job->spec_of(name);
    if (spec.best_effort && HasPlacesFor(job->record.terms, spec, now))
      continue;
    StepOf(*job, name).tasks.VisitReady([&](int index) {
      name.index = index;
      const Task* task = FindTransferable(name);
      if (task == nullptr) return true;
      const Duration wait = task->reserved_on.empty()
                                ? kWaitBeforeTransfer
                                : kReservedWaitBeforeTransfer;
      if (now >= task->ready_since + wait) names.push_back(name);
      return true;
    });
  }
  std::sort(names.begin(), names.end());
  TaskName& last_offered = last_offered_[other];
  std::rotate(names.begin(),
              std::upper_bound(names.begin(), names.end(), last_offered),
              names.end());
  if (names.size() > limit) names.resize(limit);
  if (!names.empty()) last_offered = names.back();
  return names;
}

bool Dispatcher::IsUnplaceable(const TaskName& name, Time now) {
  const Job* job = jobs_.Find(name.job);
  return job != nullptr && job->HasTask(name) &&
         !HasPlacesFor(job->record.terms, job->spec_of(name), now);
}

bool Dispatcher::ReservePlace(const TaskName& name, Time now,
                              bool unplaceable) {
  Job* job = jobs_.Find(name.job);
  if (job == nullptr || job->slice.IsWhole() || IsFinal(job->state) ||
      !job->HasTask(name) || job->IsCompleted(name.occurrence)) {
    return false;
  }
  job->Open(name.occurrence);
  if (jobs_.FindTask(name)->phase != TaskPhase::kExcluded) return false;
  Task* task = jobs_.EditTask(name);
  // The task could not start here before the reservation ends.
  if (job->record.accepted_epoch < epoch_ && !predecessor_runs_known_)
    return false;
  ReleaseReservationOf(name, *task);
  PlacementRequest request = RequestFor(*job, name, StepOf(*job, name));
  Worker* worker = ChooseWorker(workers_, request, interference_, now);
  if (worker == nullptr) {
    // The task has waited for longer than its rack is worth.
    request.rack = RackId();
    worker = ChooseWorker(workers_, request, interference_, now);
  }
  if (unplaceable && (worker == nullptr || FailsRuns(*worker, now)))
    worker = ChooseWorkerToReserve(workers_, request, now);
  if (worker == nullptr || FailsRuns(*worker, now)) return false;
  Resources need = request.spec->need;
  if (request.spec->best_effort) need.cpu = MilliCores(0);
  Reserve(*worker, name,
          {.need = need,
           .priority = dispatch_internal::kHighestPriority,
           .until = now + kTransferTime + TimeUntilFits(*worker, request, now),
           .committed = true});
  task->reserved_on = worker->entry.id;
  return true;
}

bool Dispatcher::TransferTask(const TaskName& name, ShardId shard) {
  if (FindTransferable(name) == nullptr) return false;
  Task* task = jobs_.EditTask(name);
  ReleaseReservationOf(name, *task);
  // Not started here from now on, although the transfer may not get stored:
  // that happens only if another leader replaces this one.
  task->phase = TaskPhase::kExcluded;
  // The other shard starts the task at once, and this one may show the job.
  jobs_.Find(name.job)->started = true;
  ++task->transfer_number;
  transferred_tasks_.insert(name);
  transfers_to_record_.push_back({.task = name,
                                  .shard = shard,
                                  .number = task->transfer_number,
                                  .last_run = RunNumber(task->last_run),
                                  .checkpoint = task->checkpoint});
  AddEvent("task transferred to another shard", name, RunNumber(task->last_run),
           {}, "to shard " + std::to_string(shard.value()));
  return true;
}

void Dispatcher::ApplyTransfer(const TaskTransfer& transfer, Time now) {
  Job* job = jobs_.Find(transfer.task.job);
  if (job == nullptr || job->slice.IsWhole() || IsFinal(job->state) ||
      !job->HasTask(transfer.task) ||
      job->IsCompleted(transfer.task.occurrence)) {
    return;
  }
  job->Open(transfer.task.occurrence);
  Task* task = jobs_.EditTask(transfer.task);
  if (task == nullptr || transfer.number <= task->transfer_number) return;
  if (transfer.shard == settings_.shard && HasUnexpectedRun(transfer.task)) {
    deferred_transfers_.push_back(transfer);
    return;
  }
  // Only a replaced leader learns from others that it no longer runs a task. It
  // must not forget a run that exists.
  if (task->phase == TaskPhase::kBound) return;
  task->transfer_number = transfer.number;
  if (transfer.shard != settings_.shard) {
    task->phase = TaskPhase::kExcluded;
    return;
  }
  // Earlier epochs of this shard may have used numbers after the transfer.
  const std::uint64_t epochs =
      epoch_.value() -
      std::min(epoch_.value(), job->record.accepted_epoch.value());
  task->last_run = std::max(task->last_run,
                            transfer.last_run.value() + epochs * kRunsPerEpoch);
  task->checkpoint = transfer.checkpoint;
  task->phase = TaskPhase::kBlocked;
  AddEvent("task transferred to this shard", transfer.task, transfer.last_run,
           task->reserved_on);
  if (StepOf(*job, transfer.task).unblocked)
    MakeReady(transfer.task, *task, now);
}

void Dispatcher::ApplyDeferredTransfers(Time now) {
  for (const TaskTransfer& transfer : std::exchange(deferred_transfers_, {}))
    ApplyTransfer(transfer, now);
}

void Dispatcher::RestoreTransfer(const TaskTransfer& transfer, Time now) {
  if (jobs_.Find(transfer.task.job) == nullptr) {
    // The job was cancelled while this shard had no leader.
    transfers_to_remove_.push_back(transfer.task);
    return;
  }
  transferred_tasks_.insert(transfer.task);
  jobs_.Find(transfer.task.job)->started = true;
  ApplyTransfer(transfer, now);
}

void Dispatcher::RemoveTransfersOf(const JobId& job) {
  std::erase_if(transfers_to_record_, [&](const TaskTransfer& transfer) {
    return transfer.task.job == job;
  });
  auto first = transferred_tasks_.lower_bound({.job = job});
  while (first != transferred_tasks_.end() && first->job == job) {
    transfers_to_remove_.push_back(*first);
    first = transferred_tasks_.erase(first);
  }
}

}  // namespace gypsumfall
