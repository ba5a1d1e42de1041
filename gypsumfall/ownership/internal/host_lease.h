#ifndef GYPSUMFALL_OWNERSHIP_INTERNAL_HOST_LEASE_H_
#define GYPSUMFALL_OWNERSHIP_INTERNAL_HOST_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/ownership/internal/rows.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Identity of this process, from its settings.
struct HostIdentity {
  EntryHostId id;
  DataCentreId data_centre;
  std::string address;
};

struct HostLeaseSettings {
  Duration renew_interval = seconds(2);
  /// Delay before an unanswered or failed call is repeated.
  Duration retry_interval = seconds(1);
};

/// A transaction to send once; its reply is passed to `OnTransacted`.
struct OwnershipTransact {
  TransactCall call;
};

/// This host holds its lease row under a new incarnation.
struct LeaseGained {
  Incarnation incarnation;
};

/// Another process changed the row, or an observer marked it expired. This host
/// no longer owns anything that it owned under the incarnation.
struct LeaseLost {
  Incarnation incarnation;
};

/// The lease is released and the process may exit.
struct LeaseReleased {};

using HostLeaseAction =
    std::variant<OwnershipTransact, LeaseGained, LeaseLost, LeaseReleased>;

/// Acquires and renews the lease of this host in its row `host/<id>`.
///
/// If a renewal fails its version check but the row still shows this host's
/// incarnation, an earlier call whose answer was lost has taken effect, and the
/// lease still holds. Any other row means that the lease was lost; the host
/// then joins again with the next incarnation. An incarnation is used only once
/// its join was confirmed, because another process with the same id may have
/// written an unconfirmed one.
class HostLease {
 public:
  HostLease(HostIdentity identity, HostLeaseSettings settings);

  /// @return the join, renewal or retry that is due.
  std::vector<HostLeaseAction> Tick(Time now);
  /// @param token token of the call that was answered.
  /// @param reply the reply, or an error if the call was refused or the reply
  ///     was lost.
  std::vector<HostLeaseAction> OnTransacted(const std::string& token,
                                            const Result<TransactReply>& reply,
                                            Time now);
  /// Marks the row as leaving, which announces the shutdown to other hosts.
  void Leave();
  /// Marks the row expired. Must be called only after all partitions were
  /// handed over.
  void Release();

  /// @return whether this host holds the lease according to the last answer.
  bool joined() const { return joined_; }
  /// @return the incarnation, 0 before the first join.
  Incarnation incarnation() const { return incarnation_; }
  /// @return the latest time at which this host is known to have held the
  ///     lease: the send time of the newest call whose answer showed it;
  ///     nullopt if not joined.
  std::optional<Time> ConfirmedAt() const { return confirmed_at_; }

 private:
  struct PendingCall {
    std::string token;
    HostRow row;
    Time sent_at;
  };

  std::vector<HostLeaseAction> Send(Time now);
  std::vector<HostLeaseAction> OnCommitted(const PendingCall& call,
                                           const TransactReply& reply);
  std::vector<HostLeaseAction> OnConflict(const PendingCall& call,
                                          const Row& row, Time now);
  std::vector<HostLeaseAction> LoseLease(Time now);

  HostIdentity identity_;
  HostLeaseSettings settings_;
  bool joined_ = false;
  bool leaving_ = false;
  bool releasing_ = false;
  bool released_ = false;
  Incarnation incarnation_;
  /// Highest incarnation read from or written to the row.
  Incarnation max_incarnation_;
  RowVersion version_;
  std::uint64_t renewal_count_ = 0;
  std::uint64_t call_count_ = 0;
  std::optional<PendingCall> pending_;
  std::optional<Time> confirmed_at_;
  Time next_send_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_HOST_LEASE_H_
