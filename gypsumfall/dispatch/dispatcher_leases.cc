// Processes the replies of workers, and expires the leases of workers that do
// not answer.

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/throttling.h"
#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall {
namespace {

// Initial and maximum delay after an unanswered lease call; doubles with each
// further one.
constexpr Duration kLeaseRetryDelay = milliseconds(100);
constexpr Duration kMaxLeaseRetryDelay = milliseconds(800);

// Time for which a worker that refused a start gets no new runs.
constexpr Duration kRefusalPause = milliseconds(500);

// Stands for an unknown share, when the last throttling order may not have
// arrived, or was sent by another epoch. It differs from every share, so that
// the order is sent again.
constexpr int kUnknownSentPercent = -100;

// Time after which reports show the share that was ordered: the timeout of the
// order, the measurement window of half a second, and the way of the reports.
constexpr Duration kShareReportDelay = milliseconds(1500);
// Reports of the processors in use scatter by about a third. Above this
// multiple of the ordered share, and by more than this part of the requested
// processors, a run certainly works at another share.
constexpr double kMaxUsageFactor = 2;
constexpr double kUsageTolerance = 0.1;

// @return whether a throttled run reports more processors in use than its share
//   allows. An order that was not answered may be executed seconds later, after
//   newer ones.
bool ExceedsShare(const dispatch_internal::Run& run, Time now) {
  if (!run.best_effort || run.throttle_in_flight || run.sent_percent < 0 ||
      now < run.throttle_sent_at + kShareReportDelay) {
    return false;
  }
  const double allowed = kMaxUsageFactor * run.sent_percent / 100;
  return run.usage > (allowed + kUsageTolerance) *
                         static_cast<double>(run.best_effort_cpu.value());
}

}  // namespace

using dispatch_internal::ClockNow;
using dispatch_internal::IsIdleAndLeaving;
using dispatch_internal::IsLateEntry;
using dispatch_internal::IsUnresponsive;
using dispatch_internal::kFullSharePercent;
using dispatch_internal::LeaseEnd;
using dispatch_internal::TaskPhase;
using dispatch_internal::UnexpectedRun;
using dispatch_internal::UpdateProgress;

void Dispatcher::ApplyEvacuations(const EvacuationSet& evacuations) {
  evacuations_ = evacuations;
  for (auto& [id, worker] : workers_) UpdateOpenPeriod(worker);
}

void Dispatcher::UpdateOpenPeriod(Worker& worker) const {
  if (!evacuations_) return;
  worker.open =
      evacuations_->OpenPeriodOf(worker.entry.id, worker.entry.data_centre);
}

void Dispatcher::OnWorkerListed(WorkerEntry entry, Time now) {
  Worker& worker = workers_.FindOrAdd(entry.id);
  if (IsLateEntry(worker, entry)) return;
  if (entry.incarnation != worker.entry.incarnation) {
    worker.entry_received_at = now;
    worker.entry_outdated = false;
    // A restarted worker gets no runs until it has answered.
    if (worker.fenced) worker.read_runs_at_once = true;
  }
  const bool newly_listed = !worker.listed;
  const bool newly_draining = entry.draining && !worker.entry.draining;
  if (!entry.draining) {
    worker.may_leave_at.reset();
  } else if (entry.remaining) {
    // Entries may be delivered again later, so the earliest time counts.
    worker.may_leave_at = std::min(worker.may_leave_at.value_or(Time::max()),
                                   now + *entry.remaining);
  }
  const bool moved = entry.endpoint != worker.entry.endpoint;
  worker.entry = std::move(entry);
  UpdateOpenPeriod(worker);
  worker.listed = true;
  worker.unlisted = false;
  const bool enters_roster = !worker.in_roster && !worker.recorded_lease_end &&
                             !IsIdleAndLeaving(worker);
  if (enters_roster || moved) roster_changes_.insert(worker.entry.id);
  if (newly_draining) {
    AddEvent(
        "worker drains", {}, RunNumber(), worker.entry.id,
        std::to_string(worker.runs.size()) + " runs bound, may leave in " +
            (worker.entry.remaining
                 ? std::to_string(*worker.entry.remaining / milliseconds(1)) +
                       " ms"
                 : "unknown time"));
  }
  if (!newly_listed) return;
  worker.next_lease_call = now;
  AddEvent("worker listed", {}, RunNumber(), worker.entry.id);
}

void Dispatcher::OnWorkerUnlisted(const WorkerId& id, Time /*now*/) {
  Worker* worker = workers_.Find(id);
  if (worker == nullptr || !worker->listed) return;
  worker->listed = false;
  worker->unlisted = true;
  AddEvent("worker no longer listed", {}, RunNumber(), id,
           std::to_string(worker->runs.size()) + " runs bound");
}

void Dispatcher::UpdateClock(Worker& worker,
                             const std::optional<WorkerTime>& clock,
                             Time /*sent*/, Time now) {
  if (!clock) return;
  if (worker.clock && *clock < *worker.clock) return;
  // The worker read its clock before `now`, so its clock shows at least this
  // value at `now`.
  worker.clock = clock;
  worker.clock_read_at = now;
}

void Dispatcher::OnStartReply(const StartOrder& order, const OrderReply& reply,
                              Time sent, Time now) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  UpdateClock(*worker, reply.worker_clock, sent, now);
  const auto bound = worker->runs.find(order.task);
  if (bound == worker->runs.end() || bound->second.number != order.run) return;
  Run& run = bound->second;
  if (run.phase != RunPhase::kStartSent &&
      run.phase != RunPhase::kStopPending) {
    return;
  }
  switch (reply.verdict) {
    case OrderVerdict::kAccepted:
      if (Job* job = jobs_.Find(order.task.job)) job->started = true;
      if (run.phase == RunPhase::kStartSent) run.phase = RunPhase::kRunning;
      run.confirmed_at = now;
      run.phase_changed_at = now;
      run.progress_at = now;
      return;
    case OrderVerdict::kFenced:
      superseded_ = true;
      return;
    case OrderVerdict::kUnanswered:
      if (run.phase == RunPhase::kStartSent)
        run.phase = RunPhase::kStartUnconfirmed;
      run.phase_changed_at = now;
      worker->read_runs_at_once = true;
      AvoidWorker(order.task, *worker);
      AddEvent("start order not answered", order.task, order.run, order.worker);
      return;
    case OrderVerdict::kRefused:
    case OrderVerdict::kOtherIncarnation:
    case OrderVerdict::kMalformed:
    case OrderVerdict::kNoCapacity:
    case OrderVerdict::kNotSent:
      worker->refused_until = now + kRefusalPause;
      break;
    case OrderVerdict::kStaleRun:
    case OrderVerdict::kStaleLease:
    case OrderVerdict::kNoTicket:
      break;
  }
  RequeueMissingRun(*worker, order.task, now, OrderVerdictName(reply.verdict));
  if (reply.verdict == OrderVerdict::kRefused)
    KeepPlace(*worker, order.task, now);
}

void Dispatcher::OnStopReply(const StopOrder& order, const OrderReply& reply,
                             Time sent, Time now) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  UpdateClock(*worker, reply.worker_clock, sent, now);
  if (reply.verdict == OrderVerdict::kFenced) superseded_ = true;
  const auto unexpected_run = worker->unexpected_runs.find(order.task);
  if (unexpected_run != worker->unexpected_runs.end() &&
      unexpected_run->second.number == order.run) {
    unexpected_run->second.stop_in_flight = false;
  }
  const auto bound = worker->runs.find(order.task);
  if (bound == worker->runs.end() || bound->second.number != order.run) return;
  bound->second.stop_in_flight = false;
  if (reply.verdict == OrderVerdict::kAccepted) {
    bound->second.phase = RunPhase::kStopAcknowledged;
    // A run that does not exist has no end that a lease call would report.
    if (!bound->second.confirmed_at) worker->read_runs_at_once = true;
    bound->second.phase_changed_at = now;
  }
}

void Dispatcher::OnThrottleReply(const ThrottleOrder& order,
                                 const OrderReply& reply) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  if (reply.verdict == OrderVerdict::kFenced) superseded_ = true;
  const auto bound = worker->runs.find(order.task);
  if (bound == worker->runs.end() || bound->second.number != order.run) return;
  Run& run = bound->second;
  run.throttle_in_flight = false;
  // An order that may not have arrived is sent again.
  if (reply.verdict != OrderVerdict::kAccepted)
    run.sent_percent = kUnknownSentPercent;
}

void Dispatcher::RequeueMissingRun(Worker& worker, const TaskName& name,
                                   Time now, std::string_view reason) {
  const auto bound = worker.runs.find(name);
  if (bound == worker.runs.end()) return;
  AddEvent("run unbound from worker", name, bound->second.number,
           worker.entry.id, std::string(reason));
  const std::optional<Time> confirmed_at = bound->second.confirmed_at;
  UnbindRun(worker, name);
  // A worker whose lease has expired may have lost the run long before.
  Requeue(name, confirmed_at, worker.last_answer, now);
}

void Dispatcher::RequestStop(Worker& worker, const TaskName& name, Time now,
                             std::string_view reason) {
  const auto bound = worker.runs.find(name);
  if (bound == worker.runs.end()) return;
  Run& run = bound->second;
  if (run.phase == RunPhase::kStopPending ||
      run.phase == RunPhase::kStopAcknowledged) {
    return;
  }
  run.phase = RunPhase::kStopPending;
  run.phase_changed_at = now;
  AddRoutineEvent("stop requested for run", name, run.number, worker.entry.id,
                  std::string(reason));
}

void Dispatcher::OnLeaseReply(const LeaseOrder& order, const LeaseReply& reply,
                              Time sent, Time now, WallTime wall_now) {
  Worker* worker = workers_.Find(order.worker);
  if (worker == nullptr) return;
  worker->lease_call_in_flight = false;
  if (reply.verdict == OrderVerdict::kFenced) {
    superseded_ = true;
    return;
  }
  if (reply.verdict == OrderVerdict::kOtherIncarnation) {
    // Only one process can listen on the address, so this worker is gone.
    RequeueAllRuns(*worker, now, "another worker uses its address");
    worker->lease_until = WorkerTime{};
  }
  if (reply.verdict != OrderVerdict::kAccepted) {
    ++worker->unanswered_calls;
    Acknowledge(*worker);
    const Duration delay =
        kLeaseRetryDelay * (1 << std::min(worker->unanswered_calls - 1, 3));
    worker->next_lease_call = now + std::min(delay, kMaxLeaseRetryDelay);
    if (worker->unanswered_calls == 1) {
      AddEvent("worker does not respond", {}, RunNumber(), order.worker,
               std::string(OrderVerdictName(reply.verdict)));
    }
    // A worker that has answered this epoch may only have lost one call.
    if (!worker->fenced || !worker->listed || worker->unanswered_calls > 1)
      LimitLease(*worker);
    return;
  }
  ResumeLease(*worker);
  if (std::exchange(worker->unanswered_calls, 0) > 0) {
    AddEvent("worker responds again", {}, RunNumber(), order.worker);
  }
  worker->last_answer = now;
  worker->next_lease_call = now;
  if (worker->entry.incarnation &&
      *worker->entry.incarnation != reply.incarnation &&
      sent > worker->entry_received_at) {
    worker->entry_outdated = true;
  }
  if (!worker->fenced || reply.incarnation != worker->incarnation) {
    if (worker->incarnation != reply.incarnation) {
      ResetForIncarnation(*worker, reply.incarnation, now);
    }
    UpdateClock(*worker, reply.worker_clock, sent, now);
    // An earlier epoch may have granted the longest lease just before.
    worker->lease_until = std::max(
        worker->lease_until, ClockNow(*worker, now) + settings_.max_lease);
  }
  UpdateClock(*worker, reply.worker_clock, sent, now);
  for (const CompletionReport& end : reply.ended)
    ApplyCompletion(*worker, end, now, wall_now);
  ApplyRunReports(*worker, reply, sent, now);
  worker->fenced = true;
  worker->lists_all_completions = reply.ended.size() < kMaxListedCompletions;
  // A run of an earlier epoch may have ended, and its end may be listed later.
  if (worker->lists_all_completions) worker->predecessor_lease = false;
  Acknowledge(*worker);
}

void Dispatcher::LimitLease(Worker& worker) {
  if (worker.recorded_lease_end || IsIdleAndLeaving(worker)) return;
  worker.recorded_lease_end = LeaseEnd(worker, predecessor_leases_end_);
  worker.in_roster = false;
  roster_changes_.insert(worker.entry.id);
}

void Dispatcher::ResumeLease(Worker& worker) {
  if (!worker.recorded_lease_end) return;
  worker.recorded_lease_end.reset();
  roster_changes_.insert(worker.entry.id);
}

void Dispatcher::RemoveIdleLeavingWorkersFromRoster() {
  for (auto& [id, worker] : workers_) {
    if (!worker.in_roster || !IsIdleAndLeaving(worker)) continue;
    worker.in_roster = false;
    roster_changes_.insert(id);
  }
}

void Dispatcher::ResetForIncarnation(Worker& worker, WallTime incarnation,
                                     Time now) {
  // The new incarnation may have accepted start orders that were meant for the
  // old one. Runs that it does not have are found like any others that a worker
  // does not report.
  if (worker.incarnation != WallTime{0}) {
    AddEvent("worker restarted", {}, RunNumber(), worker.entry.id,
             std::to_string(worker.runs.size()) + " runs bound");
    worker.restarted = true;
    worker.read_runs_at_once = true;
    worker.may_leave_at.reset();
    for (auto& [name, run] : worker.runs) run.progress_at = now;
  }
  worker.incarnation = incarnation;
  worker.clock.reset();
  worker.lease_until = WorkerTime{};
  worker.processed = CompletionNumber(0);
  worker.releasable = CompletionNumber(0);
  worker.acknowledged = CompletionNumber(0);
  worker.pending_completions.clear();
  worker.unexpected_runs.clear();
  worker.failure_score = 0;
  worker.slowdown = 1;
}

void Dispatcher::ApplyRunReports(Worker& worker, const LeaseReply& reply,
                                 Time sent, Time now) {
  std::map<TaskName, UnexpectedRun> unexpected_runs;
  for (const RunReport& report : reply.running) {
    const auto bound = worker.runs.find(report.task);
    if (bound == worker.runs.end() || bound->second.number != report.run) {
      AdoptRun(worker, report, sent, now);
    }
    const auto adopted = worker.runs.find(report.task);
    if (adopted == worker.runs.end() || adopted->second.number != report.run) {
      UnexpectedRun unexpected_run{.number = report.run};
      const auto known = worker.unexpected_runs.find(report.task);
      if (known != worker.unexpected_runs.end()) unexpected_run = known->second;
      unexpected_runs.emplace(report.task, unexpected_run);
      continue;
    }
    if (Job* job = jobs_.Find(report.task.job)) job->started = true;
    Run& run = adopted->second;
    if (run.phase == RunPhase::kStartSent ||
        run.phase == RunPhase::kStartUnconfirmed) {
      run.phase = RunPhase::kRunning;
      run.phase_changed_at = now;
      run.confirmed_at = now;
    }
    UpdateProgress(worker, run, report.percent, now);
    run.usage = report.usage;
    if (ExceedsShare(run, now)) run.sent_percent = kUnknownSentPercent;
    Task* task =
        report.checkpoint.empty() ? nullptr : jobs_.EditTask(report.task);
    if (task != nullptr) task->checkpoint = report.checkpoint;
  }
  if (!unexpected_runs.empty()) unexpected_run_workers_.insert(worker.entry.id);
  worker.unexpected_runs = std::move(unexpected_runs);
  interference_.Learn(worker);
  UpdateThrottling(worker, interference_, now);
  RequeueUnlistedRuns(worker, reply, sent, now);
}

// Binds a run that was started in an earlier epoch or that was counted as lost.
void Dispatcher::AdoptRun(Worker& worker, const RunReport& report, Time sent,
                          Time now) {
  Job* job = jobs_.Find(report.task.job);
  if (job == nullptr || job->moving_to || IsFinal(job->state) ||
      !job->HasTask(report.task) || job->IsCompleted(report.task.occurrence)) {
    return;
  }
  job->Open(report.task.occurrence);
  const TaskPhase phase = jobs_.FindTask(report.task)->phase;
  if (phase == TaskPhase::kBound || phase == TaskPhase::kDone ||
      phase == TaskPhase::kExcluded) {
    return;
  }
  Task* task = jobs_.EditTask(report.task);
  if (report.run.value() < task->last_run && worker.fenced) return;
  task->ready_since = now;
  AddRoutineEvent("run adopted", report.task, report.run, worker.entry.id);
  BindRun(worker, *job, report.task, *task,
          Run{.number = report.run,
              .phase = RunPhase::kRunning,
              .started_at = sent,
              .confirmed_at = now,
              .phase_changed_at = now,
              .progress_at = now,
              .sent_percent = job->spec_of(report.task).best_effort
                                  ? kUnknownSentPercent
                                  : kFullSharePercent});
}

void Dispatcher::RequeueUnlistedRuns(Worker& worker, const LeaseReply& reply,
                                     Time sent, Time now) {
  if (reply.ended.size() >= kMaxListedCompletions) return;
  std::set<TaskName> listed;
  for (const RunReport& report : reply.running) listed.insert(report.task);
  std::vector<TaskName> missing_runs;
  for (auto& [name, run] : worker.runs) {
    if (listed.contains(name) || sent <= run.phase_changed_at) continue;
    if (run.phase == RunPhase::kStartUnconfirmed) {
      RequestStop(worker, name, now,
                  "start order not answered and run not reported");
    } else if (run.phase == RunPhase::kRunning ||
               run.phase == RunPhase::kStopAcknowledged) {
      missing_runs.push_back(name);
    }
  }
  for (const TaskName& name : missing_runs) {
    RequeueMissingRun(worker, name, now, "run not reported by worker");
    KeepPlace(worker, name, now);
  }
}

void Dispatcher::RequeueAllRuns(Worker& worker, Time now,
                                std::string_view reason) {
  std::vector<TaskName> unbound_tasks;
  for (const auto& [name, run] : worker.runs) unbound_tasks.push_back(name);
  for (const TaskName& name : unbound_tasks)
    RequeueMissingRun(worker, name, now, reason);
}

void Dispatcher::ExpireLeases(Time now) {
  std::vector<WorkerId> expired_workers;
  for (auto& [id, worker] : workers_) {
    const bool responsive = worker.fenced && !IsUnresponsive(worker, now);
    if (responsive || now < LeaseEnd(worker, predecessor_leases_end_)) continue;
    if (!worker.runs.empty()) RequeueAllRuns(worker, now, "lease expired");
    worker.unexpected_runs.clear();
    worker.fenced = false;
    worker.predecessor_lease = false;
    if (!worker.listed) expired_workers.push_back(id);
  }
  for (const WorkerId& id : expired_workers) {
    AddEvent("worker removed", {}, RunNumber(), id, "lease expired");
    ReleaseAllReservations(*workers_.Find(id));
    workers_.Remove(id);
    roster_changes_.insert(id);
  }
}

void Dispatcher::UpdatePredecessorRunsKnown() {
  if (predecessor_runs_known_) return;
  for (const auto& [id, worker] : workers_) {
    if (worker.predecessor_lease) return;
  }
  predecessor_runs_known_ = true;
  AddEvent("all runs of earlier epochs are known", {}, RunNumber(), {});
}

bool Dispatcher::HasUnexpectedRun(const TaskName& name) const {
  return HasUnexpectedRunBetween(name, name);
}

bool Dispatcher::HasUnexpectedRunBetween(const TaskName& first,
                                         const TaskName& last) const {
  return std::any_of(
      unexpected_run_workers_.begin(), unexpected_run_workers_.end(),
      [&](const WorkerId& id) {
        const Worker* worker = workers_.Find(id);
        if (worker == nullptr) return false;
        const auto run = worker->unexpected_runs.lower_bound(first);
        return run != worker->unexpected_runs.end() && !(last < run->first);
      });
}

bool Dispatcher::EarlierRunsKnown(const Job& job, const TaskName& name) const {
  // A job may be read after its runs were reported and found unexpected.
  if (job.spec_of(name).gang) {
    TaskName first = name;
    TaskName last = name;
    first.index = 0;
    last.index = std::numeric_limits<int>::max();
    if (HasUnexpectedRunBetween(first, last)) return false;
  } else if (HasUnexpectedRun(name)) {
    return false;
  }
  if (predecessor_runs_known_ || job.record.accepted_epoch >= epoch_)
    return true;
  // Until its slack had passed, a predecessor may have taken a worker that
  // reports to this epoch for lost, and started its tasks on one that has not
  // reported. That one has to be waited for after the slack as well.
  if (settings_.predecessor_slack > Duration{0}) return false;
  // A worker that has not reported may hold another member of a gang, or the
  // successful end of a task of finite length.
  const StepSpec& spec = job.spec_of(name);
  if (spec.gang || !spec.long_running) return false;
  // The run that this epoch bound was the only one of the task.
  const Step* step = job.FindStep(name);
  return step != nullptr && step->tasks[name.index].bound_in_epoch;
}

}  // namespace gypsumfall
