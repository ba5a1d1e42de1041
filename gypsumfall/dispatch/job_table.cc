#include "gypsumfall/dispatch/internal/job_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumfall::dispatch_internal {
namespace {

// Durations are clamped to this, so that times far in the future, which a job
// may name, do not overflow.
constexpr double kMaxMilliseconds = 1e15;

// Calls `visit` with the number in the chunk and the step and index of each
// task of the chunk.
template <typename Visit>
void VisitChunk(const JobRecord& record, int chunk, Visit visit) {
  const int size = TasksPerChunk(record.terms);
  int skipped = chunk * size;
  int number = 0;
  for (std::size_t s = 0; s < record.spec.steps.size(); ++s) {
    const int count = record.spec.steps[s].task_count;
    for (int i = skipped; i < count && number < size; ++i)
      visit(number++, s, i);
    skipped = std::max(0, skipped - count);
  }
}

int ChunkCount(const JobRecord& record) {
  int tasks = 0;
  for (const StepSpec& step : record.spec.steps) tasks += step.task_count;
  const int size = TasksPerChunk(record.terms);
  return (tasks + size - 1) / size;
}

// Returns the declared CPU time of tasks of a step, in core-seconds; 0 if they
// run until the job is cancelled.
double WorkOf(const StepSpec& step, int tasks) {
  if (step.long_running) return 0;
  const double run_time =
      std::chrono::duration<double>(step.declared_run_time).count();
  return tasks * run_time * static_cast<double>(step.need.cpu.value()) / 1000;
}

// One end of a member is that of the whole gang, but its tasks may be in
// several chunks of which not all were stored.
void CompleteGang(const StepSpec& spec, Step& step) {
  if (!spec.gang || step.tasks.done() == 0) return;
  for (int i = 0; i < step.tasks.size(); ++i) step.tasks.MarkDone(i);
}

// Counts the steps that are done after progress was restored.
void CountStepsDone(Job& job, int occurrence_number) {
  Occurrence& occurrence = job.Open(occurrence_number);
  occurrence.steps_done = 0;
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    Step& step = occurrence.steps[s];
    CompleteGang(job.record.spec.steps[s], step);
    if (step.tasks.AllDone()) ++occurrence.steps_done;
  }
  if (occurrence.steps_done < static_cast<int>(occurrence.steps.size())) return;
  job.completed.set(static_cast<std::size_t>(occurrence_number));
  job.occurrences.erase(occurrence_number);
}

void RestoreStep(const StepProgress& stored, Step& step) {
  for (int i = 0; i < step.tasks.size(); ++i) {
    const auto position = static_cast<std::size_t>(i);
    if (position < stored.done.size() && stored.done[position] == '1') {
      step.tasks.MarkDone(i);
    } else if (position < stored.failed_runs.size()) {
      for (const std::uint64_t run : stored.failed_runs[position])
        step.tasks.Edit(i).CountFailure(run);
    }
  }
}

}  // namespace

CoreSeconds Job::RemainingWork(const Occurrence& occurrence) const {
  double work = 0;
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    const StepTasks& tasks = occurrence.steps[s].tasks;
    work += WorkOf(record.spec.steps[s], tasks.size() - tasks.done());
  }
  return CoreSeconds(work);
}

int Job::ChunkOf(const TaskName& name) const {
  int position = name.index;
  for (int s = 0; s < name.step; ++s)
    position += record.spec.steps[static_cast<std::size_t>(s)].task_count;
  return position / TasksPerChunk(record.terms);
}

ProgressRow& Job::RowOf(const TaskName& name) {
  return occurrences.at(name.occurrence)
      .chunks[static_cast<std::size_t>(ChunkOf(name))];
}

bool Job::HasTask(const TaskName& name) const {
  return name.occurrence >= 0 &&
         name.occurrence < record.spec.occurrence_count() && name.step >= 0 &&
         static_cast<std::size_t>(name.step) < record.spec.steps.size() &&
         name.index >= 0 && name.index < spec_of(name).task_count;
}

Time Job::DueOf(int occurrence) const {
  if (record.spec.repetitions == 0) return added;
  const double after = static_cast<double>(first_due_after.count()) +
                       static_cast<double>(record.spec.interval.count()) *
                           static_cast<double>(occurrence);
  return added + milliseconds(static_cast<std::int64_t>(
                     std::clamp(after, -kMaxMilliseconds, kMaxMilliseconds)));
}

Step* Job::FindStep(const TaskName& name) {
  const auto found = occurrences.find(name.occurrence);
  return found == occurrences.end()
             ? nullptr
             : &found->second.steps[static_cast<std::size_t>(name.step)];
}

const Step* Job::FindStep(const TaskName& name) const {
  return const_cast<Job*>(this)->FindStep(name);
}

Occurrence& Job::Open(int occurrence) {
  const auto [found, inserted] = occurrences.try_emplace(occurrence);
  if (!inserted) return found->second;
  found->second.chunks.resize(static_cast<std::size_t>(ChunkCount(record)));
  std::uint64_t position = 0;
  for (const StepSpec& step : record.spec.steps) {
    found->second.steps.push_back(
        {.tasks = StepTasks(step.task_count,
                            Task{.last_run = last_run_of_earlier_epochs}, slice,
                            position)});
    position += static_cast<std::uint64_t>(step.task_count);
  }
  return found->second;
}

std::size_t Job::EstimateBytes() const {
  const JobSpec& spec = record.spec;
  return sizeof(Job) + spec.payload.size() +
         spec.steps.size() *
             (sizeof(StepSpec) + sizeof(Duration) + sizeof(Step)) +
         static_cast<std::size_t>(ChunkCount(record)) * sizeof(ProgressRow) +
         completed.num_blocks() * sizeof(BitSet::block_type);
}

void JobTable::RemoveTasksOf(Job& job) {
  bytes_ -= job.EstimateBytes();
  // An assignment would keep the memory of the payload.
  const JobSpec spec = std::exchange(job.record.spec, {});
  job.remaining_critical_paths = {};
  job.occurrences.clear();
  job.completed = BitSet();
}

Job* JobTable::Add(JobRecord record, JobSlice slice, Time now,
                   WallTime wall_now) {
  const auto [found, inserted] = jobs_.try_emplace(record.id);
  if (!inserted) return nullptr;
  found->second = std::make_unique<Job>();
  Job& job = *found->second;
  job.record = std::move(record);
  job.slice = slice;
  const Duration age = std::max(WallTime{0}, wall_now - job.record.accepted_at);
  job.submitted = now - age;
  job.objective = job.submitted + job.record.terms.objective;
  job.remaining_critical_paths = RemainingCriticalPaths(job.record.spec);
  double work = 0;
  for (const StepSpec& step : job.record.spec.steps)
    work += WorkOf(step, step.task_count);
  job.work = CoreSeconds(work);
  job.added = now;
  job.first_due_after = job.record.spec.first_due - wall_now;
  job.completed.resize(
      static_cast<std::size_t>(job.record.spec.occurrence_count()));
  bytes_ += job.EstimateBytes();
  return &job;
}

void JobTable::Restore(const JobProgress& progress) {
  Job* job = Find(progress.id);
  if (job == nullptr) return;
  job->started = true;
  job->state = job->visible_state = JobState::kRunning;
  job->row.stored = true;
  const std::size_t completed =
      std::min(progress.completed.size(), job->completed.size());
  for (std::size_t k = 0; k < completed; ++k) {
    if (progress.completed[k]) job->completed.set(k);
  }
  std::set<int> occurrences;
  for (const StepProgress& stored : progress.steps) {
    const TaskName first{progress.id, stored.occurrence, stored.step, 0};
    if (!job->HasTask(first) || job->IsCompleted(stored.occurrence)) continue;
    RestoreStep(stored, job->Open(stored.occurrence)
                            .steps[static_cast<std::size_t>(stored.step)]);
    occurrences.insert(stored.occurrence);
  }
  for (const int occurrence : occurrences) CountStepsDone(*job, occurrence);
}

void JobTable::Restore(const ChunkProgress& progress) {
  Job* job = Find(progress.row.job);
  if (job == nullptr) return;
  const int number = progress.row.occurrence;
  if (!job->HasTask({progress.row.job, number, 0, 0}) ||
      progress.row.chunk >= ChunkCount(job->record)) {
    return;
  }
  job->started = true;
  job->state = job->visible_state = JobState::kRunning;
  Occurrence& occurrence = job->Open(number);
  occurrence.chunks[static_cast<std::size_t>(progress.row.chunk)].stored = true;
  std::vector<std::pair<std::size_t, int>> tasks;
  VisitChunk(job->record, progress.row.chunk,
             [&](int task, std::size_t s, int i) {
               const auto bit = static_cast<std::size_t>(task);
               if (bit < progress.done.size() && progress.done[bit])
                 occurrence.steps[s].tasks.MarkDone(i);
               tasks.emplace_back(s, i);
             });
  for (const TaskFailures& failures : progress.failures) {
    const auto position = static_cast<std::size_t>(failures.task);
    if (position >= tasks.size()) continue;
    const auto [s, i] = tasks[position];
    StepTasks& step_tasks = occurrence.steps[s].tasks;
    if (step_tasks[i].phase == TaskPhase::kDone) continue;
    Task& task = step_tasks.Edit(i);
    for (const std::uint64_t run : failures.runs) task.CountFailure(run);
    // The numbers may come from an earlier record of the same task, too.
    task.forgotten_failures =
        std::max(task.forgotten_failures, failures.forgotten);
  }
  CountStepsDone(*job, number);
}

void JobTable::RestoreMoved(const JobMove& move) {
  Job* job = Find(move.record.id);
  if (job == nullptr) return;
  Restore(move.progress);
  for (const ChunkProgress& chunk : move.chunks) {
    Restore(chunk);
    // The row is stored by the other shard.
    const auto open = job->occurrences.find(chunk.row.occurrence);
    if (open == job->occurrences.end()) continue;
    for (ProgressRow& row : open->second.chunks) row.stored = false;
  }
  for (const TaskCheckpoint& saved : move.checkpoints) {
    if (!job->HasTask(saved.task) || job->IsCompleted(saved.task.occurrence))
      continue;
    job->Open(saved.task.occurrence);
    if (Task* task = EditTask(saved.task)) task->checkpoint = saved.checkpoint;
  }
  job->row.stored = false;
  job->started = move.started;
}

void JobTable::AddEnded(const JobProgress& progress) {
  auto& job = jobs_[progress.id];
  job = std::make_unique<Job>();
  job->record.id = progress.id;
  job->record.queue = progress.queue;
  job->state = job->visible_state = progress.state;
  job->ended_at = progress.ended_at;
  job->started = true;
}

Job* JobTable::Find(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

const Job* JobTable::Find(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

const Task* JobTable::FindTask(const TaskName& name) const {
  const Job* job = Find(name.job);
  if (job == nullptr || !job->HasTask(name)) return nullptr;
  const Step* step = job->FindStep(name);
  return step == nullptr ? nullptr : &step->tasks[name.index];
}

Task* JobTable::EditTask(const TaskName& name) {
  const Task* task = FindTask(name);
  if (task == nullptr || task->phase == TaskPhase::kDone) return nullptr;
  return &Find(name.job)->FindStep(name)->tasks.Edit(name.index);
}

JobProgress JobTable::ProgressOf(const Job& job) {
  JobProgress progress{.id = job.record.id,
                       .queue = job.record.queue,
                       .state = job.state,
                       .ended_at = job.ended_at,
                       .steps = {}};
  if (!IsFinal(job.state)) progress.completed = job.completed;
  return progress;
}

ChunkProgress JobTable::ProgressOf(const Job& job, const ProgressRowId& row) {
  ChunkProgress progress{.row = row};
  const Occurrence& occurrence = job.occurrences.at(row.occurrence);
  VisitChunk(job.record, row.chunk, [&](int number, std::size_t s, int i) {
    const Task& task = occurrence.steps[s].tasks[i];
    const bool done = task.phase == TaskPhase::kDone;
    progress.done.push_back(done);
    if (done || task.failed_runs.empty()) return;
    progress.failures.push_back(
        {number, task.forgotten_failures, task.failed_runs});
  });
  return progress;
}

std::uint64_t JobTable::CountWaiting(const QueueId& queue) const {
  std::uint64_t count = 0;
  for (const auto& [id, job] : jobs_) {
    // A sliced job counts once, in the shard whose slice has the first task.
    if (!job->slice.Contains(0)) continue;
    if (job->record.queue == queue && !job->started && !IsFinal(job->state)) {
      ++count;
    }
  }
  return count;
}

std::vector<JobId> JobTable::TakeExpired(WallTime ended_before,
                                         std::size_t limit) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : jobs_) {
    if (expired.size() >= limit) break;
    if (IsFinal(job->visible_state) && !job->expired && !job->other_home &&
        job->ended_at < ended_before) {
      expired.push_back(id);
    }
  }
  std::vector<JobId> stored;
  for (const JobId& id : expired) {
    Job& job = *jobs_.at(id);
    if (job.slice.IsWhole()) {
      job.expired = true;
      stored.push_back(id);
    } else {
      jobs_.erase(id);
    }
  }
  return stored;
}

}  // namespace gypsumfall::dispatch_internal
