#include "gypsumfall/dispatch/internal/job_table.h"

#include <algorithm>
#include <utility>

namespace gypsumfall::dispatch_internal {
namespace {

void ExcludeOtherSlices(const JobSlice& slice, Occurrence& occurrence) {
  std::uint64_t position = 0;
  for (Step& step : occurrence.steps) {
    for (Task& task : step.tasks) {
      if (!slice.Contains(position++)) task.phase = TaskPhase::kExcluded;
    }
  }
}

int ChunkCount(const JobRecord& record) {
  int tasks = 0;
  for (const StepSpec& step : record.spec.steps) tasks += step.task_count;
  const int size = TasksPerChunk(record.terms);
  return (tasks + size - 1) / size;
}

void MakeOccurrences(Job& job, Time now, WallTime wall_now) {
  const JobSpec& spec = job.record.spec;
  job.occurrences.resize(static_cast<std::size_t>(spec.occurrence_count()));
  job.completed.resize(job.occurrences.size());
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    Occurrence& occurrence = job.occurrences[k];
    occurrence.due = now;
    if (spec.repetitions > 0) {
      const WallTime due =
          spec.first_due + spec.interval * static_cast<std::int64_t>(k);
      occurrence.due = now + (due - wall_now);
    }
    occurrence.steps.resize(spec.steps.size());
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
      occurrence.steps[s].tasks.resize(
          static_cast<std::size_t>(spec.steps[s].task_count));
    }
    occurrence.chunks.resize(static_cast<std::size_t>(ChunkCount(job.record)));
    ExcludeOtherSlices(job.slice, occurrence);
  }
}

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
      visit(number++, s, static_cast<std::size_t>(i));
    skipped = std::max(0, skipped - count);
  }
}

void MarkDone(Step& step, std::size_t index) {
  if (step.tasks[index].phase == TaskPhase::kDone) return;
  step.tasks[index].phase = TaskPhase::kDone;
  ++step.done;
}

void MarkCompleted(Job& job, std::size_t k) {
  job.completed.set(k);
  Occurrence& occurrence = job.occurrences[k];
  for (Step& step : occurrence.steps) {
    for (std::size_t i = 0; i < step.tasks.size(); ++i) MarkDone(step, i);
  }
}

// One end of a member is that of the whole gang, but its tasks may be in
// several chunks of which not all were stored.
void CompleteGang(const StepSpec& spec, Step& step) {
  if (!spec.gang || step.done == 0) return;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) MarkDone(step, i);
}

// Counts the steps that are done after progress was restored.
void CountStepsDone(Job& job, std::size_t k) {
  Occurrence& occurrence = job.occurrences[k];
  occurrence.steps_done = 0;
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    Step& step = occurrence.steps[s];
    CompleteGang(job.record.spec.steps[s], step);
    if (step.done == static_cast<int>(step.tasks.size()))
      ++occurrence.steps_done;
  }
  if (occurrence.steps_done == static_cast<int>(occurrence.steps.size()))
    job.completed.set(k);
}

void RestoreStep(const StepProgress& stored, Step& step) {
  const std::size_t count = std::min(stored.done.size(), step.tasks.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (stored.done[i] == '1') MarkDone(step, i);
  }
  for (std::size_t i = 0;
       i < std::min(stored.failed_runs.size(), step.tasks.size()); ++i) {
    for (const std::uint64_t run : stored.failed_runs[i])
      step.tasks[i].CountFailure(run);
  }
}

}  // namespace

bool Task::CountFailure(std::uint64_t run) {
  const auto oldest = std::min_element(failed_runs.begin(), failed_runs.end());
  if (forgotten_failures > 0 && run < *oldest) return false;
  if (std::find(failed_runs.begin(), failed_runs.end(), run) !=
      failed_runs.end()) {
    return false;
  }
  if (failed_runs.size() == kMaxFailedRuns) {
    failed_runs.erase(oldest);
    ++forgotten_failures;
  }
  failed_runs.push_back(run);
  return true;
}

int Job::ChunkOf(const TaskName& name) const {
  int position = name.index;
  for (int s = 0; s < name.step; ++s)
    position += record.spec.steps[static_cast<std::size_t>(s)].task_count;
  return position / TasksPerChunk(record.terms);
}

ProgressRow& Job::RowOf(const TaskName& name) {
  return occurrences[static_cast<std::size_t>(name.occurrence)]
      .chunks[static_cast<std::size_t>(ChunkOf(name))];
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
  MakeOccurrences(job, now, wall_now);
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
    if (progress.completed[k]) MarkCompleted(*job, k);
  }
  for (const StepProgress& stored : progress.steps) {
    const auto k = static_cast<std::size_t>(stored.occurrence);
    const auto s = static_cast<std::size_t>(stored.step);
    if (k >= job->occurrences.size()) continue;
    Occurrence& occurrence = job->occurrences[k];
    if (s >= occurrence.steps.size()) continue;
    RestoreStep(stored, occurrence.steps[s]);
    CountStepsDone(*job, k);
  }
}

void JobTable::Restore(const ChunkProgress& progress) {
  Job* job = Find(progress.row.job);
  if (job == nullptr) return;
  const auto k = static_cast<std::size_t>(progress.row.occurrence);
  const auto chunk = static_cast<std::size_t>(progress.row.chunk);
  if (k >= job->occurrences.size()) return;
  Occurrence& occurrence = job->occurrences[k];
  if (chunk >= occurrence.chunks.size()) return;
  job->started = true;
  job->state = job->visible_state = JobState::kRunning;
  occurrence.chunks[chunk].stored = true;
  std::vector<Task*> tasks;
  VisitChunk(job->record, progress.row.chunk,
             [&](int number, std::size_t s, std::size_t i) {
               const auto bit = static_cast<std::size_t>(number);
               if (bit < progress.done.size() && progress.done[bit])
                 MarkDone(occurrence.steps[s], i);
               tasks.push_back(&occurrence.steps[s].tasks[i]);
             });
  for (const TaskFailures& failures : progress.failures) {
    const auto number = static_cast<std::size_t>(failures.task);
    if (number >= tasks.size()) continue;
    for (const std::uint64_t run : failures.runs)
      tasks[number]->CountFailure(run);
    tasks[number]->forgotten_failures += failures.forgotten;
  }
  CountStepsDone(*job, k);
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

Task* JobTable::FindTask(const TaskName& name) {
  Job* job = Find(name.job);
  if (job == nullptr) return nullptr;
  const auto k = static_cast<std::size_t>(name.occurrence);
  const auto s = static_cast<std::size_t>(name.step);
  const auto i = static_cast<std::size_t>(name.index);
  if (k >= job->occurrences.size()) return nullptr;
  Occurrence& occurrence = job->occurrences[k];
  if (s >= occurrence.steps.size()) return nullptr;
  Step& step = occurrence.steps[s];
  return i < step.tasks.size() ? &step.tasks[i] : nullptr;
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
  const Occurrence& occurrence =
      job.occurrences[static_cast<std::size_t>(row.occurrence)];
  VisitChunk(job.record, row.chunk,
             [&](int number, std::size_t s, std::size_t i) {
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
    if (IsFinal(job->visible_state) && !job->expired &&
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
