#include "gypsumfall/fleet/internal/placement_policy.h"

#include <algorithm>

namespace gypsumfall {
namespace {

// Costs that rank above any difference in load, which lies between 0 and 1.
constexpr double kAvoidRackCost = 10;
constexpr double kNoUrgentRoomCost = 4;
constexpr double kWastedAcceleratorCost = 2;

// @return the share of the processors in use after the work is added.
double LoadAfter(const Candidate& candidate, const Work& work) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(1, candidate.capacity.cpu.value()));
  const auto load =
      static_cast<double>(candidate.load.value() + work.resources.cpu.value());
  return load / capacity;
}

double SlotsAfter(const Candidate& candidate) {
  const double spare = candidate.spare_slots - 1;
  return 1 - spare / std::max(1, candidate.slots);
}

}  // namespace

double FirstFit::Score(const Candidate& /*candidate*/,
                       const Work& /*work*/) const {
  return 0;
}

double LeastLoaded::Score(const Candidate& candidate, const Work& work) const {
  return LoadAfter(candidate, work);
}

double BestFitWithUrgentRoom::Score(const Candidate& candidate,
                                    const Work& work) const {
  const double load = LoadAfter(candidate, work);
  double cost = candidate.avoid_rack ? kAvoidRackCost : 0;
  const bool wasted = candidate.capacity.accelerators.value() > 0 &&
                      work.resources.accelerators.value() == 0;
  if (wasted) cost += kWastedAcceleratorCost;
  // Requests spread over processors and slots, because sharing slows them.
  if (candidate.urgent) return cost + 0.5 * (load + SlotsAfter(candidate));
  // Attempts fill a worker up to the urgent share, fullest worker first.
  if (load > 1 - urgent_share) return cost + kNoUrgentRoomCost + load;
  return cost + 1 - load;
}

}  // namespace gypsumfall
