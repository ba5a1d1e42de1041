#include "gypsumfall/dispatch/internal/worker_health.h"

#include <algorithm>

namespace gypsumfall::dispatch_internal {
namespace {

// A worker with this score has failed about two runs more than it has done.
constexpr double kDistrustScore = 1.5;
// A done run outweighs one failed run.
constexpr double kScoreAfterDone = 0.5;
// After this time without a failure a distrusted worker is tried again.
constexpr Duration kDistrustTime = seconds(5);

// Progress below this share of a run is mostly its start-up.
constexpr int kLeastPercent = 10;
// Weight of a new observation of a worker's speed.
constexpr double kSlownessWeight = 0.3;
// Declared run times are off by up to a factor of two, so that only a slowness
// above it tells a slow worker.
constexpr double kToleratedSlowness = 2.0;

// A run that has made no progress for this time, and for this part of its
// declared run time, stands still. Reports come once a second at least.
constexpr Duration kStandstillTime = milliseconds(1800);
constexpr double kStandstillPart = 0.5;

}  // namespace

void NoteProgress(Worker& worker, Run& run, int percent, Time now) {
  if (percent == run.percent) return;
  run.percent = percent;
  run.progress_at = now;
  if (run.long_running || run.fills || percent < kLeastPercent ||
      run.declared.count() <= 0) {
    return;
  }
  const double expected =
      static_cast<double>(run.declared.count()) * percent / 100;
  const double taken = static_cast<double>((now - run.started_at).count());
  worker.slowness += kSlownessWeight * (taken / expected - worker.slowness);
}

void NoteFailure(Worker& worker, Time now) {
  worker.failure_score += 1;
  worker.last_failure = now;
}

void NoteDone(Worker& worker) { worker.failure_score *= kScoreAfterDone; }

bool StandsStill(const Run& run, Time now) {
  if (run.long_running || run.phase != RunPhase::kRunning) return false;
  if (run.wanted_percent < 100 || run.told_percent < 100) return false;
  const Duration part(static_cast<std::int64_t>(
      kStandstillPart * static_cast<double>(run.declared.count())));
  return now > run.progress_at + std::max(kStandstillTime, part);
}

double Unfitness(const Worker& worker, Time now) {
  double unfitness = 0;
  if (worker.failure_score > kDistrustScore &&
      now < worker.last_failure + kDistrustTime) {
    unfitness += worker.failure_score;
  }
  return unfitness + std::max(0.0, worker.slowness - kToleratedSlowness);
}

}  // namespace gypsumfall::dispatch_internal
