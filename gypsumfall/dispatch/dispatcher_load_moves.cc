// Moves waiting jobs to shards that start them sooner.
//
// The shard that holds a job offers it with the wait that it expects; the other
// one wants it only if it would start the step at once. How the move is stored,
// and who runs the job meanwhile, is the same as in dispatcher_moves.cc. The
// promises of room are in memory only: if a leader is lost, a job waits longer.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"

namespace gypsumfall {
namespace {

// Time after which a job that no shard wanted is offered again. Free room in
// another shard comes and goes within a few seconds.
constexpr Duration kLoadOfferPause = seconds(1);
// Time for which room is kept in mind for a job that moves here: its move is
// stored and read within 1 s, unless the store is slow.
constexpr Duration kPromiseTime = seconds(2);

}  // namespace

using dispatch_internal::CountFreePlaces;
using dispatch_internal::TaskPhase;

std::vector<Dispatcher::WaitingStep> Dispatcher::WaitingSteps(Time now) {
  std::vector<WaitingStep> waiting;
  for (const StepRef& ref : RankSteps(now)) {
    const Job& job = *jobs_.Find(ref.job);
    const TaskName name{ref.job, ref.occurrence, ref.step, 0};
    const StepSpec& spec = job.spec_of(name);
    // Steps that wait for a worker to join do not delay others.
    if (!HasPlacesFor(job.record.terms, spec, now)) continue;
    const Step& step = *job.FindStep(name);
    std::int64_t ready = step.tasks.size() - step.tasks.done();
    step.tasks.VisitChanged([&](int, const Task& task) {
      if (task.phase != TaskPhase::kReady) --ready;
    });
    // An estimate for slices, whose other tasks are excluded.
    ready /=
        static_cast<std::int64_t>(std::max<std::uint64_t>(1, job.slice.stride));
    const MilliCores cpu(spec.need.cpu.value() *
                         std::max<std::int64_t>(1, ready));
    waiting.push_back({.ref = ref,
                       .priority = job.record.terms.priority,
                       .best_effort = spec.best_effort,
                       .cpu = cpu,
                       .work = spec.long_running
                                   ? CoreMilliseconds(0)
                                   : WorkOf(cpu, spec.declared_run_time)});
  }
  return waiting;
}

Dispatcher::Job* Dispatcher::FindMovableForLoad(const JobId& id) {
  Job* job = jobs_.Find(id);
  if (job == nullptr || job->started || job->moved_for_load ||
      job->record.spec.repetitions > 0 || !MayMove(*job) || HasBoundRun(*job) ||
      HasUnexpectedRunOf(id)) {
    return nullptr;
  }
  const auto ready = ready_steps_.lower_bound({.job = id});
  return ready != ready_steps_.end() && ready->job == id ? job : nullptr;
}

std::vector<LoadOffer> Dispatcher::JobsToMoveForLoad(Time now,
                                                     std::size_t limit) {
  std::vector<LoadOffer> offers;
  if (!settings_.balances_jobs || settings_.other_shards == 0) return offers;
  const std::vector<WaitingStep> waiting = WaitingSteps(now);
  std::map<int, std::int64_t> work_by_priority;
  for (const WaitingStep& step : waiting)
    work_by_priority[step.priority] += step.work.value();
  std::int64_t sum = 0;
  for (auto& [priority, work] : work_by_priority) work = sum += work;
  // What is ahead of a step: best-effort steps are behind all others, which do
  // not wait for them.
  struct Ahead {
    std::int64_t cpu = 0;
    std::int64_t work = 0;
  };
  Ahead others_ahead;
  Ahead all_ahead;
  std::map<bool, WaitEstimator> estimators;
  for (const WaitingStep& step : waiting) {
    if (offers.size() >= limit) break;
    const Ahead ahead = step.best_effort ? all_ahead : others_ahead;
    for (Ahead* sums : {&others_ahead, &all_ahead}) {
      if (sums == &others_ahead && step.best_effort) continue;
      sums->cpu += step.cpu.value();
      sums->work += step.work.value();
    }
    Job& job = *jobs_.Find(step.ref.job);
    const TaskName name{step.ref.job, step.ref.occurrence, step.ref.step, 0};
    const StepSpec& spec = job.spec_of(name);
    if (spec.long_running || now < job.next_load_offer) continue;
    const Duration waited = now - job.FindStep(name)->ready_since;
    auto estimator = estimators.find(step.best_effort);
    if (estimator == estimators.end()) {
      estimator =
          estimators
              .emplace(step.best_effort, dispatch_internal::EstimatorFor(
                                             workers_, step.best_effort, now))
              .first;
    }
    // A step that waits in spite of a short estimate fits few of the workers;
    // it is taken to wait for as long again.
    const Duration expected = std::max(
        waited,
        estimator->second.WaitFor(MilliCores(ahead.cpu + step.cpu.value()),
                                  CoreMilliseconds(ahead.work)));
    const CoreMilliseconds backlog(work_by_priority[step.priority]);
    const WaitingJob state{.waited = waited,
                           .has_run = job.started,
                           .moved_for_load = job.moved_for_load,
                           .extra_run_time = spec.data_rack.empty()
                                                 ? Duration{0}
                                                 : spec.declared_run_time};
    if (!ShouldMove({expected, backlog}, {}, state) ||
        FindMovableForLoad(step.ref.job) == nullptr) {
      continue;
    }
    job.next_load_offer = now + kLoadOfferPause;
    job.offered_wait = expected;
    offers.push_back(
        {.offer = {.job = name.job, .terms = job.record.terms, .step = spec},
         .waited = waited,
         .expected_wait = expected,
         .backlog = backlog});
  }
  return offers;
}

bool Dispatcher::HasFreeRoomFor(const JobOffer& offer, MilliCores ahead,
                                Time now) {
  const std::int64_t need = offer.step.need.cpu.value();
  if (need <= 0) return false;
  static const Step no_runs;
  const PlacementRequest request{
      .spec = &offer.step,
      .step = &no_runs,
      // Only best-effort steps are placed by image.
      .image = offer.step.best_effort ? interference_.IndexOf(offer.step.image)
                                      : std::size_t{0},
      .service = offer.terms.service,
      .priority = offer.terms.priority};
  const std::int64_t needed =
      offer.step.task_count + (ahead.value() + need - 1) / need;
  // No shard has room for so many; the sum must not overflow an int.
  constexpr std::int64_t kMost = 1'000'000;
  if (needed > kMost) return false;
  return CountFreePlaces(workers_, request, interference_,
                         static_cast<int>(needed), now) >= needed;
}

std::vector<JobId> Dispatcher::ChooseForLoad(
    const std::vector<LoadOffer>& offers, Time now) {
  std::vector<JobId> chosen;
  promised_room_.Expire(now);
  if (!settings_.balances_jobs || offers.empty() || IsFull()) return chosen;
  const std::vector<WaitingStep> waiting = WaitingSteps(now);
  // The budget counts what this round adds.
  const PromisedRoom earlier = promised_room_;
  MoveBudget budget;
  for (const LoadOffer& load : offers) {
    const JobOffer& offer = load.offer;
    const int priority = offer.terms.priority;
    if (jobs_.Find(offer.job) != nullptr) continue;
    std::int64_t cpu = promised_room_.SumsFor(priority).cpu.value();
    std::int64_t backlog = earlier.SumsFor(priority).work.value();
    for (const WaitingStep& step : waiting) {
      if (step.priority > priority) break;
      cpu += step.cpu.value();
      backlog += step.work.value();
    }
    const MilliCores step_cpu(offer.step.need.cpu.value() *
                              offer.step.task_count);
    const CoreMilliseconds work =
        WorkOf(step_cpu, offer.step.declared_run_time);
    const ShardOutlook here{load.expected_wait, load.backlog};
    const ShardOutlook there{.backlog = CoreMilliseconds(backlog)};
    const WaitingJob state{
        .waited = load.waited,
        .extra_run_time = offer.step.data_rack.empty()
                              ? Duration{0}
                              : offer.step.declared_run_time};
    if (!ShouldMove(here, there, state) ||
        !HasFreeRoomFor(offer, MilliCores(cpu), now) ||
        !budget.TryTake(here.backlog, there.backlog, work)) {
      continue;
    }
    promised_room_.Add(offer.job, {.priority = priority,
                                   .cpu = step_cpu,
                                   .work = work,
                                   .until = now + kPromiseTime});
    chosen.push_back(offer.job);
  }
  return chosen;
}

bool Dispatcher::MoveJobForLoad(const JobId& id, ShardId shard, Epoch epoch,
                                Time now) {
  Job* job = FindMovableForLoad(id);
  if (!settings_.balances_jobs || job == nullptr) return false;
  return StartMove(*job, {.shard = shard, .epoch = epoch, .for_load = true},
                   now);
}

Time Dispatcher::RackWaitEndOf(const Job& job, const TaskName& name,
                               const Task& task) const {
  const Duration run_time = job.spec_of(name).declared_run_time;
  if (!settings_.balances_jobs) return task.ready_since + run_time;
  // The rack of the data belongs to the shard that gave the job away.
  if (job.moved_for_load) return task.ready_since;
  return RackWaitEnd(
      task.ready_since, run_time,
      ObjectiveOf(job, {name.job, name.occurrence, name.step}),
      job.remaining_critical_paths[static_cast<std::size_t>(name.step)]);
}

}  // namespace gypsumfall
