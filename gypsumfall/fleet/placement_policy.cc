#include "gypsumfall/fleet/internal/placement_policy.h"

#include <algorithm>

namespace gypsumfall {
namespace {

// Penalties that outweigh any difference in load, which is between 0 and 1.
constexpr double kAvoidRackCost = 10;
constexpr double kNoUrgentHeadroomCost = 4;
constexpr double kWastedAcceleratorCost = 2;

// Returns the fraction of the CPU in use after the work is added.
double LoadAfterPlacement(const Candidate& candidate, const WorkSpec& work) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(1, candidate.capacity.cpu.value()));
  const auto load =
      static_cast<double>(candidate.load.value() + work.resources.cpu.value());
  return load / capacity;
}

// Returns the fraction of the slots in use after the work is added.
double SlotUseAfterPlacement(const Candidate& candidate) {
  const double spare = candidate.spare_slots - 1;
  return 1 - spare / std::max(1, candidate.slots);
}

}  // namespace

double FirstFit::Score(const Candidate& /*candidate*/,
                       const WorkSpec& /*work*/) const {
  return 0;
}

double LeastLoaded::Score(const Candidate& candidate,
                          const WorkSpec& work) const {
  return LoadAfterPlacement(candidate, work);
}

double BestFitWithUrgentHeadroom::Score(const Candidate& candidate,
                                        const WorkSpec& work) const {
  const double load = LoadAfterPlacement(candidate, work);
  double cost = candidate.avoid_rack ? kAvoidRackCost : 0;
  const bool wastes_accelerators =
      candidate.capacity.accelerators.value() > 0 &&
      work.resources.accelerators.value() == 0;
  if (wastes_accelerators) cost += kWastedAcceleratorCost;
  // Spreads requests by CPU and slots, because sharing a worker slows them
  // down.
  if (candidate.urgent)
    return cost + 0.5 * (load + SlotUseAfterPlacement(candidate));
  // Packs attempts onto the fullest worker first, up to the urgent share.
  if (load > 1 - urgent_share) return cost + kNoUrgentHeadroomCost + load;
  return cost + 1 - load;
}

}  // namespace gypsumfall
