#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/row_loader.h"

namespace gypsumfall::scheduler_internal {

/// Maximum number of rows in a batch, excluding the leader row. The store
/// allows 100 rows per transaction.
inline constexpr std::size_t kMaxBatchRows = 90;

/// @return the address of a job's record. After the job has ended, the row
/// stays
///   with an empty value, so that a repeated submission does not run the job
///   again.
RowAddress JobAddress(const ShardScope& scope, const JobId& id);

/// @return the address of the placement of a job that is not in its home shard.
RowAddress PlacementAddress(const ShardScope& home_scope, const JobId& id);

/// @return the transaction that stores the placement of a job in another shard.
///   It conflicts if the job is stored in its home shard or has a placement.
RowTransaction PlacementTransaction(const ShardScope& home_scope,
                                    const JobId& id, ShardId shard);

/// Reads the placement of a job.
/// @param done called with the shard, or nothing if the job has no placement;
/// an
///   error if the store does not answer or the row is invalid.
void LoadPlacement(Context& context, const ShardScope& home_scope,
                   const JobId& id, Duration timeout,
                   UniqueFunction<Result<std::optional<ShardId>>> done);

/// @return the transaction that stores an accepted job. It conflicts if the job
///   is already stored.
/// @param record the encoded job.
/// @param is_home whether `scope` is the job's home shard; the transaction then
///   also conflicts if the job has a placement.
RowTransaction AcceptTransaction(const ShardScope& scope, const JobId& id,
                                 std::string record, bool is_home);
/// @return the transaction that stores a batch, without the leader row.
RowTransaction BatchTransaction(const ShardScope& scope,
                                const RecordBatch& batch);

/// State of a shard that earlier epochs have stored.
struct StoredState {
  std::vector<JobRecord> jobs;
  std::vector<JobProgress> progress;
  std::vector<JobProgress> ended;
  std::vector<RosterEntry> roster;
  /// Version of the job table from which changes must be read.
  RowVersion version;
};

/// Reads the stored state of a shard.
/// @param done called with the state, or with an error if a table could not be
///   read.
void LoadState(Context& context, const ShardScope& scope,
               UniqueFunction<Result<StoredState>> done);

/// Reads the state of one job from the store.
/// @param done called with whether the job is known and its state, or with an
///   error if the store does not answer or the row is invalid.
void LoadJobState(Context& context, const ShardScope& scope, const JobId& id,
                  Duration timeout, UniqueFunction<Result<JobStateReply>> done);

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_
