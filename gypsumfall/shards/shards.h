#ifndef GYPSUMFALL_SHARDS_SHARDS_H_
#define GYPSUMFALL_SHARDS_SHARDS_H_

/// @file
/// Splits a deployment that is too large for one scheduler into shards. Each
/// shard has its own scheduler and a disjoint subset of the workers and tasks.
/// The layout is stored once; racks are only added to it. The shard of a task
/// and the shard of a rack never change. Jobs whose tasks are independent and
/// reserve resources for long are sliced: each shard runs an equal part of
/// their tasks. All other jobs run in one shard, their home shard.
///
/// Example:
/// @code
///   ShardLayout layout{.shard_count = ShardCountFor(workers.size(), 128)};
///   AssignRacks(layout, racks);
///   const ShardId shard = ShardOf(layout, job_id);
///   const ShardMap map(layout);
///   std::optional<ShardId> worker_shard = map.ShardOf(worker_id, rack);
/// @endcode

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

/// A rack of workers and the processors of its workers.
struct RackCapacity {
  RackId rack;
  DataCentreId data_centre;
  MilliCores cpu;
};

/// Assigns the workers of a rack to a shard.
struct RackAssignment {
  RackId rack;
  ShardId shard;
  /// Processors of the rack at the time of the assignment.
  MilliCores cpu;
};

/// The stored assignment of the deployment's racks to shards.
struct ShardLayout {
  std::uint64_t shard_count = 1;
  /// Empty if there is only one shard.
  std::vector<RackAssignment> racks;
};

/// @param workers_per_shard number of workers that one scheduler can manage;
///   above 0.
/// @return the number of shards, at least 1 and at most `kMaxShards`.
std::uint64_t ShardCountFor(std::size_t workers, std::size_t workers_per_shard);

/// Each shard has its own job table, and the table service supports 100 tables
/// in total.
inline constexpr std::uint64_t kMaxShards = 64;

/// Assigns racks that have no shard yet. Keeps the processors of the shards
/// about equal and distributes the racks of each data centre over all shards.
/// @return whether the layout has changed.
bool AssignRacks(ShardLayout& layout, std::vector<RackCapacity> racks);

/// @return the home shard of a job, a hash of its id. It is the same on every
///   host and never changes.
ShardId ShardOf(const ShardLayout& layout, const JobId& job);

/// @return the tasks of a sliceable job that the shard runs. The slices of all
///   shards are disjoint, contain all tasks and differ by at most one task, so
///   that such jobs load all shards alike at any time. The home shard runs the
///   first task.
JobSlice SliceOf(const ShardLayout& layout, ShardId shard, const JobId& job);

/// Maps workers to shards.
class ShardMap {
 public:
  explicit ShardMap(const ShardLayout& layout);

  /// @return the shard of a worker, or nothing if its rack is not assigned yet.
  ///   A worker without a rack belongs to a shard by the hash of its id.
  std::optional<ShardId> ShardOf(const WorkerId& worker,
                                 const RackId& rack) const;

 private:
  std::uint64_t shard_count_;
  std::unordered_map<RackId, ShardId> racks_;
};

/// @return the layout in its stored form.
std::string EncodeLayout(const ShardLayout& layout);
/// @return the layout, or kBadRequest if the text is not a valid layout.
Result<ShardLayout> DecodeLayout(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SHARDS_SHARDS_H_
