#ifndef GYPSUMFALL_FLEET_INTERNAL_FLEET_TYPES_H_
#define GYPSUMFALL_FLEET_INTERNAL_FLEET_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/ownership/internal/rendezvous.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Configuration of the fleet.
struct FleetSettings {
  EntryHostId self;
  /// Slots of each worker that are reserved for requests.
  int urgent_slots = 4;
  Duration heartbeat_interval = seconds(1);
  Duration call_timeout = seconds(1);
  /// How long a worker accepts a command after its creation.
  Duration command_validity = seconds(1);
  /// A worker gets no new work later than this after the last answered call
  /// that showed it as not leaving. Together with `command_validity` this makes
  /// up the 3 s of I7.
  Duration unresponsive_after = seconds(2);
  /// A reservation expires after this time if its attempt is not started.
  Duration reservation_timeout = seconds(5);
  Duration min_attach_backoff = seconds(1);
  Duration max_attach_backoff = seconds(16);
  /// A refused attach may reveal a new owner before the owner has reported its
  /// racks to its peers. Only after this delay is a present owner that does not
  /// list the rack treated as not owning it.
  Duration owner_report_delay = seconds(3);
  /// The fallback owner attaches a rack that has had no owner for this long,
  /// because the preferred owner may not be able to reach its workers.
  Duration unowned_timeout = seconds(10);
  /// Number of different kinds, or kinds of different customers, whose work
  /// must fail without a success in between before a worker counts as
  /// unhealthy.
  int unhealthy_after = 3;
  Duration min_probe_interval = seconds(5);
  Duration max_probe_interval = std::chrono::minutes(5);
  /// An unlisted worker is given up after it has not answered for this long.
  Duration removal_timeout = seconds(30);
  /// How often a worker is queried for an exchange of unknown outcome.
  Duration resolve_interval = seconds(1);
  /// Seed of the random choice of candidates.
  std::uint64_t seed = 1;
};

/// Workers to exclude (hard constraint) and racks to avoid (soft constraint).
struct PlacementExclusions {
  std::vector<WorkerId> workers;
  std::vector<RackId> racks;
};

/// Destination and header of a command to a worker.
struct Placement {
  WorkerId worker;
  std::string address;
  RackId rack;
  CommandHeader header;
};

/// An entry host that membership considers present, and the racks that it
/// reports to own.
struct PresentHost {
  EntryHostId id;
  std::vector<RackId> racks;
};

/// The entry hosts according to membership.
struct FleetHosts {
  /// Hosts that may be preferred owners, including this one unless it is
  /// leaving.
  std::vector<LiveHost> preferred;
  /// Other hosts whose ownership must not be replaced.
  std::vector<PresentHost> present;
};

/// Attaches a worker; pass the reply to `OnAttachAnswer`.
struct SendAttach {
  WorkerId worker;
  std::string address;
  AttachCall call;
};

/// Sends a heartbeat to a worker; pass the reply to `OnHeartbeatAnswer`.
struct SendWorkerHeartbeat {
  WorkerId worker;
  std::string address;
  WorkerHeartbeatCall call;
};

/// Cancels an exchange to learn its outcome; pass the reply to
/// `OnResolveAnswer`.
struct SendResolve {
  WorkerId worker;
  std::string address;
  CancelRequestCall call;
};

/// Asks the owner, with the next peer heartbeat, to release the rack.
struct RequestRackRelease {
  EntryHostId owner;
  RackId rack;
};

/// This host has become the owner of the worker.
struct WorkerAttached {
  WorkerId worker;
  Epoch epoch;
  Incarnation incarnation;
  /// All attempts that the worker runs or holds the result of.
  std::vector<AttemptReport> attempts;
};

/// Why this host no longer owns a worker.
enum class OwnershipLossReason {
  /// The worker refused the epoch of this host: another host owns it.
  kStaleEpoch,
  /// The worker restarted; this host attaches it again.
  kRestarted,
  /// Released to the preferred owner, or because this host shuts down.
  kReleased,
  /// Not on the host list and unresponsive.
  kRemoved,
};

/// This host no longer owns the worker and must not send it commands.
struct WorkerOwnershipLost {
  WorkerId worker;
  Incarnation incarnation;
  OwnershipLossReason reason;
};

/// An attempt that the worker reported for the first time, or that has changed.
struct AttemptChanged {
  WorkerId worker;
  Incarnation incarnation;
  AttemptReport report;
};

/// The start of the attempt had an unknown outcome, and the worker reported
/// after the end of the command's validity that it does not run the attempt.
struct AttemptNeverStarted {
  WorkerId worker;
  AttemptId attempt;
};

/// Resource usage that the worker reported.
struct UsageReported {
  WorkerId worker;
  std::vector<UsageReport> usage;
};

using FleetAction =
    std::variant<SendAttach, SendWorkerHeartbeat, SendResolve,
                 RequestRackRelease, WorkerAttached, WorkerOwnershipLost,
                 AttemptChanged, AttemptNeverStarted, UsageReported>;
using FleetActions = std::vector<FleetAction>;

/// Why work cannot be placed on any host.
struct NeverFitsReason {
  /// "cpu", "memory", "accelerators" or their combination.
  std::string limit;
  /// Message for the caller: requested and available amounts, and hosts that
  /// would fit them.
  std::string text;
  /// Listed hosts, owned or not, that fit the largest allowed amounts; at
  /// most 5.
  std::vector<WorkerId> would_fit;
};

/// State of one worker, for dumps and tests.
struct WorkerSnapshot {
  bool owned = false;
  Epoch epoch;
  Incarnation incarnation;
  bool leaving = false;
  bool healthy = true;
  Resources capacity;
  Resources committed;
  int slots = 0;
  int used_slots = 0;
  int used_connections = 0;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_FLEET_TYPES_H_
