#include <algorithm>
#include <sstream>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"

namespace gypsumfall {
namespace {

// Events kept until they are taken; further ones are dropped.
constexpr std::size_t kMaxEvents = 4096;
// Steps of a job that wait for workers before its next occurrence is opened.
constexpr int kMaxWaitingSteps = 64;

}  // namespace

using dispatch_internal::ChooseWorkerToReserve;
using dispatch_internal::kLeaseSlack;
using dispatch_internal::kMinWorkerClockRate;
using dispatch_internal::kRunsPerEpoch;
using dispatch_internal::LeaseEnd;
using dispatch_internal::TaskPhase;

Dispatcher::Dispatcher(const DispatchSettings& settings, Epoch epoch, Time now)
    : settings_(settings), epoch_(epoch) {
  const Duration longest(static_cast<std::int64_t>(
      static_cast<double>(settings.max_lease.count()) / kMinWorkerClockRate));
  predecessor_leases_end_ =
      now + settings.predecessor_slack + longest + kLeaseSlack;
  if (settings.order_by_loss) order_ = LossOrder(settings.loss_terms);
}

Dispatcher::Job* Dispatcher::AddJob(JobRecord record, JobSlice slice, Time now,
                                    WallTime wall_now) {
  Job* job = jobs_.Add(std::move(record), slice, now, wall_now);
  if (job == nullptr) return nullptr;
  if (settings_.order_by_loss && job->work > CoreSeconds(0))
    mean_work_[job->record.queue].Add(job->work);
  // Earlier epochs may have started the job, also if it was accepted after this
  // epoch had read the stored jobs.
  const std::uint64_t epochs_since_acceptance =
      epoch_.value() -
      std::min(epoch_.value(), job->record.accepted_epoch.value());
  job->last_run_of_earlier_epochs = epochs_since_acceptance * kRunsPerEpoch;
  return job;
}

void Dispatcher::RestoreJob(JobRecord record, Time now, WallTime wall_now,
                            JobSlice slice) {
  if (IsAway(record.id)) return;
  Job* job = AddJob(std::move(record), slice, now, wall_now);
  if (job == nullptr) return;
  QueueForDue(*job, now);
}

void Dispatcher::RestoreProgress(const JobProgress& progress) {
  Job* job = jobs_.Find(progress.id);
  if (job == nullptr && !IsAway(progress.id)) return;
  if (job == nullptr || IsFinal(job->state)) {
    obsolete_rows_.push_back({.job = progress.id});
    return;
  }
  jobs_.Restore(progress);
  if (progress.steps.empty()) return;
  // Written by an earlier version: its steps are stored as chunks before the
  // row is replaced by one without them.
  for (auto& [number, occurrence] : job->occurrences) {
    for (std::size_t chunk = 0; chunk < occurrence.chunks.size(); ++chunk) {
      QueueRow(occurrence.chunks[chunk], {.job = progress.id,
                                          .occurrence = number,
                                          .chunk = static_cast<int>(chunk)});
    }
  }
  QueueJobRow(*job);
}

void Dispatcher::RestoreProgress(const ChunkProgress& progress) {
  const Job* job = jobs_.Find(progress.row.job);
  if (job == nullptr && !IsAway(progress.row.job)) return;
  const auto k = static_cast<std::size_t>(progress.row.occurrence);
  if (job == nullptr || IsFinal(job->state) ||
      (k < job->completed.size() && job->completed[k])) {
    obsolete_rows_.push_back(progress.row);
  } else {
    jobs_.Restore(progress);
  }
}

void Dispatcher::RestoreRoster(const std::vector<LeaseHolder>& roster,
                               bool old_version, Time now) {
  old_roster_stored_ = old_roster_stored_ || old_version;
  for (const LeaseHolder& holder : roster) {
    if (old_version) roster_changes_.insert(holder.id);
    Worker& worker = workers_.FindOrAdd(holder.id);
    worker.entry.endpoint = holder.endpoint;
    worker.in_roster = !holder.lease_end;
    if (holder.lease_end) {
      worker.recorded_lease_end =
          std::min(*holder.lease_end, predecessor_leases_end_);
    }
    worker.predecessor_lease = true;
    worker.next_lease_call = now;
  }
}

void Dispatcher::Submit(JobRecord record, Time now, WallTime wall_now,
                        JobSlice slice) {
  if (IsAway(record.id)) return;
  Job* job = AddJob(std::move(record), slice, now, wall_now);
  if (job == nullptr) return;
  AddRoutineEvent("job submitted", {.job = job->record.id}, RunNumber(), {},
                  "queue " + job->record.queue.str());
  MeasureAccepted(*job, now);
  OpenDueOccurrences(*job, now);
  ApplyEarlierCompletions(job->record.id, now, wall_now);
}

bool Dispatcher::Cancel(const JobId& id, Time now, WallTime wall_now) {
  Job* job = jobs_.Find(id);
  if (job == nullptr) return false;
  if (!IsFinal(job->state)) EndJob(*job, JobState::kCancelled, now, wall_now);
  return true;
}

void Dispatcher::EndJob(Job& job, JobState state, Time now, WallTime wall_now) {
  job.state = state;
  job.ended_at = wall_now;
  for (auto& [number, occurrence] : job.occurrences)
    MakeChunksObsolete(job, number, occurrence);
  if (job.queued_due) due_occurrences_.erase({*job.queued_due, job.record.id});
  backlogged_jobs_.erase(job.record.id);
  if (settings_.measure_load) {
    load_meter_.OnEnded(job.record.id, state == JobState::kCompleted,
                        job.submitted, now);
  }
  jobs_.RemoveTasksOf(job);
  if (job.slice.IsWhole()) {
    ++unstored_ended_jobs_;
    QueueJobRow(job);
  } else {
    job.visible_state = state;
    RemoveTransfersOf(job.record.id);
  }
  AddRoutineEvent("job ended", {.job = job.record.id}, RunNumber(), {},
                  state == JobState::kCompleted   ? "completed"
                  : state == JobState::kCancelled ? "cancelled"
                                                  : "failed");
  if (state == JobState::kCompleted) return;
  for (auto& [id, worker] : workers_) {
    for (auto& [name, run] : worker.runs) {
      if (name.job == job.record.id)
        RequestStop(worker, name, now, "job ended");
    }
  }
}

void Dispatcher::OpenDueOccurrences(Job& job, Time now) {
  const int count = job.record.spec.occurrence_count();
  int& next = job.next_occurrence;
  while (next < count && job.DueOf(next) <= now &&
         job.waiting_steps < kMaxWaitingSteps) {
    if (!job.IsCompleted(next)) UnblockSteps(job, next, now);
    ++next;
  }
  if (next == count) return;
  if (job.DueOf(next) <= now) {
    backlogged_jobs_.insert(job.record.id);
  } else {
    QueueForDue(job, job.DueOf(next));
  }
}

void Dispatcher::QueueForDue(Job& job, Time due) {
  if (job.queued_due) return;
  job.queued_due = due;
  due_occurrences_.emplace(due, job.record.id);
}

void Dispatcher::UnblockDueJobs(Time now) {
  std::set<JobId> due = std::exchange(backlogged_jobs_, {});
  while (!due_occurrences_.empty() && due_occurrences_.begin()->first <= now) {
    const JobId id = due_occurrences_.begin()->second;
    due_occurrences_.erase(due_occurrences_.begin());
    if (Job* job = jobs_.Find(id)) job->queued_due.reset();
    due.insert(id);
  }
  for (const JobId& id : due) {
    Job* job = jobs_.Find(id);
    if (job != nullptr && !IsFinal(job->state)) OpenDueOccurrences(*job, now);
  }
}

void Dispatcher::UnblockSteps(Job& job, int number, Time now) {
  Occurrence& occurrence = job.Open(number);
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    Step& step = occurrence.steps[s];
    if (step.unblocked) continue;
    const std::vector<int>& after = job.record.spec.steps[s].after;
    step.unblocked =
        std::all_of(after.begin(), after.end(), [&](int dependency) {
          return occurrence.steps[static_cast<std::size_t>(dependency)]
              .tasks.AllDone();
        });
    if (step.unblocked && step.tasks.MakeReady(now)) {
      AddReadyStep(job, {job.record.id, number, static_cast<int>(s)}, now);
    }
  }
}

void Dispatcher::MakeReady(const TaskName& name, Task& task, Time now) {
  task.phase = TaskPhase::kReady;
  task.ready_since = now;
  AddReadyStep(*jobs_.Find(name.job), {name.job, name.occurrence, name.step},
               now);
}

void Dispatcher::AddReadyStep(Job& job, const StepRef& ref, Time now) {
  if (!ready_steps_.insert(ref).second) return;
  ++job.waiting_steps;
  job.FindStep({ref.job, ref.occurrence, ref.step, 0})->ready_since = now;
}

std::set<Dispatcher::StepRef>::iterator Dispatcher::RemoveReadyStep(
    std::set<StepRef>::iterator step) {
  if (Job* job = jobs_.Find(step->job)) --job->waiting_steps;
  return ready_steps_.erase(step);
}

Dispatcher::Job* Dispatcher::FindJobOf(const StepRef& ref) {
  Job* job = jobs_.Find(ref.job);
  const bool open = job != nullptr && job->occurrences.contains(ref.occurrence);
  return open ? job : nullptr;
}

JobStateReply Dispatcher::StateOf(const JobId& id) const {
  const Job* job = jobs_.Find(id);
  if (job == nullptr && IsAway(id)) {
    const MovedJob& moved = moved_jobs_.at(id);
    if (IsFinal(moved.state)) return {true, moved.state};
    return {true, moved.state, moved.holder};
  }
  if (job == nullptr) return {};
  if (IsFinal(job->visible_state)) return {true, job->visible_state};
  return {true, job->started ? JobState::kRunning : JobState::kQueued};
}

QueueId Dispatcher::QueueOf(const JobId& id) const {
  const Job* job = jobs_.Find(id);
  return job == nullptr ? QueueId() : job->record.queue;
}

bool Dispatcher::RunsSliceOf(const JobId& id) const {
  const Job* job = jobs_.Find(id);
  return job != nullptr && !job->slice.IsWhole() && !IsFinal(job->state);
}

std::vector<JobId> Dispatcher::RunningSlices() const {
  std::vector<JobId> ids;
  for (const auto& [id, job] : jobs_) {
    if (!job->slice.IsWhole() && !IsFinal(job->state)) ids.push_back(id);
  }
  return ids;
}

const std::string& Dispatcher::PayloadOf(const JobId& id) const {
  static const std::string empty_payload;
  const Job* job = jobs_.Find(id);
  return job == nullptr ? empty_payload : job->record.spec.payload;
}

void Dispatcher::StoreEvent(DispatchEvent event) {
  if (events_.size() < kMaxEvents) events_.push_back(std::move(event));
}

void Dispatcher::AddEvent(std::string_view message, const TaskName& task,
                          RunNumber run, const WorkerId& worker,
                          std::string reason) {
  StoreEvent({message, task, run, worker, std::move(reason), false});
}

void Dispatcher::AddRoutineEvent(std::string_view message, const TaskName& task,
                                 RunNumber run, const WorkerId& worker,
                                 std::string reason) {
  StoreEvent({message, task, run, worker, std::move(reason), true});
}

std::vector<DispatchEvent> Dispatcher::TakeEvents() {
  return std::exchange(events_, {});
}

ShardStatus Dispatcher::Status(Time now) {
  ShardStatus status;
  for (const auto& [id, worker] : workers_) {
    if (dispatch_internal::AcceptsWork(worker, now)) {
      const MilliCores free = dispatch_internal::FreeResources(worker).cpu;
      const MilliCores capacity = worker.entry.capacity.cpu;
      status.free = MilliCores(status.free.value() + free.value());
      status.capacity = MilliCores(status.capacity.value() + capacity.value());
      status.largest_free = std::max(status.largest_free, free);
    }
    if (worker.listed && !dispatch_internal::IsOpen(worker, now))
      ++status.held_back_workers;
    if (!worker.listed || !worker.entry.draining) continue;
    ++status.draining_workers;
    for (const auto& [name, run] : worker.runs) {
      if (run.long_running) ++status.long_running_on_draining;
    }
  }
  status.waiting_steps = ready_steps_.size();
  status.steps_moved_up = steps_moved_up_;
  if (!ready_steps_.empty()) {
    status.passed_over_steps = ranking_.passed_over;
    status.longest_passed_over_wait = ranking_.longest_passed_over_wait;
    status.overloaded_priorities = ranking_.overloaded.size();
  }
  status.jobs = jobs_.size();
  status.job_bytes = jobs_.bytes();
  for (const auto& [id, job] : jobs_) {
    status.open_occurrences += job->occurrences.size();
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const Step& step : occurrence.steps)
        status.changed_tasks += step.tasks.changed();
    }
  }
  for (const StepRef& ref : ready_steps_) AddWaitsTo(status, ref, now);
  AddAwaitedWorkersTo(status, now);
  return status;
}

void Dispatcher::AddAwaitedWorkersTo(ShardStatus& status, Time now) const {
  for (const auto& [id, worker] : workers_) {
    if (!worker.predecessor_lease) continue;
    ++status.awaited_workers;
    status.awaited_for = std::max(
        status.awaited_for, LeaseEnd(worker, predecessor_leases_end_) - now);
  }
}

// Adds the waiting tasks of a long-running step to the status of the shard.
void Dispatcher::AddWaitsTo(ShardStatus& status, const StepRef& ref, Time now) {
  Job* job = FindJobOf(ref);
  if (job == nullptr) return;
  TaskName name{ref.job, ref.occurrence, ref.step, 0};
  const StepSpec& spec = job->spec_of(name);
  if (!spec.long_running) return;
  Step& step = StepOf(*job, name);
  int waiting = 0;
  bool reservable = false;
  step.tasks.VisitReady([&](int index) {
    const Task& task = step.tasks[index];
    name.index = index;
    // All tasks of the step need the same, so one search is enough.
    if (++waiting == 1) {
      const PlacementRequest request = RequestFor(*job, name, step);
      reservable = ChooseWorkerToReserve(workers_, request, now) != nullptr;
    }
    if (!reservable && task.reserved_on.empty())
      ++status.unplaceable_long_running;
    status.longest_long_running_wait =
        std::max(status.longest_long_running_wait, now - task.ready_since);
    return true;
  });
  if (waiting == 0) return;
  status.waiting_long_running += waiting;
  status.largest_waiting_need =
      std::max(status.largest_waiting_need, spec.need.cpu);
}

std::string Dispatcher::Dump(Time now) const {
  std::ostringstream out;
  out << "epoch " << epoch_ << ", jobs " << jobs_.size() << ", workers "
      << workers_.size() << ", steps with ready tasks " << ready_steps_.size()
      << ", records waiting " << rows_to_record_.size() << "\n";
  for (const auto& [id, worker] : workers_) {
    out << "worker " << id << " runs " << worker.runs.size() << " used "
        << worker.used.ToString() << " of " << worker.entry.capacity.ToString()
        << (worker.listed ? "" : ", not listed")
        << (worker.entry.draining ? ", draining" : "")
        << (dispatch_internal::IsOpen(worker, now) ? "" : ", held back")
        << (worker.fenced ? "" : ", not fenced")
        << (dispatch_internal::HasCurrentEntry(worker)
                ? ""
                : ", entry of another incarnation")
        << (IsUnresponsive(worker, now) ? ", silent" : "") << ", ends "
        << worker.processed << "/" << worker.acknowledged << "\n";
  }
  return std::move(out).str();
}

}  // namespace gypsumfall
