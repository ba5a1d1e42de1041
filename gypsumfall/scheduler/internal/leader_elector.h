#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_LEADER_ELECTOR_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_LEADER_ELECTOR_H_

#include <functional>
#include <optional>
#include <string>

#include "gypsumfall/leadership/leadership.h"
#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/store_clock_estimate.h"

namespace gypsumfall::scheduler_internal {

/// Leadership state that one host shares between its shards.
struct HostLeadership {
  /// Number of shards that this host leads.
  int held_shards = 0;
  /// Whether a claim is pending. Claims are made one at a time, so that after a
  /// successful one other hosts get a chance to claim the next shard.
  bool claiming = false;
  bool stopping = false;
};

/// Watches the leader row of a shard, claims leadership when the holder has
/// failed or released it, and stores rows while this host is the leader. Each
/// transaction of the leader renews its lease under a condition on the leader
/// row, so that a replaced leader cannot store anything.
class LeaderElector {
 public:
  LeaderElector(Context& context, const ShardScope& scope,
                HostLeadership& host_leadership);

  /// Reads or claims the leader row if due. Must be called periodically.
  void Tick();
  std::string Dump() const;

  /// @return the clock of the store, as of the latest answer about the row.
  const StoreClockEstimate& store_clock() const { return store_clock_; }
  /// @return the leader lease as last seen.
  const LeaderLease& lease() const { return lease_; }
  /// Makes the next tick read the leader row; called if the holder does not
  /// behave as the leader.
  void ReadSoon();
  /// See `LeaderLease`.
  /// @param called process that was the holder when the call was sent.
  /// @param answering process that answers at the address of that holder.
  void OnHolderRefused(const std::string& called);
  void OnHolderReplaced(const std::string& called,
                        const std::string& answering);

  /// Stores rows and renews the lease in one transaction. Retries until the
  /// transaction is stored or rejected, or leadership is lost. Only one call
  /// may be pending.
  /// @param rows changes in the partition of the shard's scheduler.
  /// @param full see `LeaderRecord`; other hosts read it with the renewal.
  /// @param load see `LeaderRecord`; other hosts read it with the renewal.
  /// @param stored called after the rows are stored; not called if leadership
  /// is
  ///   lost before.
  /// @param rejected called if the store rejects the transaction for its
  ///   content. Nothing is stored then, and the lease is not renewed.
  void Store(RowTransaction rows, bool full, std::string load,
             std::function<void()> stored, std::function<void()> rejected);
  bool is_storing() const { return pending_store_.has_value(); }
  /// @return the time at which the latest stored transaction was first sent.
  Time last_stored() const { return last_stored_; }
  /// Releases leadership if this host is the leader and no store is pending.
  void Release();
  /// @return whether this host should ask the leader to hand leadership over.
  bool WantsHandover() const;
  /// Hands leadership over to a larger host once no store is pending.
  /// @param done called with whether leadership was released; the successor
  ///   then claims it at once.
  void HandOver(const HandoverRequest& request, UniqueFunction<bool> done);
  /// Gives up leadership without a write, because workers know a newer epoch.
  void Resign();

  /// Called when this host has become the leader, and when it no longer is.
  std::function<void()> on_elected;
  std::function<void()> on_lost;

 private:
  struct PendingHandover {
    EntryHostId successor;
    UniqueFunction<bool> done;
  };
  struct PendingStore {
    RowTransaction transaction;
    LeaderClaim renewal;
    std::function<void()> stored;
    std::function<void()> rejected;
    Time first_sent;
    int failures = 0;

    bool IsOnlyRenewal() const {
      return transaction.writes.size() == 1 && transaction.removals.empty();
    }
  };

  void ReadLeaderRow();
  void OnLeaderRowRead(const RowPage& page, Time sent);
  void TryClaim();
  void ReleaseTo(const EntryHostId& successor, UniqueFunction<bool> done);
  void CompleteHandover();
  void SendPendingStore();
  void OnStoreReply(const TransactionReply& reply);
  void CompleteStore(RowVersion version);
  void RejectStore();
  void LoseLeadership(std::string_view cause);
  RowAddress LeaderRowAddress() const {
    return {kLeaderTable, scope_.partition, kLeaderKey};
  }

  Context& context_;
  const ShardScope& scope_;
  HostLeadership& host_leadership_;
  Logger log_{"duty"};
  LeaderLease lease_;
  StoreClockEstimate store_clock_;
  Timer retry_;
  std::optional<PendingStore> pending_store_;
  std::optional<PendingHandover> pending_handover_;
  Time elected_at_{};
  Time last_stored_{};
  Time next_read_{};
  /// Time at which the latest successful read was sent.
  Time read_sent_{};
  ClaimGate claim_gate_;
  bool reading_ = false;
  bool claiming_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_LEADER_ELECTOR_H_
