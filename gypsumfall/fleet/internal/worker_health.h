#ifndef GYPSUMFALL_FLEET_INTERNAL_WORKER_HEALTH_H_
#define GYPSUMFALL_FLEET_INTERNAL_WORKER_HEALTH_H_

#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/placement_policy.h"

namespace gypsumfall {

/// Detects workers that fail all work. To distinguish them from work that fails
/// on every worker, repeated failures of one customer's kind count once, and a
/// success resets the count. Unhealthy workers are probed with exponential
/// back-off.
class WorkerHealth {
 public:
  struct Limits {
    int unhealthy_after;
    Duration min_probe_interval;
    Duration max_probe_interval;
  };

  void OnSuccess();
  void OnFailure(const WorkSpec& work, const Limits& limits, Time now);
  /// Schedules the next probe, because the outcome of this one may stay
  /// unknown.
  void OnProbeSent(const Limits& limits, Time now);

  bool healthy() const { return healthy_; }
  bool ProbeDue(Time now) const { return !healthy_ && now >= next_probe_at_; }

 private:
  bool healthy_ = true;
  std::vector<std::pair<CustomerId, KindId>> failed_kinds_;
  Duration probe_interval_ = Duration::zero();
  Time next_probe_at_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_WORKER_HEALTH_H_
