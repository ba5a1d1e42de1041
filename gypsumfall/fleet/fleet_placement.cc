// Placement, and what outcomes of work mean for room and health.
#include <algorithm>
#include <utility>

#include "gypsumfall/fleet/internal/fleet_state.h"

namespace gypsumfall {
namespace {

// Draws per wanted candidate, and workers looked at in order if no drawn one
// fits. Both bound the cost of a decision whatever the number of workers.
constexpr std::size_t kDrawsPerSample = 3;
constexpr std::size_t kWalk = 128;

template <typename T>
bool Contains(const std::vector<T>& all, const T& value) {
  return std::find(all.begin(), all.end(), value) != all.end();
}

}  // namespace

FleetState::WorkerIndex FleetState::IndexOf(const WorkerId& worker) const {
  const auto found = by_id_.find(worker);
  return found == by_id_.end() ? kNoWorker : found->second;
}

// SplitMix64: deterministic for a seed and cheap beside a decision.
std::size_t FleetState::Random(std::size_t below) {
  random_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t bits = random_;
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

Time FleetState::ReceivesUntil(const WorkerRecord& worker) const {
  const bool receives =
      worker.owned && worker.listed && !worker.leaving && !worker.host.leaving;
  return receives ? worker.confirmed_at + settings_.silence_limit : Time();
}

bool FleetState::MayReceive(const WorkerRecord& worker, Time now) const {
  return now < ReceivesUntil(worker);
}

// To be called after any change of the worker's ledger, state or health.
void FleetState::Reindex(WorkerIndex index) {
  if (index >= views_.size()) views_.resize(index + 1);
  const WorkerRecord& worker = workers_[index];
  const WorkerLedger& ledger = worker.ledger;
  PlacementView& view = views_[index];
  view.capacity = ledger.capacity();
  view.committed = ledger.committed();
  const MilliCores observed(worker.reported_cpu.value() +
                            ledger.unreported_cpu().value());
  view.load = std::max(view.committed.cpu, observed);
  view.slots = ledger.slots();
  view.request_slots = ledger.SpareSlots(true, settings_.urgent_slots);
  view.attempt_slots = ledger.SpareSlots(false, settings_.urgent_slots);
  view.receives_until = ReceivesUntil(worker);
  const bool usable = view.receives_until != Time() && !worker.silent &&
                      worker.health.healthy();
  const Resources spare = view.capacity - view.committed;
  request_index_.Update(index, spare, usable && view.request_slots > 0);
  attempt_index_.Update(index, spare, usable && view.attempt_slots > 0);
}

bool FleetState::Fits(WorkerIndex index, const Work& work, bool urgent,
                      const Avoid& avoid, Time now) const {
  const PlacementView& view = views_[index];
  const int slots = urgent ? view.request_slots : view.attempt_slots;
  return slots > 0 && now < view.receives_until &&
         (view.committed + work.resources).FitsIn(view.capacity) &&
         (avoid.workers.empty() ||
          !Contains(avoid.workers, workers_[index].host.id));
}

FleetState::WorkerIndex FleetState::DueProbe(const Work& work, bool urgent,
                                             const Avoid& avoid,
                                             Time now) const {
  if (!work.idempotent) return kNoWorker;
  for (const WorkerIndex index : unhealthy_) {
    const bool due = workers_[index].health.ProbeDue(now);
    if (due && Fits(index, work, urgent, avoid, now)) return index;
  }
  return kNoWorker;
}

std::span<const FleetState::WorkerIndex> FleetState::Candidates(
    const Work& work, bool urgent, const Avoid& avoid, int samples, Time now) {
  candidates_.clear();
  const WorkerIndex probe = DueProbe(work, urgent, avoid, now);
  if (probe != kNoWorker) {
    candidates_.push_back(probe);
    return candidates_;
  }
  const CapacityIndex& index = urgent ? request_index_ : attempt_index_;
  const CapacityIndex::Selection selection = index.Select(work.resources);
  if (selection.size() == 0) return candidates_;
  const auto wanted = static_cast<std::size_t>(samples);
  const auto consider = [&](std::size_t position) {
    const WorkerIndex worker = selection.At(position);
    if (Contains(candidates_, worker)) return;
    if (Fits(worker, work, urgent, avoid, now)) {
      candidates_.push_back(worker);
    }
  };
  if (selection.size() > wanted * kDrawsPerSample) {
    for (std::size_t draw = 0;
         draw < wanted * kDrawsPerSample && candidates_.size() < wanted;
         ++draw) {
      consider(Random(selection.size()));
    }
    if (!candidates_.empty()) return candidates_;
  }
  const std::size_t start = Random(selection.size());
  const std::size_t steps = std::min(selection.size(), kWalk);
  for (std::size_t step = 0; step < steps && candidates_.size() < wanted;
       ++step) {
    consider((start + step) % selection.size());
  }
  return candidates_;
}

Candidate FleetState::Describe(WorkerIndex index, const Avoid& avoid,
                               bool urgent) const {
  const PlacementView& view = views_[index];
  Candidate candidate;
  candidate.capacity = view.capacity;
  candidate.committed = view.committed;
  candidate.load = view.load;
  candidate.slots = view.slots;
  candidate.spare_slots = urgent ? view.request_slots : view.attempt_slots;
  candidate.avoid_rack =
      !avoid.racks.empty() && Contains(avoid.racks, workers_[index].host.rack);
  candidate.urgent = urgent;
  return candidate;
}

// The reading is the earliest possible, so a report that covers the work may be
// taken not to: the load is then rather seen too high.
WorkerTime FleetState::ClockOf(const WorkerRecord& worker, Time now) {
  return worker.reading->clock + (now - worker.reading->received);
}

void FleetState::NoteProbe(WorkerRecord& worker, Time now) const {
  if (!worker.health.healthy()) worker.health.OnProbeSent(HealthLimits(), now);
}

std::optional<Placement> FleetState::TakeRequest(const ExchangeId& exchange,
                                                 const Work& work,
                                                 WorkerIndex index, Time now) {
  if (index == kNoWorker) return std::nullopt;
  WorkerRecord& worker = workers_[index];
  // The ledger has the last word, whatever the views say.
  const bool room =
      worker.ledger.HasRoom(work.resources, true, settings_.urgent_slots);
  if (!room || !MayReceive(worker, now)) return std::nullopt;
  HeldExchange held;
  held.work = work;
  held.placed_at = ClockOf(worker, now);
  worker.ledger.AddExchange(exchange, std::move(held));
  NoteProbe(worker, now);
  Reindex(index);
  return PlacementOn(worker, now);
}

std::optional<Placement> FleetState::TakeAttempt(const AttemptId& attempt,
                                                 const Work& work,
                                                 WorkerIndex index, Time now) {
  if (index == kNoWorker || attempts_.contains(attempt)) return std::nullopt;
  WorkerRecord& worker = workers_[index];
  const bool room =
      worker.ledger.HasRoom(work.resources, false, settings_.urgent_slots);
  if (!room || !MayReceive(worker, now)) return std::nullopt;
  HeldAttempt held;
  held.work = work;
  held.placed_at = ClockOf(worker, now);
  held.lapses_at = now + settings_.reservation;
  held.since = now;
  reservations_.push_back({held.lapses_at, attempt});
  worker.ledger.AddAttempt(attempt, std::move(held));
  attempts_[attempt] = index;
  NoteProbe(worker, now);
  Reindex(index);
  return PlacementOn(worker, now);
}

std::optional<Placement> FleetState::Reserved(const AttemptId& attempt,
                                              Time now) {
  LapseReservations(now);
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return std::nullopt;
  const WorkerRecord& worker = workers_[found->second];
  const auto held = worker.ledger.attempts().find(attempt);
  if (held->second.phase == AttemptPhase::kEnded) return std::nullopt;
  return PlacementOn(worker, now);
}

void FleetState::RecordOutcome(WorkerIndex index, const Work& work, bool failed,
                               Time now) {
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
  const HeldExchange* held = worker.ledger.FindExchange(exchange);
  if (held == nullptr) return;
  const Work work = held->work;
  worker.ledger.RemoveExchange(exchange);
  if (state != ExchangeState::kNeverStarted) {
    RecordOutcome(index, work, state == ExchangeState::kFailed, now);
  }
  Reindex(index);
}

void FleetState::OnRequestAnswer(const WorkerId& worker,
                                 const ExchangeId& exchange,
                                 const Result<RequestReply>& reply, Time now) {
  if (reply && reply->refused) {
    const WorkerIndex index = IndexOf(worker);
    if (index == kNoWorker) return;
    if (reply->refused == RefusalReason::kStaleEpoch) {
      // The heartbeat finds out who owns the worker; until it is answered the
      // worker counts as silent, so that no more work is refused by it.
      WorkerRecord& record = workers_[index];
      record.next_heartbeat = now;
      record.confirmed_at =
          std::min(record.confirmed_at, now - settings_.silence_limit);
      record.silent = true;
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
  HeldExchange* held = workers_[index].ledger.FindExchange(exchange);
  if (held == nullptr || held->unknown) return;
  held->unknown = true;
  held->next_resolve = now;
}

void FleetState::AbandonRequest(const WorkerId& worker,
                                const ExchangeId& exchange) {
  const WorkerIndex index = IndexOf(worker);
  if (index == kNoWorker) return;
  workers_[index].ledger.RemoveExchange(exchange);
  Reindex(index);
}

Result<Placement> FleetState::StartAttempt(const AttemptId& attempt, Time now) {
  LapseReservations(now);
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return Fail(ErrorKind::kNoCapacity, "the reservation has lapsed");
  }
  WorkerRecord& worker = workers_[found->second];
  HeldAttempt& held = *worker.ledger.FindAttempt(attempt);
  if (held.phase == AttemptPhase::kEnded || !MayReceive(worker, now)) {
    return Fail(ErrorKind::kNoCapacity,
                "worker " + worker.host.id.str() + " may not start it now");
  }
  const Placement placement = PlacementOn(worker, now);
  if (held.phase != AttemptPhase::kRunning) {
    held.phase = AttemptPhase::kStarting;
    held.since = now;
  }
  ++held.starts_sent;
  held.valid_until = placement.header.valid_until;
  return placement;
}

void FleetState::OnStartAnswer(const AttemptId& attempt, const Placement& sent,
                               const Result<StartAttemptReply>& reply,
                               Time now) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || !reply) return;
  const WorkerIndex index = found->second;
  WorkerRecord& worker = workers_[index];
  HeldAttempt& held = *worker.ledger.FindAttempt(attempt);
  // An answer to a start of an earlier epoch or reservation says nothing about
  // the present one.
  if (worker.host.id != sent.worker || worker.epoch != sent.header.epoch ||
      held.valid_until != sent.header.valid_until ||
      held.phase != AttemptPhase::kStarting) {
    return;
  }
  if (!reply->refused) {
    held.phase = AttemptPhase::kRunning;
    held.since = now;
    return;
  }
  if (reply->refused == RefusalReason::kStaleEpoch) worker.next_heartbeat = now;
  // An earlier copy of the start may still arrive; a heartbeat after the end of
  // its validity then decides.
  if (held.starts_sent == 1) Forget(index, attempt);
}

void FleetState::AbandonAttempt(const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return;
  const WorkerIndex index = found->second;
  const HeldAttempt* held = workers_[index].ledger.FindAttempt(attempt);
  if (held->phase == AttemptPhase::kReserved) Forget(index, attempt);
}

FleetActions FleetState::OnStopAnswer(const AttemptId& attempt,
                                      const Result<StopAttemptReply>& reply,
                                      Time now) {
  FleetActions out;
  const auto found = attempts_.find(attempt);
  const bool answered = reply && !reply->refused && reply->report.id == attempt;
  if (found == attempts_.end() || !answered) return out;
  const WorkerIndex index = found->second;
  TakeReport(index, reply->report, now, out);
  Reindex(index);
  return out;
}

void FleetState::Forget(WorkerIndex index, const AttemptId& attempt) {
  workers_[index].ledger.RemoveAttempt(attempt);
  attempts_.erase(attempt);
  Reindex(index);
}

bool FleetState::Renew(const LeaseRenewal& renewal) {
  const auto found = attempts_.find(renewal.id);
  if (found == attempts_.end()) return false;
  std::vector<LeaseRenewal>& all = workers_[found->second].renewals;
  std::erase_if(all, [&](const LeaseRenewal& earlier) {
    return earlier.id == renewal.id;
  });
  all.push_back(renewal);
  return true;
}

bool FleetState::Acknowledge(const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return false;
  workers_[found->second].acknowledged.push_back(attempt);
  return true;
}

}  // namespace gypsumfall
