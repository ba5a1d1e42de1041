#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/row_loader.h"
#include "gypsumfall/scheduler/internal/store_clock_estimate.h"

namespace gypsumfall::scheduler_internal {

/// Maximum number of rows in a batch, excluding the leader row. The store
/// allows 100 rows per transaction.
inline constexpr std::size_t kMaxBatchRows = 90;

/// @return the address of a job's record. After the job has ended, the row
/// stays
///   with an empty value, so that a repeated submission does not run the job
///   again.
RowAddress JobAddress(const ShardScope& scope, const JobId& id);

/// Reads the rows of all jobs of a shard.
/// @param done called with the rows and the earliest version of the reads, or
///   with the outcome of a read that failed.
void LoadJobRows(Context& context, const ShardScope& scope, Duration timeout,
                 UniqueFunction<LoadedRows> done);

/// Reads the rows of all sliced jobs, the transfers of their tasks, and the
/// moves of other jobs.
/// Parameters are those of `LoadJobRows`.
void LoadSlicedJobRows(Context& context, std::uint64_t shard_count,
                       Duration timeout, UniqueFunction<LoadedRows> done);

/// @return whether the row of the table of sliced jobs is a transfer of a task.
bool IsTransferRow(const RowAddress& address);
/// @return whether the row of the table of sliced jobs is a move of a job.
bool IsMoveRow(const RowAddress& address);

/// @return transactions that empty the records of ended jobs, one for each
///   partition. Records are only emptied to make them small: an ended job is
///   known by its row in the table of ended jobs.
std::vector<RowTransaction> EmptyJobsTransactions(
    const ShardScope& scope, const std::vector<JobId>& ids);
/// @return transactions that remove the records of jobs, one for each
///   partition. They must be done before the rows of the ended jobs are
///   removed, because a record without such a row is a job to run.
std::vector<RowTransaction> RemoveJobsTransactions(
    const ShardScope& scope, const std::vector<JobId>& ids);

/// @return the transaction that stores an accepted job. It conflicts if the job
///   is already stored.
/// @param record the encoded job.
RowTransaction AcceptTransaction(const ShardScope& scope, const JobId& id,
                                 std::string record);

/// @param record the encoded job that was written.
/// @return whether the write, or an earlier one of the same record, has stored
///   the job.
bool IsStored(const std::string& record, const TransactionReply& reply);

/// @param latest time that the latest attempt to store a job took, until its
///   answer or its timeout.
/// @return the time for which the next attempt is waited for. It grows while
/// the
///   store is slow, because attempts that are repeated too early wait behind
///   each other there.
Duration AcceptTimeout(Duration latest);

/// @return the transaction that stores an accepted sliced job. It conflicts if
///   the job is already stored or was cancelled.
/// @param record the encoded job.
RowTransaction AcceptSlicedTransaction(const JobId& id, std::string record);
/// @return the marker of a job that was cancelled before it was accepted, if
///   the value of the row is one.
std::optional<JobProgress> DecodeNeverAccepted(const std::string& value);
/// @return the transaction that stores such a marker in place of the record of
///   a job, so that a late write does not store the job. It conflicts if there
///   is a record or a marker.
RowTransaction RejectLateAcceptance(const ShardScope& scope,
                                    const JobProgress& marker);
/// @return the same for a job that may be sliced.
RowTransaction RejectLateSlicedAcceptance(const JobProgress& marker);
/// @return the transaction that stores the cancellation of a sliced job. It may
///   be repeated.
RowTransaction CancelSlicedTransaction(const JobProgress& cancelled);
/// @return the transaction that removes the rows of cancelled sliced jobs.
RowTransaction RemoveCancelledSlicedTransaction(const std::vector<JobId>& ids);

/// @param clock clock of the store, on which the ends of leases are stored.
/// @return the transaction that stores a batch, without the leader row.
RowTransaction BatchTransaction(const ShardScope& scope,
                                const RecordBatch& batch,
                                const StoreClockEstimate& clock);

/// @return the workers of a stored roster, with the ends of their leases on the
///   clock of this host.
std::vector<LeaseHolder> LeaseHoldersOf(const std::vector<RosterEntry>& roster,
                                        const StoreClockEstimate& clock);

/// State of a shard that earlier epochs have stored.
struct StoredState {
  std::vector<JobRecord> jobs;
  std::vector<JobProgress> progress;
  std::vector<ChunkProgress> chunk_progress;
  std::vector<JobProgress> ended;
  /// Markers of jobs that were cancelled before they were accepted.
  std::vector<JobProgress> never_accepted;
  std::vector<RosterEntry> roster;
  /// The roster that an earlier version has stored, if there is one.
  std::optional<std::vector<RosterEntry>> old_roster;
  std::vector<JobRecord> sliced_jobs;
  /// Transfers of tasks of sliced jobs that this shard has stored, and those of
  /// other shards.
  std::vector<TaskTransfer> own_transfers;
  std::vector<TaskTransfer> other_transfers;
  /// Moves of jobs that all shards have stored.
  std::vector<JobMove> moves;
  /// Versions of the job table and of the table of sliced jobs from which
  /// changes must be read.
  RowVersion version;
  RowVersion sliced_version;
  /// The operator's rows that close data centres, and possibly other rows.
  LoadedRows evacuations;
};

/// Reads the operator's rows that close data centres.
/// @param done called with these rows, among which there may be others, or with
///   the outcome of a read that failed.
void LoadEvacuations(Context& context, Duration timeout,
                     UniqueFunction<LoadedRows> done);

/// Reads the stored state of a shard, and which data centres are closed.
/// @param done called with the state, or with an error if a table could not be
///   read.
void LoadState(Context& context, const ShardScope& scope,
               std::uint64_t shard_count,
               UniqueFunction<Result<StoredState>> done);

/// Reads the state of one job from the rows of its home shard.
/// @param done called with whether the job is known and its state, or with an
///   error if the store does not answer or the row is invalid.
void LoadJobState(Context& context, const ShardScope& scope, const JobId& id,
                  Duration timeout, UniqueFunction<Result<JobStateReply>> done);

/// Reads the state of one sliced job from the store. Parameters and results are
/// those of `LoadJobState`.
void LoadSlicedJobState(Context& context, const JobId& id, Duration timeout,
                        UniqueFunction<Result<JobStateReply>> done);

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_
