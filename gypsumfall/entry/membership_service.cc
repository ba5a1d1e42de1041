#include "gypsumfall/entry/internal/membership_service.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/contract_service.h"
#include "gypsumfall/entry/internal/ownership_service.h"
#include "gypsumfall/entry/internal/request_service.h"
#include "gypsumfall/entry/internal/worker_service.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(200);
constexpr Duration kHeartbeatTimeout = seconds(1);
// A call and its answer carry the same state, so a peer that called within this
// time need not be called: each pair of hosts exchanges one heartbeat a second
// instead of two.
constexpr Duration kRecentCallInterval = milliseconds(900);

MembershipSettings SettingsFrom(const EntrySettings& settings) {
  MembershipSettings result;
  result.self = settings.host.id;
  result.data_centre = settings.host.data_centre;
  return result;
}

}  // namespace

MembershipService::MembershipService(const EntryContext& context)
    : context_(context),
      log_("membership"),
      membership_(SettingsFrom(context.settings)) {}

Result<void> MembershipService::Start() {
  for (const PeerSettings& peer : context_.settings.peers) {
    membership_.AddPeer({peer.id, peer.data_centre, peer.address.ToString()},
                        context_.Now());
  }
  context_.runtime.RunEvery(kTick, [this] { Tick(); });
  return {};
}

void MembershipService::Tick() {
  const Time now = context_.Now();
  membership_.Tick(now);
  const std::vector<HeartbeatTarget> targets =
      membership_.HeartbeatTargets(now);
  if (!targets.empty()) {
    ++heartbeat_number_;
    auto* requests = context_.kernel.Find<RequestService>(kRequestService);
    const LoanDemands demands = requests->admission().BuildLoanDemands(now);
    for (const HeartbeatTarget& target : targets) {
      if (!CalledRecently(target.id, now) ||
          HasRequestsFor(target.id, demands)) {
        Send(target, demands);
      }
    }
  }
  NotifyIfChanged();
}

bool MembershipService::CalledRecently(const EntryHostId& peer,
                                       Time now) const {
  const auto called = last_called_at_.find(peer);
  return called != last_called_at_.end() &&
         now < called->second + kRecentCallInterval;
}

bool MembershipService::HasRequestsFor(const EntryHostId& peer,
                                       const LoanDemands& demands) const {
  return !demands.demands.empty() || pending_releases_.contains(peer);
}

void MembershipService::Send(const HeartbeatTarget& target,
                             const LoanDemands& demands) {
  HeartbeatMessage message = OwnMessage();
  message.demands = demands;
  if (const auto found = pending_releases_.find(target.id);
      found != pending_releases_.end()) {
    message.release = std::move(found->second);
    pending_releases_.erase(found);
  }
  const std::vector<RackId> asked_racks = message.release;
  HttpCall call{.path = "/peer/v1/heartbeat",
                .bearer = context_.settings.keys.peer_key.Reveal(),
                .body = Encode(message)};
  const Time sent_at = context_.Now();
  context_.clients.Call(
      target.address, std::move(call), kHeartbeatTimeout,
      [this, id = target.id, sent_at, asked_racks](const CallOutcome& outcome) {
        OnCallOutcome(id, outcome);
        if (outcome.failure || outcome.status != 200) return;
        const Result<HeartbeatMessage> reply =
            Decode<HeartbeatMessage>(outcome.body);
        if (!reply) {
          log_.Warning("malformed heartbeat answer", {{"peer", id}});
          return;
        }
        ApplyHeartbeat(*reply);
        ApplyReleases(id, asked_racks, reply->heartbeat.sender.owned_racks);
        context_.kernel.Find<RequestService>(kRequestService)
            ->admission()
            .OnLoanGrants(id, reply->grants, sent_at, context_.Now());
        NotifyIfChanged();
      });
}

void MembershipService::ApplyReleases(const EntryHostId& peer,
                                      const std::vector<RackId>& asked,
                                      const std::vector<RackId>& still_owned) {
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  for (const RackId& rack : asked) {
    const bool kept = std::find(still_owned.begin(), still_owned.end(), rack) !=
                      still_owned.end();
    if (!kept) workers->fleet().OnRackReleased(rack, peer, context_.Now());
  }
}

HeartbeatMessage MembershipService::OwnMessage() const {
  auto* ownership = context_.kernel.Find<OwnershipService>(kOwnershipService);
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  HeartbeatMessage message;
  HostSummary& sender = message.heartbeat.sender;
  sender.peer = {context_.self(), context_.settings.host.data_centre,
                 context_.settings.host.listen.ToString()};
  sender.incarnation = ownership->incarnation();
  sender.heartbeat_number = heartbeat_number_;
  sender.leaving = leaving_;
  sender.spare_slots = workers->fleet().SpareSlots();
  sender.contract_revision = contracts->revision();
  sender.owned_racks = workers->fleet().OwnedRacks();
  message.heartbeat.relayed = membership_.SummariesToRelay();
  message.partitions = ownership->OwnedPartitions();
  return message;
}

void MembershipService::ApplyHeartbeat(const HeartbeatMessage& message) {
  const Time now = context_.Now();
  membership_.OnHeartbeat(message.heartbeat, now);
  const HostSummary& sender = message.heartbeat.sender;
  ContractRevision newest = sender.contract_revision;
  for (const HostSummary& relayed : message.heartbeat.relayed) {
    newest = std::max(newest, relayed.contract_revision);
  }
  context_.kernel.Find<ContractService>(kContractService)
      ->OnPeerRevision(newest);
  auto* ownership = context_.kernel.Find<OwnershipService>(kOwnershipService);
  for (const OwnedPartition& partition : message.partitions) {
    ownership->OnPeerPartition(partition, sender.peer.id, sender.incarnation);
  }
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  for (const RackId& rack : message.release) {
    workers->OnRackReleaseRequested(rack, sender.peer.id);
  }
}

HeartbeatMessage MembershipService::OnHeartbeat(
    const HeartbeatMessage& message) {
  last_called_at_[message.heartbeat.sender.peer.id] = context_.Now();
  ApplyHeartbeat(message);
  NotifyIfChanged();
  HeartbeatMessage reply = OwnMessage();
  reply.grants = context_.kernel.Find<RequestService>(kRequestService)
                     ->admission()
                     .Grant(message.heartbeat.sender.peer.id, message.demands,
                            context_.Now());
  return reply;
}

void MembershipService::Leave() {
  leaving_ = true;
  membership_.Leave();
  // Sent at once, because peers would otherwise send new work here until the
  // next regular heartbeat.
  const LoanDemands no_wants;
  ++heartbeat_number_;
  for (const PeerSettings& peer : context_.settings.peers) {
    Send({peer.id, peer.address.ToString()}, no_wants);
  }
  NotifyIfChanged();
}

void MembershipService::RequestRackRelease(const EntryHostId& owner,
                                           const RackId& rack) {
  std::vector<RackId>& racks = pending_releases_[owner];
  if (std::find(racks.begin(), racks.end(), rack) == racks.end()) {
    racks.push_back(rack);
  }
}

void MembershipService::OnCallOutcome(const EntryHostId& peer,
                                      const CallOutcome& outcome) {
  if (!outcome.failure) return;
  if (*outcome.failure == CallFailure::kRefused) {
    membership_.OnCallRefused(peer, context_.Now());
  } else if (*outcome.failure == CallFailure::kTimedOut) {
    membership_.OnCallTimedOut(peer, context_.Now());
  }
  NotifyIfChanged();
}

std::string MembershipService::AddressOf(const EntryHostId& peer) const {
  const HostView* view = membership_.Host(peer);
  return view == nullptr ? std::string() : view->summary.peer.address;
}

void MembershipService::NotifyIfChanged() {
  if (membership_.version() == notified_version_) return;
  notified_version_ = membership_.version();
  if (on_change) on_change();
}

std::string MembershipService::Dump() const {
  std::string text;
  for (const PeerSettings& peer : context_.settings.peers) {
    const HostView* view = membership_.Host(peer.id);
    if (view == nullptr) continue;
    text += "peer " + peer.id.str() + " in " + peer.data_centre.str() + ": " +
            std::string(HostStateName(view->state)) + ", incarnation " +
            std::to_string(view->summary.incarnation.value()) +
            ", contract revision " +
            std::to_string(view->summary.contract_revision.value()) +
            ", spare slots " + std::to_string(view->summary.spare_slots) + "\n";
  }
  return text;
}

}  // namespace gypsumfall
