#include "gypsumfall/ranking/internal/loss_order.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace gypsumfall {
namespace {

// Share of the capacity of a priority that serves steps that are moved up.
// These are late, so that they earn 15 % at most; a larger share would take
// room from steps that can still be on time.
constexpr double kMoveUpShare = 0.03;
// Declared times are off by a factor of two and more for single jobs, and wide
// jobs leave processors idle at their ends. The work is taken to fit only with
// this margin.
constexpr double kDeclaredWorkMargin = 1.5;
// Exponent of the remaining work in the value for work. With 1 the largest
// tenth of the jobs would be served less than half as often as all under a long
// overload (docs/design/ranking.md).
constexpr double kWorkExponent = 0.65;
// Minimum time between two steps that move up, so that steps that no worker can
// run do not fill the front of the queue.
constexpr Duration kMinMoveUpInterval = milliseconds(100);

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

const PriorityCapacity* FindCapacity(
    std::span<const PriorityCapacity> capacities, int priority) {
  const auto found = std::find_if(
      capacities.begin(), capacities.end(),
      [&](const PriorityCapacity& c) { return c.priority == priority; });
  return found == capacities.end() ? nullptr : &*found;
}

// Returns the value of the job for its remaining work, in which large jobs
// count for more than in `ValuePerWork`. Equals that for a remainder of mean
// size.
double WeightedValuePerWork(const StepDemand& step, const LossTerms& terms) {
  const double per_work = ValuePerWork(step, terms);
  const double mean = step.mean_work.value();
  if (mean <= 0) return per_work;
  const double relative_work = ValueOf(step, terms) / per_work / mean;
  return per_work * std::pow(relative_work, 1 - kWorkExponent);
}

}  // namespace

namespace ranking_internal {

std::vector<int> FindOverloaded(std::span<const StepDemand> queue,
                                std::span<const Urgency> urgencies,
                                std::span<const std::size_t> by_objective,
                                std::span<const PriorityCapacity> capacities,
                                Time now) {
  std::vector<int> overloaded;
  // Work that is served before the step, in core-seconds. That of higher
  // priorities is included, because it uses the same workers first.
  double work_ahead = 0;
  std::optional<int> priority;
  const PriorityCapacity* capacity = nullptr;
  for (const std::size_t position : by_objective) {
    const StepDemand& step = queue[position];
    if (step.long_running || !step.has_places) continue;
    if (priority != step.priority) {
      priority = step.priority;
      capacity = FindCapacity(capacities, step.priority);
      if (capacity != nullptr) work_ahead += capacity->committed.value();
    }
    if (!step.work_counted) {
      work_ahead += kDeclaredWorkMargin * step.run_time_ratio *
                    step.remaining_work.value();
    }
    if (capacity == nullptr ||
        (!overloaded.empty() && overloaded.back() == step.priority)) {
      continue;
    }
    const Urgency urgency = urgencies[position];
    const bool fits =
        work_ahead <= capacity->cores.value() * SecondsOf(step.objective - now);
    if (urgency == Urgency::kLate || (urgency == Urgency::kOnTime && !fits))
      overloaded.push_back(step.priority);
  }
  return overloaded;
}

}  // namespace ranking_internal

Ranking LossOrder::Rank(std::span<const StepDemand> queue,
                        std::span<const PriorityCapacity> capacities,
                        Time now) {
  const std::vector<Urgency> urgencies =
      ranking_internal::UrgenciesOf(queue, now);
  const std::vector<std::size_t> by_objective =
      ranking_internal::SortByObjective(queue, urgencies);
  Ranking ranking;
  ranking.overloaded = ranking_internal::FindOverloaded(
      queue, urgencies, by_objective, capacities, now);
  ranking.moved_up = ChooseMovedUp(queue, capacities, now);
  ranking.order = ranking_internal::ReorderFinite(
      queue, by_objective, [&](std::size_t position) {
        const StepDemand& step = queue[position];
        const bool moved_up =
            step.moved_up ||
            std::find(ranking.moved_up.begin(), ranking.moved_up.end(),
                      position) != ranking.moved_up.end();
        const bool overloaded =
            std::binary_search(ranking.overloaded.begin(),
                               ranking.overloaded.end(), step.priority);
        // Steps with equal keys stay ordered by objective.
        double loss = 0;
        if (urgencies[position] == Urgency::kOnTime && overloaded) {
          loss = (1 - terms_.late_share) * WeightedValuePerWork(step, terms_);
        } else if (urgencies[position] == Urgency::kLate) {
          loss = terms_.late_share * WeightedValuePerWork(step, terms_);
        }
        return std::tuple(step.priority, !moved_up, urgencies[position], -loss);
      });
  ranking_internal::CountPassedOver(queue, by_objective, now, ranking);
  return ranking;
}

std::vector<std::size_t> LossOrder::ChooseMovedUp(
    std::span<const StepDemand> queue,
    std::span<const PriorityCapacity> capacities, Time now) {
  struct Candidate {
    std::size_t position = 0;
    double relative_wait = 0;
  };
  std::map<int, Candidate> chosen;
  for (std::size_t i = 0; i < queue.size(); ++i) {
    const StepDemand& step = queue[i];
    const Duration wait = now - step.ready_since;
    if (step.long_running || !step.has_places || step.moved_up ||
        wait <= step.objective_length) {
      continue;
    }
    const double relative_wait =
        SecondsOf(wait) / std::max(1e-3, SecondsOf(step.objective_length));
    Candidate& best = chosen[step.priority];
    if (relative_wait > best.relative_wait) best = {i, relative_wait};
  }
  std::vector<std::size_t> positions;
  for (const auto& [priority, candidate] : chosen) {
    Time& next = next_move_up_[priority];
    if (now < next) continue;
    const StepDemand& step = queue[candidate.position];
    const PriorityCapacity* capacity = FindCapacity(capacities, priority);
    const double cores = capacity == nullptr ? 0 : capacity->cores.value();
    const double work = step.run_time_ratio * step.remaining_work.value();
    const double pause = cores > 0 ? work / (kMoveUpShare * cores)
                                   : SecondsOf(step.objective_length);
    next = now + std::max(kMinMoveUpInterval,
                          Duration(static_cast<std::int64_t>(pause * 1e6)));
    positions.push_back(candidate.position);
  }
  return positions;
}

}  // namespace gypsumfall
