#ifndef GYPSUMFALL_MEMBERSHIP_MEMBERSHIP_H_
#define GYPSUMFALL_MEMBERSHIP_MEMBERSHIP_H_

/// @file
/// Derives the state of each entry host and each worker from signals of
/// different delay: refused and missed calls, heartbeats, notices of leaving,
/// the host list and lapsed rows.
///
/// Example:
/// @code
///   Membership membership(settings);
///   membership.AddPeer({id, data_centre, address}, now);
///   membership.OnHeartbeat(heartbeat, now);
///   membership.Tick(now);
///   for (const HeartbeatTarget& peer : membership.HeartbeatTargets(now)) ...
///   if (membership.version() != seen) Apply(membership.PreferredOwners(now));
/// @endcode

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/ownership/internal/rendezvous.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

enum class HostState {
  kAlive,
  /// No new work is sent.
  kSuspect,
  /// Answers, but stops soon; no new work is sent.
  kLeaving,
  /// What it owns may be taken over.
  kGone,
};

/// @return "alive", "suspect", "leaving" or "gone".
std::string_view HostStateName(HostState state);

struct MembershipSettings {
  EntryHostId self;
  DataCentreId data_centre;
  Duration heartbeat_interval = seconds(1);
  /// Silence of an entry host before it is suspect, and before it is gone if a
  /// connection was also refused.
  Duration suspect_after = seconds(2);
  /// Silence of an entry host of this data centre before it is gone.
  Duration gone_after = seconds(4);
  /// Hosts of other data centres are heard through relays, one beat later on
  /// each side, so their silence is allowed this much more.
  Duration relay_allowance = seconds(3);
  int peers_per_remote_data_centre = 2;
  /// Hosts that are gone are tried this often.
  Duration probe_interval = seconds(5);
  /// Time alive after a flap before a host is preferred owner again.
  Duration flap_damping = seconds(10);
  Duration max_flap_damping = seconds(160);
  /// A worker gets no new work later than this after the call whose answer
  /// last showed that it was not leaving; with the validity of a command (1 s)
  /// this keeps the 3 s of invariant I7 when notices are lost.
  Duration worker_silence = seconds(2);
  Duration worker_gone_after = seconds(4);
};

struct PeerInfo {
  EntryHostId id;
  DataCentreId data_centre;
  std::string address;
};

/// What a heartbeat says about its sender or about a host that the sender has
/// heard from directly.
struct HostSummary {
  PeerInfo peer;
  Incarnation incarnation;
  /// Counts heartbeats of the incarnation.
  std::uint64_t beat = 0;
  bool leaving = false;
  int spare_slots = 0;
  ContractRevision contract_revision;
  std::vector<RackId> owned_racks;
};

/// A heartbeat, or the answer to one, which carries the same.
struct PeerHeartbeat {
  HostSummary sender;
  /// Hosts of the sender's data centre that the sender hears directly.
  std::vector<HostSummary> relayed;
};

struct HostView {
  HostSummary summary;
  HostState state = HostState::kSuspect;
  /// When its newest beat was learnt.
  std::optional<Time> heard_at;
  /// From then on the host may be preferred owner.
  Time preferred_from;
  /// Heard from directly, not through a relay.
  bool direct = false;
};

struct WorkerView {
  HostState state = HostState::kSuspect;
  DataCentreId data_centre;
  /// No new work may be sent from this time on.
  Time stop_sending_at;
};

struct HeartbeatTarget {
  EntryHostId id;
  std::string address;
};

class Membership {
 public:
  explicit Membership(MembershipSettings settings);

  /// Adds a peer from the settings or from its host row; later calls update
  /// its address.
  void AddPeer(const PeerInfo& peer, Time now);
  /// Takes a heartbeat, or the answer to one.
  void OnHeartbeat(const PeerHeartbeat& heartbeat, Time now);
  /// A peer refused the connection.
  void OnCallRefused(const EntryHostId& host, Time now);
  /// A call to a peer was not answered in time.
  void OnCallTimedOut(const EntryHostId& host, Time now);
  /// The row of this incarnation has lapsed or ended.
  void OnHostLapsed(const EntryHostId& host, Incarnation incarnation, Time now);

  /// Takes the platform's lagging host list. It can mark workers as leaving
  /// or gone, but never as alive against a notice of the worker itself.
  void OnHostList(std::span<const ListedHost> hosts, Time now);
  /// A worker answered a call.
  /// @param sent_at when the call was sent.
  void OnWorkerAnswered(const WorkerId& worker, Incarnation incarnation,
                        bool leaving, Time sent_at, Time now);
  void OnWorkerRefused(const WorkerId& worker, Time now);
  void OnWorkerTimedOut(const WorkerId& worker, Time now);

  /// Applies the passage of time to all states.
  void Tick(Time now);

  /// Announces that this host is leaving: it is no longer preferred owner.
  void Leave();

  /// @return the host as it was last seen, or nullptr.
  const HostView* Host(const EntryHostId& host) const;
  const WorkerView* Worker(const WorkerId& worker) const;
  /// @return whether new work may be sent to the worker.
  bool MaySendTo(const WorkerId& worker, Time now) const;
  /// @return whether what the host owns may be taken over.
  bool IsReplaceable(const EntryHostId& host) const;

  /// @return hosts that may be preferred owner, with this one unless it is
  ///     leaving, sorted by id.
  std::vector<LiveHost> PreferredHosts(Time now) const;
  /// @return the ids of `PreferredHosts`.
  std::vector<EntryHostId> PreferredOwners(Time now) const;
  /// @return alive peers, most spare slots first, this data centre first.
  std::vector<EntryHostId> ForwardTargets() const;
  /// @return peers that are due for a heartbeat now: all of this data centre
  ///     and a few of each other one; gone peers less often.
  std::vector<HeartbeatTarget> HeartbeatTargets(Time now);
  /// @return peers that are neither heard nor known to have stopped.
  std::vector<EntryHostId> CutOffPeers() const;
  /// @return summaries to relay: alive hosts of this data centre.
  std::vector<HostSummary> Relayed() const;

  /// @return a number that grows with each change of a state, of the set of
  ///     preferred hosts or of owned racks.
  std::uint64_t version() const { return version_; }

 private:
  struct Peer {
    HostView view;
    bool refused = false;
    bool timed_out = false;
    /// Its row has lapsed for this incarnation.
    std::optional<Incarnation> lapsed;
    bool preferred = false;
    int flaps = 0;
    Time known_since;
    Time next_heartbeat;
  };
  struct WorkerEntry {
    WorkerView view;
    Incarnation incarnation;
    std::optional<Time> answered_at;
    /// Send time of the newest answered call.
    Time confirmed_at;
    bool leaving = false;
    bool refused = false;
    bool timed_out = false;
    bool listed_live = true;
    bool listed_leaving = false;
  };

  void TakeSummary(const HostSummary& summary, bool direct, Time now);
  void Update(Peer& peer, Time now);
  void UpdateWorker(WorkerEntry& worker, Time now);
  HostState StateOf(const Peer& peer, Time now) const;
  HostState StateOfWorker(const WorkerEntry& worker, Time now) const;
  void RecordFlap(Peer& peer, Time now);
  std::vector<EntryHostId> HeartbeatSet() const;

  MembershipSettings settings_;
  bool leaving_ = false;
  std::uint64_t version_ = 1;
  std::map<EntryHostId, Peer> peers_;
  std::map<WorkerId, WorkerEntry> workers_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_MEMBERSHIP_MEMBERSHIP_H_
