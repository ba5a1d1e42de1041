#include "gypsumfall/fleet/internal/fleet_state.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gypsumfall/ownership/internal/rendezvous.h"

namespace gypsumfall {
namespace {

constexpr Duration kWantedInterval = seconds(1);

}  // namespace

FleetState::FleetState(FleetSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {}

FleetActions FleetState::OnHostList(std::span<const ListedHost> hosts,
                                    Time now) {
  for (WorkerRecord& worker : workers_) worker.listed = false;
  for (const ListedHost& host : hosts) {
    const auto index = static_cast<WorkerIndex>(workers_.size());
    const auto [entry, added] = by_id_.try_emplace(host.id, index);
    if (added) workers_.emplace_back();
    WorkerRecord& worker = workers_[entry->second];
    const bool moved = added || worker.host.rack != host.rack;
    if (moved && !added) {
      std::erase(racks_[worker.host.rack].workers, entry->second);
    }
    worker.host = host;
    worker.listed = true;
    if (moved) AddToRack(entry->second);
    Reindex(entry->second);
  }
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    if (!workers_[index].listed) Reindex(index);
  }
  UpdateShapes();
  ChooseOwners(now);
  return {};
}

void FleetState::AddToRack(WorkerIndex index) {
  const ListedHost& host = workers_[index].host;
  RackRecord& rack = racks_[host.rack];
  rack.data_centre = host.data_centre;
  rack.workers.push_back(index);
}

void FleetState::SetHosts(FleetHosts hosts, Time now) {
  hosts_ = std::move(hosts);
  held_racks_.clear();
  for (const PresentHost& host : hosts_.present) {
    held_racks_.insert(host.racks.begin(), host.racks.end());
  }
  ChooseOwners(now);
}

// The preferred host owns the rack; the second choice does if nobody has owned
// it for long, because the preferred one may not reach its workers.
bool FleetState::ShouldOwn(const RackId& id, RackRecord& rack, Time now) const {
  if (rack.preferred == settings_.self) return true;
  if (held_racks_.contains(id)) {
    rack.unowned_since.reset();
    return false;
  }
  if (!rack.unowned_since) rack.unowned_since = now;
  return now >= *rack.unowned_since + settings_.unowned_limit &&
         rack.second == settings_.self;
}

// Hashes all hosts for each rack, so it runs only after a change of either.
void FleetState::ChooseOwners(Time now) {
  for (auto& [id, rack] : racks_) {
    std::vector<LiveHost> hosts = hosts_.preferred;
    rack.preferred =
        ChooseWorkerOwner(id, rack.data_centre, hosts).value_or(EntryHostId());
    std::erase_if(hosts, [&rack = rack](const LiveHost& host) {
      return host.id == rack.preferred;
    });
    rack.second =
        ChooseWorkerOwner(id, rack.data_centre, hosts).value_or(EntryHostId());
  }
  RefreshWanted(now);
}

void FleetState::RefreshWanted(Time now) {
  next_wanted_ = now + kWantedInterval;
  for (auto& [id, rack] : racks_) {
    const bool wanted = !stopping_ && ShouldOwn(id, rack, now);
    for (const WorkerIndex index : rack.workers) {
      WorkerRecord& worker = workers_[index];
      worker.wanted = wanted && worker.listed;
    }
  }
}

FleetActions FleetState::Tick(Time now) {
  FleetActions out;
  if (now >= next_wanted_) RefreshWanted(now);
  LapseReservations(now);
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    const WorkerRecord& worker = workers_[index];
    if (worker.owned) {
      StepOwned(index, now, out);
    } else if (worker.wanted) {
      StepAttach(index, now, out);
    }
  }
  return out;
}

// An owner holds a worker as long as it is present and lists the rack. A new
// owner is trusted for a while, because its list arrives a heartbeat later.
bool FleetState::OwnerStillHolds(const WorkerRecord& worker, Time now) const {
  if (!worker.held_by_other) return false;
  const auto owner = std::find_if(
      hosts_.present.begin(), hosts_.present.end(),
      [&](const PresentHost& host) { return host.id == worker.other_owner; });
  if (owner == hosts_.present.end()) return false;
  if (now < worker.other_since + settings_.owner_report_delay) return true;
  return std::find(owner->racks.begin(), owner->racks.end(),
                   worker.host.rack) != owner->racks.end();
}

// An owner that is gone or has released the rack is replaced at once. While
// another one holds it, the worker is still asked from time to time: two hosts
// may each take the other for the owner after lost answers.
bool FleetState::WaitForOwner(WorkerRecord& worker, Time now,
                              FleetActions& out) {
  if (!worker.held_by_other) return false;
  if (!OwnerStillHolds(worker, now)) {
    worker.held_by_other = false;
    worker.attach_backoff = Duration::zero();
    worker.next_attach = now;
    return false;
  }
  RackRecord& rack = racks_[worker.host.rack];
  if (now >= rack.next_release_ask) {
    rack.next_release_ask = now + settings_.heartbeat_interval;
    out.emplace_back(AskRelease{worker.other_owner, worker.host.rack});
  }
  return true;
}

// Epoch 0 asks for the highest epoch, as no worker accepts it. A new process
// asks first: an earlier process of this host may hold the epoch that is equal
// to a guess, and its delayed commands would then be accepted beside ours.
void FleetState::StepAttach(WorkerIndex index, Time now, FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  const bool waits = WaitForOwner(worker, now, out);
  if (now < worker.next_attach) return;
  const bool query = waits || !worker.queried;
  const Epoch epoch = query ? Epoch() : worker.highest_epoch.Next();
  BackOff(worker, now);
  worker.attach_epoch = epoch;
  worker.highest_epoch = std::max(worker.highest_epoch, epoch);
  out.emplace_back(SendAttach{worker.host.id, worker.host.address,
                              AttachCall{settings_.self, epoch}});
}

// Hosts that disagree on membership take a worker from each other; the delay
// between their attaches doubles until one has kept the worker for long.
void FleetState::BackOff(WorkerRecord& worker, Time now) const {
  const bool lasted =
      worker.owned_since &&
      now >= *worker.owned_since + 2 * settings_.max_attach_backoff;
  if (lasted) {
    worker.attach_backoff = Duration::zero();
    worker.owned_since.reset();
  }
  worker.attach_backoff =
      std::clamp(2 * worker.attach_backoff, settings_.min_attach_backoff,
                 settings_.max_attach_backoff);
  worker.next_attach = now + worker.attach_backoff;
}

void FleetState::StepOwned(WorkerIndex index, Time now, FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  const Duration silence = now - worker.confirmed_at;
  if (!worker.listed && silence >= settings_.removal_silence) {
    Lose(index, WorkerLossReason::kRemoved, out);
    return;
  }
  const bool silent = silence >= settings_.silence_limit;
  if (silent != worker.silent) {
    worker.silent = silent;
    Reindex(index);
  }
  const bool unanswered = worker.heartbeat_sent &&
                          now < *worker.heartbeat_sent + settings_.call_timeout;
  if (now >= worker.next_heartbeat && !unanswered) {
    SendHeartbeat(worker, now, out);
  }
  SendResolves(worker, now, out);
}

void FleetState::SendHeartbeat(WorkerRecord& worker, Time now,
                               FleetActions& out) {
  worker.heartbeat_sent = now;
  worker.next_heartbeat = now + settings_.heartbeat_interval;
  WorkerHeartbeatCall call;
  call.header = HeaderFor(worker, now);
  call.renewals = std::exchange(worker.renewals, {});
  call.acknowledged = std::exchange(worker.acknowledged, {});
  out.emplace_back(SendWorkerHeartbeat{worker.host.id, worker.host.address,
                                       std::move(call)});
}

void FleetState::SendResolves(WorkerRecord& worker, Time now,
                              FleetActions& out) {
  for (auto& [id, held] : worker.ledger.exchanges()) {
    if (!held.unknown || now < held.next_resolve) continue;
    held.next_resolve = now + settings_.resolve_interval;
    out.emplace_back(
        SendResolve{worker.host.id, worker.host.address,
                    CancelRequestCall{HeaderFor(worker, now), id}});
  }
}

void FleetState::LapseReservations(Time now) {
  while (!reservations_.empty() && reservations_.front().lapses_at <= now) {
    const Reservation lapsed = std::move(reservations_.front());
    reservations_.pop_front();
    const auto found = attempts_.find(lapsed.attempt);
    if (found == attempts_.end()) continue;
    const WorkerIndex index = found->second;
    const HeldAttempt* held =
        workers_[index].ledger.FindAttempt(lapsed.attempt);
    // The attempt may have been reserved again since.
    if (held != nullptr && held->phase == AttemptPhase::kReserved &&
        held->lapses_at <= now) {
      Forget(index, lapsed.attempt);
    }
  }
}

void FleetState::ClearLedger(WorkerIndex index) {
  WorkerRecord& worker = workers_[index];
  for (const auto& [id, held] : worker.ledger.attempts()) attempts_.erase(id);
  worker.ledger.Reset({}, 0, 0);
  worker.renewals.clear();
  worker.acknowledged.clear();
  Reindex(index);
}

void FleetState::Lose(WorkerIndex index, WorkerLossReason reason,
                      FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  if (!worker.owned) return;
  worker.owned = false;
  worker.reading.reset();
  worker.heartbeat_sent.reset();
  ClearLedger(index);
  out.emplace_back(WorkerLost{worker.host.id, worker.incarnation, reason});
}

FleetActions FleetState::OnReleaseAsked(const RackId& rack,
                                        const EntryHostId& by) {
  FleetActions out;
  const auto found = racks_.find(rack);
  if (found == racks_.end() || found->second.preferred != by) return out;
  for (const WorkerIndex index : found->second.workers) {
    Lose(index, WorkerLossReason::kReleased, out);
    workers_[index].wanted = false;
  }
  found->second.unowned_since.reset();
  return out;
}

FleetActions FleetState::ReleaseAll() {
  FleetActions out;
  stopping_ = true;
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    Lose(index, WorkerLossReason::kReleased, out);
    workers_[index].wanted = false;
  }
  return out;
}

void FleetState::OnRackReleased(const RackId& rack, const EntryHostId& by,
                                Time now) {
  const auto found = racks_.find(rack);
  if (found == racks_.end()) return;
  for (const WorkerIndex index : found->second.workers) {
    WorkerRecord& worker = workers_[index];
    if (!worker.held_by_other || worker.other_owner != by) continue;
    worker.held_by_other = false;
    worker.released_epoch = worker.highest_epoch;
    worker.next_attach = now;
  }
}

CommandHeader FleetState::HeaderFor(const WorkerRecord& worker,
                                    Time now) const {
  const Duration since_reading = now - worker.reading->received;
  return {settings_.self, worker.epoch, worker.incarnation,
          worker.reading->clock + since_reading + settings_.command_validity};
}

Placement FleetState::PlacementOn(const WorkerRecord& worker, Time now) const {
  return {worker.host.id, worker.host.address, worker.host.rack,
          HeaderFor(worker, now)};
}

std::vector<RackId> FleetState::OwnedRacks() const {
  std::vector<RackId> owned;
  for (const auto& [id, rack] : racks_) {
    const bool any = std::any_of(
        rack.workers.begin(), rack.workers.end(),
        [this](WorkerIndex index) { return workers_[index].owned; });
    if (any) owned.push_back(id);
  }
  return owned;
}

}  // namespace gypsumfall
