#ifndef GYPSUMFALL_FLEET_INTERNAL_WORKER_LEDGER_H_
#define GYPSUMFALL_FLEET_INTERNAL_WORKER_LEDGER_H_

#include <map>
#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/placement_policy.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// A request with committed capacity on a worker.
struct ExchangeEntry {
  WorkSpec work;
  /// On the worker's clock; zero for adopted work.
  WorkerTime placed_at;
  /// The call will get no reply, so the worker is queried for the outcome.
  bool outcome_unknown = false;
  Time next_resolve;
};

/// Phase of an attempt in the ledger of its worker.
enum class AttemptPhase {
  /// Capacity is reserved; no start was sent.
  kReserved,
  /// A start was sent; it may or may not have taken effect.
  kStarting,
  kRunning,
  /// Holds no capacity; kept until the worker has discarded the attempt, so
  /// that an older report cannot add it again.
  kEnded,
};

/// An attempt or its reservation in the ledger of its worker.
struct AttemptEntry {
  WorkSpec work;
  WorkerTime placed_at;
  AttemptPhase phase = AttemptPhase::kReserved;
  /// When an unused reservation expires.
  Time expires_at;
  /// End of the validity of the last start command, on the worker's clock.
  WorkerTime valid_until;
  int starts_sent = 0;
  /// When the phase was entered.
  Time phase_since;
  AttemptState state = AttemptState::kRunning;
  std::string checkpoint;
};

/// Capacity accounting of one worker: all work that was sent to it or reserved
/// on it, in resources, slots and connections. Work of unknown outcome counts
/// as running.
class WorkerLedger {
 public:
  /// Sets the worker's total capacity and removes all entries.
  void Reset(const Resources& capacity, int slots, int connections);

  /// @return whether the work fits; attempts leave `urgent_slots` free.
  bool HasCapacity(const Resources& resources, bool urgent,
                   int urgent_slots) const;
  void AddExchange(const ExchangeId& id, ExchangeEntry entry);
  /// @return whether the ledger had the exchange.
  bool RemoveExchange(const ExchangeId& id);
  void AddAttempt(const AttemptId& id, AttemptEntry entry);
  /// Releases the attempt's capacity, but keeps its entry.
  void EndAttempt(const AttemptId& id, Time now);
  bool RemoveAttempt(const AttemptId& id);

  /// Sets the time of the last usage report, which covers work that was placed
  /// until then.
  void SetMeasuredAt(WorkerTime time);
  /// @return CPU of committed work that the last usage report does not cover.
  MilliCores unreported_cpu() const { return unreported_cpu_; }

  ExchangeEntry* FindExchange(const ExchangeId& id);
  AttemptEntry* FindAttempt(const AttemptId& id);
  std::map<ExchangeId, ExchangeEntry>& exchanges() { return exchanges_; }
  const std::map<AttemptId, AttemptEntry>& attempts() const {
    return attempts_;
  }

  const Resources& capacity() const { return capacity_; }
  const Resources& committed() const { return committed_; }
  int slots() const { return slots_; }
  int used_slots() const { return used_slots_; }
  int used_connections() const { return static_cast<int>(exchanges_.size()); }
  /// @return slots available to attempts, or to requests if `urgent`.
  int SpareSlots(bool urgent, int urgent_slots) const;

 private:
  void Commit(const WorkSpec& work, WorkerTime placed_at);
  void Release(const WorkSpec& work, WorkerTime placed_at);

  Resources capacity_;
  Resources committed_;
  MilliCores unreported_cpu_;
  WorkerTime measured_at_;
  int slots_ = 0;
  int connections_ = 0;
  int used_slots_ = 0;
  int used_attempt_slots_ = 0;
  std::map<ExchangeId, ExchangeEntry> exchanges_;
  std::map<AttemptId, AttemptEntry> attempts_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_WORKER_LEDGER_H_
