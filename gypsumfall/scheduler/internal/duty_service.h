#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_DUTY_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_DUTY_SERVICE_H_

#include <functional>
#include <optional>
#include <string>

#include "gypsumfall/leadership/leadership.h"
#include "gypsumfall/scheduler/internal/context.h"

namespace gypsumfall::scheduler_internal {

/// What the duties of one host have in common.
struct HostDuties {
  int held = 0;
  /// One claim at a time: a host that is granted one leaves others to others.
  bool claiming = false;
  bool stopping = false;
};

/// Watches the duty row of a shard, takes the duty over when its holder is
/// gone, and stores rows for the holder. Each transaction of the holder renews
/// the duty under a condition on its row, so that a host that was replaced
/// stores nothing any more.
class DutyService {
 public:
  DutyService(Context& context, const ShardScope& scope, HostDuties& duties);

  /// To be called often.
  void Tick();
  std::string Dump() const;

  /// @return the duty as last seen.
  const LeaderLease& lease() const { return lease_; }
  /// Reads the row again soon; the holder did not act as one.
  void ReadSoon();
  /// See `LeaderLease`.
  void OnHolderRefused();
  void OnHolderReplaced(const std::string& process);

  /// Stores rows and renews the duty; one call at a time. It is repeated until
  /// it is done or the duty is lost.
  /// @param rows what to store, in the scheduler's part.
  /// @param stored called if the rows are stored; not if the duty was lost.
  void Store(RowTransaction rows, std::function<void()> stored);
  bool is_storing() const { return storing_.has_value(); }
  /// Time at which the latest stored transaction was sent.
  Time last_stored() const { return last_stored_; }
  /// Gives the duty back, if this host has it.
  void Release();
  /// Gives up the duty, because workers know a newer epoch.
  void Resign();

  /// Called when this host has taken the duty over, and when it has lost it.
  std::function<void()> on_held;
  std::function<void()> on_lost;

 private:
  struct Storing {
    RowTransaction transaction;
    LeaderClaim renewal;
    std::function<void()> stored;
    Time first_sent;
    int failures = 0;
  };

  void Read();
  void OnRead(const RowPage& page);
  void TryClaim();
  void Send();
  void OnReply(const TransactionReply& reply);
  void Finish(RowVersion version);
  void Lose(std::string_view why);
  RowAddress Address() const { return {kDutyTable, scope_.part, kDutyKey}; }

  Context& context_;
  const ShardScope& scope_;
  HostDuties& duties_;
  Logger log_{"duty"};
  LeaderLease lease_;
  Timer retry_;
  std::optional<Storing> storing_;
  Time last_stored_{};
  Time next_read_{};
  bool reading_ = false;
  bool claiming_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_DUTY_SERVICE_H_
