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

void MakeOccurrences(Job& job, Time now, WallTime wall_now) {
  const JobSpec& spec = job.record.spec;
  job.occurrences.resize(static_cast<std::size_t>(spec.occurrence_count()));
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
    ExcludeOtherSlices(job.slice, occurrence);
  }
}

void RestoreStep(const StepProgress& stored, Step& step, Occurrence& parent) {
  const std::size_t count = std::min(stored.done.size(), step.tasks.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (stored.done[i] != '1') continue;
    step.tasks[i].phase = TaskPhase::kDone;
    ++step.done;
  }
  for (std::size_t i = 0;
       i < std::min(stored.failed_runs.size(), step.tasks.size()); ++i) {
    step.tasks[i].failed_runs = stored.failed_runs[i];
  }
  if (step.done == static_cast<int>(step.tasks.size())) ++parent.steps_done;
}

}  // namespace

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
  for (const StepProgress& stored : progress.steps) {
    const auto k = static_cast<std::size_t>(stored.occurrence);
    const auto s = static_cast<std::size_t>(stored.step);
    if (k >= job->occurrences.size()) continue;
    Occurrence& occurrence = job->occurrences[k];
    if (s >= occurrence.steps.size()) continue;
    RestoreStep(stored, occurrence.steps[s], occurrence);
  }
  for (const Occurrence& occurrence : job->occurrences) {
    if (occurrence.steps_done == static_cast<int>(occurrence.steps.size())) {
      ++job->occurrences_done;
    }
  }
  job->started = true;
  job->state = job->visible_state = JobState::kRunning;
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
  if (IsFinal(job.state)) return progress;
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    const Occurrence& occurrence = job.occurrences[k];
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const Step& step = occurrence.steps[s];
      const bool failed = std::any_of(
          step.tasks.begin(), step.tasks.end(),
          [](const Task& task) { return !task.failed_runs.empty(); });
      if (step.done == 0 && !failed) continue;
      StepProgress stored{.occurrence = static_cast<int>(k),
                          .step = static_cast<int>(s),
                          .done = {},
                          .failed_runs = {}};
      for (const Task& task : step.tasks) {
        stored.done += task.phase == TaskPhase::kDone ? '1' : '0';
        if (failed) stored.failed_runs.push_back(task.failed_runs);
      }
      progress.steps.push_back(std::move(stored));
    }
  }
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
