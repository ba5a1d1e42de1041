#ifndef GYPSUMFALL_LEADERSHIP_LEADERSHIP_H_
#define GYPSUMFALL_LEADERSHIP_LEADERSHIP_H_

/// @file
/// Elects the entry host that schedules. The leader lease is one row of the
/// table service; the host that replaces the row under a condition on its
/// version is the leader of the next epoch. Rows of the table service do not
/// expire, so the leader measures its lease from the time at which it sent its
/// latest successful renewal, and other hosts claim the row only after it has
/// stayed unchanged for a full lease.
///
/// Example:
/// @code
///   LeaderLease lease({}, EntryHostId("entry-1"), "10.0.0.1:7000", process);
///   lease.Observe(row, version, now);
///   if (auto claim = lease.Claim(now)) {
///     // Store claim->record if the row has version claim->expected, then:
///     lease.OnStored(*claim, new_version, sent);
///   }
///   if (lease.IsHeld(now)) { /* send orders to workers */ }
/// @endcode

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

struct LeaderLeaseSettings {
  /// Time after the sending of a renewal in which the holder may send orders
  /// to workers.
  Duration lease = seconds(3);
  /// Delay of a claim after a failed read. Lets a holder that could not renew
  /// during the same store outage renew first.
  Duration outage_grace = milliseconds(700);
  /// Number of refused connections to the holder after which it counts as
  /// failed.
  int refusal_threshold = 2;
  /// Processors of this host, in cores. Larger hosts claim first.
  double processor_share = 1.0;
};

/// @return the processors of a host with this share of a core.
MilliCores ProcessorsOf(double processor_share);

/// Why this host may claim the leader row.
enum class ClaimReason {
  /// No reason to claim: the holder still counts as alive.
  kNone,
  kNoRow,
  kReleased,
  /// The row names this host, which is not the leader.
  kOwnRow,
  /// Another process answers at the holder's address.
  kHolderReplaced,
  /// The holder's address refuses connections.
  kHolderRefuses,
  /// The row did not change for a full lease.
  kLeaseExpired,
};

/// @return a fixed name such as "lease_over".
std::string_view ClaimReasonName(ClaimReason claim_reason);

/// A leader row to write if the stored row still has version `expected`.
struct LeaderClaim {
  LeaderRecord record;
  RowVersion expected;
  /// Reason of the claim; `kNone` for renewals.
  ClaimReason reason = ClaimReason::kNone;
};

/// Tracks the leader row as one host sees it, and the host's own lease.
class LeaderLease {
 public:
  /// @param endpoint address at which other hosts reach this one.
  /// @param process unique id of this process.
  LeaderLease(const LeaderLeaseSettings& settings, EntryHostId self,
              std::string endpoint, std::string process);

  /// Records the row as it was read.
  /// @param record the row, or nothing if it does not exist yet.
  /// @param read_latency time from the sending of the read to its response.
  void Observe(const std::optional<LeaderRecord>& record, RowVersion version,
               Time now, Duration read_latency = Duration{0});
  /// Records that the row could not be read.
  void OnReadFailed(Time now) { last_read_failure_ = now; }
  /// Records that the holder's address refused a connection.
  /// @param called process that was the holder when the call was sent. A
  ///   refusal by the address of an earlier holder doesn't count.
  void OnHolderRefused(const std::string& called, Time now);
  /// Records that another process answers at the holder's address.
  /// @param called see `OnHolderRefused`.
  void OnHolderReplaced(const std::string& called);

  /// Checks whether this host should claim the row. Must be called
  /// periodically while this host is not the leader.
  /// @param extra_delay delay of the claim in favour of less loaded hosts.
  /// @return the row to write if this host should take over.
  std::optional<LeaderClaim> Claim(Time now,
                                   Duration extra_delay = Duration{0});
  /// Records that a claim, renewal or release was stored.
  /// @param claim the stored row.
  /// @param version version of the stored row.
  /// @param sent time at which the write was sent; the lease starts then.
  void OnStored(const LeaderClaim& claim, RowVersion version, Time sent);
  /// Records that leadership was lost or a claim failed. The next claim is
  /// made only after the row has been read again.
  void OnLost();

  /// @return the next renewal; this host must be the leader.
  LeaderClaim Renewal(Time now) const;
  /// @return the row that releases leadership; this host must be the leader.
  /// @param successor host that claims before all others; empty if there is
  ///   none.
  LeaderClaim Release(Time now, EntryHostId successor = {}) const;

  /// @return whether this host is the leader and its lease is valid, so that
  ///   it may send orders to workers.
  bool IsHeld(Time now) const { return is_leader_ && now < valid_until_; }
  /// @return whether this host is the leader, even if its lease has expired
  ///   and is not renewed yet.
  bool is_leader() const { return is_leader_; }
  /// @return the row as last read or stored.
  const std::optional<LeaderRecord>& record() const { return record_; }
  RowVersion version() const { return version_; }
  /// @return whether this host has fewer processors than the last holder.
  bool IsSmallerThanHolder() const;
  /// @return whether this host should ask the holder to hand leadership over,
  ///   because the holder has fewer processors. Few hosts ask at a time.
  bool WantsHandover(Time now) const;
  /// @return upper bound of the time after this host's claim in which earlier
  ///   holders may still send orders.
  Duration predecessor_slack() const { return predecessor_slack_; }

 private:
  bool IsHolder(const std::string& process) const;
  ClaimReason FindClaimReason(Time now) const;
  /// @return the predecessor slack of a claim for this reason.
  milliseconds SlackAfter(ClaimReason reason) const;
  Duration ClaimDelay() const;
  /// @return the place of this host in the order of candidates for the next
  ///   epoch.
  std::uint64_t ClaimSlot() const;
  MilliCores Processors() const;

  LeaderLeaseSettings settings_;
  EntryHostId self_;
  std::string endpoint_;
  std::string process_;
  std::optional<LeaderRecord> record_;
  RowVersion version_;
  Time unchanged_since_{};
  /// Time since which the row names the same process as holder.
  Time holder_since_{};
  Duration read_latency_{0};
  /// Time of the latest successful read.
  Time observed_at_{};
  /// Time at which the row was first seen to be claimable, if it is.
  std::optional<Time> claimable_since_;
  std::optional<Time> last_read_failure_;
  int refusals_ = 0;
  Time last_refusal_{};
  bool holder_replaced_ = false;
  bool row_known_ = false;
  bool is_leader_ = false;
  Time valid_until_{};
  Duration predecessor_slack_{0};
  /// End of the predecessor slack.
  Time predecessors_end_{};
};

/// Holds back a claim until the row has been read once more after the claim was
/// due, so that a candidate does not compete with a claim that is stored
/// already.
class ClaimGate {
 public:
  /// @param due whether the claim is due.
  /// @param read_sent time at which the latest successful read was sent.
  /// @return whether the claim may be sent now; otherwise, if it is due, the
  /// row
  ///   must be read.
  bool Allows(bool due, Time read_sent, Time now);

 private:
  std::optional<Time> due_since_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_LEADERSHIP_LEADERSHIP_H_
