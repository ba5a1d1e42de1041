// Decides in which order waiting steps are offered workers.

#include <algorithm>
#include <cstddef>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"

namespace gypsumfall {
namespace {

// Interval at which the capacity is counted, which visits all runs.
constexpr Duration kCapacityInterval = milliseconds(200);
constexpr double kMilliCoresPerCore = 1000;

}  // namespace

using dispatch_internal::AcceptsWork;
using dispatch_internal::BestEffortProcessors;

// Returns the time by which a step should be done: for a periodic job counted
// from when the occurrence is due, for a long-running step from when it began
// to wait.
Time Dispatcher::ObjectiveOf(const Job& job, const StepRef& ref) {
  const Duration allowed = job.record.terms.objective;
  const TaskName name{ref.job, ref.occurrence, ref.step, 0};
  if (job.spec_of(name).long_running)
    return job.FindStep(name)->ready_since + allowed;
  if (job.record.spec.repetitions > 0)
    return job.DueOf(ref.occurrence) + allowed;
  return job.objective;
}

StepDemand Dispatcher::DemandOf(const Job& job, const StepRef& ref) const {
  const auto index = static_cast<std::size_t>(ref.step);
  const StepSpec& spec = job.record.spec.steps[index];
  StepDemand demand{
      .priority = job.record.terms.priority,
      .objective = ObjectiveOf(job, ref),
      .objective_length = job.record.terms.objective,
      .remaining_critical_path = job.remaining_critical_paths[index],
      .run_time_ratio = RunTimeRatioOf(job),
      .long_running = spec.long_running};
  if (!settings_.order_by_loss || spec.long_running) return demand;
  const Occurrence& occurrence = job.occurrences.at(ref.occurrence);
  demand.remaining_work = job.RemainingWork(occurrence);
  demand.job_work = job.work;
  if (const auto mean = mean_work_.find(job.record.queue);
      mean != mean_work_.end()) {
    demand.mean_work = mean->second.mean();
  }
  demand.ready_since = occurrence.steps[index].ready_since;
  // An earlier epoch may have known the step. A job of which no task has
  // started has waited since it was accepted.
  if (!job.started && job.record.spec.repetitions == 0 && spec.after.empty())
    demand.ready_since = std::min(demand.ready_since, job.submitted);
  demand.has_places = occurrence.steps[index].has_places;
  demand.moved_up = occurrence.moved_up;
  return demand;
}

double Dispatcher::RunTimeRatioOf(const Job& job) const {
  const auto ratio = run_time_ratios_.find(job.record.queue);
  return ratio == run_time_ratios_.end() ? 1.0 : std::max(1.0, ratio->second);
}

void Dispatcher::UpdateCapacity(Time now) {
  if (now < next_capacity_update_) return;
  next_capacity_update_ = now + kCapacityInterval;
  capacity_ = {};
  std::unordered_set<const Job*> seen;
  for (const auto& [id, worker] : workers_) {
    if (AcceptsWork(worker, now)) {
      capacity_.best_effort +=
          BestEffortProcessors(worker) / kMilliCoresPerCore;
      capacity_.reserving +=
          static_cast<double>(worker.entry.capacity.cpu.value() -
                              worker.used_by_long_running.cpu.value()) /
          kMilliCoresPerCore;
    }
    for (const auto& [name, run] : worker.runs) {
      if (run.long_running) continue;
      const Job* job = jobs_.Find(name.job);
      if (job == nullptr || job->waiting_steps > 0 || !seen.insert(job).second)
        continue;
      const auto open = job->occurrences.find(name.occurrence);
      if (open == job->occurrences.end()) continue;
      capacity_.committed[job->record.terms.priority] +=
          RunTimeRatioOf(*job) * job->RemainingWork(open->second).value();
    }
  }
}

std::vector<PriorityCapacity> Dispatcher::CapacitiesFor(
    const std::map<int, bool>& best_effort_priorities) const {
  std::vector<PriorityCapacity> capacities;
  for (const auto& [priority, best_effort] : best_effort_priorities) {
    const auto committed = capacity_.committed.find(priority);
    capacities.push_back(
        {.priority = priority,
         .cores =
             Cores(best_effort ? capacity_.best_effort : capacity_.reserving),
         .committed = CoreSeconds(
             committed == capacity_.committed.end() ? 0 : committed->second)});
  }
  return capacities;
}

std::vector<Dispatcher::StepRef> Dispatcher::RankSteps(Time now) {
  std::vector<StepRef> refs;
  std::vector<StepDemand> demands;
  // Whether the steps of a priority are best-effort ones.
  std::map<int, bool> priorities;
  refs.reserve(ready_steps_.size());
  demands.reserve(ready_steps_.size());
  for (auto next = ready_steps_.begin(); next != ready_steps_.end();) {
    const Job* job = FindJobOf(*next);
    if (job == nullptr) {
      next = RemoveReadyStep(next);
      continue;
    }
    StepDemand demand = DemandOf(*job, *next);
    demand.work_counted = !refs.empty() && refs.back().job == next->job &&
                          refs.back().occurrence == next->occurrence;
    if (settings_.order_by_loss && !demand.long_running) {
      priorities[demand.priority] |=
          job->spec_of({next->job, next->occurrence, next->step, 0})
              .best_effort;
    }
    demands.push_back(demand);
    refs.push_back(*next);
    ++next;
  }
  if (settings_.order_by_loss) UpdateCapacity(now);
  const std::vector<PriorityCapacity> capacities = CapacitiesFor(priorities);
  ranking_ = std::visit(
      [&](auto& order) { return order.Rank(demands, capacities, now); },
      order_);
  for (const std::size_t position : ranking_.moved_up)
    MoveUp(refs[position], demands[position], now);
  std::vector<StepRef> steps;
  steps.reserve(refs.size());
  for (const std::size_t position : ranking_.order)
    steps.push_back(std::move(refs[position]));
  return steps;
}

void Dispatcher::MoveUp(const StepRef& ref, const StepDemand& demand,
                        Time now) {
  jobs_.Find(ref.job)->occurrences.at(ref.occurrence).moved_up = true;
  ++steps_moved_up_;
  AddRoutineEvent(
      "step moved up", {ref.job, ref.occurrence, ref.step, 0}, RunNumber(), {},
      "passed over for " +
          std::to_string((now - demand.ready_since).count() / 1000) +
          " ms, objective " +
          std::to_string(demand.objective_length.count() / 1000) + " ms");
}

}  // namespace gypsumfall
