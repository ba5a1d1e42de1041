#ifndef GYPSUMFALL_MEMBERSHIP_MEMBERSHIP_H_
#define GYPSUMFALL_MEMBERSHIP_MEMBERSHIP_H_

/// @file
/// Failure detector: derives the state of each entry host and each worker from
/// refused and timed-out calls, heartbeats, leaving notices, the host list and
/// expired host leases, which arrive with different delays.
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
  /// May have failed; gets no new work.
  kSuspect,
  /// Responds but is shutting down; gets no new work.
  kLeaving,
  /// Considered failed; other hosts may take over what it owns.
  kGone,
};

/// @return "alive", "suspect", "leaving" or "gone".
std::string_view HostStateName(HostState state);

struct MembershipSettings {
  EntryHostId self;
  DataCentreId data_centre;
  Duration heartbeat_interval = seconds(1);
  /// Time without a heartbeat after which an entry host is suspect, or gone if
  /// it also refused a connection.
  Duration suspect_after = seconds(2);
  /// Time without a heartbeat after which an entry host of this data centre is
  /// gone.
  Duration gone_after = seconds(4);
  /// Added to `suspect_after` and `gone_after` for hosts of other data centres.
  /// Their heartbeats arrive through relays, which delay them by up to one
  /// heartbeat interval on each side.
  Duration relay_allowance = seconds(3);
  /// Number of peers per other data centre that get heartbeats directly.
  int peers_per_remote_data_centre = 2;
  /// Interval of heartbeats to hosts that are gone.
  Duration probe_interval = seconds(5);
  /// Time a host must stay alive after its first flap to be a preferred owner
  /// again; doubles with each flap up to `max_flap_damping`.
  Duration flap_damping = seconds(10);
  Duration max_flap_damping = seconds(160);
  /// How long an answer of a worker that is not leaving permits new work,
  /// measured from the time its call was sent. Together with the validity of a
  /// command (1 s) this meets the 3 s bound of invariant I7 when leaving
  /// notices are lost.
  Duration worker_answer_validity = seconds(2);
  Duration worker_gone_after = seconds(4);
};

struct HostView {
  HostSummary summary;
  HostState state = HostState::kSuspect;
  /// When its newest heartbeat arrived, directly or through a relay.
  std::optional<Time> last_heartbeat_at;
  /// Earliest time at which the host may be a preferred owner.
  Time preferred_from;
  /// Whether the newest heartbeat came directly and not through a relay.
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
  void AddPeer(const PeerDescriptor& peer, Time now);
  /// Applies a heartbeat or the answer to one.
  void OnHeartbeat(const PeerHeartbeat& heartbeat, Time now);
  /// Records that a peer refused a connection.
  void OnCallRefused(const EntryHostId& host, Time now);
  /// Records that a call to a peer timed out.
  void OnCallTimedOut(const EntryHostId& host, Time now);
  /// Records that the lease of the incarnation has expired or was released.
  void OnHostLeaseExpired(const EntryHostId& host, Incarnation incarnation,
                          Time now);

  /// Applies the platform's host list. Because the list lags, it can mark
  /// workers as leaving or gone but never overrides a worker's own leaving
  /// notice.
  void OnHostList(std::span<const ListedHost> hosts, Time now);
  /// Records that a worker answered a call.
  /// @param sent_at when the call was sent.
  void OnWorkerAnswered(const WorkerId& worker, Incarnation incarnation,
                        bool leaving, Time sent_at, Time now);
  void OnWorkerRefused(const WorkerId& worker, Time now);
  void OnWorkerTimedOut(const WorkerId& worker, Time now);

  /// Reevaluates all states at the given time.
  void Tick(Time now);

  /// Marks this host as leaving, which excludes it from the preferred owners.
  void Leave();

  /// @return the last known view of the host, or nullptr if it is unknown.
  const HostView* Host(const EntryHostId& host) const;
  const WorkerView* Worker(const WorkerId& worker) const;
  /// @return whether new work may be sent to the worker.
  bool MaySendTo(const WorkerId& worker, Time now) const;
  /// @return whether other hosts may take over what the host owns.
  bool IsReplaceable(const EntryHostId& host) const;

  /// @return hosts that may be preferred owners, sorted by id; includes this
  ///     host unless it is leaving.
  std::vector<LiveHost> PreferredHosts(Time now) const;
  /// @return the ids of `PreferredHosts`.
  std::vector<EntryHostId> PreferredOwners(Time now) const;
  /// @return alive peers with spare slots, those of this data centre first,
  ///     then by descending number of spare slots.
  std::vector<EntryHostId> ForwardTargets() const;
  /// Selects among all peers of this data centre and a few of each other one.
  /// @return the peers that are due for a heartbeat; gone peers are probed less
  ///     often.
  std::vector<HeartbeatTarget> HeartbeatTargets(Time now);
  /// @return peers that are suspect or gone without a known shutdown.
  std::vector<EntryHostId> UnreachablePeers() const;
  /// @return summaries to relay to other data centres: hosts of this data
  ///     centre that respond directly.
  std::vector<HostSummary> SummariesToRelay() const;

  /// @return a counter that is incremented by each change of a state, of the
  ///     set of preferred hosts or of the owned racks.
  std::uint64_t version() const { return version_; }

 private:
  struct Peer {
    HostView view;
    bool refused = false;
    bool timed_out = false;
    /// Newest incarnation whose lease is known to have expired.
    std::optional<Incarnation> expired_incarnation;
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

  void ApplySummary(const HostSummary& summary, bool direct, Time now);
  void UpdatePeer(Peer& peer, Time now);
  void UpdateWorker(WorkerEntry& worker, Time now);
  HostState StateOfPeer(const Peer& peer, Time now) const;
  HostState StateOfWorker(const WorkerEntry& worker, Time now) const;
  void RecordFlap(Peer& peer, Time now);
  std::vector<EntryHostId> HeartbeatPeers() const;

  MembershipSettings settings_;
  bool leaving_ = false;
  std::uint64_t version_ = 1;
  std::map<EntryHostId, Peer> peers_;
  std::map<WorkerId, WorkerEntry> workers_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_MEMBERSHIP_MEMBERSHIP_H_
