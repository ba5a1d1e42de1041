#include "gypsumfall/ranking/internal/step_order.h"

#include <numeric>
#include <tuple>

namespace gypsumfall {
namespace ranking_internal {

std::vector<Urgency> UrgenciesOf(std::span<const StepDemand> queue, Time now) {
  std::vector<Urgency> urgencies;
  urgencies.reserve(queue.size());
  for (const StepDemand& step : queue)
    urgencies.push_back(UrgencyOf(step, now));
  return urgencies;
}

std::vector<std::size_t> SortByObjective(std::span<const StepDemand> queue,
                                         std::span<const Urgency> urgencies) {
  std::vector<std::size_t> order(queue.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return std::tie(queue[a].priority, urgencies[a], queue[a].objective, a) <
           std::tie(queue[b].priority, urgencies[b], queue[b].objective, b);
  });
  return order;
}

void CountPassedOver(std::span<const StepDemand> queue,
                     std::span<const std::size_t> by_objective, Time now,
                     Ranking& ranking) {
  std::vector<std::size_t> place(queue.size());
  for (std::size_t i = 0; i < by_objective.size(); ++i)
    place[by_objective[i]] = i;
  for (std::size_t i = 0; i < ranking.order.size(); ++i) {
    const std::size_t position = ranking.order[i];
    if (i <= place[position]) continue;
    ++ranking.passed_over;
    ranking.longest_passed_over_wait = std::max(
        ranking.longest_passed_over_wait, now - queue[position].ready_since);
  }
}

}  // namespace ranking_internal

namespace {

using ranking_internal::ReorderFinite;
using ranking_internal::SortByObjective;
using ranking_internal::UrgenciesOf;

/// Orders steps of equal priority and urgency by a score, lowest first.
template <typename ScoreOf>
Ranking RankByScore(std::span<const StepDemand> queue, Time now,
                    ScoreOf score_of) {
  const std::vector<Urgency> urgencies = UrgenciesOf(queue, now);
  const std::vector<std::size_t> by_objective =
      SortByObjective(queue, urgencies);
  Ranking ranking{
      .order = ReorderFinite(queue, by_objective, [&](std::size_t position) {
        const StepDemand& step = queue[position];
        return std::tuple(step.priority, urgencies[position], score_of(step));
      })};
  ranking_internal::CountPassedOver(queue, by_objective, now, ranking);
  return ranking;
}

}  // namespace

Ranking ObjectiveOrder::Rank(std::span<const StepDemand> queue,
                             std::span<const PriorityCapacity> /*capacities*/,
                             Time now) const {
  return {.order = SortByObjective(queue, UrgenciesOf(queue, now))};
}

Ranking ShortestWorkOrder::Rank(
    std::span<const StepDemand> queue,
    std::span<const PriorityCapacity> /*capacities*/, Time now) const {
  return RankByScore(queue, now, [](const StepDemand& step) {
    return step.remaining_work.value();
  });
}

Ranking ValuePerWorkOrder::Rank(
    std::span<const StepDemand> queue,
    std::span<const PriorityCapacity> /*capacities*/, Time now) const {
  return RankByScore(queue, now, [this](const StepDemand& step) {
    return -ValuePerWork(step, terms_);
  });
}

}  // namespace gypsumfall
