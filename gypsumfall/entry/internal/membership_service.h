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

/// Exchanges heartbeats with peers and keeps the view of who is alive.
class MembershipService : public Service {
 public:
  explicit MembershipService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

  /// Answers a peer's heartbeat.
  HeartbeatMessage OnHeartbeat(const HeartbeatMessage& message);
  /// Announces in heartbeats that this host is leaving.
  void Leave();
  /// Asks a peer, with the next heartbeat, to release a rack.
  void AskRelease(const EntryHostId& owner, const RackId& rack);
  /// Reports the outcome of another call to a peer.
  void OnCallOutcome(const EntryHostId& peer, const CallOutcome& outcome);

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  /// @return the peer's "ip:port", or an empty text.
  std::string AddressOf(const EntryHostId& peer) const;
  bool leaving() const { return leaving_; }

  /// Called after each change of the view.
  std::function<void()> on_change;

 private:
  void Tick();
  void Send(const HeartbeatTarget& target, const LoanReport& wants);
  HeartbeatMessage OwnMessage() const;
  bool HeardByCall(const EntryHostId& peer, Time now) const;
  /// @return whether there is something to ask that only a call can carry.
  bool MustAsk(const EntryHostId& peer, const LoanReport& wants) const;
  /// Takes over the racks that the peer was asked for and released.
  void TakeReleases(const EntryHostId& peer, const std::vector<RackId>& asked,
                    const std::vector<RackId>& still_owned);
  void Take(const HeartbeatMessage& message);
  void NotifyIfChanged();

  EntryContext context_;
  Logger log_;
  Membership membership_;
  bool leaving_ = false;
  std::uint64_t beat_ = 0;
  std::uint64_t seen_version_ = 0;
  std::map<EntryHostId, std::vector<RackId>> release_;
  /// When each peer last called this host with a heartbeat.
  std::map<EntryHostId, Time> called_at_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_MEMBERSHIP_SERVICE_H_
