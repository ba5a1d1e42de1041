#include "gypsumfall/fleet/internal/capacity_index.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace gypsumfall {
namespace {

// Amounts below one unit share the lowest level; each level doubles.
constexpr std::int64_t kCpuUnit = 125;
constexpr std::int64_t kMemoryUnit = 256;

int Level(std::int64_t amount, std::int64_t unit) {
  const std::int64_t units = std::max<std::int64_t>(amount, 0) / unit;
  return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(units)));
}

}  // namespace

// The lower of both dimensions: a worker that fits an amount is never below the
// amount's level, because each dimension grows with its amount.
int CapacityIndex::LevelOf(const Resources& amount) {
  const int level = std::min(Level(amount.cpu.value(), kCpuUnit),
                             Level(amount.memory.value(), kMemoryUnit));
  return std::min(level, kLevels - 1);
}

std::uint32_t CapacityIndex::BucketOf(int level, int accelerator) {
  return 2 * static_cast<std::uint32_t>(level) +
         static_cast<std::uint32_t>(accelerator);
}

void CapacityIndex::Update(WorkerIndex worker, const Resources& spare,
                           bool has_slot) {
  if (worker >= places_.size()) places_.resize(worker + 1);
  Place& place = places_[worker];
  std::uint32_t bucket = kNowhere;
  if (has_slot) {
    const int accelerator = spare.accelerators.value() > 0 ? 1 : 0;
    bucket = BucketOf(LevelOf(spare), accelerator);
  }
  if (bucket == place.bucket) return;
  if (place.bucket != kNowhere) {
    std::vector<WorkerIndex>& old = buckets_[place.bucket];
    old[place.position] = old.back();
    places_[old.back()].position = place.position;
    old.pop_back();
  }
  place.bucket = bucket;
  if (bucket == kNowhere) return;
  place.position = static_cast<std::uint32_t>(buckets_[bucket].size());
  buckets_[bucket].push_back(worker);
}

CapacityIndex::Selection CapacityIndex::Select(const Resources& needed) const {
  Selection selection;
  const bool accelerator = needed.accelerators.value() > 0;
  for (int level = LevelOf(needed); level < kLevels; ++level) {
    for (int kind = accelerator ? 1 : 0; kind < 2; ++kind) {
      const auto& bucket = buckets_[BucketOf(level, kind)];
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
  return kNowhere;
}

}  // namespace gypsumfall
