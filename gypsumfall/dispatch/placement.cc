#include "gypsumfall/dispatch/internal/placement.h"

#include <algorithm>
#include <limits>

#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall::dispatch_internal {
namespace {

// Workers without any shortfall among which a task that fills chooses; looking
// at more changes little and costs the more the larger the fleet is.
constexpr int kEnoughGood = 16;
// Puts unfit workers behind all others; above any ordinary score.
constexpr double kUnfitPenalty = 1e6;

// Share of the processors reserved by long-running tasks that they leave
// unused on average, and that tasks that fill may therefore expect.
constexpr double kUnusedShareOfReserved = 0.5;
// Least share of its processors that a task that fills must find unused.
constexpr double kLeastFillShare = 0.7;
// A run that would leave more than this missing would be paused at once; it
// waits for another worker instead.
constexpr double kMostShortfall = 0.3;
// Unused processors, in thousandths of a core, that outweigh a missing
// headroom of 1.
constexpr double kShortfallPenalty = 1e5;
// The same for each other image that serves on a worker. Few images on each
// worker leave each image that fills some workers where it slows nobody.
constexpr double kOtherImagePenalty = 1e4;

bool HasLabel(const Worker& worker, const WorkerLabel& label) {
  const auto& labels = worker.entry.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool Allows(const Worker& worker, const PlacementRequest& request) {
  const StepSpec& spec = *request.spec;
  if (worker.entry.service != request.service) return false;
  if (!request.rack.empty() && worker.entry.rack != request.rack) return false;
  if (!spec.required_label.empty() && !HasLabel(worker, spec.required_label)) {
    return false;
  }
  if (spec.max_per_worker > 0) {
    const auto found = request.step->per_worker.find(worker.entry.id);
    if (found != request.step->per_worker.end() &&
        found->second >= spec.max_per_worker) {
      return false;
    }
  }
  return true;
}

bool Fits(const Worker& worker, const StepSpec& spec) {
  Resources need = spec.need;
  if (spec.fills) need.cpu = MilliCores(0);
  return need.FitsIn(Free(worker));
}

double UnusedProcessors(const Worker& worker) {
  return static_cast<double>(Free(worker).cpu.value()) +
         kUnusedShareOfReserved *
             static_cast<double>(worker.long_running_cpu.value()) -
         worker.fill_demand;
}

// @return serving runs of other images on the worker.
int OtherImages(const Worker& worker, std::size_t image) {
  int count = 0;
  for (const auto& [task, run] : worker.runs) {
    if (IsServing(run) && run.image != image) ++count;
  }
  return count;
}

// @return a score of which the lowest is best, or infinity.
double Score(const Worker& worker, const PlacementRequest& request,
             const InterferenceModel& model, Time now) {
  const StepSpec& spec = *request.spec;
  if (spec.fills) {
    const double unused = UnusedProcessors(worker);
    if (unused < kLeastFillShare * static_cast<double>(spec.need.cpu.value())) {
      return std::numeric_limits<double>::infinity();
    }
    const double shortfall =
        model.ShortfallAfterPlacing(worker, request.image, spec.need.cpu, now);
    if (shortfall > kMostShortfall) {
      return std::numeric_limits<double>::infinity();
    }
    return kShortfallPenalty * shortfall - unused;
  }
  const auto left =
      static_cast<double>(Free(worker).cpu.value() - spec.need.cpu.value());
  if (!spec.long_running) return left;
  return kOtherImagePenalty * OtherImages(worker, request.image) + left;
}

}  // namespace

bool AcceptsWork(const Worker& worker, Time now) {
  return worker.listed && worker.fenced && worker.in_roster &&
         !worker.entry.draining && worker.strangers.empty() &&
         now >= worker.refused_until && !IsSilent(worker, now);
}

Worker* ChooseWorker(WorkerTable& workers, const PlacementRequest& request,
                     const InterferenceModel& model, Time now) {
  Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  int good = 0;
  const bool fills = request.spec->fills;
  workers.Walk(fills, [&](Worker& worker) {
    if (!Allows(worker, request) || !Fits(worker, *request.spec) ||
        !AcceptsWork(worker, now)) {
      return true;
    }
    double score = Score(worker, request, model, now);
    score += kUnfitPenalty * Unfitness(worker, now);
    if (worker.entry.id == request.avoid) score += kUnfitPenalty;
    if (score < best_score) {
      best = &worker;
      best_score = score;
    }
    if (fills && score < 0) ++good;
    return good < kEnoughGood;
  });
  return best;
}

}  // namespace gypsumfall::dispatch_internal
