#ifndef GYPSUMFALL_SHARDS_SHARDS_H_
#define GYPSUMFALL_SHARDS_SHARDS_H_

/// @file
/// Splits a deployment that is too large for one scheduler into shards. Each
/// shard has its own scheduler and a disjoint subset of the workers and jobs.
/// The layout is stored once; racks are only added to it. The shard of a job
/// and the shard of a rack never change.
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

/// Shards are numbered from 0.
using ShardId = StrongNumber<struct ShardIdTag, std::uint64_t>;

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

/// Load of a shard as known to one host.
struct ShardLoad {
  /// Unreserved and total processors, as last reported by the shard's
  /// scheduler.
  MilliCores free;
  MilliCores capacity;
  /// Time of the last report; unset before the first one.
  std::optional<Time> reported_at;
  /// Processors of the long-running jobs that this host has sent to the shard
  /// since the last report.
  MilliCores sent_cpu;
};

/// Chooses the shard for a long-running job. Such jobs reserve processors for
/// minutes, so hashing alone can fill one shard while another has free
/// processors. If any shard has no recent load report, the host balances only
/// the jobs that it has sent itself.
/// @param home_shard shard of the job by its id; chosen unless another shard is
///   clearly less loaded.
/// @param loads loads of all shards, indexed by shard id.
ShardId ChooseShard(ShardId home_shard, const std::vector<ShardLoad>& loads,
                    Time now);

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

/// The stored shard of a job that is not in its home shard. The row is stored
/// with the rows of the home shard.
struct JobPlacement {
  ShardId shard;
};

/// @return the placement in its stored form.
std::string EncodePlacement(const JobPlacement& placement);
/// @return the placement, or kBadRequest if the text is not a valid placement.
Result<JobPlacement> DecodePlacement(std::string_view text);

/// @return the layout in its stored form.
std::string EncodeLayout(const ShardLayout& layout);
/// @return the layout, or kBadRequest if the text is not a valid layout.
Result<ShardLayout> DecodeLayout(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SHARDS_SHARDS_H_
