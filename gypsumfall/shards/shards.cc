#include "gypsumfall/shards/shards.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gypsumfall/protocol/internal/codec_impl.h"

namespace gypsumfall {
namespace {

// Loads that were heard longer ago say nothing.
constexpr Duration kMaxLoadAge = seconds(5);
// Differences below this part of the processors are not worth a second row.
constexpr double kLeastDifference = 0.02;

ShardId ShardOfText(std::uint64_t shard_count, const std::string& text) {
  return ShardId(StableHash(text) % std::max<std::uint64_t>(1, shard_count));
}

}  // namespace

template <typename Visitor>
void Fields(Visitor& visit, Of<RackAssignment> auto& each) {
  visit("rack", each.rack);
  visit("shard", each.shard);
  visit("cpu", each.cpu);
}

template <typename Visitor>
void Fields(Visitor& visit, Of<ShardLayout> auto& layout) {
  visit("shards", layout.shard_count);
  visit("racks", layout.racks);
}

template <typename Visitor>
void Fields(Visitor& visit, Of<JobPlacement> auto& placement) {
  visit("shard", placement.shard);
}

std::uint64_t ShardCountFor(std::size_t workers,
                            std::size_t workers_per_shard) {
  const std::uint64_t count =
      (workers + workers_per_shard - 1) / workers_per_shard;
  return std::clamp<std::uint64_t>(count, 1, kMaxShards);
}

bool AssignRacks(ShardLayout& layout, std::vector<RackSize> racks) {
  if (layout.shard_count <= 1) return false;
  std::set<RackId> assigned;
  std::vector<std::int64_t> total(layout.shard_count, 0);
  for (const RackAssignment& each : layout.racks) {
    assigned.insert(each.rack);
    total.at(each.shard.value()) += each.cpu.value();
  }
  // Racks of one data centre follow each other, so that each data centre is
  // dealt to all shards in turn.
  std::sort(racks.begin(), racks.end(),
            [](const RackSize& a, const RackSize& b) {
              return std::tie(a.data_centre, b.cpu, a.rack) <
                     std::tie(b.data_centre, a.cpu, b.rack);
            });
  bool changed = false;
  for (RackSize& rack : racks) {
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
  return ShardOfText(layout.shard_count, job.str());
}

ShardId ChooseShard(ShardId home, const std::vector<ShardLoad>& loads,
                    Time now) {
  if (home.value() >= loads.size()) return home;
  const bool all_heard =
      std::all_of(loads.begin(), loads.end(), [now](const ShardLoad& load) {
        return load.heard_at && now < *load.heard_at + kMaxLoadAge &&
               load.capacity.value() > 0;
      });
  const auto fullness = [all_heard](const ShardLoad& load) {
    const auto sent = static_cast<double>(load.sent.value());
    if (!all_heard) return sent;
    const auto free = static_cast<double>(load.free.value());
    return (sent - free) / static_cast<double>(load.capacity.value());
  };
  const auto emptiest = std::min_element(
      loads.begin(), loads.end(), [&](const ShardLoad& a, const ShardLoad& b) {
        return fullness(a) < fullness(b);
      });
  const double difference = fullness(loads[home.value()]) - fullness(*emptiest);
  if (difference <= (all_heard ? kLeastDifference : 0)) return home;
  return ShardId(static_cast<std::uint64_t>(emptiest - loads.begin()));
}

ShardMap::ShardMap(const ShardLayout& layout)
    : shard_count_(layout.shard_count) {
  for (const RackAssignment& each : layout.racks) {
    racks_.emplace(each.rack, each.shard);
  }
}

std::optional<ShardId> ShardMap::ShardOf(const WorkerId& worker,
                                         const RackId& rack) const {
  if (shard_count_ <= 1) return ShardId(0);
  if (rack.empty()) return ShardOfText(shard_count_, worker.str());
  const auto found = racks_.find(rack);
  if (found == racks_.end()) return std::nullopt;
  return found->second;
}

std::string EncodePlacement(const JobPlacement& placement) {
  return Encode(placement);
}

Result<JobPlacement> DecodePlacement(std::string_view text) {
  return Decode<JobPlacement>(text);
}

std::string EncodeLayout(const ShardLayout& layout) { return Encode(layout); }

Result<ShardLayout> DecodeLayout(std::string_view text) {
  Result<ShardLayout> layout = Decode<ShardLayout>(text);
  if (!layout) return layout;
  if (layout->shard_count < 1 || layout->shard_count > kMaxShards) {
    return Fail(ErrorKind::kBadRequest, "number of shards out of range");
  }
  for (const RackAssignment& each : layout->racks) {
    if (each.shard.value() >= layout->shard_count) {
      return Fail(ErrorKind::kBadRequest, "rack of an unknown shard");
    }
  }
  return layout;
}

}  // namespace gypsumfall
