#ifndef GYPSUMFALL_FLEET_INTERNAL_CAPACITY_INDEX_H_
#define GYPSUMFALL_FLEET_INTERNAL_CAPACITY_INDEX_H_

#include <array>
#include <cstdint>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Workers with a spare slot, in buckets by spare capacity, so that a sample
/// of workers that probably fit costs the same for any number of workers.
/// Buckets narrow the choice and a sample of few keeps the cost flat; a sorted
/// index would cost an update in each dimension for every decision.
class CapacityIndex {
 public:
  using WorkerIndex = std::uint32_t;

  /// @param has_slot whether the worker may get any work at all.
  void Update(WorkerIndex worker, const Resources& spare, bool has_slot);

  /// The workers that may fit an amount.
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
  /// Valid until the next update.
  Selection Select(const Resources& needed) const;

 private:
  static constexpr int kLevels = 24;
  static constexpr std::size_t kBuckets = 48;
  static constexpr std::uint32_t kNowhere = ~std::uint32_t{0};
  struct Place {
    std::uint32_t bucket = kNowhere;
    std::uint32_t position = 0;
  };

  static int LevelOf(const Resources& amount);
  static std::uint32_t BucketOf(int level, int accelerator);

  // Bucket = 2 * level + (has a spare accelerator).
  std::array<std::vector<WorkerIndex>, kBuckets> buckets_;
  std::vector<Place> places_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_CAPACITY_INDEX_H_
