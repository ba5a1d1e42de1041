#ifndef GYPSUMFALL_FLEET_INTERNAL_WORKER_LEDGER_H_
#define GYPSUMFALL_FLEET_INTERNAL_WORKER_LEDGER_H_

#include <map>
#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/placement_policy.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// A request that holds room on a worker.
struct HeldExchange {
  Work work;
  /// On the worker's clock; its start for adopted work.
  WorkerTime placed_at;
  /// The outcome has to be asked for: no answer to the call will come.
  bool unknown = false;
  Time next_resolve;
};

enum class AttemptPhase {
  /// Room is held, nothing was sent.
  kReserved,
  /// A start was sent; it may or may not have taken effect.
  kStarting,
  kRunning,
  /// Holds no room; kept until the worker has forgotten the attempt, so that
  /// an older report cannot bring it back.
  kEnded,
};

/// An attempt as the ledger of its worker has it.
struct HeldAttempt {
  Work work;
  WorkerTime placed_at;
  AttemptPhase phase = AttemptPhase::kReserved;
  Time lapses_at;
  /// End of the validity of the last start.
  WorkerTime valid_until;
  int starts_sent = 0;
  /// When the phase was entered.
  Time since;
  AttemptState state = AttemptState::kRunning;
  std::string checkpoint;
};

/// Everything that one worker has been given or promised, in all dimensions.
/// Work of unknown outcome counts as given.
class WorkerLedger {
 public:
  /// Sets what the worker has and forgets all entries.
  void Reset(const Resources& capacity, int slots, int connections);

  /// @return whether the work has room; attempts leave `urgent_slots` free.
  bool HasRoom(const Resources& resources, bool urgent, int urgent_slots) const;
  void AddExchange(const ExchangeId& id, HeldExchange held);
  /// @return whether the exchange was held.
  bool RemoveExchange(const ExchangeId& id);
  void AddAttempt(const AttemptId& id, HeldAttempt held);
  /// Ends the attempt's hold on room but remembers it.
  void EndAttempt(const AttemptId& id, Time now);
  bool RemoveAttempt(const AttemptId& id);

  /// Work placed until then is covered by the last report of use.
  void SetMeasuredAt(WorkerTime time);
  /// @return processors of held work that the last report does not cover.
  MilliCores unreported_cpu() const { return unreported_cpu_; }

  HeldExchange* FindExchange(const ExchangeId& id);
  HeldAttempt* FindAttempt(const AttemptId& id);
  std::map<ExchangeId, HeldExchange>& exchanges() { return exchanges_; }
  const std::map<AttemptId, HeldAttempt>& attempts() const { return attempts_; }

  const Resources& capacity() const { return capacity_; }
  const Resources& committed() const { return committed_; }
  int slots() const { return slots_; }
  int used_slots() const { return used_slots_; }
  int used_connections() const { return static_cast<int>(exchanges_.size()); }
  /// @return slots that an attempt, or a request if `urgent`, could take.
  int SpareSlots(bool urgent, int urgent_slots) const;

 private:
  void Hold(const Work& work, WorkerTime placed_at);
  void Free(const Work& work, WorkerTime placed_at);

  Resources capacity_;
  Resources committed_;
  MilliCores unreported_cpu_;
  WorkerTime measured_at_;
  int slots_ = 0;
  int connections_ = 0;
  int used_slots_ = 0;
  int attempt_slots_ = 0;
  std::map<ExchangeId, HeldExchange> exchanges_;
  std::map<AttemptId, HeldAttempt> attempts_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_WORKER_LEDGER_H_
