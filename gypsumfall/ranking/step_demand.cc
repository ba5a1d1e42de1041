#include "gypsumfall/ranking/internal/step_demand.h"

#include <algorithm>

namespace gypsumfall {
namespace {

// Number of jobs over which the mean work of a queue is taken.
constexpr int kMeanWindow = 256;
// Smallest remaining work that counts, relative to the mean of the queue.
// Declared times are too inaccurate to compare smaller remainders.
constexpr double kMinRelativeWork = 0.01;
// Used instead if the queue has no mean, in core-seconds.
constexpr double kMinWork = 1e-3;

}  // namespace

Urgency UrgencyOf(const StepDemand& step, Time now) {
  const double margin = kDeclaredTimeMargin * step.run_time_ratio;
  const Duration needed(static_cast<std::int64_t>(
      margin * static_cast<double>(step.remaining_critical_path.count())));
  if (now + needed <= step.objective) return Urgency::kOnTime;
  if (step.long_running) return Urgency::kLateLongRunning;
  const Duration extra = (kOverdueFactor - 1) * step.objective_length;
  return now + needed <= step.objective + extra ? Urgency::kLate
                                                : Urgency::kOverdue;
}

double ValueOf(const StepDemand& step, const LossTerms& terms) {
  const double mean = step.mean_work.value();
  const double relative = mean > 0 ? step.job_work.value() / mean : 1;
  return terms.fixed_value + terms.value_per_relative_work *
                                 std::min(relative, terms.max_relative_work);
}

double ValuePerWork(const StepDemand& step, const LossTerms& terms) {
  const double least =
      std::max(kMinWork, kMinRelativeWork * step.mean_work.value());
  return ValueOf(step, terms) / std::max(least, step.remaining_work.value());
}

void MeanWork::Add(CoreSeconds work) {
  count_ = std::min(count_ + 1, kMeanWindow);
  mean_ = CoreSeconds(mean_.value() + (work.value() - mean_.value()) / count_);
}

}  // namespace gypsumfall
