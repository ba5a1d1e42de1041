#ifndef GYPSUMFALL_FLEET_INTERNAL_WORKER_RECORD_H_
#define GYPSUMFALL_FLEET_INTERNAL_WORKER_RECORD_H_

#include <optional>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/worker_health.h"
#include "gypsumfall/fleet/internal/worker_ledger.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// A worker's clock reading and the arrival time of the reply with it.
struct ClockReading {
  WorkerTime clock;
  Time received;
};

/// State of one worker.
struct WorkerRecord {
  ListedHost host;
  bool listed = true;

  // Ownership.
  /// Whether this host should own the worker.
  bool should_own = false;
  bool owned = false;
  /// Another host owns the worker; it is attached once that host has released
  /// it or is replaceable.
  bool held_by_other = false;
  EntryHostId other_owner;
  /// Highest epoch at which the other owner has released the worker.
  Epoch released_epoch;
  /// When a refused attach first named the other owner.
  Time other_owner_since;
  /// Whether the worker has reported its highest epoch to this process.
  bool highest_epoch_known = false;
  Epoch epoch;
  Epoch highest_epoch;
  Incarnation incarnation;
  bool leaving = false;
  /// Has not answered for so long that it may have started to leave without
  /// this host's knowledge.
  bool unresponsive = false;

  // Calls.
  /// Epoch of the newest attach that is not answered.
  std::optional<Epoch> pending_attach_epoch;
  Time next_attach;
  std::optional<Time> owned_since;
  Duration attach_backoff = Duration::zero();
  std::optional<Time> heartbeat_sent;
  Time next_heartbeat;
  /// Send time of the newest call that was answered.
  Time confirmed_at;
  std::optional<ClockReading> clock_reading;
  std::vector<LeaseRenewal> renewals;
  std::vector<AttemptId> acknowledged;

  WorkerLedger ledger;
  WorkerHealth health;
  /// CPU usage according to the last report.
  MilliCores reported_cpu;
};

/// The workers of one rack and their designated owners.
struct RackRecord {
  DataCentreId data_centre;
  std::vector<std::uint32_t> workers;
  EntryHostId preferred;
  /// The owner that would be chosen without the preferred host.
  EntryHostId fallback;
  Time next_release_request;
  /// Since when no present host reports to own the rack.
  std::optional<Time> unowned_since;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_WORKER_RECORD_H_
