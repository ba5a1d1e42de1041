#include "gypsumfall/fleet/internal/worker_health.h"

#include <algorithm>
#include <utility>

namespace gypsumfall {

void WorkerHealth::OnSuccess() { *this = WorkerHealth(); }

void WorkerHealth::OnFailure(const Work& work, const Limits& limits, Time now) {
  if (!healthy_) return;
  std::pair failure(work.customer, work.kind);
  if (std::find(failures_.begin(), failures_.end(), failure) ==
      failures_.end()) {
    failures_.push_back(std::move(failure));
  }
  if (std::ssize(failures_) < limits.unhealthy_after) return;
  healthy_ = false;
  interval_ = limits.min_probe_interval;
  probe_at_ = now + interval_;
}

void WorkerHealth::OnProbeSent(const Limits& limits, Time now) {
  interval_ = std::min(2 * interval_, limits.max_probe_interval);
  probe_at_ = now + interval_;
}

}  // namespace gypsumfall
