// What workers list, and what is believed of workers that are silent.

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/pacing.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// A worker lists at most this many ends at once; runs that are missing from
// such a list may have ended.
constexpr std::size_t kMaxListedEnds = 500;

// Pause after an unanswered lease call, doubled up to the second value.
constexpr Duration kLeaseRetryDelay = milliseconds(100);
constexpr Duration kMaxLeaseRetryDelay = milliseconds(800);

// Time that a worker which refused a start gets no new work.
constexpr Duration kRefusalPause = milliseconds(500);

// Told share of a run of which the last pace order may be lost.
constexpr int kUnknownPace = -100;

}  // namespace

using dispatch_internal::ClockNow;
using dispatch_internal::IsLeaseOver;
using dispatch_internal::IsSilent;
using dispatch_internal::NoteProgress;
using dispatch_internal::Stranger;
using dispatch_internal::TaskPhase;

void Dispatcher::OnWorkerListed(WorkerEntry entry, Time now) {
  Worker& worker = workers_.Ensure(entry.id);
  const bool fresh = !worker.listed;
  worker.entry = std::move(entry);
  worker.listed = true;
  if (!worker.in_roster) roster_changed_ = true;
  if (!fresh) return;
  worker.next_lease_call = now;
  Note("worker listed", {}, RunNumber(), worker.entry.id);
}

void Dispatcher::OnWorkerUnlisted(const WorkerId& id, Time /*now*/) {
  Worker* worker = workers_.Find(id);
  if (worker == nullptr || !worker->listed) return;
  worker->listed = false;
  Note("worker no longer listed", {}, RunNumber(), id,
       std::to_string(worker->runs.size()) + " runs bound");
}

void Dispatcher::NoteClock(Worker& worker,
                           const std::optional<WorkerTime>& clock,
                           Time /*sent*/, Time now) {
  if (!clock) return;
  if (worker.clock && *clock < *worker.clock) return;
  // The worker read its clock before `now`, so at `now` it shows at least
  // this.
  worker.clock = clock;
  worker.clock_read_at = now;
}

void Dispatcher::OnStartReply(const StartOrder& order, const OrderReply& reply,
                              Time sent, Time now) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  NoteClock(*worker, reply.worker_clock, sent, now);
  const auto bound = worker->runs.find(order.task);
  if (bound == worker->runs.end() || bound->second.number != order.run) return;
  Run& run = bound->second;
  if (run.phase != RunPhase::kSent && run.phase != RunPhase::kStopWanted) {
    return;
  }
  switch (reply.verdict) {
    case OrderVerdict::kAccepted:
      if (run.phase == RunPhase::kSent) run.phase = RunPhase::kRunning;
      run.changed_at = now;
      run.progress_at = now;
      return;
    case OrderVerdict::kFenced:
      superseded_ = true;
      return;
    case OrderVerdict::kUnanswered:
      if (run.phase == RunPhase::kSent) run.phase = RunPhase::kUncertain;
      run.changed_at = now;
      Note("start not answered", order.task, order.run, order.worker);
      return;
    case OrderVerdict::kRefused:
    case OrderVerdict::kOtherIncarnation:
    case OrderVerdict::kMalformed:
    case OrderVerdict::kNoRoom:
    case OrderVerdict::kNotSent:
      worker->refused_until = now + kRefusalPause;
      break;
    case OrderVerdict::kStaleRun:
    case OrderVerdict::kLeaseOver:
    case OrderVerdict::kNoTicket:
      break;
  }
  RunNeverCame(*worker, order.task, now, OrderVerdictName(reply.verdict));
}

void Dispatcher::OnStopReply(const StopOrder& order, const OrderReply& reply,
                             Time sent, Time now) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  NoteClock(*worker, reply.worker_clock, sent, now);
  if (reply.verdict == OrderVerdict::kFenced) superseded_ = true;
  const auto stranger = worker->strangers.find(order.task);
  if (stranger != worker->strangers.end() &&
      stranger->second.number == order.run) {
    stranger->second.stop_open = false;
  }
  const auto bound = worker->runs.find(order.task);
  if (bound == worker->runs.end() || bound->second.number != order.run) return;
  bound->second.stop_open = false;
  if (reply.verdict == OrderVerdict::kAccepted) {
    bound->second.phase = RunPhase::kStopTaken;
    bound->second.changed_at = now;
  }
}

void Dispatcher::OnPaceReply(const PaceOrder& order, const OrderReply& reply) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  if (reply.verdict == OrderVerdict::kFenced) superseded_ = true;
  const auto bound = worker->runs.find(order.task);
  if (bound == worker->runs.end() || bound->second.number != order.run) return;
  Run& run = bound->second;
  run.pace_open = false;
  // An order that may not have arrived is sent again.
  if (reply.verdict != OrderVerdict::kAccepted) run.told_percent = kUnknownPace;
}

void Dispatcher::RunNeverCame(Worker& worker, const TaskName& name, Time now,
                              std::string_view reason) {
  const auto bound = worker.runs.find(name);
  if (bound == worker.runs.end()) return;
  Note("run is not there", name, bound->second.number, worker.entry.id,
       std::string(reason));
  UnbindRun(worker, name);
  Requeue(name, now);
}

void Dispatcher::WantStop(Worker& worker, const TaskName& name, Time now,
                          std::string_view reason) {
  const auto bound = worker.runs.find(name);
  if (bound == worker.runs.end()) return;
  Run& run = bound->second;
  if (run.phase == RunPhase::kStopWanted || run.phase == RunPhase::kStopTaken) {
    return;
  }
  run.phase = RunPhase::kStopWanted;
  run.changed_at = now;
  Note("run is to stop", name, run.number, worker.entry.id,
       std::string(reason));
}

void Dispatcher::OnLeaseReply(const LeaseOrder& order, const LeaseReply& reply,
                              Time sent, Time now, WallTime wall_now) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  worker->lease_call_open = false;
  if (reply.verdict == OrderVerdict::kFenced) {
    superseded_ = true;
    return;
  }
  if (reply.verdict == OrderVerdict::kOtherIncarnation) {
    // Only one process has the address, so this worker is gone.
    LoseRuns(*worker, now, "another worker has its address");
    worker->lease_until = WorkerTime{};
  }
  if (reply.verdict != OrderVerdict::kAccepted) {
    ++worker->unanswered;
    const Duration delay =
        kLeaseRetryDelay * (1 << std::min(worker->unanswered - 1, 3));
    worker->next_lease_call = now + std::min(delay, kMaxLeaseRetryDelay);
    if (worker->unanswered == 1) {
      Note("worker does not answer", {}, RunNumber(), order.worker,
           std::string(OrderVerdictName(reply.verdict)));
    }
    return;
  }
  if (std::exchange(worker->unanswered, 0) > 0) {
    Note("worker answers again", {}, RunNumber(), order.worker);
  }
  worker->last_answer = now;
  worker->next_lease_call = now;
  if (!worker->fenced || reply.incarnation != worker->incarnation) {
    if (worker->incarnation != reply.incarnation) {
      StartIncarnation(*worker, reply.incarnation, now);
    }
    NoteClock(*worker, reply.worker_clock, sent, now);
    // An earlier epoch may have granted the longest lease just before.
    worker->lease_until = std::max(
        worker->lease_until, ClockNow(*worker, now) + settings_.max_lease);
  }
  NoteClock(*worker, reply.worker_clock, sent, now);
  for (const EndReport& end : reply.ended)
    ApplyEnd(*worker, end, now, wall_now);
  ApplyRunning(*worker, reply, sent, now);
  worker->fenced = true;
  worker->predecessor_lease = false;
  Acknowledge(*worker);
}

void Dispatcher::StartIncarnation(Worker& worker, WallTime incarnation,
                                  Time now) {
  if (worker.incarnation != WallTime{0}) {
    LoseRuns(worker, now, "worker has restarted");
  }
  worker.incarnation = incarnation;
  worker.clock.reset();
  worker.lease_until = WorkerTime{};
  worker.processed = EndNumber(0);
  worker.acknowledged = EndNumber(0);
  worker.pending_ends.clear();
  worker.strangers.clear();
  worker.failure_score = 0;
  worker.slowness = 1;
}

void Dispatcher::ApplyRunning(Worker& worker, const LeaseReply& reply,
                              Time sent, Time now) {
  std::map<TaskName, Stranger> strangers;
  for (const RunReport& report : reply.running) {
    const auto bound = worker.runs.find(report.task);
    if (bound == worker.runs.end() || bound->second.number != report.run) {
      Adopt(worker, report, sent, now);
    }
    const auto adopted = worker.runs.find(report.task);
    if (adopted == worker.runs.end() || adopted->second.number != report.run) {
      Stranger stranger{.number = report.run};
      const auto known = worker.strangers.find(report.task);
      if (known != worker.strangers.end()) stranger = known->second;
      strangers.emplace(report.task, stranger);
      continue;
    }
    Run& run = adopted->second;
    if (run.phase == RunPhase::kSent || run.phase == RunPhase::kUncertain) {
      run.phase = RunPhase::kRunning;
      run.changed_at = now;
    }
    NoteProgress(worker, run, report.percent, now);
    run.usage = report.usage;
    Task* task = jobs_.FindTask(report.task);
    if (task != nullptr && !report.checkpoint.empty()) {
      task->checkpoint = report.checkpoint;
    }
  }
  worker.strangers = std::move(strangers);
  interference_.Learn(worker);
  DecidePace(worker, interference_, now);
  DropMissing(worker, reply, sent, now);
}

// Binds a run that was started in an earlier epoch, or that was believed lost.
void Dispatcher::Adopt(Worker& worker, const RunReport& report, Time sent,
                       Time now) {
  Job* job = jobs_.Find(report.task.job);
  Task* task = jobs_.FindTask(report.task);
  if (job == nullptr || task == nullptr || IsFinal(job->state)) return;
  if (task->phase == TaskPhase::kBound || task->phase == TaskPhase::kDone) {
    return;
  }
  if (report.run.value() < task->last_run && worker.fenced) return;
  Note("run adopted", report.task, report.run, worker.entry.id);
  BindRun(worker, *job, report.task, *task,
          Run{.number = report.run,
              .phase = RunPhase::kRunning,
              .started_at = sent,
              .changed_at = now,
              .progress_at = now});
}

void Dispatcher::DropMissing(Worker& worker, const LeaseReply& reply, Time sent,
                             Time now) {
  if (reply.ended.size() >= kMaxListedEnds) return;
  std::set<TaskName> listed;
  for (const RunReport& report : reply.running) listed.insert(report.task);
  std::vector<TaskName> gone;
  for (auto& [name, run] : worker.runs) {
    if (listed.contains(name) || sent <= run.changed_at) continue;
    if (run.phase == RunPhase::kUncertain) {
      WantStop(worker, name, now, "start not answered and run not listed");
    } else if (run.phase == RunPhase::kRunning ||
               run.phase == RunPhase::kStopTaken) {
      gone.push_back(name);
    }
  }
  for (const TaskName& name : gone) {
    RunNeverCame(worker, name, now, "not listed");
  }
}

void Dispatcher::LoseRuns(Worker& worker, Time now, std::string_view reason) {
  std::vector<TaskName> lost;
  for (const auto& [name, run] : worker.runs) lost.push_back(name);
  for (const TaskName& name : lost) RunNeverCame(worker, name, now, reason);
}

void Dispatcher::DropLostWorkers(Time now) {
  std::vector<WorkerId> gone;
  for (auto& [id, worker] : workers_) {
    const bool answered = worker.fenced && !IsSilent(worker, now);
    if (answered || !IsLeaseOver(worker, now, epoch_bound_)) continue;
    if (!worker.runs.empty()) LoseRuns(worker, now, "lease is over");
    worker.fenced = false;
    worker.predecessor_lease = false;
    if (!worker.listed) gone.push_back(id);
  }
  for (const WorkerId& id : gone) {
    Note("worker forgotten", {}, RunNumber(), id, "lease is over");
    workers_.Remove(id);
    roster_changed_ = true;
  }
}

bool Dispatcher::AllAccounted() {
  if (all_accounted_) return true;
  for (const auto& [id, worker] : workers_) {
    if (worker.predecessor_lease) return false;
  }
  all_accounted_ = true;
  Note("all runs of earlier epochs are known", {}, RunNumber(), {});
  return true;
}

}  // namespace gypsumfall
