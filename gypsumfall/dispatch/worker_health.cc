#include "gypsumfall/dispatch/internal/worker_health.h"

#include <algorithm>

namespace gypsumfall::dispatch_internal {
namespace {

// A worker with this score has failed about two more runs than it has
// completed.
constexpr double kUnhealthyScore = 1.5;
// Factor applied to the failure score by each successful run; one success
// outweighs one failure.
constexpr double kSuccessDecay = 0.5;
// An unhealthy worker is tried again when it has had no failure for this long.
constexpr Duration kUnhealthyPeriod = seconds(5);

// Progress below this percentage consists mostly of start-up time.
constexpr int kMinProgressPercent = 10;
// Weight of a new observation in a worker's smoothed slowdown.
constexpr double kSlowdownWeight = 0.3;
// Declared run times are off by up to a factor of two, so only a slowdown above
// this identifies a slow worker.
constexpr double kToleratedSlowdown = 2.0;

// A run is stalled if it has made no progress for this time and for this
// fraction of its declared run time. Workers report at least once a second.
constexpr Duration kStallTimeout = milliseconds(1800);
constexpr double kStallFraction = 0.5;

}  // namespace

void UpdateProgress(Worker& worker, Run& run, int percent, Time now) {
  if (percent == run.percent) return;
  run.percent = percent;
  run.progress_at = now;
  if (run.long_running || run.best_effort || percent < kMinProgressPercent ||
      run.declared.count() <= 0) {
    return;
  }
  const double expected =
      static_cast<double>(run.declared.count()) * percent / 100;
  const double elapsed = static_cast<double>((now - run.started_at).count());
  worker.slowdown += kSlowdownWeight * (elapsed / expected - worker.slowdown);
}

void CountFailure(Worker& worker, Time now) {
  worker.failure_score += 1;
  worker.last_failure = now;
}

void CountSuccess(Worker& worker) { worker.failure_score *= kSuccessDecay; }

bool IsStalled(const Worker& worker, const Run& run) {
  if (run.long_running || run.phase != RunPhase::kRunning) return false;
  if (run.target_percent < 100 || run.sent_percent < 100) return false;
  const Duration fraction_of_declared(static_cast<std::int64_t>(
      kStallFraction * static_cast<double>(run.declared.count())));
  // A lease call that was open when the run started reports it late, so the
  // time without progress counts up to the latest report only.
  return worker.last_answer >
         run.progress_at + std::max(kStallTimeout, fraction_of_declared);
}

bool FailsRuns(const Worker& worker, Time now) {
  return worker.failure_score > kUnhealthyScore &&
         now < worker.last_failure + kUnhealthyPeriod;
}

double HealthPenalty(const Worker& worker, Time now) {
  const double penalty = FailsRuns(worker, now) ? worker.failure_score : 0;
  return penalty + std::max(0.0, worker.slowdown - kToleratedSlowdown);
}

}  // namespace gypsumfall::dispatch_internal
