#ifndef GYPSUMFALL_FLEET_INTERNAL_WORKER_HEALTH_H_
#define GYPSUMFALL_FLEET_INTERNAL_WORKER_HEALTH_H_

#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/placement_policy.h"

namespace gypsumfall {

/// Tells a worker that fails everything from work that fails everywhere:
/// only failures of different customers' kinds in a row count.
class WorkerHealth {
 public:
  struct Limits {
    int unhealthy_after;
    Duration min_probe_interval;
    Duration max_probe_interval;
  };

  void OnSuccess();
  void OnFailure(const Work& work, const Limits& limits, Time now);
  /// The outcome of a probe is not known; another one may follow.
  void OnProbeSent(const Limits& limits, Time now);

  bool healthy() const { return healthy_; }
  bool ProbeDue(Time now) const { return !healthy_ && now >= probe_at_; }

 private:
  bool healthy_ = true;
  std::vector<std::pair<CustomerId, KindId>> failures_;
  Duration interval_ = Duration::zero();
  Time probe_at_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_WORKER_HEALTH_H_
