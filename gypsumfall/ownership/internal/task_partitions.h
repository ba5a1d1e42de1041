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
  /// A row unchanged for this long has lapsed.
  Duration lease = seconds(6);
  Duration lease_margin = seconds(1);
  /// How many successors, in the order of ids, are watched by row.
  int watched_successors = 3;
  Duration watch_interval = seconds(2);
  /// Answers farther apart than this do not count as a continued observation:
  /// after an outage of the table service no row has been renewed.
  Duration watch_gap = seconds(4);
  /// Scans are spread so that all hosts together read at most this many rows
  /// per second by scanning, whatever their number.
  int scan_rows_per_second = 60;
  Duration min_scan_interval = seconds(4);
  /// A host of rank n for a partition waits n times this before it claims a
  /// partition without a live owner.
  Duration claim_stagger = seconds(2);
  /// At most this many partition rows are put in one transaction.
  int rows_per_transaction = 16;
  /// Least time between two transactions of this host.
  Duration transact_interval = milliseconds(200);
  /// Most keys of one read besides the watched rows.
  int max_extra_reads = 32;
  /// A better owner must be preferred for this long before a hand-over.
  Duration handover_delay = seconds(5);
  /// Without an answer for this long a call counts as lost.
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

/// This host owns the partition. Journal commits check the row's version.
struct OwnershipGained {
  PartitionId partition;
  Epoch epoch;
  RowVersion version;
};

struct OwnershipLost {
  PartitionId partition;
  Epoch epoch;
};

/// The partition is to be handed over: stop its journal, then call
/// `ReadyToRelease`.
struct PrepareRelease {
  PartitionId partition;
};

/// The incarnation of a host was seen to have lapsed.
struct HostLapsed {
  EntryHostId host;
  Incarnation incarnation;
};

using PartitionAction =
    std::variant<OwnershipTransact, OwnershipRead, OwnershipScan,
                 OwnershipGained, OwnershipLost, PrepareRelease, HostLapsed>;
using PartitionActions = std::vector<PartitionAction>;

/// Where a partition's owner was last seen.
struct PartitionView {
  PartitionRow row;
  RowVersion version;
};

/// Takes, keeps and hands over task partitions. What a row shows decides: a
/// lost answer is resolved by reading the rows of the call again.
class TaskPartitions {
 public:
  explicit TaskPartitions(TaskPartitionsSettings settings);

  /// @param incarnation of this host's lease; partitions of another
  ///     incarnation are lost at once.
  PartitionActions OnLeaseGained(Incarnation incarnation, Time now);
  PartitionActions OnLeaseLost(Time now);

  /// @param preferred live, not leaving hosts, with this one.
  /// @return calls and changes that are due.
  PartitionActions Tick(std::span<const EntryHostId> preferred, Time now);
  /// @param token token of the call that was answered.
  /// @param reply the answer, or an error if it was refused or lost.
  PartitionActions OnTransacted(const std::string& token,
                                const Result<TransactReply>& reply, Time now);
  /// Takes the answer to a read or a scan.
  PartitionActions OnRows(const std::string& token,
                          const Result<RowsReply>& reply, Time now);

  /// A peer's heartbeat says that it owns, or has handed over, the partition.
  void OnPeerPartition(const PartitionId& partition, const PartitionRow& row);
  /// A peer is silent or unknown: its row is read with the next call.
  void SuspectHost(const EntryHostId& host);
  /// A journal commit failed its check: the row is read with the next call.
  void SuspectPartition(const PartitionId& partition);

  /// The partition's journal has stopped; the hand-over may be sent.
  void ReadyToRelease(const PartitionId& partition);
  /// Hands over all partitions; none is claimed any more.
  void Stop();
  /// @return whether `Stop` was called and nothing is owned any more.
  bool Stopped() const;

  /// @return the newest known row, or nullopt.
  std::optional<PartitionView> Find(const PartitionId& partition) const;
  /// @return the partitions that this host owns.
  std::vector<PartitionId> Owned() const;
  /// @return hosts whose rows are known and have not lapsed, sorted.
  std::vector<EntryHostId> HostsByRow() const;
  /// @return how long the next scan waits after the last one.
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
    /// A scan has shown that there is no row yet.
    bool absent = false;
    bool preparing = false;
    bool ready = false;
    /// Given up without a successor because this host stops.
    bool released = false;
    std::optional<Time> orphan_since;
    std::optional<Time> better_since;
  };
  struct KnownHost {
    HostRow row;
    RowVersion version;
    /// Since when answers have shown this version without a gap.
    Time unchanged_since;
    Time last_answer;
    /// When the call was sent whose answer last showed this version.
    Time last_sent;
  };

  std::string NewToken();
  bool MayTransact(Time now) const;
  std::vector<EntryHostId> Watched() const;
  void SendWatch(Time now, PartitionActions& out);
  void SendScans(Time now, PartitionActions& out);
  void SendOneScan(const std::string& prefix, const std::string& after,
                   Time now, PartitionActions& out);
  void SendTransaction(TransactCall call, Time now, PartitionActions& out);
  void ExpireCalls(Time now);
  void ReadAgain(const Call& call);
  void AddRead(const std::string& key);

  bool OwnedByDead(const PartitionRow& row);
  bool ShouldClaim(const PartitionId& id, Partition& partition,
                   std::span<const EntryHostId> preferred, Time now);
  void AddPut(const PartitionId& id, const EntryHostId& owner,
              Incarnation incarnation, TransactCall& call) const;
  void SendLapse(std::span<const EntryHostId> preferred, Time now,
                 PartitionActions& out);
  void SendClaims(std::span<const EntryHostId> preferred, Time now,
                  PartitionActions& out);
  void SendHandOvers(std::span<const EntryHostId> preferred, Time now,
                     PartitionActions& out);
  std::optional<EntryHostId> BetterOwner(
      const PartitionId& id, std::span<const EntryHostId> preferred) const;
  void UpdateRelease(const PartitionId& id, Partition& partition,
                     const std::optional<EntryHostId>& better, Time now,
                     PartitionActions& out);

  void TakeRow(const Row& row, Time sent_at, Time now, PartitionActions& out);
  void TakeHostRow(const EntryHostId& host, const Row& row, Time sent_at,
                   Time now, PartitionActions& out);
  void TakePartitionRow(const PartitionId& id, const Row& row,
                        PartitionActions& out);
  void FinishScan(const Call& call, const RowsReply& reply, Time now,
                  PartitionActions& out);
  void Drop(const PartitionId& id, Partition& partition, PartitionActions& out);

  TaskPartitionsSettings settings_;
  std::optional<Incarnation> incarnation_;
  bool stopping_ = false;
  std::uint64_t calls_ = 0;
  /// The transaction in flight; at most one, so that no two of them put the
  /// same rows.
  std::string transaction_;
  std::map<std::string, Call> pending_;
  std::map<PartitionId, Partition> partitions_;
  std::map<EntryHostId, KnownHost> hosts_;
  std::vector<std::string> read_next_;
  Time next_watch_;
  Time next_scan_;
  Time next_transact_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_TASK_PARTITIONS_H_
