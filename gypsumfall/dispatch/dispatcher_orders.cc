// Decides which orders to send.

#include <algorithm>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// Time for which a lease call may wait for a completion. The shorter one bounds
// the time until an unconfirmed run is checked again.
constexpr Duration kLeaseCallWait = milliseconds(1000);
constexpr Duration kIdleLeaseCallWait = milliseconds(2000);
constexpr Duration kRiskLeaseCallWait = milliseconds(300);
// Minimum delay between lease calls while completions wait to be stored,
// because the worker then answers at once.
constexpr Duration kUnstoredCompletionDelay = milliseconds(60);
// Delay before an unanswered stop order is sent again.
constexpr Duration kStopRetryDelay = milliseconds(400);
// Best-effort tasks are placed in rounds: finding a worker for them is the most
// expensive decision, and their objectives are long compared with the interval.
// A round that finds no worker looks at all of them, so larger fleets have
// longer intervals.
constexpr Duration kBestEffortRoundInterval = milliseconds(30);
constexpr Duration kBestEffortRoundPerWorker = microseconds(200);
// Interval at which images are removed from a full interference model.
constexpr Duration kImageCleanupInterval = seconds(1);
// Interval at which all runs are checked for stops, pauses and lost workers.
constexpr Duration kSweepInterval = milliseconds(15);
// Time for which a run is paused before it is moved. Moving costs the restore
// of its checkpoint.
constexpr Duration kPauseBeforeMove = milliseconds(800);
// Time that a step waits before the reason is logged, and the interval at which
// it is logged again.
constexpr Duration kWaitEventDelay = seconds(2);
constexpr Duration kWaitEventInterval = seconds(5);
// Time for which a task does not start on a worker that fails its runs while no
// other worker of the shard could run it. In this time another shard takes the
// job, if one wants it.
constexpr Duration kWaitForOtherShard = seconds(2);
// Time for which no task of a job runs before a best-effort task of it starts
// with a smaller share, if no worker takes it with the full one. Accepted work
// may stand still for three seconds while there is room.
constexpr Duration kWaitBeforeThrottledStart = seconds(2);
// Smallest share for such a start, in percent; a run with less takes so long
// that a full share found later serves its caller better. After the second wait
// any share that makes progress will do.
constexpr int kMinStartPercent = 30;
constexpr Duration kWaitBeforeSlowStart = milliseconds(2600);
// Changes of the share below this, in percentage points, are not worth an
// order.
constexpr int kMinThrottleChangePercent = 5;

// Requests that found no worker in this round; no larger request will find one
// either.
class UnplaceableRequests {
 public:
  bool Covers(const StepSpec& spec, const ServiceId& service) const {
    return std::any_of(
        requests_.begin(), requests_.end(), [&](const Entry& entry) {
          return entry.service == service &&
                 entry.best_effort == spec.best_effort &&
                 (!spec.best_effort || entry.image == spec.image) &&
                 entry.need.FitsIn(spec.need);
        });
  }
  void Add(const StepSpec& spec, const ServiceId& service) {
    const bool constrained = !spec.required_label.empty() ||
                             !spec.data_rack.empty() || spec.same_rack ||
                             spec.max_per_worker > 0 || spec.gang;
    if (!constrained) {
      // Only the placement of best-effort tasks depends on the image.
      requests_.push_back({service, spec.best_effort,
                           spec.best_effort ? spec.image : ImageId(),
                           spec.need});
    }
  }

 private:
  struct Entry {
    ServiceId service;
    bool best_effort;
    ImageId image;
    Resources need;
  };
  std::vector<Entry> requests_;
};

}  // namespace

using dispatch_internal::ChooseWorker;
using dispatch_internal::ChooseWorkerToThrottle;
using dispatch_internal::ClockNow;
using dispatch_internal::CountFailure;
using dispatch_internal::FailsRuns;
using dispatch_internal::IsStalled;
using dispatch_internal::IsUnresponsive;
using dispatch_internal::kFullSharePercent;
using dispatch_internal::kMinSharePercent;
using dispatch_internal::Reservation;
using dispatch_internal::Reserve;
using dispatch_internal::StartPercent;
using dispatch_internal::TaskPhase;

std::vector<Order> Dispatcher::Decide(Time now) {
  std::vector<Order> orders;
  if (superseded_) return orders;
  UnblockDueJobs(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    RetryRejectedBatches(now);
    ForgetUnusedImages(now);
    ExpireLeases(now);
    UpdatePredecessorRunsKnown();
    ApplyDeferredTransfers(now);
    ApplyDeferredMoves(now);
    MovePausedRuns(now);
    MoveStalledRuns(now);
    DropUnusableReservations(now);
    RemoveIdleLeavingWorkersFromRoster();
    MoveRunsOffDrainingWorkers(now);
    AddStopOrders(now, orders);
    for (auto& [id, worker] : workers_) AddThrottleOrders(worker, now, orders);
  }
  AddStartOrders(now, orders);
  AddLeaseOrders(now, orders);
  return orders;
}

void Dispatcher::ForgetUnusedImages(Time now) {
  if (now < next_image_cleanup_ || !interference_.IsFull()) return;
  next_image_cleanup_ = now + kImageCleanupInterval;
  std::set<std::size_t> used;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [name, run] : worker.runs) used.insert(run.image);
  }
  interference_.ForgetUnused(used);
}

void Dispatcher::AddLeaseOrders(Time now, std::vector<Order>& orders) {
  for (auto& [id, worker] : workers_) {
    if (worker.entry.endpoint.empty()) continue;
    if (worker.lease_call_in_flight) continue;
    const bool has_unstored_completions = !worker.pending_completions.empty();
    const Time due = has_unstored_completions
                         ? worker.last_answer + kUnstoredCompletionDelay
                         : Time::min();
    if (now < worker.next_lease_call || now < due) continue;
    LeaseOrder order{
        .worker = id,
        .endpoint = worker.entry.endpoint,
        .lease_until = {},
        .acknowledged = worker.acknowledged,
        .wait = worker.runs.empty() ? kIdleLeaseCallWait : kLeaseCallWait};
    // A missed target has to be seen soon.
    if (worker.target_at_risk) order.wait = kRiskLeaseCallWait;
    // The first call reads which runs exist and does not wait.
    if (!worker.fenced || std::exchange(worker.read_runs_at_once, false))
      order.wait = Duration{0};
    // The lease of an unresponsive worker is left to expire, so that its runs
    // can continue on other workers. It is extended again once the worker has
    // answered and successors know of it.
    if (worker.clock && worker.unanswered_calls == 0 && worker.in_roster) {
      order.lease_until = ClockNow(worker, now) + settings_.max_lease;
      worker.lease_until = std::max(worker.lease_until, *order.lease_until);
    }
    worker.lease_call_in_flight = true;
    worker.lease_call_sent_at = now;
    worker.lease_reply_due = now + order.wait;
    orders.emplace_back(std::move(order));
  }
}

void Dispatcher::AddThrottleOrders(Worker& worker, Time now,
                                   std::vector<Order>& orders) {
  for (auto& [name, run] : worker.runs) {
    if (!run.best_effort || run.phase != RunPhase::kRunning ||
        run.throttle_in_flight)
      continue;
    if (std::abs(run.sent_percent - run.target_percent) <
        kMinThrottleChangePercent) {
      continue;
    }
    run.sent_percent = run.target_percent;
    run.throttle_in_flight = true;
    run.throttle_sent_at = now;
    // The time without progress is measured from here.
    run.progress_at = now;
    orders.emplace_back(ThrottleOrder{worker.entry.id, worker.entry.endpoint,
                                      name, run.number, run.target_percent});
  }
}

// Stops paused runs that have checkpoints, so that they continue on other
// workers.
void Dispatcher::MovePausedRuns(Time now) {
  for (auto& [id, worker] : workers_) {
    for (auto& [name, run] : worker.runs) {
      if (!run.best_effort || run.phase != RunPhase::kRunning) continue;
      if (run.target_percent > 0) {
        run.paused_since.reset();
        continue;
      }
      if (!run.paused_since) run.paused_since = now;
      if (now < *run.paused_since + kPauseBeforeMove) continue;
      const Job* job = jobs_.Find(name.job);
      if (job != nullptr && !IsFinal(job->state) &&
          job->spec_of(name).checkpoints) {
        RequestStop(worker, name, now, "paused for latency-critical work");
      }
    }
  }
}

// Stops stalled runs on workers that answer calls, so that their tasks continue
// on other workers.
void Dispatcher::MoveStalledRuns(Time now) {
  for (auto& [id, worker] : workers_) {
    if (!worker.fenced || IsUnresponsive(worker, now)) continue;
    for (auto& [name, run] : worker.runs) {
      if (!IsStalled(worker, run)) continue;
      CountFailure(worker, now);
      if (Task* task = jobs_.EditTask(name)) task->failed_on = {id};
      RequestStop(worker, name, now, "run makes no progress");
    }
  }
}

void Dispatcher::AddStopOrder(Worker& worker, const TaskName& name, Run& run,
                              Time now, std::vector<Order>& orders) {
  if (run.phase != RunPhase::kStopPending || run.stop_in_flight) return;
  if (now < run.stop_sent_at + kStopRetryDelay) return;
  run.stop_in_flight = true;
  run.stop_sent_at = now;
  orders.emplace_back(
      StopOrder{worker.entry.id, worker.entry.endpoint, name, run.number});
}

void Dispatcher::AddStopOrders(Time now, std::vector<Order>& orders) {
  std::erase_if(unexpected_run_workers_, [&](const WorkerId& id) {
    const Worker* worker = workers_.Find(id);
    return worker == nullptr || worker->unexpected_runs.empty();
  });
  for (auto& [id, worker] : workers_) {
    for (auto& [name, run] : worker.runs) {
      AddStopOrder(worker, name, run, now, orders);
    }
    for (auto& [name, unexpected_run] : worker.unexpected_runs) {
      if (unexpected_run.stop_in_flight ||
          now < unexpected_run.stop_sent_at + kStopRetryDelay) {
        continue;
      }
      unexpected_run.stop_in_flight = true;
      unexpected_run.stop_sent_at = now;
      AddEvent("stop requested for unexpected run", name, unexpected_run.number,
               id);
      orders.emplace_back(
          StopOrder{id, worker.entry.endpoint, name, unexpected_run.number});
    }
  }
}

void Dispatcher::AddStartOrders(Time now, std::vector<Order>& orders) {
  if (ready_steps_.empty()) return;
  UpdatePredecessorRunsKnown();
  const bool place_best_effort = now >= next_best_effort_round_;
  if (place_best_effort) {
    next_best_effort_round_ =
        now + std::max(kBestEffortRoundInterval,
                       kBestEffortRoundPerWorker *
                           static_cast<std::int64_t>(workers_.size()));
  }
  UnplaceableRequests unplaceable;
  LimitedServices limited;
  for (const StepRef& ref : RankSteps(now)) {
    const Job& job = *jobs_.Find(ref.job);
    const StepSpec& spec =
        job.record.spec.steps[static_cast<std::size_t>(ref.step)];
    if (spec.best_effort && !place_best_effort) continue;
    ReserveForStarvingTasks(ref, now, limited);
    const bool may_throttle = MayStartThrottled(ref, now);
    if (unplaceable.Covers(spec, job.record.terms.service) && !may_throttle &&
        !HoldsWorkerForAny(ref, now)) {
      AddWaitEvent(ref, now, "a smaller task found no worker");
      continue;
    }
    switch (StartStep(ref, may_throttle, now, orders)) {
      case StepStart::kAllStarted:
        RemoveReadyStep(ready_steps_.find(ref));
        break;
      case StepStart::kNoWorker:
        AddWaitEvent(ref, now, "no eligible worker has enough free resources",
                     "no worker of the shard could run it");
        unplaceable.Add(spec, job.record.terms.service);
        break;
      case StepStart::kRetryDelayed:
        AddWaitEvent(ref, now, "runs failed early on all workers that fit");
        break;
      case StepStart::kRunsUnknown:
        AddWaitEvent(ref, now, "runs of earlier epochs may exist");
        break;
    }
  }
}

// Logs why a step waits, unless that was logged recently.
void Dispatcher::AddWaitEvent(const StepRef& ref, Time now,
                              std::string_view reason,
                              std::string_view reason_without_places) {
  Job& job = *jobs_.Find(ref.job);
  const TaskName name{ref.job, ref.occurrence, ref.step, 0};
  Step& step = StepOf(job, name);
  if (step.next_wait_event == Time{})
    step.next_wait_event = now + kWaitEventDelay;
  if (now < step.next_wait_event) return;
  step.next_wait_event = now + kWaitEventInterval;
  if (!reason_without_places.empty()) {
    step.has_places = HasPlacesFor(job.record.terms, job.spec_of(name), now);
    if (!step.has_places) reason = reason_without_places;
  }
  AddRoutineEvent("step waiting", name, RunNumber(), {},
                  std::string(reason) + ", needs " +
                      job.spec_of(name).need.ToString() + ", " +
                      std::to_string(ready_steps_.size()) + " steps waiting");
}

// Returns whether a best-effort step has waited so long that one of its tasks
// may start with a smaller share. Counts a search for a worker if so.
bool Dispatcher::MayStartThrottled(const StepRef& ref, Time now) {
  Job& job = *jobs_.Find(ref.job);
  const TaskName name{ref.job, ref.occurrence, ref.step, 0};
  const StepSpec& spec = job.spec_of(name);
  return spec.best_effort && !spec.gang &&
         now >= StepOf(job, name).ready_since + kWaitBeforeThrottledStart &&
         !HasBoundRun(job) && throttled_start_searches_.TryAcquire(now);
}

// Starts as many ready tasks of a step as find a worker.
Dispatcher::StepStart Dispatcher::StartStep(const StepRef& ref,
                                            bool may_throttle, Time now,
                                            std::vector<Order>& orders) {
  Job& job = *jobs_.Find(ref.job);
  TaskName name{ref.job, ref.occurrence, ref.step, 0};
  Step& step = StepOf(job, name);
  if (job.spec_of(name).gang) {
    if (!EarlierRunsKnown(job, name)) return StepStart::kRunsUnknown;
    return StartGang(job, name, step, now, orders) ? StepStart::kAllStarted
                                                   : StepStart::kNoWorker;
  }
  StepStart result = StepStart::kAllStarted;
  step.tasks.VisitReady([&](int index) {
    name.index = index;
    // All tasks need the same, so that the others need not be searched for.
    // Those that have not changed hold no worker.
    if (result == StepStart::kNoWorker) {
      if (!step.tasks.HasChanged(index)) return false;
      if (!HoldsWorkerFor(name, now)) return true;
    }
    if (!EarlierRunsKnown(job, name)) {
      if (result == StepStart::kAllStarted) result = StepStart::kRunsUnknown;
      return true;
    }
    Worker* worker = WorkerFor(job, name, step, now);
    int start_percent = kFullSharePercent;
    if (worker == nullptr && std::exchange(may_throttle, false)) {
      const PlacementRequest request = RequestFor(job, name, step);
      const int min_percent = now >= step.ready_since + kWaitBeforeSlowStart
                                  ? kMinSharePercent
                                  : kMinStartPercent;
      worker = ChooseWorkerToThrottle(workers_, request, interference_,
                                      min_percent, now);
      if (worker != nullptr)
        start_percent = StartPercent(*worker, request, interference_, now);
    }
    if (worker == nullptr) {
      result = StepStart::kNoWorker;
    } else if (!IsRetryDelayed(name, *worker, now)) {
      orders.emplace_back(PlaceRun(*worker, job, name, step.tasks.Edit(index),
                                   start_percent, now));
    } else if (result == StepStart::kAllStarted) {
      result = StepStart::kRetryDelayed;
    }
    return true;
  });
  return result;
}

// Starts all tasks of a gang or none, because members that wait for others
// would hold resources.
bool Dispatcher::StartGang(Job& job, const TaskName& first, Step& step,
                           Time now, std::vector<Order>& orders) {
  std::uint64_t last_run = 0;
  Checkpoint checkpoint;
  for (int i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    if (task.phase != TaskPhase::kReady) return false;
    if (task.last_run >= last_run && !task.checkpoint.empty()) {
      checkpoint = task.checkpoint;
    }
    last_run = std::max(last_run, task.last_run);
  }
  struct Placement {
    Worker* worker = nullptr;
    TaskName member;
    /// Reservation that the start has used, and its worker.
    WorkerId reserved_on;
    std::optional<Reservation> reservation;
    bool had_changed = false;
  };
  std::vector<Placement> placed;
  std::vector<Order> starts;
  for (int i = 0; i < step.tasks.size(); ++i) {
    TaskName name = first;
    name.index = i;
    Worker* worker = WorkerFor(job, name, step, now);
    if (worker == nullptr) {
      for (const Placement& placement : placed) {
        const TaskName& member = placement.member;
        UnbindRun(*placement.worker, member);
        if (!placement.had_changed) {
          step.tasks.Revert(member.index);
          continue;
        }
        Task& rolled_back = step.tasks.Edit(member.index);
        rolled_back.phase = TaskPhase::kReady;
        rolled_back.last_run = last_run;
        if (!placement.reservation) continue;
        Reserve(*workers_.Find(placement.reserved_on), member,
                *placement.reservation);
        rolled_back.reserved_on = placement.reserved_on;
      }
      return false;
    }
    const bool had_changed = step.tasks.HasChanged(i);
    Task& task = step.tasks.Edit(i);
    task.last_run = last_run;
    task.checkpoint = checkpoint;
    Placement placement{.worker = worker,
                        .member = name,
                        .reserved_on = task.reserved_on,
                        .reservation = ReservationOf(name, task),
                        .had_changed = had_changed};
    starts.emplace_back(
        PlaceRun(*worker, job, name, task, kFullSharePercent, now));
    placed.push_back(std::move(placement));
  }
  std::move(starts.begin(), starts.end(), std::back_inserter(orders));
  return true;
}

Dispatcher::Worker* Dispatcher::WorkerFor(Job& job, const TaskName& name,
                                          Step& step, Time now) {
  const Task& task = step.tasks[name.index];
  PlacementRequest request = RequestFor(job, name, step);
  Worker* reserved =
      HoldsWorkerFor(name, now) ? workers_.Find(task.reserved_on) : nullptr;
  if (reserved != nullptr && !FailsRuns(*reserved, now)) return reserved;
  Worker* worker = ChooseWorker(workers_, request, interference_, now);
  if (reserved != nullptr && (worker == nullptr || FailsRuns(*worker, now)))
    return reserved;
  if (worker == nullptr && !request.rack.empty()) {
    // Once the task has waited for its declared run time, waiting for the rack
    // costs more than a slower run elsewhere.
    if (now < RackWaitEndOf(job, name, task)) return nullptr;
    request.rack = RackId();
    worker = ChooseWorker(workers_, request, interference_, now);
  }
  if (worker != nullptr && AwaitsOtherShard(job, name, *worker, now))
    return nullptr;
  return worker;
}

bool Dispatcher::AwaitsOtherShard(const Job& job, const TaskName& name,
                                  const Worker& worker, Time now) {
  const StepSpec& spec = job.spec_of(name);
  const Task& task = *jobs_.FindTask(name);
  return settings_.other_shards > 0 && job.slice.IsWhole() && !job.immovable &&
         now < task.ready_since + kWaitForOtherShard &&
         FailsRuns(worker, now) && !HasBoundRun(job) &&
         !HasPlacesFor(job.record.terms, spec, now);
}

StartOrder Dispatcher::PlaceRun(Worker& worker, Job& job, const TaskName& name,
                                Task& task, int start_percent, Time now) {
  ReleaseReservationOf(name, task);
  Step& step = StepOf(job, name);
  if (job.spec_of(name).same_rack && step.rack.empty())
    step.rack = worker.entry.rack;
  const RunNumber number(task.last_run + 1);
  StartOrder order{.worker = worker.entry.id,
                   .endpoint = worker.entry.endpoint,
                   .task = name,
                   .run = number,
                   .lease_until = ClockNow(worker, now) + settings_.max_lease,
                   .checkpoint = task.checkpoint};
  worker.lease_until = std::max(worker.lease_until, order.lease_until);
  AddRoutineEvent(
      "starting run", name, number, worker.entry.id,
      "free " + FreeResources(worker).ToString() + ", ready for " +
          std::to_string((now - task.ready_since).count() / 1000) +
          " ms, clock age " +
          std::to_string((now - worker.clock_read_at).count() / 1000) + " ms" +
          (start_percent < kFullSharePercent
               ? ", throttled to " + std::to_string(start_percent) + " %"
               : ""));
  BindRun(worker, job, name, task,
          Run{.number = number,
              .phase = RunPhase::kStartSent,
              .does_whole_task = task.checkpoint.empty(),
              .started_at = now,
              .phase_changed_at = now,
              .progress_at = now,
              .target_percent = start_percent});
  return order;
}

}  // namespace gypsumfall
