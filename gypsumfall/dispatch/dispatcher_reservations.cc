// Reserves workers for tasks that would otherwise not start, and moves runs off
// workers that leave.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// A long-running task that has waited for this long gets a worker reserved.
// Most waits are shorter, because runs end all the time.
constexpr Duration kWaitBeforeReservation = seconds(1);
// A reservation that has not been used this long after the runs on the worker
// should have ended is given up; the task may reserve another worker.
constexpr Duration kReservationSlack = seconds(3);
// Searches for workers to reserve look at all workers. Their interval and their
// number in each interval bound what they cost while a shard is full.
constexpr Duration kReservationInterval = milliseconds(100);
constexpr int kMaxReservationSearches = 8;
// Starving tasks may reserve this share of the processors of a service. The
// rest stays usable for other tasks while the runs on reserved workers go on,
// which may take minutes. A smaller share makes long-running tasks of half a
// worker or more start one after the other on small shards.
constexpr double kMaxReservedShare = 0.5;
// Time before a worker may leave at which its last runs are stopped. Covers the
// delay with which its entry is read, the stop itself and the report of it.
constexpr Duration kDepartureMargin = milliseconds(1500);

}  // namespace

using dispatch_internal::AcceptsWork;
using dispatch_internal::ChooseWorker;
using dispatch_internal::ChooseWorkerToReserve;
using dispatch_internal::FreeResources;
using dispatch_internal::IsEligible;
using dispatch_internal::IsOpen;
using dispatch_internal::IsUnresponsive;
using dispatch_internal::ReleaseReservation;
using dispatch_internal::Reserve;
using dispatch_internal::TaskPhase;
using dispatch_internal::TimeUntilFits;

Dispatcher::PlacementRequest Dispatcher::RequestFor(const Job& job,
                                                    const TaskName& name,
                                                    const Step& step) {
  const StepSpec& spec = job.spec_of(name);
  const Task& task = step.tasks[name.index];
  PlacementRequest request{.task = name,
                           .spec = &spec,
                           .step = &step,
                           .image = interference_.IndexOf(spec.image),
                           .service = job.record.terms.service,
                           .priority = job.record.terms.priority,
                           .rack = spec.data_rack,
                           .avoided = &task.failed_on};
  if (request.rack.empty() && spec.same_rack) request.rack = step.rack;
  return request;
}

// Releases the reservations of a worker that is removed.
void Dispatcher::ReleaseAllReservations(Worker& worker) {
  for (const auto& [name, reservation] : worker.reservations) {
    ForgetReservation(name, worker.entry.id);
  }
  worker.reservations.clear();
  worker.reserved = {};
}

void Dispatcher::ForgetReservation(const TaskName& name,
                                   const WorkerId& worker) {
  const Task* task = jobs_.FindTask(name);
  if (task != nullptr && task->reserved_on == worker)
    jobs_.EditTask(name)->reserved_on = WorkerId();
}

void Dispatcher::ReleaseReservationOf(const TaskName& name, Task& task) {
  if (task.reserved_on.empty()) return;
  if (Worker* worker = workers_.Find(task.reserved_on))
    ReleaseReservation(*worker, name);
  task.reserved_on = WorkerId();
}

void Dispatcher::ReleaseReservationsOf(Job& job) {
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      TaskName name{job.record.id, number, static_cast<int>(s), 0};
      std::vector<TaskName> reserved;
      occurrence.steps[s].tasks.VisitChanged([&](int index, const Task& task) {
        name.index = index;
        if (!task.reserved_on.empty()) reserved.push_back(name);
      });
      for (const TaskName& task : reserved)
        ReleaseReservationOf(task, *jobs_.EditTask(task));
    }
  }
}

std::optional<dispatch_internal::Reservation> Dispatcher::ReservationOf(
    const TaskName& name, const Task& task) {
  const Worker* worker = workers_.Find(task.reserved_on);
  if (worker == nullptr) return std::nullopt;
  const auto found = worker->reservations.find(name);
  if (found == worker->reservations.end()) return std::nullopt;
  return found->second;
}

// Releases the reservations of tasks that no longer need them, of workers that
// cannot take the task, and those that have not been used in time.
void Dispatcher::DropUnusableReservations(Time now) {
  for (auto& [id, worker] : workers_) {
    std::vector<TaskName> unusable;
    for (const auto& [name, reservation] : worker.reservations) {
      const Job* job = jobs_.Find(name.job);
      const Task* task = jobs_.FindTask(name);
      const bool wanted = job != nullptr && task != nullptr &&
                          !IsFinal(job->state) && task->reserved_on == id &&
                          task->phase != TaskPhase::kDone;
      const bool usable =
          reservation.committed
              ? worker.listed && !worker.entry.draining && IsOpen(worker, now)
              : AcceptsWork(worker, now);
      if (!wanted || now >= reservation.until || !usable)
        unusable.push_back(name);
    }
    for (const TaskName& name : unusable) {
      ReleaseReservation(worker, name);
      ForgetReservation(name, id);
    }
  }
}

bool Dispatcher::SearchBudget::TryAcquire(Time now) {
  if (now >= next_round_) {
    next_round_ = now + kReservationInterval;
    searches_ = 0;
  }
  return searches_++ < kMaxReservationSearches;
}

// Counts what the tasks need in full, although runs on the workers may still
// use a part of it: that part becomes idle later. Reservations of lower
// priority do not count, because the task and its equals may use them. One
// task, or one gang, is always allowed, so that a task larger than the limit
// can start.
bool Dispatcher::IsWithinReservationLimit(const PlacementRequest& request,
                                          Time now) const {
  std::int64_t capacity = 0;
  std::int64_t reserved = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry.service != request.service) continue;
    if (worker.listed && !worker.entry.draining && IsOpen(worker, now))
      capacity += worker.entry.capacity.cpu.value();
    for (const auto& [name, reservation] : worker.reservations) {
      if (!reservation.starving || reservation.priority > request.priority)
        continue;
      const bool same_gang = request.spec->gang &&
                             name.job == request.task.job &&
                             name.occurrence == request.task.occurrence &&
                             name.step == request.task.step;
      if (same_gang) return true;
      reserved += reservation.need.cpu.value();
    }
  }
  if (reserved == 0) return true;
  const std::int64_t needed = reserved + request.spec->need.cpu.value();
  return static_cast<double>(needed) <=
         kMaxReservedShare * static_cast<double>(capacity);
}

// Reserves a worker that has enough free resources or will have them soonest.
// Does nothing if there is none, if the budget is used up or if the limit of
// the service is reached.
void Dispatcher::ReserveWorker(Job& job, const TaskName& name,
                               SearchBudget& budget, Time now,
                               LimitedServices* limited) {
  if (!budget.TryAcquire(now)) return;
  Step& step = StepOf(job, name);
  PlacementRequest request = RequestFor(job, name, step);
  const Task& task = step.tasks[name.index];
  // A task that starves waits for its rack no longer than `WorkerFor` does.
  if (task.phase == TaskPhase::kReady &&
      now >= RackWaitEndOf(job, name, task)) {
    request.rack = RackId();
  }
  Worker* worker = ChooseWorker(workers_, request, interference_, now);
  if (worker == nullptr || task.Avoids(worker->entry.id)) {
    Worker* other = ChooseWorkerToReserve(workers_, request, now);
    if (other != nullptr) worker = other;
  }
  if (worker == nullptr) return;
  if (limited != nullptr && !IsWithinReservationLimit(request, now)) {
    int& priority =
        limited->try_emplace(request.service, request.priority).first->second;
    priority = std::min(priority, request.priority);
    return;
  }
  Reserve(
      *worker, name,
      {.need = request.spec->need,
       .priority = request.priority,
       .until = now + kReservationSlack + TimeUntilFits(*worker, request, now),
       .starving = limited != nullptr});
  step.tasks.Edit(name.index).reserved_on = worker->entry.id;
  AddEvent("worker reserved", name, RunNumber(), worker->entry.id,
           "needs " + request.spec->need.ToString() + ", left after it " +
               FreeResources(*worker).ToString());
}

// Reserves what the ended run of a long-running task held for its next run.
// Other tasks would take it at once, and where most runs are long-running it
// does not become free again. No task gets less than before the run ended, so
// the reservation holds against every priority.
void Dispatcher::KeepPlace(Worker& worker, const TaskName& name, Time now) {
  Job* job = jobs_.Find(name.job);
  const Task* task = jobs_.FindTask(name);
  if (job == nullptr || task == nullptr) return;
  const StepSpec& spec = job->spec_of(name);
  if (!spec.long_running || spec.best_effort) return;
  if (task->phase != TaskPhase::kReady || !task->reserved_on.empty()) return;
  if (!worker.listed || worker.entry.draining || !IsOpen(worker, now) ||
      IsUnresponsive(worker, now)) {
    return;
  }
  const bool failed_here =
      task->Avoids(worker.entry.id) || now < worker.refused_until;
  if (failed_here && now >= task->ready_since + kWaitBeforeReservation) {
    // Another worker is reserved instead, if there is one.
    const PlacementRequest request = RequestFor(*job, name, StepOf(*job, name));
    if (ChooseWorkerToReserve(workers_, request, now) != nullptr) return;
  }
  Reserve(worker, name,
          {.need = spec.need,
           .priority = dispatch_internal::kHighestPriority,
           .until = now + kReservationSlack,
           .committed = true});
  jobs_.EditTask(name)->reserved_on = worker.entry.id;
}

// Without a reservation, smaller tasks use each resource as it becomes free,
// and a larger task waits for as long as they keep coming. Once a task waits
// for the limit of its service, no task that ranks behind it reserves a worker:
// smaller tasks would otherwise use what becomes available below the limit.
void Dispatcher::ReserveForStarvingTasks(const StepRef& ref, Time now,
                                         LimitedServices& limited) {
  Job& job = *jobs_.Find(ref.job);
  TaskName name{ref.job, ref.occurrence, ref.step, 0};
  Step& step = StepOf(job, name);
  const StepSpec& spec = job.spec_of(name);
  if (!spec.long_running || spec.best_effort) return;
  const auto limit = limited.find(job.record.terms.service);
  if (limit != limited.end() && job.record.terms.priority >= limit->second) {
    return;
  }
  step.tasks.VisitReady([&](int index) {
    const Task& task = step.tasks[index];
    if (!task.reserved_on.empty()) return true;
    if (now < task.ready_since + kWaitBeforeReservation) return true;
    name.index = index;
    if (!EarlierRunsKnown(job, name)) return true;
    ReserveWorker(job, name, starving_task_searches_, now, &limited);
    // The other tasks need the same.
    return !step.tasks[index].reserved_on.empty();
  });
}

// Returns whether a ready task of the step could start on a reserved worker.
bool Dispatcher::HoldsWorkerForAny(const StepRef& ref, Time now) {
  TaskName name{ref.job, ref.occurrence, ref.step, 0};
  bool holds_worker = false;
  StepOf(*jobs_.Find(ref.job), name)
      .tasks.VisitChanged([&](int index, const Task& task) {
        name.index = index;
        holds_worker = holds_worker || (task.phase == TaskPhase::kReady &&
                                        HoldsWorkerFor(name, now));
      });
  return holds_worker;
}

// Returns whether a worker is reserved for the task and could start it now.
bool Dispatcher::HoldsWorkerFor(const TaskName& name, Time now) {
  const Task* task = jobs_.FindTask(name);
  if (task == nullptr || task->reserved_on.empty()) return false;
  Job& job = *jobs_.Find(name.job);
  const Worker* worker = workers_.Find(task->reserved_on);
  PlacementRequest request = RequestFor(job, name, StepOf(job, name));
  // The rack was chosen with the reservation.
  request.rack = RackId();
  if (worker == nullptr || !IsEligible(*worker, request, now)) return false;
  const auto reservation = worker->reservations.find(name);
  return reservation != worker->reservations.end() &&
         reservation->second.need.FitsIn(worker->entry.capacity - worker->used);
}

// Moves long-running runs as soon as another worker can take them. Stops what
// is left shortly before the worker may leave: a run that ends at the same time
// as the worker cannot be told from one that was lost.
void Dispatcher::MoveRunsOffDrainingWorkers(Time now) {
  for (auto& [id, worker] : workers_) {
    if (!worker.listed || !worker.entry.draining || !worker.fenced ||
        IsUnresponsive(worker, now)) {
      continue;
    }
    const bool leaves_soon =
        worker.may_leave_at && now >= *worker.may_leave_at - kDepartureMargin;
    std::vector<TaskName> bound;
    for (const auto& [name, run] : worker.runs) {
      if (run.phase == RunPhase::kRunning && (run.long_running || leaves_soon))
        bound.push_back(name);
    }
    for (const TaskName& name : bound) {
      if (leaves_soon) {
        RequestStop(worker, name, now, "worker leaves");
        continue;
      }
      Job* job = jobs_.Find(name.job);
      const Task* task = jobs_.FindTask(name);
      if (job == nullptr || task == nullptr || IsFinal(job->state)) continue;
      // The task could not start elsewhere yet.
      if (!EarlierRunsKnown(*job, name)) continue;
      if (task->reserved_on.empty())
        ReserveWorker(*job, name, move_searches_, now, nullptr);
      if (HoldsWorkerFor(name, now))
        RequestStop(worker, name, now, "worker drains, another is reserved");
    }
  }
}

}  // namespace gypsumfall
