#include "gypsumfall/membership/membership.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {

std::string_view HostStateName(HostState state) {
  switch (state) {
    case HostState::kAlive:
      return "alive";
    case HostState::kSuspect:
      return "suspect";
    case HostState::kLeaving:
      return "leaving";
    case HostState::kGone:
      return "gone";
  }
  return "gone";
}

Membership::Membership(MembershipSettings settings)
    : settings_(std::move(settings)) {}

void Membership::AddPeer(const PeerDescriptor& peer, Time now) {
  if (peer.id == settings_.self) return;
  const auto [entry, added] = peers_.try_emplace(peer.id);
  entry->second.view.summary.peer = peer;
  if (!added) return;
  entry->second.view.preferred_from = now;
  entry->second.known_since = now;
  ++version_;
}

void Membership::OnHeartbeat(const PeerHeartbeat& heartbeat, Time now) {
  ApplySummary(heartbeat.sender, true, now);
  for (const HostSummary& relayed : heartbeat.relayed) {
    if (relayed.peer.id != heartbeat.sender.peer.id) {
      ApplySummary(relayed, false, now);
    }
  }
}

// Only a summary newer than the known one proves that the host is still
// running; repeated copies through relays do not.
void Membership::ApplySummary(const HostSummary& summary, bool direct,
                              Time now) {
  if (summary.peer.id.empty() || summary.peer.id == settings_.self) return;
  AddPeer(summary.peer, now);
  Peer& peer = peers_.at(summary.peer.id);
  HostSummary& known = peer.view.summary;
  const bool newer = !peer.view.last_heartbeat_at ||
                     std::pair(summary.incarnation, summary.heartbeat_number) >
                         std::pair(known.incarnation, known.heartbeat_number);
  if (!newer) return;
  if (summary.owned_racks != known.owned_racks) ++version_;
  known = summary;
  peer.view.last_heartbeat_at = now;
  peer.view.direct = direct;
  // A relayed heartbeat does not show that this host can reach the peer.
  if (direct) {
    peer.refused = false;
    peer.timed_out = false;
  }
  UpdatePeer(peer, now);
}

void Membership::OnCallRefused(const EntryHostId& host, Time now) {
  const auto peer = peers_.find(host);
  if (peer == peers_.end()) return;
  peer->second.refused = true;
  UpdatePeer(peer->second, now);
}

void Membership::OnCallTimedOut(const EntryHostId& host, Time now) {
  const auto peer = peers_.find(host);
  if (peer == peers_.end()) return;
  peer->second.timed_out = true;
  UpdatePeer(peer->second, now);
}

void Membership::OnHostLeaseExpired(const EntryHostId& host,
                                    Incarnation incarnation, Time now) {
  const auto peer = peers_.find(host);
  if (peer == peers_.end()) return;
  peer->second.expired_incarnation = incarnation;
  UpdatePeer(peer->second, now);
}

HostState Membership::StateOfPeer(const Peer& peer, Time now) const {
  const HostSummary& summary = peer.view.summary;
  const bool remote = summary.peer.data_centre != settings_.data_centre;
  const Duration allowance =
      remote ? settings_.relay_allowance : Duration::zero();
  const Time since = peer.view.last_heartbeat_at.value_or(peer.known_since);
  const Duration elapsed = now - since;
  if (elapsed >= settings_.gone_after + allowance) return HostState::kGone;
  const bool overdue = elapsed >= settings_.suspect_after + allowance;
  if (overdue && peer.refused) return HostState::kGone;
  if (!peer.view.last_heartbeat_at) return HostState::kSuspect;
  if (summary.leaving) return HostState::kLeaving;
  const bool lease_expired = peer.expired_incarnation &&
                             *peer.expired_incarnation >= summary.incarnation;
  if (overdue || lease_expired || peer.refused || peer.timed_out) {
    return HostState::kSuspect;
  }
  return HostState::kAlive;
}

void Membership::RecordFlap(Peer& peer, Time now) {
  // Resets the flap count of a host that was usable for longer than the longest
  // damping.
  const Duration usable = now - peer.view.preferred_from;
  if (usable > settings_.max_flap_damping) peer.flaps = 0;
  ++peer.flaps;
}

void Membership::UpdatePeer(Peer& peer, Time now) {
  const HostState before = peer.view.state;
  const HostState after = StateOfPeer(peer, now);
  if (before != after) {
    ++version_;
    peer.view.state = after;
    if (before == HostState::kAlive && after != HostState::kLeaving) {
      RecordFlap(peer, now);
    }
    if (after == HostState::kAlive) {
      Duration damping = Duration::zero();
      if (peer.flaps > 0) {
        const int doublings = std::min(peer.flaps - 1, 10);
        damping = std::min(settings_.flap_damping * (1 << doublings),
                           settings_.max_flap_damping);
      }
      peer.view.preferred_from = now + damping;
    }
  }
  const bool preferred =
      after == HostState::kAlive && now >= peer.view.preferred_from;
  if (preferred != peer.preferred) ++version_;
  peer.preferred = preferred;
}

void Membership::Tick(Time now) {
  for (auto& [id, peer] : peers_) UpdatePeer(peer, now);
  for (auto& [id, worker] : workers_) UpdateWorker(worker, now);
}

void Membership::Leave() {
  if (!leaving_) ++version_;
  leaving_ = true;
}

const HostView* Membership::Host(const EntryHostId& host) const {
  const auto peer = peers_.find(host);
  return peer == peers_.end() ? nullptr : &peer->second.view;
}

bool Membership::IsReplaceable(const EntryHostId& host) const {
  if (host == settings_.self) return leaving_;
  const HostView* view = Host(host);
  return view == nullptr || view->state == HostState::kGone ||
         view->state == HostState::kLeaving;
}

std::vector<LiveHost> Membership::PreferredHosts(Time now) const {
  std::vector<LiveHost> hosts;
  if (!leaving_) hosts.push_back({settings_.self, settings_.data_centre});
  for (const auto& [id, peer] : peers_) {
    const bool preferred =
        peer.view.state == HostState::kAlive && now >= peer.view.preferred_from;
    if (preferred) hosts.push_back({id, peer.view.summary.peer.data_centre});
  }
  std::sort(hosts.begin(), hosts.end(),
            [](const LiveHost& a, const LiveHost& b) { return a.id < b.id; });
  return hosts;
}

std::vector<EntryHostId> Membership::PreferredOwners(Time now) const {
  std::vector<EntryHostId> owners;
  for (LiveHost& host : PreferredHosts(now)) {
    owners.push_back(std::move(host.id));
  }
  return owners;
}

std::vector<EntryHostId> Membership::ForwardTargets() const {
  std::vector<const HostSummary*> candidates;
  for (const auto& [id, peer] : peers_) {
    const bool alive = peer.view.state == HostState::kAlive;
    if (alive && peer.view.summary.spare_slots > 0) {
      candidates.push_back(&peer.view.summary);
    }
  }
  const auto rank = [this](const HostSummary* host) {
    return std::pair(host->peer.data_centre != settings_.data_centre,
                     -host->spare_slots);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const HostSummary* a, const HostSummary* b) {
                     return rank(a) < rank(b);
                   });
  std::vector<EntryHostId> targets;
  targets.reserve(candidates.size());
  for (const HostSummary* host : candidates) targets.push_back(host->peer.id);
  return targets;
}

std::vector<EntryHostId> Membership::HeartbeatPeers() const {
  std::vector<EntryHostId> chosen;
  std::map<DataCentreId, std::vector<EntryHostId>> remote;
  std::map<DataCentreId, std::vector<EntryHostId>> remote_gone;
  for (const auto& [id, peer] : peers_) {
    const DataCentreId& peer_data_centre = peer.view.summary.peer.data_centre;
    if (peer_data_centre == settings_.data_centre) {
      chosen.push_back(id);
    } else if (peer.view.state == HostState::kGone) {
      remote_gone[peer_data_centre].push_back(id);
    } else {
      remote[peer_data_centre].push_back(id);
    }
  }
  const auto choose = [&](std::span<const EntryHostId> hosts) {
    const auto order = RendezvousOrder(settings_.self.str(), hosts);
    const auto count = std::min(
        std::ssize(order),
        static_cast<std::ptrdiff_t>(settings_.peers_per_remote_data_centre));
    chosen.insert(chosen.end(), order.begin(), order.begin() + count);
  };
  for (const auto& [peer_data_centre, hosts] : remote) choose(hosts);
  // Gone hosts are probed as well, to detect that a network partition healed.
  for (const auto& [peer_data_centre, hosts] : remote_gone) choose(hosts);
  return chosen;
}

std::vector<HeartbeatTarget> Membership::HeartbeatTargets(Time now) {
  std::vector<HeartbeatTarget> targets;
  for (const EntryHostId& id : HeartbeatPeers()) {
    Peer& peer = peers_.at(id);
    if (now < peer.next_heartbeat) continue;
    const bool gone = peer.view.state == HostState::kGone;
    peer.next_heartbeat =
        now + (gone ? settings_.probe_interval : settings_.heartbeat_interval);
    targets.push_back({id, peer.view.summary.peer.address});
  }
  return targets;
}

std::vector<EntryHostId> Membership::UnreachablePeers() const {
  std::vector<EntryHostId> unreachable;
  for (const auto& [id, peer] : peers_) {
    const HostSummary& summary = peer.view.summary;
    const bool stopped =
        summary.leaving || (peer.expired_incarnation &&
                            *peer.expired_incarnation >= summary.incarnation);
    const bool unresponsive = peer.view.state == HostState::kGone ||
                              peer.view.state == HostState::kSuspect;
    if (unresponsive && !stopped) unreachable.push_back(id);
  }
  return unreachable;
}

std::vector<HostSummary> Membership::SummariesToRelay() const {
  std::vector<HostSummary> relayed;
  for (const auto& [id, peer] : peers_) {
    const HostView& view = peer.view;
    const bool local = view.summary.peer.data_centre == settings_.data_centre;
    const bool directly_reachable =
        view.direct &&
        (view.state == HostState::kAlive || view.state == HostState::kLeaving);
    if (local && directly_reachable) relayed.push_back(view.summary);
  }
  return relayed;
}

}  // namespace gypsumfall
