#ifndef GYPSUMFALL_RANKING_INTERNAL_STEP_ORDER_H_
#define GYPSUMFALL_RANKING_INTERNAL_STEP_ORDER_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <span>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/ranking/internal/step_demand.h"

namespace gypsumfall {

/// What can serve the steps of one priority.
struct PriorityCapacity {
  int priority = 0;
  /// Processors that finite tasks of the priority may use, including those
  /// that they use now.
  Cores cores;
  /// Work left of jobs of the priority that run and have no waiting step.
  CoreSeconds committed;
};

/// Order of the waiting steps at one time.
struct Ranking {
  /// Positions of the steps in the queue that was passed, first to serve first.
  std::vector<std::size_t> order;
  /// Positions of the steps that this ranking has moved up because they were
  /// passed over for too long. The caller sets `StepDemand::moved_up` for
  /// all steps of their jobs from now on.
  std::vector<std::size_t> moved_up;
  /// Priorities whose queued work does not fit before its objectives.
  std::vector<int> overloaded;
  /// Number of steps that stand behind their place by objective, and the
  /// longest wait of one of them.
  std::size_t passed_over = 0;
  Duration longest_passed_over_wait{0};
};

/// A rule that orders waiting steps. Steps that the rule ranks equal keep the
/// sequence of the queue, so that equal inputs give equal orders.
template <typename T>
concept StepOrder = requires(T order, std::span<const StepDemand> queue,
                             std::span<const PriorityCapacity> capacities,
                             Time now) {
  { order.Rank(queue, capacities, now) } -> std::same_as<Ranking>;
};

namespace ranking_internal {

/// Sorts by priority, urgency and objective.
/// @param urgencies one for each step of the queue.
std::vector<std::size_t> SortByObjective(std::span<const StepDemand> queue,
                                         std::span<const Urgency> urgencies);
std::vector<Urgency> UrgenciesOf(std::span<const StepDemand> queue, Time now);

/// Sets the figures that compare the order with the one by objective.
/// @param by_objective positions sorted by `SortByObjective`.
void CountPassedOver(std::span<const StepDemand> queue,
                     std::span<const std::size_t> by_objective, Time now,
                     Ranking& ranking);

/// Orders the steps of finite length among the places that they have by
/// objective, so that long-running steps keep theirs.
/// @param by_objective positions sorted by `SortByObjective`.
/// @param key_of returns what to compare for a position; it must rank by
///   priority first.
template <typename KeyOf>
std::vector<std::size_t> ReorderFinite(
    std::span<const StepDemand> queue,
    std::span<const std::size_t> by_objective, KeyOf key_of) {
  std::vector<std::pair<decltype(key_of(std::size_t{})), std::size_t>> finite;
  finite.reserve(by_objective.size());
  for (const std::size_t position : by_objective) {
    if (!queue[position].long_running)
      finite.emplace_back(key_of(position), position);
  }
  std::stable_sort(
      finite.begin(), finite.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::size_t> order(by_objective.begin(), by_objective.end());
  auto next = finite.begin();
  for (std::size_t& place : order) {
    if (!queue[place].long_running) place = (next++)->second;
  }
  return order;
}

}  // namespace ranking_internal

/// Orders by priority, then by urgency, then by objective. Under overload this
/// reserves capacity for jobs that can still be on time.
class ObjectiveOrder {
 public:
  /// @param capacities not used.
  Ranking Rank(std::span<const StepDemand> queue,
               std::span<const PriorityCapacity> capacities, Time now) const;
};

/// Orders by priority, then by urgency, then by the least remaining work.
/// Serves as a comparison: it starves large jobs.
class ShortestWorkOrder {
 public:
  /// @param capacities not used.
  Ranking Rank(std::span<const StepDemand> queue,
               std::span<const PriorityCapacity> capacities, Time now) const;
};

/// Orders by priority, then by urgency, then by the most value for each
/// core-second of remaining work. Serves as a comparison: it ignores objectives
/// also when all jobs could be on time.
class ValuePerWorkOrder {
 public:
  explicit ValuePerWorkOrder(const LossTerms& terms) : terms_(terms) {}
  /// @param capacities not used.
  Ranking Rank(std::span<const StepDemand> queue,
               std::span<const PriorityCapacity> capacities, Time now) const;

 private:
  LossTerms terms_;
};

static_assert(StepOrder<ObjectiveOrder>);
static_assert(StepOrder<ShortestWorkOrder>);
static_assert(StepOrder<ValuePerWorkOrder>);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_RANKING_INTERNAL_STEP_ORDER_H_
