// Which orders are due.

#include <algorithm>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// How long a lease call may wait for an end. The shorter one bounds the time
// until a run that was not confirmed is looked at again.
constexpr Duration kLeaseWait = milliseconds(1000);
constexpr Duration kIdleLeaseWait = milliseconds(2000);
// While ends wait to be stored the worker answers at once.
constexpr Duration kUnstoredEndDelay = milliseconds(60);
// Pause before a stop that was not answered is sent again.
constexpr Duration kStopRetryDelay = milliseconds(400);
// Tasks that fill are placed in rounds: finding room for them is the dearest
// decision, and their objectives are long against this. A round that finds no
// room looks at each worker, so that larger fleets have longer rounds.
constexpr Duration kFillRoundInterval = milliseconds(30);
constexpr Duration kFillRoundPerWorker = microseconds(200);
// All runs are looked at this often: for stops, pauses and lost workers.
constexpr Duration kSweepInterval = milliseconds(15);
// Time that a run stands still before it is moved. Moving costs the restore
// of its checkpoint.
constexpr Duration kPauseBeforeMove = milliseconds(800);
// Declared times are off by about a fifth, and starts and ends take time. A job
// of which this many times the declared chain does not fit in its time is taken
// for late: started now, it would most often miss its objective.
constexpr double kDeclaredMargin = 1.2;
// Time that a step waits before the reason is noted, and between two notes.
constexpr Duration kWaitNoteDelay = seconds(2);
constexpr Duration kWaitNoteInterval = seconds(5);
// Changes of the share below this are not worth a call.
constexpr int kLeastPaceChange = 5;

// Resources that found no worker in this round; no larger request will.
class FailedRequests {
 public:
  bool Covers(const StepSpec& spec, const ServiceId& service) const {
    return std::any_of(failed_.begin(), failed_.end(), [&](const Entry& entry) {
      return entry.service == service && entry.fills == spec.fills &&
             (!spec.fills || entry.image == spec.image) &&
             entry.need.FitsIn(spec.need);
    });
  }
  void Add(const StepSpec& spec, const ServiceId& service) {
    const bool constrained = !spec.required_label.empty() ||
                             !spec.data_rack.empty() || spec.same_rack ||
                             spec.max_per_worker > 0 || spec.gang;
    if (!constrained) {
      // Only for tasks that fill the image decides where they fit.
      failed_.push_back({service, spec.fills,
                         spec.fills ? spec.image : ImageId(), spec.need});
    }
  }

 private:
  struct Entry {
    ServiceId service;
    bool fills;
    ImageId image;
    Resources need;
  };
  std::vector<Entry> failed_;
};

}  // namespace

using dispatch_internal::ChooseWorker;
using dispatch_internal::ClockNow;
using dispatch_internal::IsSilent;
using dispatch_internal::NoteFailure;
using dispatch_internal::PlacementRequest;
using dispatch_internal::StandsStill;
using dispatch_internal::TaskPhase;

std::vector<Order> Dispatcher::Decide(Time now) {
  std::vector<Order> orders;
  if (superseded_) return orders;
  ReleaseDue(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    DropLostWorkers(now);
    MovePausedRuns(now);
    MoveStandingRuns(now);
    AddStopOrders(now, orders);
    for (auto& [id, worker] : workers_) AddPaceOrders(worker, now, orders);
  }
  AddStartOrders(now, orders);
  AddLeaseOrders(now, orders);
  return orders;
}

void Dispatcher::AddLeaseOrders(Time now, std::vector<Order>& orders) {
  for (auto& [id, worker] : workers_) {
    if (worker.entry.endpoint.empty()) continue;
    if (worker.lease_call_open) continue;
    const bool unstored = !worker.pending_ends.empty();
    const Time due =
        unstored ? worker.last_answer + kUnstoredEndDelay : Time::min();
    if (now < worker.next_lease_call || now < due) continue;
    LeaseOrder order{.worker = id,
                     .endpoint = worker.entry.endpoint,
                     .lease_until = {},
                     .acknowledged = worker.acknowledged,
                     .wait = worker.runs.empty() ? kIdleLeaseWait : kLeaseWait};
    // The first call learns what runs there and does not wait.
    if (!worker.fenced) order.wait = Duration{0};
    // The lease of a silent worker is left to lapse, so that its runs can go on
    // elsewhere. It is extended again once the worker has answered.
    if (worker.clock && worker.unanswered == 0) {
      order.lease_until = ClockNow(worker, now) + settings_.max_lease;
      worker.lease_until = std::max(worker.lease_until, *order.lease_until);
    }
    worker.lease_call_open = true;
    worker.lease_call_sent_at = now;
    worker.lease_reply_due = now + order.wait;
    orders.emplace_back(std::move(order));
  }
}

void Dispatcher::AddPaceOrders(Worker& worker, Time now,
                               std::vector<Order>& orders) {
  for (auto& [name, run] : worker.runs) {
    if (!run.fills || run.phase != RunPhase::kRunning || run.pace_open)
      continue;
    if (std::abs(run.told_percent - run.wanted_percent) < kLeastPaceChange) {
      continue;
    }
    run.told_percent = run.wanted_percent;
    run.pace_open = true;
    // Its progress is judged anew from here.
    run.progress_at = now;
    orders.emplace_back(PaceOrder{worker.entry.id, worker.entry.endpoint, name,
                                  run.number, run.wanted_percent});
  }
}

// A run that stands still and has a checkpoint goes on elsewhere.
void Dispatcher::MovePausedRuns(Time now) {
  for (auto& [id, worker] : workers_) {
    for (auto& [name, run] : worker.runs) {
      if (!run.fills || run.phase != RunPhase::kRunning) continue;
      if (run.wanted_percent > 0) {
        run.paused_since.reset();
        continue;
      }
      if (!run.paused_since) run.paused_since = now;
      if (now < *run.paused_since + kPauseBeforeMove) continue;
      const Job* job = jobs_.Find(name.job);
      if (job != nullptr && !job->occurrences.empty() &&
          job->spec_of(name).checkpoints) {
        WantStop(worker, name, now, "stands still beside urgent work");
      }
    }
  }
}

// Runs that stand still on a worker that seems sound go on elsewhere.
void Dispatcher::MoveStandingRuns(Time now) {
  for (auto& [id, worker] : workers_) {
    if (!worker.fenced || IsSilent(worker, now)) continue;
    for (auto& [name, run] : worker.runs) {
      if (!StandsStill(run, now)) continue;
      NoteFailure(worker, now);
      if (Task* task = jobs_.FindTask(name)) task->failed_on = id;
      WantStop(worker, name, now, "makes no progress");
    }
  }
}

void Dispatcher::AddStopOrder(Worker& worker, const TaskName& name, Run& run,
                              Time now, std::vector<Order>& orders) {
  if (run.phase != RunPhase::kStopWanted || run.stop_open) return;
  if (now < run.stop_sent_at + kStopRetryDelay) return;
  run.stop_open = true;
  run.stop_sent_at = now;
  orders.emplace_back(
      StopOrder{worker.entry.id, worker.entry.endpoint, name, run.number});
}

void Dispatcher::AddStopOrders(Time now, std::vector<Order>& orders) {
  for (auto& [id, worker] : workers_) {
    for (auto& [name, run] : worker.runs) {
      AddStopOrder(worker, name, run, now, orders);
    }
    for (auto& [name, stranger] : worker.strangers) {
      if (stranger.stop_open || now < stranger.stop_sent_at + kStopRetryDelay) {
        continue;
      }
      stranger.stop_open = true;
      stranger.stop_sent_at = now;
      Note("unknown run is to stop", name, stranger.number, id);
      orders.emplace_back(
          StopOrder{id, worker.entry.endpoint, name, stranger.number});
    }
  }
}

// When the work of a step is to be done: that of a periodic job after it is
// due, that which lasts after it has begun to wait.
Time Dispatcher::ObjectiveOf(const Job& job, const StepRef& ref) {
  const Duration allowed = job.record.terms.objective;
  const Occurrence& occurrence =
      job.occurrences[static_cast<std::size_t>(ref.occurrence)];
  const auto step = static_cast<std::size_t>(ref.step);
  if (job.record.spec.steps[step].long_running) {
    return occurrence.steps[step].ready_since + allowed;
  }
  if (job.record.spec.repetitions > 0) return occurrence.due + allowed;
  return job.objective;
}

Dispatcher::Urgency Dispatcher::UrgencyOf(const Job& job, const StepRef& ref,
                                          Time objective, Time now) {
  const auto step = static_cast<std::size_t>(ref.step);
  const Duration left = job.chains_left[step];
  const Duration needed(static_cast<std::int64_t>(
      kDeclaredMargin * static_cast<double>(left.count())));
  if (now + needed <= objective) return Urgency::kOnTime;
  return job.record.spec.steps[step].long_running ? Urgency::kMissing
                                                  : Urgency::kLate;
}

// Jobs of a higher priority come first. Within one, those that can still be on
// time come before those that can not, and the earliest objective before
// later ones. Under overload this keeps the room for jobs that it still helps.
std::vector<Dispatcher::StepRef> Dispatcher::OrderOfSteps(Time now) {
  struct Ranked {
    int priority;
    Urgency urgency;
    Time objective;
    StepRef ref;
  };
  std::vector<Ranked> ranked;
  for (auto next = ready_.begin(); next != ready_.end();) {
    const Job* job = jobs_.Find(next->job);
    if (job == nullptr || IsFinal(job->state)) {
      next = ready_.erase(next);
      continue;
    }
    const Time objective = ObjectiveOf(*job, *next);
    ranked.push_back({job->record.terms.priority,
                      UrgencyOf(*job, *next, objective, now), objective,
                      *next});
    ++next;
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.priority, a.urgency, a.objective, a.ref) <
           std::tie(b.priority, b.urgency, b.objective, b.ref);
  });
  std::vector<StepRef> steps;
  steps.reserve(ranked.size());
  for (Ranked& each : ranked) steps.push_back(std::move(each.ref));
  return steps;
}

void Dispatcher::AddStartOrders(Time now, std::vector<Order>& orders) {
  if (ready_.empty()) return;
  const bool accounted = AllAccounted();
  const bool try_fills = now >= next_fill_round_;
  if (try_fills) {
    next_fill_round_ =
        now + std::max(kFillRoundInterval,
                       kFillRoundPerWorker *
                           static_cast<std::int64_t>(workers_.size()));
  }
  FailedRequests failed;
  for (const StepRef& ref : OrderOfSteps(now)) {
    const Job& job = *jobs_.Find(ref.job);
    if (job.record.accepted_in < epoch_ && !accounted) {
      NoteWait(ref, now, "runs of earlier epochs are not all known");
      continue;
    }
    const StepSpec& spec =
        job.record.spec.steps[static_cast<std::size_t>(ref.step)];
    if (spec.fills && !try_fills) continue;
    if (failed.Covers(spec, job.record.terms.service)) {
      NoteWait(ref, now, "no room for a smaller task before it");
    } else if (StartStep(ref, now, orders)) {
      ready_.erase(ref);
    } else {
      NoteWait(ref, now, "no worker with room is allowed");
      failed.Add(spec, job.record.terms.service);
    }
  }
}

// Notes why a step waits, unless that was noted a short time ago.
void Dispatcher::NoteWait(const StepRef& ref, Time now,
                          std::string_view reason) {
  Job& job = *jobs_.Find(ref.job);
  const TaskName name{ref.job, ref.occurrence, ref.step, 0};
  Step& step = StepOf(job, name);
  if (step.next_wait_note == Time{}) step.next_wait_note = now + kWaitNoteDelay;
  if (now < step.next_wait_note) return;
  step.next_wait_note = now + kWaitNoteInterval;
  Note("step waits", name, RunNumber(), {},
       std::string(reason) + ", needs " + job.spec_of(name).need.ToString() +
           ", " + std::to_string(ready_.size()) + " steps wait");
}

// @return whether no task of the step is left to start.
bool Dispatcher::StartStep(const StepRef& ref, Time now,
                           std::vector<Order>& orders) {
  Job& job = *jobs_.Find(ref.job);
  TaskName name{ref.job, ref.occurrence, ref.step, 0};
  Step& step = StepOf(job, name);
  if (job.spec_of(name).gang) return StartGang(job, name, step, now, orders);
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    Task& task = step.tasks[i];
    if (task.phase != TaskPhase::kReady) continue;
    name.index = static_cast<int>(i);
    Worker* worker = WorkerFor(job, name, step, now);
    if (worker == nullptr) return false;
    orders.emplace_back(PlaceRun(*worker, job, name, task, now));
  }
  return true;
}

// Starts all tasks of a gang or none: members that wait for others hold room.
bool Dispatcher::StartGang(Job& job, const TaskName& first, Step& step,
                           Time now, std::vector<Order>& orders) {
  std::uint64_t last_run = 0;
  Checkpoint checkpoint;
  for (const Task& task : step.tasks) {
    if (task.phase != TaskPhase::kReady) return false;
    if (task.last_run >= last_run && !task.checkpoint.empty()) {
      checkpoint = task.checkpoint;
    }
    last_run = std::max(last_run, task.last_run);
  }
  std::vector<std::pair<Worker*, TaskName>> placed;
  std::vector<Order> starts;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    TaskName name = first;
    name.index = static_cast<int>(i);
    Task& task = step.tasks[i];
    Worker* worker = WorkerFor(job, name, step, now);
    if (worker == nullptr) {
      for (const auto& [taken, member] : placed) {
        UnbindRun(*taken, member);
        Task& undone = step.tasks[static_cast<std::size_t>(member.index)];
        undone.phase = TaskPhase::kReady;
        undone.last_run = last_run;
      }
      return false;
    }
    task.last_run = last_run;
    task.checkpoint = checkpoint;
    starts.emplace_back(PlaceRun(*worker, job, name, task, now));
    placed.emplace_back(worker, name);
  }
  std::move(starts.begin(), starts.end(), std::back_inserter(orders));
  return true;
}

Dispatcher::Worker* Dispatcher::WorkerFor(Job& job, const TaskName& name,
                                          Step& step, Time now) {
  const StepSpec& spec = job.spec_of(name);
  const Task& task = step.tasks[static_cast<std::size_t>(name.index)];
  PlacementRequest request{.spec = &spec,
                           .step = &step,
                           .image = interference_.IndexOf(spec.image),
                           .service = job.record.terms.service,
                           .rack = spec.data_rack,
                           .avoid = task.failed_on};
  if (request.rack.empty() && spec.same_rack) request.rack = step.rack;
  Worker* worker = ChooseWorker(workers_, request, interference_, now);
  if (worker == nullptr && !request.rack.empty()) {
    // Waiting for the rack costs more than the slower run once it has waited
    // as long as the run was declared to take.
    if (now < task.ready_since + spec.declared_run_time) return nullptr;
    request.rack = RackId();
    worker = ChooseWorker(workers_, request, interference_, now);
  }
  if (worker != nullptr && spec.same_rack && step.rack.empty()) {
    step.rack = worker->entry.rack;
  }
  return worker;
}

StartOrder Dispatcher::PlaceRun(Worker& worker, Job& job, const TaskName& name,
                                Task& task, Time now) {
  const RunNumber number(task.last_run + 1);
  StartOrder order{.worker = worker.entry.id,
                   .endpoint = worker.entry.endpoint,
                   .task = name,
                   .run = number,
                   .lease_until = ClockNow(worker, now) + settings_.max_lease,
                   .checkpoint = task.checkpoint};
  worker.lease_until = std::max(worker.lease_until, order.lease_until);
  Note("run starts", name, number, worker.entry.id,
       "free " + Free(worker).ToString() + ", ready for " +
           std::to_string((now - task.ready_since).count() / 1000) +
           " ms, clock age " +
           std::to_string((now - worker.clock_read_at).count() / 1000) + " ms");
  BindRun(worker, job, name, task,
          Run{.number = number,
              .phase = RunPhase::kSent,
              .started_at = now,
              .changed_at = now,
              .progress_at = now});
  return order;
}

}  // namespace gypsumfall
