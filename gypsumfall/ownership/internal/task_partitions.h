#ifndef GYPSUMFALL_OWNERSHIP_INTERNAL_TASK_PARTITIONS_H_
#define GYPSUMFALL_OWNERSHIP_INTERNAL_TASK_PARTITIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/ownership/internal/host_lease.h"
#include "gypsumfall/ownership/internal/rows.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

struct TaskPartitionsSettings {
  EntryHostId self;
  int partitions = 16;
  /// A host row that is unchanged for this long plus `lease_margin` has
  /// expired.
  Duration lease_duration = seconds(6);
  Duration lease_margin = seconds(1);
  /// Number of successors, in id order, whose host rows this host watches.
  int watched_successors = 3;
  Duration watch_interval = seconds(2);
  /// A longer gap between two answers restarts the observation of a row: hosts
  /// cannot renew their rows during an outage of the table service, so an
  /// unchanged row does not show that its host has failed.
  Duration watch_gap = seconds(4);
  /// Upper bound on the rows per second that all hosts together read by scans.
  /// The scan interval grows with the number of hosts to respect it.
  int scan_rows_per_second = 60;
  Duration min_scan_interval = seconds(4);
  /// The host at position n (from 0) of a partition's rendezvous order waits
  /// n times this before it claims the partition from a dead owner.
  Duration claim_stagger = seconds(2);
  /// Most rows written by one transaction.
  int rows_per_transaction = 16;
  /// Minimum interval between two transactions of this host.
  Duration transact_interval = milliseconds(200);
  /// Most keys in one read in addition to the watched rows.
  int max_extra_reads = 32;
  /// A partition is handed over only after another host has been preferred for
  /// this long.
  Duration handover_delay = seconds(5);
  /// A call without an answer for this long is considered lost.
  Duration answer_timeout = seconds(2);
};

struct OwnershipRead {
  std::string token;
  ReadCall call;
};

struct OwnershipScan {
  std::string token;
  ScanCall call;
};

/// This host owns the partition. Journal commits must check the row version.
struct OwnershipGained {
  PartitionId partition;
  Epoch epoch;
  RowVersion version;
};

struct OwnershipLost {
  PartitionId partition;
  Epoch epoch;
};

/// The partition is about to be handed over. The caller must stop its journal
/// and then call `ReadyToRelease`.
struct PrepareRelease {
  PartitionId partition;
};

/// The lease of a host's incarnation has expired or was replaced.
struct HostLeaseExpired {
  EntryHostId host;
  Incarnation incarnation;
};

using PartitionAction =
    std::variant<OwnershipTransact, OwnershipRead, OwnershipScan,
                 OwnershipGained, OwnershipLost, PrepareRelease,
                 HostLeaseExpired>;
using PartitionActions = std::vector<PartitionAction>;

/// The newest known row of a partition and its version.
struct PartitionView {
  PartitionRow row;
  RowVersion version;
};

/// Claims, monitors and hands over task partitions. The rows of the table
/// service are authoritative: if an answer is lost, the rows of the call are
/// read again.
class TaskPartitions {
 public:
  explicit TaskPartitions(TaskPartitionsSettings settings);

  /// Drops partitions owned under another incarnation.
  /// @param incarnation the incarnation of this host's lease.
  PartitionActions OnLeaseGained(Incarnation incarnation, Time now);
  PartitionActions OnLeaseLost(Time now);

  /// @param preferred hosts that are live and not leaving, including this one.
  /// @return the calls and ownership changes that are due.
  PartitionActions Tick(std::span<const EntryHostId> preferred, Time now);
  /// @param token token of the call that was answered.
  /// @param reply the reply, or an error if the call was refused or the reply
  ///     was lost.
  PartitionActions OnTransacted(const std::string& token,
                                const Result<TransactReply>& reply, Time now);
  /// Applies the reply to a read or a scan.
  PartitionActions OnRows(const std::string& token,
                          const Result<RowsReply>& reply, Time now);

  /// Records the ownership of a partition that a peer's heartbeat reports. If
  /// its epoch is newer than the known one, the row is read again.
  void OnPeerPartition(const PartitionId& partition, const PartitionRow& row);
  /// Reads the host row of an unresponsive or unknown peer with the next read.
  void RefreshHost(const EntryHostId& host);
  /// Reads the partition's row with the next read; to be called when a journal
  /// commit failed its check.
  void RefreshPartition(const PartitionId& partition);

  /// Reports that the partition's journal has stopped and the hand-over may be
  /// sent.
  void ReadyToRelease(const PartitionId& partition);
  /// Starts to hand over all partitions and stops claiming any.
  void Stop();
  /// @return whether `Stop` was called and this host owns no partition.
  bool Stopped() const;

  /// @return the newest known row, or nullopt if none is known.
  std::optional<PartitionView> Find(const PartitionId& partition) const;
  /// @return the partitions that this host owns.
  std::vector<PartitionId> Owned() const;
  /// @return hosts whose known rows are not expired, sorted by id.
  std::vector<EntryHostId> HostsWithLiveLease() const;
  /// @return the interval between two scans.
  Duration ScanInterval() const;

 private:
  struct Call {
    Time sent_at;
    /// Keys to be read again if the answer is lost.
    std::vector<std::string> keys;
    std::vector<RowPut> puts;
    /// Prefix of a scan; empty for other calls.
    std::string scan_prefix;
  };
  struct Partition {
    std::optional<PartitionView> view;
    bool owned = false;
    /// A scan has shown that the row does not exist yet.
    bool absent = false;
    bool preparing_release = false;
    bool ready_to_release = false;
    /// Dropped at shutdown because no other host could own it.
    bool dropped_at_stop = false;
    std::optional<Time> unowned_since;
    std::optional<Time> better_owner_since;
  };
  struct KnownHost {
    HostRow row;
    RowVersion version;
    /// Start of the period in which answers showed this version without a gap
    /// longer than `watch_gap`.
    Time unchanged_since;
    Time last_answer;
    /// Send time of the newest call whose answer showed this version.
    Time last_sent;
  };

  std::string NewToken();
  bool MayTransact(Time now) const;
  std::vector<EntryHostId> WatchedHosts() const;
  void SendWatch(Time now, PartitionActions& out);
  void SendScans(Time now, PartitionActions& out);
  void SendOneScan(const std::string& prefix, const std::string& after,
                   Time now, PartitionActions& out);
  void SendTransaction(TransactCall call, Time now, PartitionActions& out);
  void ExpireCalls(Time now);
  void QueueRereads(const Call& call);
  void QueueRead(const std::string& key);

  bool HasDeadOwner(const PartitionRow& row);
  bool ShouldClaim(const PartitionId& id, Partition& partition,
                   std::span<const EntryHostId> preferred, Time now);
  void AddOwnerChange(const PartitionId& id, const EntryHostId& owner,
                      Incarnation incarnation, TransactCall& call) const;
  void SendExpiry(std::span<const EntryHostId> preferred, Time now,
                  PartitionActions& out);
  void SendClaims(std::span<const EntryHostId> preferred, Time now,
                  PartitionActions& out);
  void SendHandOvers(std::span<const EntryHostId> preferred, Time now,
                     PartitionActions& out);
  std::optional<EntryHostId> BetterOwner(
      const PartitionId& id, std::span<const EntryHostId> preferred) const;
  void UpdateRelease(const PartitionId& id, Partition& partition,
                     const std::optional<EntryHostId>& better_owner, Time now,
                     PartitionActions& out);

  void ApplyRow(const Row& row, Time sent_at, Time now, PartitionActions& out);
  void ApplyHostRow(const EntryHostId& host, const Row& row, Time sent_at,
                    Time now, PartitionActions& out);
  void ApplyPartitionRow(const PartitionId& id, const Row& row,
                         PartitionActions& out);
  void FinishScan(const Call& call, const RowsReply& reply, Time now,
                  PartitionActions& out);
  void LoseOwnership(const PartitionId& id, Partition& partition,
                     PartitionActions& out);

  TaskPartitionsSettings settings_;
  std::optional<Incarnation> incarnation_;
  bool stopping_ = false;
  std::uint64_t call_count_ = 0;
  /// Token of the transaction in flight, or empty. At most one is in flight, so
  /// that no two of them write the same rows.
  std::string transaction_in_flight_;
  std::map<std::string, Call> pending_;
  std::map<PartitionId, Partition> partitions_;
  std::map<EntryHostId, KnownHost> hosts_;
  std::vector<std::string> keys_to_read_;
  Time next_watch_;
  Time next_scan_;
  Time next_transact_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_TASK_PARTITIONS_H_
