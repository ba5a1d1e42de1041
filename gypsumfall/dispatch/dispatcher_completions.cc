// Applies completions of runs to tasks and jobs.

#include <algorithm>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// Bounds of the ratio of actual to declared run time that one run reports, and
// the part of a deviation that it corrects. Declared times of single jobs are
// far off; the average over some tens of runs is what a queue can expect.
constexpr double kMinRunTimeRatio = 0.25;
constexpr double kMaxRunTimeRatio = 8;
constexpr double kRunTimeLearningRate = 0.02;

// A run of a long-running task that is shorter than this does not end the wait
// of the task: on a worker with a fault, runs end soon after their start.
constexpr Duration kMinRunTime = seconds(3);
// Failures of a long-running task that are kept, in all and on one worker.
// Bounds the search in the list when the task itself is their reason.
constexpr std::size_t kMaxFailures = 16;
constexpr std::ptrdiff_t kMaxFailuresOnWorker = 2;
// Once a long-running task has waited for the first of these, it is not tried
// again on a worker with the most failures until the second has passed since
// its last run. Meanwhile it can get another worker reserved or be transferred.
constexpr Duration kWaitBeforeRetryDelay = seconds(1);
constexpr Duration kRetryDelay = seconds(2);

}  // namespace

using dispatch_internal::CountFailure;
using dispatch_internal::CountSuccess;
using dispatch_internal::PendingCompletion;
using dispatch_internal::TaskPhase;

Dispatcher::Step& Dispatcher::StepOf(Job& job, const TaskName& name) {
  return *job.FindStep(name);
}

void Dispatcher::BindRun(Worker& worker, Job& job, const TaskName& name,
                         Task& task, Run run) {
  const StepSpec& spec = job.spec_of(name);
  run.need = spec.need;
  run.best_effort = spec.best_effort;
  run.long_running = spec.long_running;
  run.tail_target = spec.tail_target;
  run.declared = spec.declared_run_time;
  run.image = interference_.IndexOf(spec.image);
  task.phase = TaskPhase::kBound;
  task.bound_in_epoch = true;
  task.last_run = std::max(task.last_run, run.number.value());
  if (spec.max_per_worker > 0)
    ++StepOf(job, name).runs_per_worker[worker.entry.id];
  Bind(worker, name, run);
}

void Dispatcher::UnbindRun(Worker& worker, const TaskName& name) {
  Unbind(worker, name);
  Job* job = jobs_.Find(name.job);
  Step* step = job == nullptr ? nullptr : job->FindStep(name);
  if (step != nullptr && job->spec_of(name).max_per_worker > 0)
    --step->runs_per_worker[worker.entry.id];
}

void Dispatcher::Requeue(const TaskName& name, std::optional<Time> confirmed_at,
                         Time last_known, Time now) {
  const Job* job = jobs_.Find(name.job);
  const Task* known = jobs_.FindTask(name);
  if (known == nullptr || known->phase == TaskPhase::kExcluded) return;
  Task* task = jobs_.EditTask(name);
  if (task == nullptr) return;
  const TaskPhase phase = task->phase;
  const Time waits_since = task->ready_since;
  task->last_end = now;
  MakeReady(name, *task, now);
  if (!job->spec_of(name).long_running || phase == TaskPhase::kBlocked) return;
  if (!confirmed_at || last_known < *confirmed_at + kMinRunTime) {
    task->ready_since = waits_since;
  } else {
    task->ready_since = last_known;
    task->failed_on.clear();
  }
}

void Dispatcher::AvoidWorker(const TaskName& name, const Worker& worker) {
  const Job* job = jobs_.Find(name.job);
  if (jobs_.FindTask(name) == nullptr || !job->spec_of(name).long_running)
    return;
  Task* task = jobs_.EditTask(name);
  if (task == nullptr) return;
  std::vector<WorkerId>& avoided = task->failed_on;
  if (task->CountFailuresOn(worker.entry.id) == kMaxFailuresOnWorker) return;
  if (avoided.size() == kMaxFailures) avoided.erase(avoided.begin());
  avoided.push_back(worker.entry.id);
}

bool Dispatcher::IsRetryDelayed(const TaskName& name, const Worker& worker,
                                Time now) {
  const Task& task = *jobs_.FindTask(name);
  return now >= task.ready_since + kWaitBeforeRetryDelay &&
         now < task.last_end + kRetryDelay &&
         task.CountFailuresOn(worker.entry.id) >= kMaxFailuresOnWorker &&
         jobs_.Find(name.job)->spec_of(name).long_running;
}

void Dispatcher::ApplyCompletion(Worker& worker, const CompletionReport& end,
                                 Time now, WallTime wall_now) {
  if (end.number <= worker.processed) return;
  worker.processed = end.number;
  worker.unexpected_runs.erase(end.task);
  const std::uint64_t sequence =
      ApplyCompletionToTask(worker, end, now, wall_now);
  PendingCompletion pending{.number = end.number,
                            .record_sequence = sequence,
                            .report_of_unknown_job = {},
                            .received = now};
  if (jobs_.Find(end.task.job) == nullptr) pending.report_of_unknown_job = end;
  worker.pending_completions.push_back(std::move(pending));
}

void Dispatcher::ApplyEarlierCompletions(const JobId& id, Time now,
                                         WallTime wall_now) {
  for (auto& [worker_id, worker] : workers_) {
    for (PendingCompletion& pending : worker.pending_completions) {
      if (!pending.report_of_unknown_job ||
          pending.report_of_unknown_job->task.job != id) {
        continue;
      }
      const CompletionReport end = *std::move(pending.report_of_unknown_job);
      pending.report_of_unknown_job.reset();
      pending.record_sequence =
          ApplyCompletionToTask(worker, end, now, wall_now);
    }
  }
}

void Dispatcher::OnJobsScanned(Time scan_started) {
  for (auto& [id, worker] : workers_) {
    for (PendingCompletion& pending : worker.pending_completions) {
      if (pending.received < scan_started)
        pending.report_of_unknown_job.reset();
    }
    Acknowledge(worker);
  }
}

std::uint64_t Dispatcher::ApplyCompletionToTask(Worker& worker,
                                                const CompletionReport& end,
                                                Time now, WallTime wall_now) {
  const auto bound = worker.runs.find(end.task);
  const bool was_bound =
      bound != worker.runs.end() && bound->second.number == end.run;
  // Few long-running runs end, and each of them leaves its task without a run.
  StoreEvent({.message = "run ended",
              .task = end.task,
              .run = end.run,
              .worker = worker.entry.id,
              .reason = std::string(RunEndName(end.end)) +
                        (was_bound ? "" : ", run not bound to this worker"),
              .routine = !(was_bound && bound->second.long_running)});
  Job* job = jobs_.Find(end.task.job);
  std::optional<Time> confirmed_at;
  if (was_bound) {
    // The run has ended, so it has run, if only for an unknown time.
    confirmed_at = bound->second.confirmed_at.value_or(now);
    if (job != nullptr && end.end == RunOutcome::kDone)
      LearnRunTime(*job, bound->second, now);
    UnbindRun(worker, end.task);
  }
  // All runs of a job that is being moved are known to have ended, and its
  // progress may be on its way to the store.
  if (job == nullptr || job->moving_to) return 0;
  job->started = true;
  // The final state may not be stored yet. A successor that knows neither it
  // nor this end would start the task again.
  if (IsFinal(job->state)) return job->row.sequence;
  if (!job->HasTask(end.task)) return 0;
  if (job->IsCompleted(end.task.occurrence)) return job->row.sequence;
  // The run may have been started by an earlier epoch.
  job->Open(end.task.occurrence);
  if (jobs_.FindTask(end.task)->phase == TaskPhase::kDone)
    return SequenceOf(*job, end.task);
  Task* task = jobs_.EditTask(end.task);
  if (!end.checkpoint.empty() && end.run.value() >= task->last_run) {
    task->checkpoint = end.checkpoint;
  }
  const bool bound_elsewhere = task->phase == TaskPhase::kBound && !was_bound;
  const bool long_running = job->spec_of(end.task).long_running;
  if (end.end == RunOutcome::kDone && !long_running) {
    CountSuccess(worker);
    if (bound_elsewhere) {
      for (auto& [id, other] : workers_) {
        if (other.runs.contains(end.task)) {
          RequestStop(other, end.task, now, "another run of the task is done");
        }
      }
    }
    MeasureDone(*job, end.task, now);
    if (job->spec_of(end.task).gang) {
      MarkGangDone(*job, end.task);
    } else {
      MarkTaskDone(*job, end.task);
    }
    AdvanceJob(*job, end.task, now, wall_now);
    return SequenceOf(*job, end.task);
  }
  if (end.end == RunOutcome::kFailed) {
    CountFailure(worker, now);
    // Completions of two workers may be reported in any order.
    if (!long_running && task->CountFailure(end.run.value()))
      RecordTaskFailure(*job, end.task, *task, end.run, worker.entry.id);
  }
  if (!bound_elsewhere) Requeue(end.task, confirmed_at, now, now);
  if (was_bound && end.end == RunOutcome::kFailed &&
      now < *confirmed_at + kMinRunTime) {
    AvoidWorker(end.task, worker);
  }
  if (was_bound) KeepPlace(worker, end.task, now);
  if (task->failures() >= job->record.terms.max_attempts && !long_running)
    EndJob(*job, JobState::kFailed, now, wall_now);
  return SequenceOf(*job, end.task);
}

void Dispatcher::LearnRunTime(const Job& job, const Run& run, Time now) {
  if (!run.does_whole_task || run.declared <= Duration{0}) return;
  const double ratio =
      std::clamp(static_cast<double>((now - run.started_at).count()) /
                     static_cast<double>(run.declared.count()),
                 kMinRunTimeRatio, kMaxRunTimeRatio);
  double& learned =
      run_time_ratios_.try_emplace(job.record.queue, 1.0).first->second;
  learned += kRunTimeLearningRate * (ratio - learned);
  if (settings_.measure_load)
    load_meter_.OnRunTime(WorkClassOf(job.record), ratio);
}

void Dispatcher::MarkTaskDone(Job& job, const TaskName& name) {
  StepOf(job, name).tasks.MarkDone(name.index);
  QueueChunkOf(job, name);
}

void Dispatcher::MarkGangDone(Job& job, const TaskName& name) {
  Step& step = StepOf(job, name);
  TaskName member = name;
  for (member.index = 0; member.index < step.tasks.size(); ++member.index) {
    if (step.tasks[member.index].phase != TaskPhase::kDone)
      MarkTaskDone(job, member);
  }
}

void Dispatcher::RecordTaskFailure(Job& job, const TaskName& name, Task& task,
                                   RunNumber run, const WorkerId& worker) {
  task.failed_on = {worker};
  AddRoutineEvent("task attempt failed", name, run, worker,
                  std::to_string(task.failures()) + " of " +
                      std::to_string(job.record.terms.max_attempts) +
                      " attempts");
  QueueChunkOf(job, name);
}

void Dispatcher::AdvanceJob(Job& job, const TaskName& name, Time now,
                            WallTime wall_now) {
  if (!StepOf(job, name).tasks.AllDone()) return;
  Occurrence& occurrence = job.occurrences.at(name.occurrence);
  ++occurrence.steps_done;
  if (occurrence.steps_done < static_cast<int>(occurrence.steps.size())) {
    if (job.DueOf(name.occurrence) <= now)
      UnblockSteps(job, name.occurrence, now);
    return;
  }
  CompleteOccurrence(job, name.occurrence);
  if (job.completed.all()) EndJob(job, JobState::kCompleted, now, wall_now);
}

void Dispatcher::CompleteOccurrence(Job& job, int number) {
  job.completed.set(static_cast<std::size_t>(number));
  MakeChunksObsolete(job, number, job.occurrences.at(number));
  job.occurrences.erase(number);
  QueueJobRow(job);
}

// Has the rows of the chunks removed after the row of the job is stored.
void Dispatcher::MakeChunksObsolete(Job& job, int number,
                                    Occurrence& occurrence) {
  for (std::size_t i = 0; i < occurrence.chunks.size(); ++i) {
    if (!std::exchange(occurrence.chunks[i].stored, false)) continue;
    job.obsolete_rows.push_back({.job = job.record.id,
                                 .occurrence = number,
                                 .chunk = static_cast<int>(i)});
  }
}

void Dispatcher::Acknowledge(Worker& worker) {
  while (!worker.pending_completions.empty() &&
         !worker.pending_completions.front().report_of_unknown_job &&
         worker.pending_completions.front().record_sequence <=
             stored_record_sequence_ &&
         !rejected_sequences_.contains(
             worker.pending_completions.front().record_sequence)) {
    worker.releasable = worker.pending_completions.front().number;
    worker.pending_completions.pop_front();
  }
  // A worker that does not answer may have restarted. A number of the old
  // incarnation would make the new one forget ends that it never reported.
  worker.acknowledged =
      worker.unanswered_calls == 0 ? worker.releasable : CompletionNumber(0);
}

}  // namespace gypsumfall
