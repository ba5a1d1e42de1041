#ifndef GYPSUMFALL_FLEET_INTERNAL_WORKER_RECORD_H_
#define GYPSUMFALL_FLEET_INTERNAL_WORKER_RECORD_H_

#include <optional>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/worker_health.h"
#include "gypsumfall/fleet/internal/worker_ledger.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// A reading of a worker's clock and when the answer with it arrived.
struct ClockReading {
  WorkerTime clock;
  Time received;
};

/// Everything that is known of one worker.
struct WorkerRecord {
  ListedHost host;
  bool listed = true;

  // Ownership.
  bool wanted = false;
  bool owned = false;
  /// Not to be attached although wanted, until the owner has released it.
  bool held_by_other = false;
  EntryHostId other_owner;
  /// The other owner has released the worker up to this epoch.
  Epoch released_epoch;
  /// When the other owner was learnt from a refusal.
  Time other_since;
  /// The worker has told its highest epoch to this process.
  bool queried = false;
  Epoch epoch;
  Epoch highest_epoch;
  Incarnation incarnation;
  bool leaving = false;
  /// Has not answered for so long that it may be leaving unheard.
  bool silent = false;

  // Calls.
  std::optional<Epoch> attach_epoch;
  Time next_attach;
  std::optional<Time> owned_since;
  Duration attach_backoff = Duration::zero();
  std::optional<Time> heartbeat_sent;
  Time next_heartbeat;
  /// Send time of the newest call that was answered.
  Time confirmed_at;
  std::optional<ClockReading> reading;
  std::vector<LeaseRenewal> renewals;
  std::vector<AttemptId> acknowledged;

  WorkerLedger ledger;
  WorkerHealth health;
  /// Processors in use at the time of the last report.
  MilliCores reported_cpu;
};

/// Workers of one rack and who should own them.
struct RackRecord {
  DataCentreId data_centre;
  std::vector<std::uint32_t> workers;
  EntryHostId preferred;
  /// The choice without the preferred host.
  EntryHostId second;
  Time next_release_ask;
  /// Since when no present host says that it owns the rack.
  std::optional<Time> unowned_since;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_WORKER_RECORD_H_
