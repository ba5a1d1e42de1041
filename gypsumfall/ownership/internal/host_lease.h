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

/// Who this process is, from its settings.
struct HostIdentity {
  EntryHostId id;
  DataCentreId data_centre;
  std::string address;
};

struct HostLeaseSettings {
  Duration renew_interval = seconds(2);
  /// Delay before a call without an answer, or a failed one, is repeated.
  Duration retry_interval = seconds(1);
};

/// The transaction is to be sent once; its answer goes to `OnTransacted`.
struct OwnershipTransact {
  TransactCall call;
};

/// The host row is ours under a new incarnation.
struct LeaseGained {
  Incarnation incarnation;
};

/// The row was taken. All that was owned under the incarnation is lost.
struct LeaseLost {
  Incarnation incarnation;
};

/// The row says that this host has stopped; the process may exit.
struct LeaseEnded {};

using HostLeaseAction =
    std::variant<OwnershipTransact, LeaseGained, LeaseLost, LeaseEnded>;

/// Keeps this host's own row `host/<id>`. A failed check whose row still shows
/// our incarnation is the late effect of a call whose answer was lost; any
/// other row means that the lease was lost, and the host joins again with the
/// next incarnation. An incarnation is used only if its join was confirmed.
class HostLease {
 public:
  HostLease(HostIdentity identity, HostLeaseSettings settings);

  /// @return the renewal or the repeated call that is due.
  std::vector<HostLeaseAction> Tick(Time now);
  /// @param token token of the call that was answered.
  /// @param reply the answer, or an error if it was refused or lost.
  std::vector<HostLeaseAction> OnTransacted(const std::string& token,
                                            const Result<TransactReply>& reply,
                                            Time now);
  /// Announces in the row that this host is leaving.
  void Leave();
  /// Marks the row lapsed; to be called after partitions were handed over.
  void End();

  /// @return whether the row is ours as far as is known.
  bool joined() const { return joined_; }
  /// @return the incarnation, 0 before the first join.
  Incarnation incarnation() const { return incarnation_; }
  /// @return a time at which the row was certainly ours: when the newest call
  ///     was sent whose answer showed it. nullopt if not joined.
  std::optional<Time> ConfirmedAt() const { return confirmed_at_; }

 private:
  struct Pending {
    std::string token;
    HostRow row;
    Time sent_at;
  };

  std::vector<HostLeaseAction> Send(Time now);
  std::vector<HostLeaseAction> OnCommitted(const Pending& call,
                                           const TransactReply& reply);
  std::vector<HostLeaseAction> OnConflict(const Pending& call, const Row& row,
                                          Time now);
  std::vector<HostLeaseAction> Lose(Time now);

  HostIdentity identity_;
  HostLeaseSettings settings_;
  bool joined_ = false;
  bool leaving_ = false;
  bool ending_ = false;
  bool ended_ = false;
  Incarnation incarnation_;
  /// Highest incarnation seen in the row.
  Incarnation highest_;
  RowVersion version_;
  std::uint64_t beat_ = 0;
  std::uint64_t calls_ = 0;
  std::optional<Pending> pending_;
  std::optional<Time> confirmed_at_;
  Time next_send_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_HOST_LEASE_H_
