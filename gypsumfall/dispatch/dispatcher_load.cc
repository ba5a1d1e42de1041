// Measures the load of the shard, for the admission of jobs.

#include <algorithm>
#include <map>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"

namespace gypsumfall {

// Overdue steps rank behind all others and delay no job. If they counted, jobs
// that can never be completed would add up.
bool Dispatcher::CountsAsLoad(const Job& job, int occurrence, Time now) {
  const bool periodic = job.record.spec.repetitions > 0;
  const Time start = periodic ? job.DueOf(occurrence) : job.submitted;
  return start <= now &&
         now < start + kOverdueFactor * job.record.terms.objective;
}

void Dispatcher::AddBacklog(const Job& job,
                            std::map<WorkClass, ClassBacklog>& backlogs,
                            Time now) const {
  std::int64_t ready = 0;
  std::int64_t blocked = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (!CountsAsLoad(job, number, now)) continue;
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepSpec& spec = job.record.spec.steps[s];
      if (spec.long_running) continue;
      const Step& step = occurrence.steps[s];
      const std::int64_t work =
          WorkOf(spec, step.tasks.size() - step.tasks.done()).value();
      (step.unblocked ? ready : blocked) += work;
    }
  }
  if (ready + blocked == 0) return;
  ClassBacklog& backlog = backlogs[WorkClassOf(job.record)];
  backlog.ready = CpuTime(backlog.ready.value() + ready);
  backlog.blocked = CpuTime(backlog.blocked.value() + blocked);
}

// Tasks with a run were counted among the ready ones.
void Dispatcher::AddRunBacklog(const TaskName& name, const Run& run,
                               std::map<WorkClass, ClassBacklog>& backlogs,
                               Time now) const {
  const Job* job = jobs_.Find(name.job);
  if (run.long_running || job == nullptr || IsFinal(job->state) ||
      !job->HasTask(name) || !job->occurrences.contains(name.occurrence) ||
      !CountsAsLoad(*job, name.occurrence, now)) {
    return;
  }
  const Task* task = jobs_.FindTask(name);
  if (task->phase != dispatch_internal::TaskPhase::kBound) return;
  const StepSpec& spec = job->spec_of(name);
  const std::int64_t work = WorkOf(spec, 1).value();
  const Duration declared = std::max(spec.declared_run_time, Duration{1});
  const Duration left =
      std::clamp(declared - (now - run.started_at), Duration{0}, declared);
  ClassBacklog& backlog = backlogs[WorkClassOf(job->record)];
  backlog.ready =
      CpuTime(std::max<std::int64_t>(0, backlog.ready.value() - work));
  backlog.running =
      CpuTime(backlog.running.value() +
              static_cast<std::int64_t>(static_cast<double>(work) *
                                        static_cast<double>(left.count()) /
                                        static_cast<double>(declared.count())));
}

LoadSummary Dispatcher::Load(StoreTime made_at, Time now) {
  std::map<WorkClass, ClassBacklog> backlogs;
  for (const auto& [id, job] : jobs_) {
    if (!IsFinal(job->state) && !job->moving_to)
      AddBacklog(*job, backlogs, now);
  }
  std::int64_t cores = 0;
  for (const auto& [id, worker] : workers_) {
    if (dispatch_internal::AcceptsWork(worker, now)) {
      cores += worker.entry.capacity.cpu.value() -
               worker.used_by_long_running.cpu.value();
    }
    for (const auto& [name, run] : worker.runs)
      AddRunBacklog(name, run, backlogs, now);
  }
  return load_meter_.Summarize(
      backlogs, MilliCores(std::max<std::int64_t>(0, cores)), made_at, now);
}

void Dispatcher::MeasureDone(const Job& job, const TaskName& name, Time now) {
  if (!settings_.measure_load) return;
  const StepSpec& spec = job.spec_of(name);
  load_meter_.OnTasksDone(WorkClassOf(job.record),
                          WorkOf(spec, spec.gang ? spec.task_count : 1), now);
}

void Dispatcher::MeasureAccepted(const Job& job, Time now) {
  if (!settings_.measure_load) return;
  if (const auto demand = gypsumfall::DemandOf(job.record))
    load_meter_.OnAccepted(job.record.id, *demand, now);
}

}  // namespace gypsumfall
