#include "gypsumfall/fleet/internal/fleet_state.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gypsumfall/ownership/internal/rendezvous.h"

namespace gypsumfall {
namespace {

constexpr Duration kOwnershipRefreshInterval = seconds(1);

}  // namespace

FleetState::FleetState(FleetSettings settings)
    : settings_(std::move(settings)), random_state_(settings_.seed) {}

FleetActions FleetState::OnHostList(std::span<const ListedHost> hosts,
                                    Time now) {
  for (WorkerRecord& worker : workers_) worker.listed = false;
  for (const ListedHost& host : hosts) {
    const auto index = static_cast<WorkerIndex>(workers_.size());
    const auto [it, added] = index_by_id_.try_emplace(host.id, index);
    if (added) workers_.emplace_back();
    WorkerRecord& worker = workers_[it->second];
    const bool moved = added || worker.host.rack != host.rack;
    if (moved && !added) {
      std::erase(racks_[worker.host.rack].workers, it->second);
    }
    worker.host = host;
    worker.listed = true;
    if (moved) AddToRack(it->second);
    UpdateIndexes(it->second);
  }
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    if (!workers_[index].listed) UpdateIndexes(index);
  }
  UpdateHostTypes();
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
  peer_racks_.clear();
  for (const PresentHost& host : hosts_.present) {
    peer_racks_.insert(host.racks.begin(), host.racks.end());
  }
  ChooseOwners(now);
}

// The preferred host should own the rack; the fallback owner should if the rack
// has had no owner for `unowned_timeout`, because the preferred host may not be
// able to reach the workers.
bool FleetState::ShouldOwn(const RackId& id, RackRecord& rack, Time now) const {
  if (rack.preferred == settings_.self) return true;
  if (peer_racks_.contains(id)) {
    rack.unowned_since.reset();
    return false;
  }
  if (!rack.unowned_since) rack.unowned_since = now;
  return now >= *rack.unowned_since + settings_.unowned_timeout &&
         rack.fallback == settings_.self;
}

// Hashes all hosts for each rack, so it runs only when hosts or racks change.
void FleetState::ChooseOwners(Time now) {
  for (auto& [id, rack] : racks_) {
    std::vector<LiveHost> hosts = hosts_.preferred;
    rack.preferred =
        ChooseWorkerOwner(id, rack.data_centre, hosts).value_or(EntryHostId());
    std::erase_if(hosts, [&rack = rack](const LiveHost& host) {
      return host.id == rack.preferred;
    });
    rack.fallback =
        ChooseWorkerOwner(id, rack.data_centre, hosts).value_or(EntryHostId());
  }
  RefreshShouldOwn(now);
}

void FleetState::RefreshShouldOwn(Time now) {
  next_ownership_refresh_ = now + kOwnershipRefreshInterval;
  for (auto& [id, rack] : racks_) {
    const bool should_own = !stopping_ && ShouldOwn(id, rack, now);
    for (const WorkerIndex index : rack.workers) {
      WorkerRecord& worker = workers_[index];
      worker.should_own = should_own && worker.listed;
    }
  }
}

FleetActions FleetState::Tick(Time now) {
  FleetActions out;
  if (now >= next_ownership_refresh_) RefreshShouldOwn(now);
  ExpireReservations(now);
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    const WorkerRecord& worker = workers_[index];
    if (worker.owned) {
      MaintainOwned(index, now, out);
    } else if (worker.should_own) {
      TryAttach(index, now, out);
    }
  }
  return out;
}

// An owner keeps a worker as long as it is present and reports the rack. A new
// owner is assumed to hold it for `owner_report_delay`, because its report
// arrives one heartbeat later.
bool FleetState::OwnerStillHolds(const WorkerRecord& worker, Time now) const {
  if (!worker.held_by_other) return false;
  const auto owner = std::find_if(
      hosts_.present.begin(), hosts_.present.end(),
      [&](const PresentHost& host) { return host.id == worker.other_owner; });
  if (owner == hosts_.present.end()) return false;
  if (now < worker.other_owner_since + settings_.owner_report_delay)
    return true;
  return std::find(owner->racks.begin(), owner->racks.end(),
                   worker.host.rack) != owner->racks.end();
}

// Returns whether another host still holds the worker, and then asks it to
// release the rack. An owner that is not present, or has released the rack, is
// replaced immediately. Meanwhile the worker is still queried periodically:
// after lost replies, two hosts may each consider the other one the owner.
bool FleetState::DeferToOwner(WorkerRecord& worker, Time now,
                              FleetActions& out) {
  if (!worker.held_by_other) return false;
  if (!OwnerStillHolds(worker, now)) {
    worker.held_by_other = false;
    worker.attach_backoff = Duration::zero();
    worker.next_attach = now;
    return false;
  }
  RackRecord& rack = racks_[worker.host.rack];
  if (now >= rack.next_release_request) {
    rack.next_release_request = now + settings_.heartbeat_interval;
    out.emplace_back(RequestRackRelease{worker.other_owner, worker.host.rack});
  }
  return true;
}

// An attach with epoch 0 queries the highest epoch, as no worker accepts it. A
// new process queries first: an earlier process of this host may have used a
// guessed epoch, and the worker would then also accept its delayed commands.
void FleetState::TryAttach(WorkerIndex index, Time now, FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  const bool waits = DeferToOwner(worker, now, out);
  if (now < worker.next_attach) return;
  const bool query = waits || !worker.highest_epoch_known;
  const Epoch epoch = query ? Epoch() : worker.highest_epoch.Next();
  BackOff(worker, now);
  worker.pending_attach_epoch = epoch;
  worker.highest_epoch = std::max(worker.highest_epoch, epoch);
  out.emplace_back(SendAttach{worker.host.id, worker.host.address,
                              AttachCall{settings_.self, epoch}});
}

// Hosts with different views of membership may take a worker from each other
// repeatedly. The delay between attaches doubles until a host has kept the
// worker for twice the longest back-off.
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

void FleetState::MaintainOwned(WorkerIndex index, Time now, FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  const Duration silence = now - worker.confirmed_at;
  if (!worker.listed && silence >= settings_.removal_timeout) {
    LoseOwnership(index, OwnershipLossReason::kRemoved, out);
    return;
  }
  const bool unresponsive = silence >= settings_.unresponsive_after;
  if (unresponsive != worker.unresponsive) {
    worker.unresponsive = unresponsive;
    UpdateIndexes(index);
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
  for (auto& [id, entry] : worker.ledger.exchanges()) {
    if (!entry.outcome_unknown || now < entry.next_resolve) continue;
    entry.next_resolve = now + settings_.resolve_interval;
    out.emplace_back(
        SendResolve{worker.host.id, worker.host.address,
                    CancelRequestCall{HeaderFor(worker, now), id}});
  }
}

void FleetState::ExpireReservations(Time now) {
  while (!reservations_.empty() && reservations_.front().expires_at <= now) {
    const Reservation expired = std::move(reservations_.front());
    reservations_.pop_front();
    const auto found = worker_by_attempt_.find(expired.attempt);
    if (found == worker_by_attempt_.end()) continue;
    const WorkerIndex index = found->second;
    const AttemptEntry* entry =
        workers_[index].ledger.FindAttempt(expired.attempt);
    // The attempt may have been reserved again in the meantime.
    if (entry != nullptr && entry->phase == AttemptPhase::kReserved &&
        entry->expires_at <= now) {
      EraseAttempt(index, expired.attempt);
    }
  }
}

void FleetState::ClearLedger(WorkerIndex index) {
  WorkerRecord& worker = workers_[index];
  for (const auto& [id, entry] : worker.ledger.attempts())
    worker_by_attempt_.erase(id);
  worker.ledger.Reset({}, 0, 0);
  worker.renewals.clear();
  worker.acknowledged.clear();
  UpdateIndexes(index);
}

void FleetState::LoseOwnership(WorkerIndex index, OwnershipLossReason reason,
                               FleetActions& out) {
  WorkerRecord& worker = workers_[index];
  if (!worker.owned) return;
  worker.owned = false;
  worker.clock_reading.reset();
  worker.heartbeat_sent.reset();
  ClearLedger(index);
  out.emplace_back(
      WorkerOwnershipLost{worker.host.id, worker.incarnation, reason});
}

FleetActions FleetState::OnRackReleaseRequested(const RackId& rack,
                                                const EntryHostId& by) {
  FleetActions out;
  const auto found = racks_.find(rack);
  if (found == racks_.end() || found->second.preferred != by) return out;
  for (const WorkerIndex index : found->second.workers) {
    LoseOwnership(index, OwnershipLossReason::kReleased, out);
    workers_[index].should_own = false;
  }
  found->second.unowned_since.reset();
  return out;
}

FleetActions FleetState::ReleaseAll() {
  FleetActions out;
  stopping_ = true;
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    LoseOwnership(index, OwnershipLossReason::kReleased, out);
    workers_[index].should_own = false;
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
  const Duration since_reading = now - worker.clock_reading->received;
  return {
      settings_.self, worker.epoch, worker.incarnation,
      worker.clock_reading->clock + since_reading + settings_.command_validity};
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
