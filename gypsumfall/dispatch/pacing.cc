#include "gypsumfall/dispatch/internal/pacing.h"

#include <algorithm>

namespace gypsumfall::dispatch_internal {
namespace {

// Share of the target from which runs that fill are slowed, and below which
// they are let go. Reports are rough and half a second old.
constexpr double kSlowAt = 0.9;
constexpr double kReleaseBelow = 0.6;
// Time after a change in which its effect is not in the reports yet: half a
// second of measuring, the pace delay and the interval of the reports.
constexpr Duration kEffectDelay = milliseconds(900);
constexpr int kReleaseStep = 25;
// Below this share the runs stand still; the target counts for more.
constexpr int kLeastPercent = 12;

double WorstTailRatio(const Worker& worker) {
  double worst = 0;
  for (const auto& [task, run] : worker.runs) {
    if (!run.long_running || run.tail_target.count() <= 0) continue;
    const double target =
        static_cast<double>(run.tail_target.count()) / 1000.0;
    worst = std::max(worst, run.usage / target);
  }
  return worst;
}

}  // namespace

int DecideFillPercent(const Worker& worker, Time now) {
  if (now < worker.fill_changed_at + kEffectDelay) return worker.fill_percent;
  const double worst = WorstTailRatio(worker);
  if (worst >= kSlowAt) {
    const int halved = worker.fill_percent / 2;
    return halved < kLeastPercent ? 0 : halved;
  }
  if (worst < kReleaseBelow) {
    return std::min(100, worker.fill_percent + kReleaseStep);
  }
  return worker.fill_percent;
}

}  // namespace gypsumfall::dispatch_internal
