#ifndef GYPSUMFALL_JOURNAL_JOURNAL_H_
#define GYPSUMFALL_JOURNAL_JOURNAL_H_

/// @file
/// Durable journal of one task partition in the platform's table service:
/// group commit with one commit in flight, read-back after lost answers, a
/// write rate shared by all journals of a host, snapshots, and recovery.
///
/// Every method returns actions that its caller carries out in order. Once
/// `owned()` is false, the journal does nothing more and the next owner
/// recovers the partition.
///
/// Example:
/// @code
///   Journal journal({.partition = 3, .token_prefix = "host-1/7/3",
///                    .partition_version = row.version}, recovered.position,
///                    budget);
///   auto appended = journal.Append(text, record_id, now);
///   for (const JournalAction& action : journal.Poll(now)) Perform(action);
///   // ... once the table service has replied:
///   for (auto& action : journal.OnTransactReply(call, reply, now)) ...
/// @endcode

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/journal/internal/record_id.h"
#include "gypsumfall/journal/internal/recovery.h"
#include "gypsumfall/journal/internal/write_budget.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Matches a reply to its call; replies to superseded calls are ignored.
using JournalCall = StrongNumber<struct JournalCallTag, std::uint64_t>;

/// Send a transaction; answer with `OnTransactReply`, `OnTransactUnknown` or
/// `OnTransactNotApplied`.
struct SendTransact {
  JournalCall call;
  TransactCall transact;
};

/// Read rows; answer with `OnReadBack` or `OnReadFailed`.
struct SendRead {
  JournalCall call;
  ReadCall read;
};

/// Put a snapshot object; answer with `OnObjectPut`. The put may be repeated.
struct PutSnapshotObject {
  JournalCall call;
  std::string name;
  std::string text;
};

/// Delete an object that the snapshot pointer no longer names; needs no answer.
struct DeleteSnapshotObject {
  std::string name;
};

/// The records are durable.
struct RecordsCommitted {
  std::vector<JournalRecordId> record_ids;
};

/// Ownership is lost while the records were in flight; they may be durable or
/// not.
struct RecordsUnknown {
  std::vector<JournalRecordId> record_ids;
};

/// The records are not durable and never will be.
struct RecordsRefused {
  std::vector<JournalRecordId> record_ids;
  ErrorKind reason = ErrorKind::kStoreUnavailable;
};

using JournalAction = std::variant<SendTransact, SendRead, PutSnapshotObject,
                                   DeleteSnapshotObject, RecordsCommitted,
                                   RecordsUnknown, RecordsRefused>;
using JournalActions = std::vector<JournalAction>;

/// Settings of one journal.
struct JournalOptions {
  int partition = 0;
  /// Prefix of all batch tokens; unique per host, incarnation, partition and
  /// epoch.
  std::string token_prefix = {};
  /// Version of the row `part/<n>` with which this host owns the partition.
  RowVersion partition_version = {};
  /// Minimum time between two commits.
  Duration commit_delay = milliseconds(20);
  /// Maximum size of a log row's value in bytes, the table service's limit.
  std::size_t max_row_bytes = 65536;
  /// Maximum number and total bytes of records that wait to be sent.
  std::size_t max_queued_records = 20000;
  std::size_t max_queued_bytes = 16 << 20;
  /// A record that could not be sent for this long is refused, so that during
  /// an outage its caller learns that it is not stored.
  Duration max_queue_wait = seconds(5);
  /// Retry delays double from the first to the longest, with jitter.
  Duration first_retry = milliseconds(50);
  Duration longest_retry = seconds(5);
  /// Number of log rows after which a snapshot is due.
  std::uint64_t snapshot_rows = 256;
  std::uint64_t seed = 1;
};

/// The journal of one owned partition.
class Journal {
 public:
  /// @param budget the host's write budget; must outlive the journal.
  Journal(JournalOptions options, JournalPosition position,
          WriteBudget& budget);

  /// Queues a record for the next commit.
  /// @param record any text.
  /// @param record_id identifies the record in later actions.
  /// @return nothing, or why the record is certainly not durable:
  ///     `kTooLarge`, `kStoreUnavailable` (queue full) or `kStaleEpoch`
  ///     (ownership is lost).
  Result<void> Append(std::string record, JournalRecordId record_id, Time now);

  /// Sends what is due. Call it after `Append` and at `next_due()`.
  JournalActions Poll(Time now);

  /// The table service answered a transaction.
  JournalActions OnTransactReply(JournalCall call, const TransactReply& reply,
                                 Time now);
  /// The reply to a transaction is lost or late; the transaction may have been
  /// applied or not.
  JournalActions OnTransactUnknown(JournalCall call, Time now);
  /// A transaction was certainly never sent (for instance, refused connection).
  JournalActions OnTransactNotApplied(JournalCall call, Time now);
  /// Rows that were read, in the order of the keys of the `SendRead`.
  JournalActions OnReadBack(JournalCall call, const std::vector<Row>& rows,
                            Time now);
  JournalActions OnReadFailed(JournalCall call, Time now);
  /// The host learned elsewhere that it has lost the partition.
  JournalActions OnOwnershipLost(Time now);

  /// @return whether enough log rows have accumulated for a snapshot.
  bool SnapshotDue() const;
  /// Starts a snapshot.
  /// @param text the state after exactly the records reported as
  ///     `RecordsCommitted`.
  JournalActions BeginSnapshot(std::string text, Time now);
  /// @param stored whether the object is certainly stored.
  JournalActions OnObjectPut(JournalCall call, bool stored, Time now);

  /// @return whether the host still owns the partition, as far as it knows.
  bool owned() const { return owned_; }
  /// @return the time of the next `Poll` that has work, or `Time::max()`.
  Time next_due() const;
  /// @return how many records wait to be sent.
  std::size_t queued() const { return queue_.size(); }
  /// @return the sequence of the next commit that has not been sent.
  JournalSequence next_sequence() const { return position_.next; }
  /// @return whether a commit has been unresolved for longer than `limit`.
  bool Stalled(Time now, Duration limit) const;

 private:
  struct Record {
    std::string text;
    JournalRecordId record_id;
    Time queued_at;
  };
  enum class Phase {
    kIdle,
    kSent,       // a transaction waits for its answer
    kReading,    // a read-back waits for its answer
    kSendLater,  // the same transaction is sent again at retry_at
    kReadLater,  // the read-back is sent again at retry_at
  };
  enum class SnapshotPhase { kNone, kPutting, kPutLater, kPointerDue };
  // The commit or pointer transaction in flight.
  struct Commit {
    Phase phase = Phase::kIdle;
    bool is_pointer = false;
    JournalCall call;
    TransactCall transact;
    std::vector<JournalRecordId> record_ids;
    // Sends that may have been applied.
    int uncertain_sends = 0;
    int retries = 0;
    Time started_at;
    Time retry_at;
  };

  bool IsCurrent(JournalCall call, Phase phase) const;
  JournalCall NewCall();
  Time RetryTime(int retries, Time now);
  void ReserveCommit(Time now);
  void RefuseOverdue(Time now, JournalActions& actions);
  void StartCommit(Time now, JournalActions& actions);
  std::string BuildBatch();
  void StartPointer(Time now, JournalActions& actions);
  std::vector<std::string> TakeRowsToDelete();
  void PutObject(JournalActions& actions);
  void Send(JournalActions& actions);
  void SendLater(Time now);
  void ReadBack(JournalActions& actions);
  void CompleteCommit(RowVersion version, Time now, JournalActions& actions);
  void CompletePointer(RowVersion version, JournalActions& actions);
  void LoseOwnership(JournalActions& actions);
  const std::string& CommitKey() const;
  RowVersion ExpectedVersion() const;

  JournalOptions options_;
  JournalPosition position_;
  WriteBudget* budget_;
  std::minstd_rand random_;
  bool owned_ = true;
  std::deque<Record> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t last_call_ = 0;
  // Time of the next commit; set while records wait.
  std::optional<Time> commit_at_;
  Time last_commit_;
  Commit commit_;
  SnapshotPhase snapshot_phase_ = SnapshotPhase::kNone;
  JournalCall snapshot_call_;
  Time snapshot_retry_at_;
  int snapshot_retries_ = 0;
  std::string snapshot_text_;
  std::string snapshot_object_;
  JournalSequence snapshot_sequence_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOURNAL_JOURNAL_H_
