// What answers of workers mean for ownership and for the ledgers.
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
  // Only the newest attach counts: each later one has a higher epoch.
  if (worker.owned || worker.attach_epoch != call.epoch || !reply) return out;
  worker.attach_epoch.reset();
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
    worker.other_since = now;
    worker.other_owner = reply.owner;
    worker.released_epoch = Epoch();
  }
  // The worker names its last owner even after that one has released it.
  worker.held_by_other = other && reply.highest_epoch > worker.released_epoch;
  // An owner that is already gone is replaced, but not without the back-off: it
  // may live, and take the worker back.
  if (!OwnerStillHolds(worker, now)) worker.held_by_other = false;
  const bool first = !std::exchange(worker.queried, true);
  if (!first || worker.held_by_other) return;
  worker.attach_backoff = Duration::zero();
  worker.next_attach = now;
}

// The worker refuses all commands of lower epochs from now on, so its answer is
// everything it has been given. Reservations of an earlier epoch are void.
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
  worker.reading = ClockReading{reply.clock, now};
  worker.confirmed_at = sent_at;
  worker.silent = false;
  worker.next_heartbeat = now + settings_.heartbeat_interval;
  worker.reported_cpu = MilliCores();
  worker.ledger.Reset(reply.capacity, reply.slots, reply.connections);
  for (const ExchangeReport& exchange : reply.exchanges) {
    HeldExchange held;
    held.work.resources = exchange.resources;
    // Its answer goes to the connection of the earlier owner.
    held.unknown = true;
    held.next_resolve = now + settings_.resolve_interval;
    worker.ledger.AddExchange(exchange.id, held);
  }
  for (const AttemptReport& report : reply.attempts)
    AddReported(index, report, now);
  Reindex(index);
}

void FleetState::AddReported(WorkerIndex index, const AttemptReport& report,
                             Time now) {
  HeldAttempt held;
  held.work = {report.id.customer, report.kind, report.resources};
  const bool runs = report.state == AttemptState::kRunning;
  held.phase = runs ? AttemptPhase::kRunning : AttemptPhase::kEnded;
  held.since = now;
  held.state = report.state;
  held.checkpoint = report.checkpoint;
  workers_[index].ledger.AddAttempt(report.id, std::move(held));
  attempts_[report.id] = index;
}

FleetActions FleetState::OnHeartbeatAnswer(
    const WorkerId& id, const WorkerHeartbeatCall& call,
    const Result<WorkerHeartbeatReply>& reply, Time sent_at, Time now) {
  FleetActions out;
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker) return out;
  WorkerRecord& worker = workers_[index];
  if (!worker.owned || call.header.epoch != worker.epoch) return out;
  // The call was sent at or shortly after the tick that decided it.
  if (worker.heartbeat_sent && sent_at >= *worker.heartbeat_sent) {
    worker.heartbeat_sent.reset();
  }
  if (!reply) {
    SendAgain(worker, call);
    return out;
  }
  if (reply->incarnation != worker.incarnation) {
    Restarted(index, now, out);
    return out;
  }
  if (reply->refused == RefusalReason::kStaleEpoch) {
    Lose(index, WorkerLossReason::kStaleEpoch, out);
    BackOff(worker, now);
    return out;
  }
  if (reply->refused) SendAgain(worker, call);
  if (reply->leaving && !worker.leaving) {
    worker.leaving = true;
    Reindex(index);
  }
  if (sent_at <= worker.confirmed_at) return out;
  worker.reading = ClockReading{reply->clock, now};
  if (reply->refused) return out;
  worker.confirmed_at = sent_at;
  worker.silent = now >= sent_at + settings_.silence_limit;
  for (const AttemptReport& report : reply->attempts) {
    TakeReport(index, report, now, out);
  }
  DropAbsent(index, *reply, sent_at, out);
  TakeUsage(worker, reply->usage, out);
  Reindex(index);
  return out;
}

// A heartbeat without an answer may not have arrived; both lists may be sent
// twice. A later renewal of an attempt replaces the lost one.
void FleetState::SendAgain(WorkerRecord& worker,
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

void FleetState::Restarted(WorkerIndex index, Time now, FleetActions& out) {
  Lose(index, WorkerLossReason::kRestarted, out);
  WorkerRecord& worker = workers_[index];
  worker.attach_backoff = Duration::zero();
  worker.next_attach = now;
}

void FleetState::TakeUsage(WorkerRecord& worker,
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

void FleetState::TakeReport(WorkerIndex index, const AttemptReport& report,
                            Time now, FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  HeldAttempt* held = worker.ledger.FindAttempt(report.id);
  if (held == nullptr) {
    AddReported(index, report, now);
    out.emplace_back(
        AttemptChanged{worker.host.id, worker.incarnation, report});
    return;
  }
  // An ended attempt never runs again: the report is older than its end.
  if (held->phase == AttemptPhase::kEnded) return;
  const bool runs = report.state == AttemptState::kRunning;
  const bool changed = !runs || held->phase != AttemptPhase::kRunning ||
                       held->checkpoint != report.checkpoint;
  held->checkpoint = report.checkpoint;
  held->state = report.state;
  if (held->phase != AttemptPhase::kRunning) held->since = now;
  held->phase = AttemptPhase::kRunning;
  if (!runs) {
    const Work work = held->work;
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

// A worker lists all attempts that run or are not acknowledged. One that is
// missing has been forgotten, or never started if the validity of its start had
// ended by the worker's own clock.
void FleetState::DropAbsent(WorkerIndex index,
                            const WorkerHeartbeatReply& reply, Time sent_at,
                            FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  std::set<AttemptId> listed;
  for (const AttemptReport& report : reply.attempts) listed.insert(report.id);
  std::vector<AttemptId> absent;
  for (const auto& [id, held] : worker.ledger.attempts()) {
    if (listed.contains(id)) continue;
    if (held.phase == AttemptPhase::kStarting) {
      if (reply.clock <= held.valid_until) continue;
      out.emplace_back(AttemptNeverStarted{worker.host.id, id});
    } else if (held.phase == AttemptPhase::kReserved || sent_at <= held.since) {
      continue;
    }
    absent.push_back(id);
  }
  for (const AttemptId& id : absent) Forget(index, id);
}

}  // namespace gypsumfall
