#ifndef GYPSUMFALL_SHARDS_SHARDS_H_
#define GYPSUMFALL_SHARDS_SHARDS_H_

/// @file
/// Splits a deployment that is too large for one scheduler into shards. Each
/// shard has a scheduler of its own, a part of the workers and a part of the
/// jobs. The layout is stored once and only grows: a job belongs to the same
/// shard for good, and a rack of workers stays in the shard it was given.
///
/// Example:
/// @code
///   ShardLayout layout{.shard_count = ShardCountFor(workers.size(), 128)};
///   AssignRacks(layout, racks);
///   const ShardId shard = ShardOf(layout, job_id);
///   const ShardMap map(layout);
///   std::optional<ShardId> of_worker = map.ShardOf(worker_id, rack);
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

/// A rack of workers and what it holds.
struct RackSize {
  RackId rack;
  DataCentreId data_centre;
  MilliCores cpu;
};

/// A rack and the shard that its workers belong to.
struct RackAssignment {
  RackId rack;
  ShardId shard;
  /// Processors of the rack when it was assigned.
  MilliCores cpu;
};

/// How the deployment is split, as it is stored.
struct ShardLayout {
  std::uint64_t shard_count = 1;
  /// Empty while there is one shard.
  std::vector<RackAssignment> racks;
};

/// @param workers_per_shard workers that one scheduler is to carry; above 0.
/// @return the number of shards, at least 1 and at most `kMaxShards`.
std::uint64_t ShardCountFor(std::size_t workers, std::size_t workers_per_shard);

/// Each shard has a table of its own; the table service holds 100 in all.
inline constexpr std::uint64_t kMaxShards = 64;

/// Assigns racks that have no shard yet, so that the shards stay about equal
/// and each has a part of every data centre.
/// @return whether the layout has changed.
bool AssignRacks(ShardLayout& layout, std::vector<RackSize> racks);

/// @return the shard of a job, the same on each host and for good.
ShardId ShardOf(const ShardLayout& layout, const JobId& job);

/// How full a shard is, as far as one host knows.
struct ShardLoad {
  /// Processors that no task has reserved, and all, as heard last.
  MilliCores free;
  MilliCores capacity;
  /// Unset until something was heard.
  std::optional<Time> heard_at;
  /// What this host has sent there for long since then.
  MilliCores sent;
};

/// Chooses the shard for a job that runs for long. Such jobs reserve much for
/// long, so that shards filled by chance alone differ: one is full while
/// another has room. While not all shards were heard of lately, each host
/// spreads its own jobs evenly.
/// @param home shard of the job by its id; taken unless another one is clearly
///   emptier.
/// @param loads by shard.
ShardId ChooseShard(ShardId home, const std::vector<ShardLoad>& loads,
                    Time now);

/// Finds the shards of workers.
class ShardMap {
 public:
  explicit ShardMap(const ShardLayout& layout);

  /// @return the shard, or nothing if the rack is not assigned yet. A worker
  ///   without a rack is assigned by its id.
  std::optional<ShardId> ShardOf(const WorkerId& worker,
                                 const RackId& rack) const;

 private:
  std::uint64_t shard_count_;
  std::unordered_map<RackId, ShardId> racks_;
};

/// A job that is not in the shard that its id tells, as it is stored there.
struct JobPlacement {
  ShardId shard;
};

/// @return the text that is stored.
std::string EncodePlacement(const JobPlacement& placement);
/// @return the placement, or kBadRequest if the text is none.
Result<JobPlacement> DecodePlacement(std::string_view text);

/// @return the text that is stored.
std::string EncodeLayout(const ShardLayout& layout);
/// @return the layout, or kBadRequest if the text is none.
Result<ShardLayout> DecodeLayout(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SHARDS_SHARDS_H_
