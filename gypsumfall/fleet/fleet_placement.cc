// FleetState: placement of work, and the effect of its outcomes on capacity and
// worker health.
#include <algorithm>
#include <utility>

#include "gypsumfall/fleet/internal/fleet_state.h"

namespace gypsumfall {
namespace {

// Random draws per candidate, and workers scanned in order if none of the drawn
// ones fits. Both bound the cost of a placement for any number of workers.
constexpr std::size_t kDrawsPerCandidate = 3;
constexpr std::size_t kMaxScannedWorkers = 128;

template <typename T>
bool Contains(const std::vector<T>& items, const T& value) {
  return std::find(items.begin(), items.end(), value) != items.end();
}

}  // namespace

FleetState::WorkerIndex FleetState::IndexOf(const WorkerId& worker) const {
  const auto found = index_by_id_.find(worker);
  return found == index_by_id_.end() ? kNoWorker : found->second;
}

// SplitMix64: deterministic for a given seed, and cheap compared to a
// placement.
std::size_t FleetState::RandomBelow(std::size_t below) {
  random_state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t bits = random_state_;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<std::size_t>((bits ^ (bits >> 31)) % below);
}

WorkerHealth::Limits FleetState::HealthLimits() const {
  return {settings_.unhealthy_after, settings_.min_probe_interval,
          settings_.max_probe_interval};
}

std::size_t FleetState::AttemptHash::operator()(
    const AttemptId& id) const noexcept {
  const std::size_t customer = std::hash<CustomerId>()(id.customer);
  return std::hash<TaskId>()(id.task) + 31 * customer + id.number.value();
}

Time FleetState::AcceptsWorkUntil(const WorkerRecord& worker) const {
  const bool receives =
      worker.owned && worker.listed && !worker.leaving && !worker.host.leaving;
  return receives ? worker.confirmed_at + settings_.unresponsive_after : Time();
}

bool FleetState::AcceptsWork(const WorkerRecord& worker, Time now) const {
  return now < AcceptsWorkUntil(worker);
}

// Updates the placement view and the capacity indexes. Must be called after any
// change of the worker's ledger, state or health.
void FleetState::UpdateIndexes(WorkerIndex index) {
  if (index >= placement_views_.size()) placement_views_.resize(index + 1);
  const WorkerRecord& worker = workers_[index];
  const WorkerLedger& ledger = worker.ledger;
  PlacementView& view = placement_views_[index];
  view.capacity = ledger.capacity();
  view.committed = ledger.committed();
  const MilliCores observed(worker.reported_cpu.value() +
                            ledger.unreported_cpu().value());
  view.load = std::max(view.committed.cpu, observed);
  view.slots = ledger.slots();
  view.spare_request_slots = ledger.SpareSlots(true, settings_.urgent_slots);
  view.spare_attempt_slots = ledger.SpareSlots(false, settings_.urgent_slots);
  view.accepts_work_until = AcceptsWorkUntil(worker);
  const bool usable = view.accepts_work_until != Time() &&
                      !worker.unresponsive && worker.health.healthy();
  const Resources spare = view.capacity - view.committed;
  request_index_.Update(index, spare, usable && view.spare_request_slots > 0);
  attempt_index_.Update(index, spare, usable && view.spare_attempt_slots > 0);
}

bool FleetState::Fits(WorkerIndex index, const WorkSpec& work, bool urgent,
                      const PlacementExclusions& avoid, Time now) const {
  const PlacementView& view = placement_views_[index];
  const int slots =
      urgent ? view.spare_request_slots : view.spare_attempt_slots;
  return slots > 0 && now < view.accepts_work_until &&
         (view.committed + work.resources).FitsIn(view.capacity) &&
         (avoid.workers.empty() ||
          !Contains(avoid.workers, workers_[index].host.id));
}

FleetState::WorkerIndex FleetState::FindDueProbe(
    const WorkSpec& work, bool urgent, const PlacementExclusions& avoid,
    Time now) const {
  if (!work.idempotent) return kNoWorker;
  for (const WorkerIndex index : unhealthy_) {
    const bool due = workers_[index].health.ProbeDue(now);
    if (due && Fits(index, work, urgent, avoid, now)) return index;
  }
  return kNoWorker;
}

std::span<const FleetState::WorkerIndex> FleetState::Candidates(
    const WorkSpec& work, bool urgent, const PlacementExclusions& avoid,
    int samples, Time now) {
  candidates_.clear();
  const WorkerIndex probe = FindDueProbe(work, urgent, avoid, now);
  if (probe != kNoWorker) {
    candidates_.push_back(probe);
    return candidates_;
  }
  const CapacityIndex& index = urgent ? request_index_ : attempt_index_;
  const CapacityIndex::Selection selection = index.Select(work.resources);
  if (selection.size() == 0) return candidates_;
  const auto max_candidates = static_cast<std::size_t>(samples);
  const auto add_if_fits = [&](std::size_t position) {
    const WorkerIndex worker = selection.At(position);
    if (Contains(candidates_, worker)) return;
    if (Fits(worker, work, urgent, avoid, now)) {
      candidates_.push_back(worker);
    }
  };
  if (selection.size() > max_candidates * kDrawsPerCandidate) {
    for (std::size_t draw = 0; draw < max_candidates * kDrawsPerCandidate &&
                               candidates_.size() < max_candidates;
         ++draw) {
      add_if_fits(RandomBelow(selection.size()));
    }
    if (!candidates_.empty()) return candidates_;
  }
  const std::size_t start = RandomBelow(selection.size());
  const std::size_t steps = std::min(selection.size(), kMaxScannedWorkers);
  for (std::size_t step = 0;
       step < steps && candidates_.size() < max_candidates; ++step) {
    add_if_fits((start + step) % selection.size());
  }
  return candidates_;
}

Candidate FleetState::MakeCandidate(WorkerIndex index,
                                    const PlacementExclusions& avoid,
                                    bool urgent) const {
  const PlacementView& view = placement_views_[index];
  Candidate candidate;
  candidate.capacity = view.capacity;
  candidate.committed = view.committed;
  candidate.load = view.load;
  candidate.slots = view.slots;
  candidate.spare_slots =
      urgent ? view.spare_request_slots : view.spare_attempt_slots;
  candidate.avoid_rack =
      !avoid.racks.empty() && Contains(avoid.racks, workers_[index].host.rack);
  candidate.urgent = urgent;
  return candidate;
}

// Returns the earliest possible time on the worker's clock. A usage report that
// covers the work may then seem not to, which overestimates the load.
WorkerTime FleetState::EstimateClock(const WorkerRecord& worker, Time now) {
  return worker.clock_reading->clock + (now - worker.clock_reading->received);
}

void FleetState::RecordProbe(WorkerRecord& worker, Time now) const {
  if (!worker.health.healthy()) worker.health.OnProbeSent(HealthLimits(), now);
}

std::optional<Placement> FleetState::CommitRequest(const ExchangeId& exchange,
                                                   const WorkSpec& work,
                                                   WorkerIndex index,
                                                   Time now) {
  if (index == kNoWorker) return std::nullopt;
  WorkerRecord& worker = workers_[index];
  // The ledger is authoritative; the placement view may be out of date.
  const bool has_capacity =
      worker.ledger.HasCapacity(work.resources, true, settings_.urgent_slots);
  if (!has_capacity || !AcceptsWork(worker, now)) return std::nullopt;
  ExchangeEntry entry;
  entry.work = work;
  entry.placed_at = EstimateClock(worker, now);
  worker.ledger.AddExchange(exchange, std::move(entry));
  RecordProbe(worker, now);
  UpdateIndexes(index);
  return PlacementOn(worker, now);
}

std::optional<Placement> FleetState::CommitReservation(const AttemptId& attempt,
                                                       const WorkSpec& work,
                                                       WorkerIndex index,
                                                       Time now) {
  if (index == kNoWorker || worker_by_attempt_.contains(attempt))
    return std::nullopt;
  WorkerRecord& worker = workers_[index];
  const bool has_capacity =
      worker.ledger.HasCapacity(work.resources, false, settings_.urgent_slots);
  if (!has_capacity || !AcceptsWork(worker, now)) return std::nullopt;
  AttemptEntry entry;
  entry.work = work;
  entry.placed_at = EstimateClock(worker, now);
  entry.expires_at = now + settings_.reservation_timeout;
  entry.phase_since = now;
  reservations_.push_back({entry.expires_at, attempt});
  worker.ledger.AddAttempt(attempt, std::move(entry));
  worker_by_attempt_[attempt] = index;
  RecordProbe(worker, now);
  UpdateIndexes(index);
  return PlacementOn(worker, now);
}

std::optional<Placement> FleetState::FindReservation(const AttemptId& attempt,
                                                     Time now) {
  ExpireReservations(now);
  const auto found = worker_by_attempt_.find(attempt);
  if (found == worker_by_attempt_.end()) return std::nullopt;
  const WorkerRecord& worker = workers_[found->second];
  const auto entry = worker.ledger.attempts().find(attempt);
  if (entry->second.phase == AttemptPhase::kEnded) return std::nullopt;
  return PlacementOn(worker, now);
}

void FleetState::RecordOutcome(WorkerIndex index, const WorkSpec& work,
                               bool failed, Time now) {
  WorkerHealth& health = workers_[index].health;
  const bool was_healthy = health.healthy();
  if (failed && !work.kind.empty()) {
    health.OnFailure(work, HealthLimits(), now);
  } else if (!failed) {
    health.OnSuccess();
  }
  if (health.healthy() == was_healthy) return;
  std::erase(unhealthy_, index);
  if (was_healthy) unhealthy_.push_back(index);
}

void FleetState::EndExchange(WorkerIndex index, const ExchangeId& exchange,
                             ExchangeState state, Time now) {
  WorkerRecord& worker = workers_[index];
  const ExchangeEntry* entry = worker.ledger.FindExchange(exchange);
  if (entry == nullptr) return;
  const WorkSpec work = entry->work;
  worker.ledger.RemoveExchange(exchange);
  if (state != ExchangeState::kNeverStarted) {
    RecordOutcome(index, work, state == ExchangeState::kFailed, now);
  }
  UpdateIndexes(index);
}

void FleetState::OnRequestAnswer(const WorkerId& worker,
                                 const ExchangeId& exchange,
                                 const Result<RequestReply>& reply, Time now) {
  if (reply && reply->refused) {
    const WorkerIndex index = IndexOf(worker);
    if (index == kNoWorker) return;
    if (reply->refused == RefusalReason::kStaleEpoch) {
      // The next heartbeat reveals who owns the worker. Until it is answered,
      // the worker counts as unresponsive, so that it gets no work to refuse.
      WorkerRecord& record = workers_[index];
      record.next_heartbeat = now;
      record.confirmed_at =
          std::min(record.confirmed_at, now - settings_.unresponsive_after);
      record.unresponsive = true;
    }
    EndExchange(index, exchange, ExchangeState::kNeverStarted, now);
    return;
  }
  OnResolveAnswer(worker, exchange, reply, now);
}

void FleetState::OnResolveAnswer(const WorkerId& worker,
                                 const ExchangeId& exchange,
                                 const Result<RequestReply>& reply, Time now) {
  const WorkerIndex index = IndexOf(worker);
  if (index == kNoWorker) return;
  if (reply && !reply->refused && reply->state != ExchangeState::kRunning) {
    EndExchange(index, exchange, reply->state, now);
    return;
  }
  ExchangeEntry* entry = workers_[index].ledger.FindExchange(exchange);
  if (entry == nullptr || entry->outcome_unknown) return;
  entry->outcome_unknown = true;
  entry->next_resolve = now;
}

void FleetState::AbandonRequest(const WorkerId& worker,
                                const ExchangeId& exchange) {
  const WorkerIndex index = IndexOf(worker);
  if (index == kNoWorker) return;
  workers_[index].ledger.RemoveExchange(exchange);
  UpdateIndexes(index);
}

Result<Placement> FleetState::StartAttempt(const AttemptId& attempt, Time now) {
  ExpireReservations(now);
  const auto found = worker_by_attempt_.find(attempt);
  if (found == worker_by_attempt_.end()) {
    return Fail(ErrorKind::kNoCapacity, "the reservation has lapsed");
  }
  WorkerRecord& worker = workers_[found->second];
  AttemptEntry& entry = *worker.ledger.FindAttempt(attempt);
  if (entry.phase == AttemptPhase::kEnded || !AcceptsWork(worker, now)) {
    return Fail(ErrorKind::kNoCapacity,
                "worker " + worker.host.id.str() + " may not start it now");
  }
  const Placement placement = PlacementOn(worker, now);
  if (entry.phase != AttemptPhase::kRunning) {
    entry.phase = AttemptPhase::kStarting;
    entry.phase_since = now;
  }
  ++entry.starts_sent;
  entry.valid_until = placement.header.valid_until;
  return placement;
}

void FleetState::OnStartAnswer(const AttemptId& attempt, const Placement& sent,
                               const Result<StartAttemptReply>& reply,
                               Time now) {
  const auto found = worker_by_attempt_.find(attempt);
  if (found == worker_by_attempt_.end() || !reply) return;
  const WorkerIndex index = found->second;
  WorkerRecord& worker = workers_[index];
  AttemptEntry& entry = *worker.ledger.FindAttempt(attempt);
  // A reply to a start of an earlier epoch or reservation does not apply to the
  // current one.
  if (worker.host.id != sent.worker || worker.epoch != sent.header.epoch ||
      entry.valid_until != sent.header.valid_until ||
      entry.phase != AttemptPhase::kStarting) {
    return;
  }
  if (!reply->refused) {
    entry.phase = AttemptPhase::kRunning;
    entry.phase_since = now;
    return;
  }
  if (reply->refused == RefusalReason::kStaleEpoch) worker.next_heartbeat = now;
  // If several starts were sent, an earlier one may still arrive. The first
  // heartbeat after the end of its validity then shows the outcome.
  if (entry.starts_sent == 1) EraseAttempt(index, attempt);
}

void FleetState::AbandonAttempt(const AttemptId& attempt) {
  const auto found = worker_by_attempt_.find(attempt);
  if (found == worker_by_attempt_.end()) return;
  const WorkerIndex index = found->second;
  const AttemptEntry* entry = workers_[index].ledger.FindAttempt(attempt);
  if (entry->phase == AttemptPhase::kReserved) EraseAttempt(index, attempt);
}

FleetActions FleetState::OnStopAnswer(const AttemptId& attempt,
                                      const Result<StopAttemptReply>& reply,
                                      Time now) {
  FleetActions out;
  const auto found = worker_by_attempt_.find(attempt);
  const bool answered = reply && !reply->refused && reply->report.id == attempt;
  if (found == worker_by_attempt_.end() || !answered) return out;
  const WorkerIndex index = found->second;
  ApplyAttemptReport(index, reply->report, now, out);
  UpdateIndexes(index);
  return out;
}

void FleetState::EraseAttempt(WorkerIndex index, const AttemptId& attempt) {
  workers_[index].ledger.RemoveAttempt(attempt);
  worker_by_attempt_.erase(attempt);
  UpdateIndexes(index);
}

bool FleetState::Renew(const LeaseRenewal& renewal) {
  const auto found = worker_by_attempt_.find(renewal.id);
  if (found == worker_by_attempt_.end()) return false;
  std::vector<LeaseRenewal>& queued = workers_[found->second].renewals;
  std::erase_if(queued, [&](const LeaseRenewal& earlier) {
    return earlier.id == renewal.id;
  });
  queued.push_back(renewal);
  return true;
}

bool FleetState::Acknowledge(const AttemptId& attempt) {
  const auto found = worker_by_attempt_.find(attempt);
  if (found == worker_by_attempt_.end()) return false;
  workers_[found->second].acknowledged.push_back(attempt);
  return true;
}

}  // namespace gypsumfall
