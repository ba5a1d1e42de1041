// FleetState: applies the replies of workers to ownership and ledgers.
#include <algorithm>
#include <set>
#include <utility>

#include "gypsumfall/fleet/internal/fleet_state.h"

namespace gypsumfall {

FleetActions FleetState::OnAttachAnswer(const WorkerId& id,
                                        const AttachCall& call,
                                        const Result<AttachReply>& reply,
                                        Time sent_at, Time now) {
  FleetActions out;
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker) return out;
  WorkerRecord& worker = workers_[index];
  // Only the reply to the newest attach counts; each attach has a higher epoch.
  if (worker.owned || worker.pending_attach_epoch != call.epoch || !reply)
    return out;
  worker.pending_attach_epoch.reset();
  worker.highest_epoch = std::max(worker.highest_epoch, reply->highest_epoch);
  if (!reply->accepted) {
    OnAttachRefused(worker, *reply, now);
    return out;
  }
  if (stopping_) return out;
  worker.epoch = call.epoch;
  Adopt(index, *reply, sent_at, now);
  out.emplace_back(
      WorkerAttached{id, worker.epoch, worker.incarnation, reply->attempts});
  return out;
}

void FleetState::OnAttachRefused(WorkerRecord& worker, const AttachReply& reply,
                                 Time now) {
  const bool other = !reply.owner.empty() && reply.owner != settings_.self;
  if (other && worker.other_owner != reply.owner) {
    worker.other_owner_since = now;
    worker.other_owner = reply.owner;
    worker.released_epoch = Epoch();
  }
  // A worker reports its last owner even after that owner has released it.
  worker.held_by_other = other && reply.highest_epoch > worker.released_epoch;
  // An owner that is not present is replaced, but only after the back-off: it
  // may be alive and attach the worker again.
  if (!OwnerStillHolds(worker, now)) worker.held_by_other = false;
  const bool first = !std::exchange(worker.highest_epoch_known, true);
  if (!first || worker.held_by_other) return;
  worker.attach_backoff = Duration::zero();
  worker.next_attach = now;
}

// From now on the worker refuses commands of lower epochs, so its reply is the
// complete list of its work. Reservations of an earlier epoch are void.
void FleetState::Adopt(WorkerIndex index, const AttachReply& reply,
                       Time sent_at, Time now) {
  ClearLedger(index);
  WorkerRecord& worker = workers_[index];
  if (reply.incarnation != worker.incarnation) worker.health.OnSuccess();
  worker.owned = true;
  worker.held_by_other = false;
  worker.other_owner = EntryHostId();
  worker.owned_since = now;
  worker.incarnation = reply.incarnation;
  worker.leaving = reply.leaving;
  worker.clock_reading = ClockReading{reply.clock, now};
  worker.confirmed_at = sent_at;
  worker.unresponsive = false;
  worker.next_heartbeat = now + settings_.heartbeat_interval;
  worker.reported_cpu = MilliCores();
  worker.ledger.Reset(reply.capacity, reply.slots, reply.connections);
  for (const ExchangeReport& exchange : reply.exchanges) {
    ExchangeEntry entry;
    entry.work.resources = exchange.resources;
    // The worker replies on the connection of the previous owner.
    entry.outcome_unknown = true;
    entry.next_resolve = now + settings_.resolve_interval;
    worker.ledger.AddExchange(exchange.id, entry);
  }
  for (const AttemptReport& report : reply.attempts)
    AddReportedAttempt(index, report, now);
  UpdateIndexes(index);
}

void FleetState::AddReportedAttempt(WorkerIndex index,
                                    const AttemptReport& report, Time now) {
  AttemptEntry entry;
  entry.work = {report.id.customer, report.kind, report.resources};
  const bool runs = report.state == AttemptState::kRunning;
  entry.phase = runs ? AttemptPhase::kRunning : AttemptPhase::kEnded;
  entry.phase_since = now;
  entry.state = report.state;
  entry.checkpoint = report.checkpoint;
  workers_[index].ledger.AddAttempt(report.id, std::move(entry));
  worker_by_attempt_[report.id] = index;
}

FleetActions FleetState::OnHeartbeatAnswer(
    const WorkerId& id, const WorkerHeartbeatCall& call,
    const Result<WorkerHeartbeatReply>& reply, Time sent_at, Time now) {
  FleetActions out;
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker) return out;
  WorkerRecord& worker = workers_[index];
  if (!worker.owned || call.header.epoch != worker.epoch) return out;
  // The call is sent at, or shortly after, the tick that created it.
  if (worker.heartbeat_sent && sent_at >= *worker.heartbeat_sent) {
    worker.heartbeat_sent.reset();
  }
  if (!reply) {
    RequeueHeartbeat(worker, call);
    return out;
  }
  if (reply->incarnation != worker.incarnation) {
    OnWorkerRestarted(index, now, out);
    return out;
  }
  if (reply->refused == RefusalReason::kStaleEpoch) {
    LoseOwnership(index, OwnershipLossReason::kStaleEpoch, out);
    BackOff(worker, now);
    return out;
  }
  if (reply->refused) RequeueHeartbeat(worker, call);
  if (reply->leaving && !worker.leaving) {
    worker.leaving = true;
    UpdateIndexes(index);
  }
  if (sent_at <= worker.confirmed_at) return out;
  worker.clock_reading = ClockReading{reply->clock, now};
  if (reply->refused) return out;
  worker.confirmed_at = sent_at;
  worker.unresponsive = now >= sent_at + settings_.unresponsive_after;
  for (const AttemptReport& report : reply->attempts) {
    ApplyAttemptReport(index, report, now, out);
  }
  RemoveUnreported(index, *reply, sent_at, out);
  ApplyUsage(worker, reply->usage, out);
  UpdateIndexes(index);
  return out;
}

// Queues the contents of an unanswered heartbeat again, because it may not have
// arrived. Both lists may be sent twice. A later renewal of the same attempt
// supersedes the lost one.
void FleetState::RequeueHeartbeat(WorkerRecord& worker,
                                  const WorkerHeartbeatCall& call) {
  for (const LeaseRenewal& lost : call.renewals) {
    const bool renewed = std::any_of(
        worker.renewals.begin(), worker.renewals.end(),
        [&](const LeaseRenewal& later) { return later.id == lost.id; });
    if (!renewed) worker.renewals.push_back(lost);
  }
  worker.acknowledged.insert(worker.acknowledged.end(),
                             call.acknowledged.begin(),
                             call.acknowledged.end());
}

void FleetState::OnWorkerRestarted(WorkerIndex index, Time now,
                                   FleetActions& out) {
  LoseOwnership(index, OwnershipLossReason::kRestarted, out);
  WorkerRecord& worker = workers_[index];
  worker.attach_backoff = Duration::zero();
  worker.next_attach = now;
}

void FleetState::ApplyUsage(WorkerRecord& worker,
                            const std::vector<UsageReport>& usage,
                            FleetActions& out) {
  if (usage.empty()) return;
  std::int64_t cpu = 0;
  WorkerTime measured_at = usage.front().measured_at;
  for (const UsageReport& report : usage) {
    cpu += report.used.cpu.value();
    measured_at = std::min(measured_at, report.measured_at);
  }
  worker.reported_cpu = MilliCores(cpu);
  worker.ledger.SetMeasuredAt(measured_at);
  out.emplace_back(UsageReported{worker.host.id, usage});
}

void FleetState::ApplyAttemptReport(WorkerIndex index,
                                    const AttemptReport& report, Time now,
                                    FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  AttemptEntry* entry = worker.ledger.FindAttempt(report.id);
  if (entry == nullptr) {
    AddReportedAttempt(index, report, now);
    out.emplace_back(
        AttemptChanged{worker.host.id, worker.incarnation, report});
    return;
  }
  // An ended attempt never runs again, so the report is older than its end.
  if (entry->phase == AttemptPhase::kEnded) return;
  const bool runs = report.state == AttemptState::kRunning;
  const bool changed = !runs || entry->phase != AttemptPhase::kRunning ||
                       entry->checkpoint != report.checkpoint;
  entry->checkpoint = report.checkpoint;
  entry->state = report.state;
  if (entry->phase != AttemptPhase::kRunning) entry->phase_since = now;
  entry->phase = AttemptPhase::kRunning;
  if (!runs) {
    const WorkSpec work = entry->work;
    worker.ledger.EndAttempt(report.id, now);
    if (report.state != AttemptState::kStopped) {
      RecordOutcome(index, work, report.state == AttemptState::kFailed, now);
    }
  }
  if (changed) {
    out.emplace_back(
        AttemptChanged{worker.host.id, worker.incarnation, report});
  }
}

// A worker reports all attempts that run or are not acknowledged. It has
// discarded an attempt that is missing from the report; or never started it, if
// the validity of the start command had ended by the worker's own clock.
void FleetState::RemoveUnreported(WorkerIndex index,
                                  const WorkerHeartbeatReply& reply,
                                  Time sent_at, FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  std::set<AttemptId> listed;
  for (const AttemptReport& report : reply.attempts) listed.insert(report.id);
  std::vector<AttemptId> absent;
  for (const auto& [id, entry] : worker.ledger.attempts()) {
    if (listed.contains(id)) continue;
    if (entry.phase == AttemptPhase::kStarting) {
      if (reply.clock <= entry.valid_until) continue;
      out.emplace_back(AttemptNeverStarted{worker.host.id, id});
    } else if (entry.phase == AttemptPhase::kReserved ||
               sent_at <= entry.phase_since) {
      continue;
    }
    absent.push_back(id);
  }
  for (const AttemptId& id : absent) EraseAttempt(index, id);
}

}  // namespace gypsumfall
