#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/row_loader.h"

namespace gypsumfall::scheduler_internal {

/// Rows that a batch may have besides the duty row; the store takes 100.
inline constexpr std::size_t kMaxBatchRows = 90;

/// @return the place of a job's record. It stays, emptied, after the job has
///   ended, so that a repeated submission does not run the job again.
RowAddress JobAddress(const ShardScope& scope, const JobId& id);

/// @return the place that names the shard of a job that is not in `home`.
RowAddress PlacementAddress(const ShardScope& home, const JobId& id);

/// @return the transaction that notes that a job goes to another shard, unless
///   it is known at home or noted already.
RowTransaction PlaceTransaction(const ShardScope& home, const JobId& id,
                                ShardId shard);

/// Reads which other shard a job is in.
/// @param done gets the shard if there is one; an error if the store does not
///   answer.
void LoadPlacement(Context& context, const ShardScope& home, const JobId& id,
                   Duration timeout,
                   UniqueFunction<Result<std::optional<ShardId>>> done);

/// @return the transaction that stores an accepted job unless it is known. At
///   home it also fails if the job is noted to be in another shard.
RowTransaction AcceptTransaction(const ShardScope& scope, const JobId& id,
                                 std::string record, bool is_home);
/// @return the rows of a batch, without the duty row.
RowTransaction BatchTransaction(const ShardScope& scope,
                                const RecordBatch& batch);

/// All that earlier epochs have stored.
struct StoredState {
  std::vector<JobRecord> jobs;
  std::vector<JobProgress> progress;
  std::vector<JobProgress> ended;
  std::vector<RosterEntry> roster;
  /// Changes of the job table are followed from here.
  RowVersion version;
};

/// Reads the stored state of a shard.
/// @param done gets the state, or an error if a part could not be read.
void LoadState(Context& context, const ShardScope& scope,
               UniqueFunction<Result<StoredState>> done);

/// Reads the state of one job from the store.
/// @param done gets whether the job is known and its state; an error if the
///   store does not answer.
void LoadJobState(Context& context, const ShardScope& scope, const JobId& id,
                  Duration timeout, UniqueFunction<Result<JobStateReply>> done);

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_STORED_JOBS_H_
