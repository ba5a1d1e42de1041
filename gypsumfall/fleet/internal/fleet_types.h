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

struct FleetSettings {
  EntryHostId self;
  /// Slots of each worker that are kept for requests.
  int urgent_slots = 4;
  Duration heartbeat_interval = seconds(1);
  Duration call_timeout = seconds(1);
  /// How long a worker accepts a command after it was made.
  Duration command_validity = seconds(1);
  /// A worker gets no new work later than this after the call that last showed
  /// it not leaving. With `command_validity` this gives the 3 s of I7.
  Duration silence_limit = seconds(2);
  Duration reservation = seconds(5);
  Duration min_attach_backoff = seconds(1);
  Duration max_attach_backoff = seconds(16);
  /// A preferred owner may have learnt of an owner that its peers have not
  /// heard of yet; only after this is an owner that does not list the rack
  /// ignored.
  Duration owner_report_delay = seconds(3);
  /// The second choice attaches a rack that nobody has owned for this long,
  /// because the preferred owner may not reach it.
  Duration unowned_limit = seconds(10);
  /// Failures in a row, of different customers or kinds, that make a worker
  /// unhealthy.
  int unhealthy_after = 3;
  Duration min_probe_interval = seconds(5);
  Duration max_probe_interval = std::chrono::minutes(5);
  /// A worker that is no longer listed is given up after this silence.
  Duration removal_silence = seconds(30);
  /// How often an exchange of unknown outcome is looked up at its worker.
  Duration resolve_interval = seconds(1);
  /// Seeds the choice of candidates.
  std::uint64_t seed = 1;
};

/// Workers that must not be used and racks that better are not.
struct Avoid {
  std::vector<WorkerId> workers;
  std::vector<RackId> racks;
};

/// Where a command goes and how it is headed.
struct Placement {
  WorkerId worker;
  std::string address;
  RackId rack;
  CommandHeader header;
};

/// An entry host that is not gone, and the racks that it says it owns.
struct PresentHost {
  EntryHostId id;
  std::vector<RackId> racks;
};

/// The entry hosts as membership sees them.
struct FleetHosts {
  /// Hosts that may be preferred owners, with this one unless it is leaving.
  std::vector<LiveHost> preferred;
  /// Other hosts that are not replaceable.
  std::vector<PresentHost> present;
};

/// Answer goes to `OnAttachAnswer`.
struct SendAttach {
  WorkerId worker;
  std::string address;
  AttachCall call;
};

/// Answer goes to `OnHeartbeatAnswer`.
struct SendWorkerHeartbeat {
  WorkerId worker;
  std::string address;
  WorkerHeartbeatCall call;
};

/// Finds out what became of an exchange; answer goes to `OnRequestAnswer`.
struct SendResolve {
  WorkerId worker;
  std::string address;
  CancelRequestCall call;
};

/// The owner is to be asked, in the next heartbeat, to release the rack.
struct AskRelease {
  EntryHostId owner;
  RackId rack;
};

/// This host owns the worker.
struct WorkerAttached {
  WorkerId worker;
  Epoch epoch;
  Incarnation incarnation;
  /// Everything that the worker runs or holds a result of.
  std::vector<AttemptReport> attempts;
};

enum class WorkerLossReason {
  /// The worker refused our epoch: another host owns it.
  kStaleEpoch,
  /// The worker restarted; it is attached again.
  kRestarted,
  /// Given up for a better owner, or because this host stops.
  kReleased,
  /// No longer on the host list.
  kRemoved,
};

/// This host may not command the worker any more.
struct WorkerLost {
  WorkerId worker;
  Incarnation incarnation;
  WorkerLossReason reason;
};

/// An attempt that the worker reports for the first time or changed.
struct AttemptChanged {
  WorkerId worker;
  Incarnation incarnation;
  AttemptReport report;
};

/// The start of the attempt had no certain outcome; the worker has shown after
/// the end of the command's validity that it does not run it.
struct AttemptNeverStarted {
  WorkerId worker;
  AttemptId attempt;
};

struct UsageReported {
  WorkerId worker;
  std::vector<UsageReport> usage;
};

using FleetAction =
    std::variant<SendAttach, SendWorkerHeartbeat, SendResolve, AskRelease,
                 WorkerAttached, WorkerLost, AttemptChanged,
                 AttemptNeverStarted, UsageReported>;
using FleetActions = std::vector<FleetAction>;

/// Why work can never be placed.
struct NeverFitsReason {
  /// "cpu", "memory", "accelerators" or their combination.
  std::string limit;
  /// States what is wrong, what the largest host has and which would do.
  std::string text;
  /// Hosts of the host list, owned or not, that would fit; at most 5.
  std::vector<WorkerId> would_fit;
};

/// What is known of one worker, for dumps and tests.
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
