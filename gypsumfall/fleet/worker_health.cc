#include "gypsumfall/fleet/internal/worker_health.h"

#include <algorithm>
#include <utility>

namespace gypsumfall {

void WorkerHealth::OnSuccess() { *this = WorkerHealth(); }

void WorkerHealth::OnFailure(const WorkSpec& work, const Limits& limits,
                             Time now) {
  if (!healthy_) return;
  std::pair failure(work.customer, work.kind);
  if (std::find(failed_kinds_.begin(), failed_kinds_.end(), failure) ==
      failed_kinds_.end()) {
    failed_kinds_.push_back(std::move(failure));
  }
  if (std::ssize(failed_kinds_) < limits.unhealthy_after) return;
  healthy_ = false;
  probe_interval_ = limits.min_probe_interval;
  next_probe_at_ = now + probe_interval_;
}

void WorkerHealth::OnProbeSent(const Limits& limits, Time now) {
  probe_interval_ = std::min(2 * probe_interval_, limits.max_probe_interval);
  next_probe_at_ = now + probe_interval_;
}

}  // namespace gypsumfall
