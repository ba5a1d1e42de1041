#include "gypsumfall/dispatch/internal/pacing.h"

#include <algorithm>
#include <vector>

namespace gypsumfall::dispatch_internal {
namespace {

// Time after a change in which its effect is not in the reports yet: half a
// second of measuring and the delay of the order.
constexpr Duration kEffectDelay = milliseconds(700);
// A target that is missed this long is not left to the model: all that fills
// there stands still. Well below the time after which it counts as harm.
constexpr Duration kPatience = milliseconds(1500);
// Below this headroom runs are slowed, until the model expects the second.
constexpr double kSlowBelow = 1.05;
constexpr double kSlowTo = 1.3;
// Runs are let go while the model expects at least this.
constexpr double kReleaseTo = 1.5;
// Below this share a run makes no progress that is worth an order.
constexpr int kLeastPercent = 10;

double ShareAt(const Worker& worker, const Run& run, int percent) {
  return ShareOf(worker, run.fill_cpu) * percent / 100;
}

// Slows the runs that take most from the serving run until enough is freed.
// @return whether a share has changed.
bool SlowFor(Worker& worker, const Run& serving,
             const InterferenceModel& model) {
  std::vector<std::pair<double, Run*>> takers;
  for (auto& [task, run] : worker.runs) {
    if (!run.fills || run.wanted_percent == 0) continue;
    const double taken = model.Slope(serving.image, run.image) *
                         ShareAt(worker, run, run.wanted_percent);
    if (taken > 0) takers.emplace_back(taken, &run);
  }
  std::sort(takers.begin(), takers.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  double missing = kSlowTo - serving.headroom;
  bool changed = false;
  for (auto& [taken, run] : takers) {
    if (missing <= 0) break;
    const double kept = std::max(0.0, taken - missing);
    const int percent = static_cast<int>(run->wanted_percent * kept / taken);
    missing -= taken - kept;
    run->wanted_percent = percent < kLeastPercent ? 0 : percent;
    changed = true;
  }
  return changed;
}

bool StopAll(Worker& worker) {
  bool changed = false;
  for (auto& [task, run] : worker.runs) {
    if (!run.fills || run.wanted_percent == 0) continue;
    run.wanted_percent = 0;
    changed = true;
  }
  return changed;
}

// @return the part of the processors that more of the image may use.
double AllowedShare(const Worker& worker, std::size_t image,
                    const InterferenceModel& model) {
  double allowed = 1;
  for (const auto& [task, serving] : worker.runs) {
    if (!IsServing(serving)) continue;
    const double slope = model.Slope(serving.image, image);
    if (slope <= 0) continue;
    allowed = std::min(allowed, (serving.headroom - kReleaseTo) / slope);
  }
  return std::max(0.0, allowed);
}

// Lets one slowed run go as far as is allowed; the one that has the least to
// go first, so that it ends and frees its room.
bool ReleaseOne(Worker& worker, const InterferenceModel& model) {
  Run* next = nullptr;
  int next_percent = 0;
  for (auto& [task, run] : worker.runs) {
    if (!run.fills || run.wanted_percent >= 100) continue;
    const double full = ShareOf(worker, run.fill_cpu);
    const double allowed = AllowedShare(worker, run.image, model);
    const int percent =
        full <= 0 ? 100
                  : std::min(100, run.wanted_percent +
                                      static_cast<int>(100 * allowed / full));
    if (percent < run.wanted_percent + kLeastPercent) continue;
    if (next == nullptr || run.percent > next->percent) {
      next = &run;
      next_percent = percent;
    }
  }
  if (next == nullptr) return false;
  next->wanted_percent = next_percent;
  return true;
}

Run* WorstServing(Worker& worker) {
  Run* worst = nullptr;
  for (auto& [task, run] : worker.runs) {
    if (!IsServing(run)) continue;
    if (worst == nullptr || run.headroom < worst->headroom) worst = &run;
  }
  return worst;
}

}  // namespace

void DecidePace(Worker& worker, const InterferenceModel& model, Time now) {
  const Run* worst = WorstServing(worker);
  const bool missed = worst != nullptr && worst->headroom < kSlowBelow;
  if (!missed) worker.target_missed_since = now;
  bool changed = false;
  if (missed && now >= worker.target_missed_since + kPatience) {
    changed = StopAll(worker);
  } else if (now < worker.pace_changed_at + kEffectDelay) {
    return;
  } else if (missed) {
    changed = SlowFor(worker, *worst, model);
  } else {
    changed = ReleaseOne(worker, model);
  }
  if (!changed) return;
  worker.pace_changed_at = now;
  UpdateFillDemand(worker);
}

}  // namespace gypsumfall::dispatch_internal
