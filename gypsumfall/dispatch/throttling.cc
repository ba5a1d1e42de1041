#include "gypsumfall/dispatch/internal/throttling.h"

#include <algorithm>
#include <vector>

namespace gypsumfall::dispatch_internal {
namespace {

// Time until a change shows in the reports: the measurement window of half a
// second and the delay of the order.
constexpr Duration kEffectDelay = milliseconds(700);
// If a target is missed for this long, the model is not trusted any more and
// all best-effort runs on the worker are paused. This is well below the time
// after which a missed target counts as harm.
constexpr Duration kMaxMissTime = milliseconds(1500);
// Reports scatter by about a third. A miss ends with this number of reports in
// a row that meet the target.
constexpr int kReportsToEndMiss = 2;
// A run whose latest report shows less headroom than this is at risk.
constexpr double kRiskBelow = 1.2;
// Best-effort runs are throttled below the first headroom, until the model
// expects the second.
constexpr double kThrottleBelow = 1.05;
constexpr double kThrottleTo = 1.3;
// Throttling is relaxed while the model expects at least this headroom.
constexpr double kRelaxTo = 1.5;

double ShareAt(const Worker& worker, const Run& run, int percent) {
  return ShareOf(worker, run.best_effort_cpu) * percent / 100;
}

// Throttles the runs that reduce the headroom of the serving run most, until
// the model expects enough headroom.
// @return whether a share has changed.
bool ThrottleFor(Worker& worker, const Run& serving,
                 const InterferenceModel& model) {
  std::vector<std::pair<double, Run*>> contributors;
  for (auto& [task, run] : worker.runs) {
    if (!run.best_effort || run.target_percent == 0) continue;
    const double impact = model.Slope(serving.image, run.image) *
                          ShareAt(worker, run, run.target_percent);
    if (impact > 0) contributors.emplace_back(impact, &run);
  }
  std::sort(contributors.begin(), contributors.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  double deficit = kThrottleTo - serving.headroom;
  bool changed = false;
  for (auto& [impact, run] : contributors) {
    if (deficit <= 0) break;
    const double kept_impact = std::max(0.0, impact - deficit);
    const int percent =
        static_cast<int>(run->target_percent * kept_impact / impact);
    deficit -= impact - kept_impact;
    run->target_percent = percent < kMinSharePercent ? 0 : percent;
    changed = true;
  }
  return changed;
}

bool PauseAll(Worker& worker) {
  bool changed = false;
  for (auto& [task, run] : worker.runs) {
    if (!run.best_effort || run.target_percent == 0) continue;
    run.target_percent = 0;
    changed = true;
  }
  return changed;
}

// @return the additional share of the processors that runs of the image may
//   use.
double AllowedShare(const Worker& worker, std::size_t image,
                    const InterferenceModel& model) {
  double allowed = 1;
  for (const auto& [task, serving] : worker.runs) {
    if (!IsServing(serving)) continue;
    const double slope = model.Slope(serving.image, image);
    if (slope <= 0) continue;
    allowed = std::min(allowed, (serving.headroom - kRelaxTo) / slope);
  }
  return std::max(0.0, allowed);
}

// Raises the share of one throttled run as far as allowed. Prefers the run with
// the most progress, so that it completes and frees its resources.
// @return whether a share has changed.
bool RelaxOne(Worker& worker, const InterferenceModel& model) {
  Run* selected = nullptr;
  int selected_percent = 0;
  for (auto& [task, run] : worker.runs) {
    if (!run.best_effort || run.target_percent >= 100) continue;
    const double full_share = ShareOf(worker, run.best_effort_cpu);
    const double allowed = AllowedShare(worker, run.image, model);
    const int percent =
        full_share <= 0
            ? 100
            : std::min(100, run.target_percent +
                                static_cast<int>(100 * allowed / full_share));
    if (percent < run.target_percent + kMinSharePercent) continue;
    if (selected == nullptr || run.percent > selected->percent) {
      selected = &run;
      selected_percent = percent;
    }
  }
  if (selected == nullptr) return false;
  selected->target_percent = selected_percent;
  return true;
}

// @return whether the latest report of a serving run beside best-effort runs is
//   close to its target or misses it.
bool IsTargetAtRisk(const Worker& worker) {
  bool at_risk = false;
  bool best_effort = false;
  for (const auto& [task, run] : worker.runs) {
    if (run.best_effort && run.target_percent > 0) best_effort = true;
    if (!IsServing(run)) continue;
    const double target_ms =
        static_cast<double>(run.tail_target.count()) / 1000;
    if (run.usage * kRiskBelow > target_ms) at_risk = true;
  }
  return at_risk && best_effort;
}

Run* LowestHeadroomRun(Worker& worker) {
  Run* worst = nullptr;
  for (auto& [task, run] : worker.runs) {
    if (!IsServing(run)) continue;
    if (worst == nullptr || run.headroom < worst->headroom) worst = &run;
  }
  return worst;
}

}  // namespace

void UpdateThrottling(Worker& worker, const InterferenceModel& model,
                      Time now) {
  const Run* worst = LowestHeadroomRun(worker);
  const bool target_missed =
      worst != nullptr && worst->headroom < kThrottleBelow;
  worker.reports_met = target_missed ? 0 : worker.reports_met + 1;
  if (worker.reports_met >= kReportsToEndMiss) worker.target_missed_since = now;
  worker.target_at_risk = IsTargetAtRisk(worker);
  bool changed = false;
  if (target_missed && now >= worker.target_missed_since + kMaxMissTime) {
    changed = PauseAll(worker);
  } else if (now < worker.throttle_changed_at + kEffectDelay) {
    return;
  } else if (target_missed) {
    changed = ThrottleFor(worker, *worst, model);
  } else {
    changed = RelaxOne(worker, model);
  }
  if (!changed) return;
  worker.throttle_changed_at = now;
  UpdateBestEffortDemand(worker);
}

}  // namespace gypsumfall::dispatch_internal
