#ifndef GYPSUMFALL_ENTRY_INTERNAL_MEMBERSHIP_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gypsumfall/admission/admission.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/membership/membership.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Exchanges heartbeats with peers and maintains the view of which entry hosts
/// are alive. Heartbeats also carry loans of admission rate, rack releases,
/// task partition owners and contract revisions.
class MembershipService : public Service {
 public:
  explicit MembershipService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

  /// Processes the heartbeat of a peer.
  /// @return the answer, which carries the state of this host.
  HeartbeatMessage OnHeartbeat(const HeartbeatMessage& message);
  /// Announces to all peers, at once and in later heartbeats, that this host is
  /// leaving.
  void Leave();
  /// Asks a peer, with the next heartbeat, to release a rack.
  void RequestRackRelease(const EntryHostId& owner, const RackId& rack);
  /// Updates the view from the outcome of any call to a peer: refused and
  /// timed-out calls count as failures.
  void OnCallOutcome(const EntryHostId& peer, const CallOutcome& outcome);

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  /// @return the peer's "ip:port", or an empty string if it is unknown.
  std::string AddressOf(const EntryHostId& peer) const;
  bool leaving() const { return leaving_; }

  /// Called after each change of the view.
  std::function<void()> on_change;

 private:
  void Tick();
  void Send(const HeartbeatTarget& target, const LoanDemands& demands);
  HeartbeatMessage OwnMessage() const;
  /// @return whether the peer called so recently that it need not be called.
  bool CalledRecently(const EntryHostId& peer, Time now) const;
  /// @return whether there is a loan or rack release to request, which only a
  ///     call carries, not the answer to one.
  bool HasRequestsFor(const EntryHostId& peer,
                      const LoanDemands& demands) const;
  /// Reports to the fleet the racks that the peer was asked for and no longer
  /// owns.
  void ApplyReleases(const EntryHostId& peer, const std::vector<RackId>& asked,
                     const std::vector<RackId>& still_owned);
  /// Applies the state that a peer sent in a heartbeat or in its answer.
  void ApplyHeartbeat(const HeartbeatMessage& message);
  void NotifyIfChanged();

  EntryContext context_;
  Logger log_;
  Membership membership_;
  bool leaving_ = false;
  std::uint64_t heartbeat_number_ = 0;
  std::uint64_t notified_version_ = 0;
  /// Racks to request from each peer with the next heartbeat.
  std::map<EntryHostId, std::vector<RackId>> pending_releases_;
  /// When each peer last called this host with a heartbeat.
  std::map<EntryHostId, Time> last_called_at_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_MEMBERSHIP_SERVICE_H_
