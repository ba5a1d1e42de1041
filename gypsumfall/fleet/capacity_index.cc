#include "gypsumfall/fleet/internal/capacity_index.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace gypsumfall {
namespace {

// Level 0 holds amounts below one unit; each further level covers twice the
// range of the one before.
constexpr std::int64_t kCpuUnitMilliCores = 125;
constexpr std::int64_t kMemoryUnitMebiBytes = 256;

int Level(std::int64_t amount, std::int64_t unit) {
  const std::int64_t units = std::max<std::int64_t>(amount, 0) / unit;
  return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(units)));
}

}  // namespace

// Uses the lower level of the two dimensions. The level is monotonic in each
// dimension, so a worker that fits an amount never has a lower level than it.
int CapacityIndex::LevelOf(const Resources& amount) {
  const int level =
      std::min(Level(amount.cpu.value(), kCpuUnitMilliCores),
               Level(amount.memory.value(), kMemoryUnitMebiBytes));
  return std::min(level, kLevels - 1);
}

std::uint32_t CapacityIndex::BucketOf(int level, int accelerator) {
  return 2 * static_cast<std::uint32_t>(level) +
         static_cast<std::uint32_t>(accelerator);
}

void CapacityIndex::Update(WorkerIndex worker, const Resources& spare,
                           bool has_slot) {
  if (worker >= locations_.size()) locations_.resize(worker + 1);
  Location& location = locations_[worker];
  std::uint32_t bucket = kNotIndexed;
  if (has_slot) {
    const int accelerator = spare.accelerators.value() > 0 ? 1 : 0;
    bucket = BucketOf(LevelOf(spare), accelerator);
  }
  if (bucket == location.bucket) return;
  if (location.bucket != kNotIndexed) {
    std::vector<WorkerIndex>& old = buckets_[location.bucket];
    old[location.position] = old.back();
    locations_[old.back()].position = location.position;
    old.pop_back();
  }
  location.bucket = bucket;
  if (bucket == kNotIndexed) return;
  location.position = static_cast<std::uint32_t>(buckets_[bucket].size());
  buckets_[bucket].push_back(worker);
}

CapacityIndex::Selection CapacityIndex::Select(const Resources& needed) const {
  Selection selection;
  const bool accelerator = needed.accelerators.value() > 0;
  for (int level = LevelOf(needed); level < kLevels; ++level) {
    for (int with_accelerator = accelerator ? 1 : 0; with_accelerator < 2;
         ++with_accelerator) {
      const auto& bucket = buckets_[BucketOf(level, with_accelerator)];
      if (bucket.empty()) continue;
      selection.buckets_.push_back(&bucket);
      selection.size_ += bucket.size();
    }
  }
  return selection;
}

CapacityIndex::WorkerIndex CapacityIndex::Selection::At(
    std::size_t position) const {
  for (const std::vector<WorkerIndex>* bucket : buckets_) {
    if (position < bucket->size()) return (*bucket)[position];
    position -= bucket->size();
  }
  return kNotIndexed;
}

}  // namespace gypsumfall
