#ifndef GYPSUMFALL_FLEET_INTERNAL_CAPACITY_INDEX_H_
#define GYPSUMFALL_FLEET_INTERNAL_CAPACITY_INDEX_H_

#include <array>
#include <cstdint>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Groups workers with a spare slot into buckets by spare capacity, so that the
/// cost of sampling workers that probably fit does not depend on the number of
/// workers. A sorted index would need an update in each resource dimension for
/// every placement.
class CapacityIndex {
 public:
  using WorkerIndex = std::uint32_t;

  /// Moves a worker to the bucket of its spare capacity.
  /// @param has_slot whether the worker can take any work; otherwise it is
  ///     removed from the index.
  void Update(WorkerIndex worker, const Resources& spare, bool has_slot);

  /// The workers that may fit the needed resources.
  class Selection {
   public:
    std::size_t size() const { return size_; }
    /// @param position less than `size()`.
    WorkerIndex At(std::size_t position) const;

   private:
    friend class CapacityIndex;
    std::vector<const std::vector<WorkerIndex>*> buckets_;
    std::size_t size_ = 0;
  };
  /// @return workers that may fit; valid until the next update.
  Selection Select(const Resources& needed) const;

 private:
  static constexpr int kLevels = 24;
  static constexpr std::size_t kBuckets = 48;
  static constexpr std::uint32_t kNotIndexed = ~std::uint32_t{0};
  struct Location {
    std::uint32_t bucket = kNotIndexed;
    std::uint32_t position = 0;
  };

  static int LevelOf(const Resources& amount);
  static std::uint32_t BucketOf(int level, int accelerator);

  // Bucket number: 2 * level + (1 if the worker has a spare accelerator).
  std::array<std::vector<WorkerIndex>, kBuckets> buckets_;
  std::vector<Location> locations_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_CAPACITY_INDEX_H_
