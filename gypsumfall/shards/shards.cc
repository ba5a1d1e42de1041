#include "gypsumfall/shards/shards.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gypsumfall/protocol/internal/codec_impl.h"

namespace gypsumfall {
namespace {

ShardId ShardByHash(std::uint64_t shard_count, const std::string& text) {
  return ShardId(StableHash(text) % std::max<std::uint64_t>(1, shard_count));
}

}  // namespace

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RackAssignment> auto& assignment) {
  visit("rack", assignment.rack);
  visit("shard", assignment.shard);
  visit("cpu", assignment.cpu);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ShardLayout> auto& layout) {
  visit("shards", layout.shard_count);
  visit("racks", layout.racks);
}

std::uint64_t ShardCountFor(std::size_t workers,
                            std::size_t workers_per_shard) {
  const std::uint64_t count =
      (workers + workers_per_shard - 1) / workers_per_shard;
  return std::clamp<std::uint64_t>(count, 1, kMaxShards);
}

bool AssignRacks(ShardLayout& layout, std::vector<RackCapacity> racks) {
  if (layout.shard_count <= 1) return false;
  std::set<RackId> assigned;
  std::vector<std::int64_t> total(layout.shard_count, 0);
  for (const RackAssignment& assignment : layout.racks) {
    assigned.insert(assignment.rack);
    total.at(assignment.shard.value()) += assignment.cpu.value();
  }
  // Racks are sorted by data centre, so that the racks of each data centre are
  // distributed over all shards.
  std::sort(racks.begin(), racks.end(),
            [](const RackCapacity& a, const RackCapacity& b) {
              return std::tie(a.data_centre, b.cpu, a.rack) <
                     std::tie(b.data_centre, a.cpu, b.rack);
            });
  bool changed = false;
  for (RackCapacity& rack : racks) {
    if (rack.rack.empty() || !assigned.insert(rack.rack).second) continue;
    const auto least = std::min_element(total.begin(), total.end());
    *least += rack.cpu.value();
    const ShardId shard(static_cast<std::uint64_t>(least - total.begin()));
    layout.racks.push_back({std::move(rack.rack), shard, rack.cpu});
    changed = true;
  }
  return changed;
}

ShardId ShardOf(const ShardLayout& layout, const JobId& job) {
  return ShardByHash(layout.shard_count, job.str());
}

JobSlice SliceOf(const ShardLayout& layout, ShardId shard, const JobId& job) {
  const std::uint64_t count = std::max<std::uint64_t>(1, layout.shard_count);
  const std::uint64_t home = ShardOf(layout, job).value();
  return {.first = (shard.value() + count - home) % count, .stride = count};
}

ShardMap::ShardMap(const ShardLayout& layout)
    : shard_count_(layout.shard_count) {
  for (const RackAssignment& assignment : layout.racks) {
    racks_.emplace(assignment.rack, assignment.shard);
  }
}

std::optional<ShardId> ShardMap::ShardOf(const WorkerId& worker,
                                         const RackId& rack) const {
  if (shard_count_ <= 1) return ShardId(0);
  if (rack.empty()) return ShardByHash(shard_count_, worker.str());
  const auto found = racks_.find(rack);
  if (found == racks_.end()) return std::nullopt;
  return found->second;
}

std::string EncodeLayout(const ShardLayout& layout) { return Encode(layout); }

Result<ShardLayout> DecodeLayout(std::string_view text) {
  Result<ShardLayout> layout = Decode<ShardLayout>(text);
  if (!layout) return layout;
  if (layout->shard_count < 1 || layout->shard_count > kMaxShards) {
    return Fail(ErrorKind::kBadRequest, "number of shards is out of range");
  }
  for (const RackAssignment& assignment : layout->racks) {
    if (assignment.shard.value() >= layout->shard_count) {
      return Fail(ErrorKind::kBadRequest,
                  "a rack is assigned to an unknown shard");
    }
  }
  return layout;
}

}  // namespace gypsumfall
