#include "gypsumfall/dispatch/internal/placement.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/internal/worker_health.h"

namespace gypsumfall::dispatch_internal {
namespace {

// A best-effort task stops searching after this many workers without a headroom
// shortfall. Looking at more improves the choice little and costs more the
// larger the fleet is.
constexpr int kMaxGoodWorkers = 16;
// Ranks unhealthy workers behind all others; exceeds every ordinary score.
constexpr double kUnhealthyPenalty = 1e6;

// Share of the processors reserved by long-running tasks that these leave
// unused on average, and that best-effort tasks may expect to use.
constexpr double kUnusedShareOfReserved = 0.5;
// Minimum share of its requested processors that a best-effort task must find
// unused.
constexpr double kMinUnusedShare = 0.7;
// A run that would cause a larger shortfall would be paused immediately; its
// task waits for another worker instead.
constexpr double kMaxShortfall = 0.3;
// Unused processors, in thousandths of a core, that outweigh a headroom
// shortfall of 1.
constexpr double kShortfallPenalty = 1e5;
// Free processors, in thousandths of a core, that outweigh each serving run of
// another image on the worker. With few images on each worker, every
// best-effort image finds some workers where it slows no serving run.
constexpr double kOtherImagePenalty = 1e4;

// Ranks workers that have enough only with what is reserved for tasks of lower
// priority behind all others but unhealthy ones.
constexpr double kReservedPenalty = 5e5;

bool HasLabel(const Worker& worker, const WorkerLabel& label) {
  const auto& labels = worker.entry.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// @return the number of other tasks of the step for which the worker is
//   reserved.
int CountReservationsOfStep(const Worker& worker, const TaskName& task) {
  return static_cast<int>(std::count_if(
      worker.reservations.begin(), worker.reservations.end(),
      [&task](const auto& entry) {
        const TaskName& other = entry.first;
        return other != task && other.job == task.job &&
               other.occurrence == task.occurrence && other.step == task.step;
      }));
}

bool IsAvoided(const Worker& worker, const PlacementRequest& request) {
  return request.avoided != nullptr &&
         std::find(request.avoided->begin(), request.avoided->end(),
                   worker.entry.id) != request.avoided->end();
}

bool MeetsConstraints(const Worker& worker, const PlacementRequest& request) {
  const StepSpec& spec = *request.spec;
  if (worker.entry.service != request.service) return false;
  if (!request.rack.empty() && worker.entry.rack != request.rack) return false;
  if (!spec.required_label.empty() && !HasLabel(worker, spec.required_label)) {
    return false;
  }
  if (spec.max_per_worker > 0) {
    const auto found = request.step->runs_per_worker.find(worker.entry.id);
    const int runs =
        found == request.step->runs_per_worker.end() ? 0 : found->second;
    if (runs + CountReservationsOfStep(worker, request.task) >=
        spec.max_per_worker) {
      return false;
    }
  }
  return true;
}

bool Fits(const Worker& worker, const PlacementRequest& request) {
  Resources need = request.spec->need;
  if (request.spec->best_effort) need.cpu = MilliCores(0);
  return need.FitsIn(worker.reservations.empty()
                         ? FreeResources(worker)
                         : FreeResourcesFor(worker, request.priority));
}

double UnusedProcessors(const Worker& worker) {
  return BestEffortProcessors(worker) - worker.best_effort_demand;
}

// @return the number of serving runs of other images on the worker.
int CountOtherImageRuns(const Worker& worker, std::size_t image) {
  int count = 0;
  for (const auto& [task, run] : worker.runs) {
    if (IsServing(run) && run.image != image) ++count;
  }
  return count;
}

// @return the score of the worker, of which the lowest is best, or infinity if
//   the worker is not eligible.
double Score(const Worker& worker, const PlacementRequest& request,
             const InterferenceModel& model, Time now) {
  const StepSpec& spec = *request.spec;
  if (spec.best_effort) {
    const double unused = UnusedProcessors(worker);
    if (unused < kMinUnusedShare * static_cast<double>(spec.need.cpu.value())) {
      return std::numeric_limits<double>::infinity();
    }
    const double shortfall =
        model.ShortfallAfterPlacing(worker, request.image, spec.need.cpu, now);
    if (shortfall > kMaxShortfall) {
      return std::numeric_limits<double>::infinity();
    }
    return kShortfallPenalty * shortfall - unused;
  }
  const MilliCores free = FreeResources(worker).cpu;
  if (free < spec.need.cpu) {
    // Uses resources that are reserved for tasks of lower priority.
    return kReservedPenalty;
  }
  const auto remaining =
      static_cast<double>(free.value() - spec.need.cpu.value());
  if (!spec.long_running) return remaining;
  return kOtherImagePenalty * CountOtherImageRuns(worker, request.image) +
         remaining;
}

// @return the resources that a task of this priority could use if all runs of
//   finite length on the worker ended.
Resources ResourcesBesideLongRunning(const Worker& worker, int priority) {
  return FreeResourcesFor(worker, priority) + worker.used -
         worker.used_by_long_running;
}

// @return how many of the tasks, at most `limit`, the worker could run at the
//   same time if all its runs of finite length ended.
int CountPlacesOn(const Worker& worker, const PlacementRequest& request,
                  int limit) {
  Resources need = request.spec->need;
  Resources free = ResourcesBesideLongRunning(worker, request.priority);
  if (request.spec->best_effort) {
    const double unused =
        static_cast<double>(free.cpu.value()) +
        kUnusedShareOfReserved *
            static_cast<double>(worker.used_by_long_running.cpu.value());
    if (unused < kMinUnusedShare * static_cast<double>(need.cpu.value()))
      return 0;
    need.cpu = MilliCores(0);
  }
  int places = 0;
  for (; places < limit && need.FitsIn(free); ++places) free -= need;
  return places;
}

// @return how many of the tasks, at most `limit`, the worker could start now.
int CountFreePlacesOn(const Worker& worker, const PlacementRequest& request,
                      const InterferenceModel& model, int limit, Time now) {
  Resources need = request.spec->need;
  Resources free = FreeResourcesFor(worker, request.priority);
  if (request.spec->best_effort) {
    if (model.ShortfallAfterPlacing(worker, request.image, need.cpu, now) >
        kMaxShortfall) {
      return 0;
    }
    const auto cpu = static_cast<double>(need.cpu.value());
    const double unused = UnusedProcessors(worker);
    if (unused < kMinUnusedShare * cpu) return 0;
    // The last of them finds at least the minimum share.
    const double places = (unused - kMinUnusedShare * cpu) / cpu + 1;
    if (places < limit) limit = static_cast<int>(places);
    need.cpu = MilliCores(0);
  }
  int places = 0;
  for (; places < limit && need.FitsIn(free); ++places) free -= need;
  return places;
}

// @return the time until the run ends, by its declared run time.
Duration RemainingTime(const Worker& worker, const Run& run, Time now) {
  const Duration expected(static_cast<std::int64_t>(
      worker.slowdown * static_cast<double>(run.declared.count())));
  return std::max(Duration{0}, run.started_at + expected - now);
}

}  // namespace

double BestEffortProcessors(const Worker& worker) {
  return static_cast<double>(FreeResources(worker).cpu.value()) +
         kUnusedShareOfReserved *
             static_cast<double>(worker.used_by_long_running.cpu.value());
}

bool AcceptsWork(const Worker& worker, Time now) {
  return worker.listed && worker.fenced && worker.in_roster &&
         HasCurrentEntry(worker) && !worker.entry.draining &&
         worker.unexpected_runs.empty() && now >= worker.refused_until &&
         IsOpen(worker, now) && !IsUnresponsive(worker, now);
}

Duration TimeUntilFits(const Worker& worker, const PlacementRequest& request,
                       Time now) {
  const Resources& need = request.spec->need;
  Resources free = FreeResourcesFor(worker, request.priority);
  if (need.FitsIn(free)) return Duration{0};
  std::vector<std::pair<Duration, Resources>> ending;
  for (const auto& [task, run] : worker.runs) {
    if (run.long_running) continue;
    ending.emplace_back(RemainingTime(worker, run, now), run.need);
  }
  std::sort(ending.begin(), ending.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [remaining, released] : ending) {
    free += released;
    if (need.FitsIn(free)) return remaining;
  }
  return Duration::max();
}

bool IsEligible(const Worker& worker, const PlacementRequest& request,
                Time now) {
  return MeetsConstraints(worker, request) && AcceptsWork(worker, now);
}

Worker* ChooseWorker(WorkerTable& workers, const PlacementRequest& request,
                     const InterferenceModel& model, Time now) {
  Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  int good_workers = 0;
  const bool best_effort = request.spec->best_effort;
  workers.VisitWhile(best_effort, [&](Worker& worker) {
    if (!MeetsConstraints(worker, request) || !Fits(worker, request) ||
        !AcceptsWork(worker, now)) {
      return true;
    }
    double score = Score(worker, request, model, now);
    score += kUnhealthyPenalty * HealthPenalty(worker, now);
    if (IsAvoided(worker, request)) score += kUnhealthyPenalty;
    if (score < best_score) {
      best = &worker;
      best_score = score;
    }
    if (best_effort && score < 0) ++good_workers;
    return good_workers < kMaxGoodWorkers;
  });
  return best;
}

int StartPercent(const Worker& worker, const PlacementRequest& request,
                 const InterferenceModel& model, Time now) {
  const MilliCores cpu = request.spec->need.cpu;
  if (model.ShortfallAfterPlacing(worker, request.image, cpu, now) <=
      kMaxShortfall) {
    return kFullSharePercent;
  }
  return model.PercentToKeepHeadroom(worker, request.image, cpu, now);
}

Worker* ChooseWorkerToThrottle(WorkerTable& workers,
                               const PlacementRequest& request,
                               const InterferenceModel& model, int min_percent,
                               Time now) {
  Worker* best = nullptr;
  int best_percent = min_percent - 1;
  const auto cpu = static_cast<double>(request.spec->need.cpu.value());
  for (auto& [id, worker] : workers) {
    if (!IsEligible(worker, request, now) || !Fits(worker, request) ||
        IsAvoided(worker, request) || HealthPenalty(worker, now) > 0) {
      continue;
    }
    const int percent = StartPercent(worker, request, model, now);
    const double used = cpu * percent / kFullSharePercent;
    if (percent <= best_percent ||
        UnusedProcessors(worker) < kMinUnusedShare * used) {
      continue;
    }
    best = &worker;
    best_percent = percent;
  }
  return best;
}

Worker* ChooseWorkerToReserve(WorkerTable& workers,
                              const PlacementRequest& request, Time now) {
  Worker* best = nullptr;
  Duration shortest = Duration::max();
  for (auto& [id, worker] : workers) {
    if (!IsEligible(worker, request, now) || IsAvoided(worker, request) ||
        HealthPenalty(worker, now) > 0) {
      continue;
    }
    const Duration time = TimeUntilFits(worker, request, now);
    if (time < shortest) {
      best = &worker;
      shortest = time;
    }
  }
  return best;
}

int CountPlaces(WorkerTable& workers, const PlacementRequest& request,
                int enough, Time now) {
  const int limit_per_worker =
      request.spec->max_per_worker > 0 ? request.spec->max_per_worker : enough;
  int places = 0;
  for (auto& [id, worker] : workers) {
    if (!IsEligible(worker, request, now) || FailsRuns(worker, now)) continue;
    places += CountPlacesOn(worker, request,
                            std::min(limit_per_worker, enough - places));
    if (places >= enough) break;
  }
  return places;
}

int CountFreePlaces(WorkerTable& workers, const PlacementRequest& request,
                    const InterferenceModel& model, int enough, Time now) {
  const int limit_per_worker =
      request.spec->max_per_worker > 0 ? request.spec->max_per_worker : enough;
  int places = 0;
  for (auto& [id, worker] : workers) {
    if (!IsEligible(worker, request, now) || FailsRuns(worker, now)) continue;
    places +=
        CountFreePlacesOn(worker, request, model,
                          std::min(limit_per_worker, enough - places), now);
    if (places >= enough) break;
  }
  return places;
}

WaitEstimator EstimatorFor(const WorkerTable& workers, bool best_effort,
                           Time now) {
  std::int64_t free = 0;
  std::int64_t capacity = 0;
  std::vector<CpuRelease> releases;
  for (const auto& [id, worker] : workers) {
    if (!AcceptsWork(worker, now) || FailsRuns(worker, now)) continue;
    capacity +=
        worker.entry.capacity.cpu.value() -
        static_cast<std::int64_t>(
            (best_effort ? 1 - kUnusedShareOfReserved : 1) *
            static_cast<double>(worker.used_by_long_running.cpu.value()));
    free += std::max<std::int64_t>(
        0, best_effort ? static_cast<std::int64_t>(UnusedProcessors(worker))
                       : FreeResources(worker).cpu.value());
    for (const auto& [task, run] : worker.runs) {
      if (run.long_running || (run.best_effort && !best_effort)) continue;
      releases.push_back(
          {RemainingTime(worker, run, now),
           run.best_effort ? run.best_effort_cpu : run.need.cpu});
    }
  }
  return {MilliCores(free), MilliCores(capacity), std::move(releases)};
}

}  // namespace gypsumfall::dispatch_internal
