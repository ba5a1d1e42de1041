#ifndef GYPSUMFALL_RANKING_INTERNAL_LOSS_ORDER_H_
#define GYPSUMFALL_RANKING_INTERNAL_LOSS_ORDER_H_

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/ranking/internal/step_demand.h"
#include "gypsumfall/ranking/internal/step_order.h"

namespace gypsumfall {

/// Orders by priority, then by urgency. Steps that can be on time are ordered
/// by objective while the queued work fits before the objectives; when it does
/// not, by the value that is lost for their remaining work if they do not start
/// now. Late steps are ordered by the value that can still be earned for their
/// remaining work, overdue ones by objective. The remaining work counts with an
/// exponent below 1, so that large jobs are not left behind.
///
/// A step that waits longer than its own objective moves up to the front of its
/// priority. Only a share of the capacity serves such steps: if all of them
/// moved up under lasting overload, late jobs would displace those that can
/// still be on time. Within the share, the step goes first that has waited
/// longest relative to its objective.
///
/// Long-running steps keep the places that they have by objective.
class LossOrder {
 public:
  explicit LossOrder(const LossTerms& terms) : terms_(terms) {}

  /// @param capacities one for each priority with finite steps in the queue; a
  ///   priority without one counts as not overloaded.
  Ranking Rank(std::span<const StepDemand> queue,
               std::span<const PriorityCapacity> capacities, Time now);

 private:
  std::vector<std::size_t> ChooseMovedUp(
      std::span<const StepDemand> queue,
      std::span<const PriorityCapacity> capacities, Time now);

  LossTerms terms_;
  /// Earliest time at which the next step of a priority moves up.
  std::map<int, Time> next_move_up_;
};

static_assert(StepOrder<LossOrder>);

namespace ranking_internal {

/// @param by_objective positions sorted by `SortByObjective`.
/// @return the priorities that have a late step, or in which a step that could
///   be on time would end after its objective if the steps were served by
///   objective, ascending.
std::vector<int> FindOverloaded(std::span<const StepDemand> queue,
                                std::span<const Urgency> urgencies,
                                std::span<const std::size_t> by_objective,
                                std::span<const PriorityCapacity> capacities,
                                Time now);

}  // namespace ranking_internal
}  // namespace gypsumfall

#endif  // GYPSUMFALL_RANKING_INTERNAL_LOSS_ORDER_H_
