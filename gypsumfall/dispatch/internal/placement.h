#ifndef GYPSUMFALL_DISPATCH_INTERNAL_PLACEMENT_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_PLACEMENT_H_

#include "gypsumfall/balance/balance.h"
#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/interference.h"
#include "gypsumfall/dispatch/internal/job_table.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// Requirements of a task on its worker.
struct PlacementRequest {
  TaskName task;
  const StepSpec* spec = nullptr;
  const Step* step = nullptr;
  /// Index of the step's image in the interference model.
  std::size_t image = 0;
  ServiceId service;
  /// Priority of the job; 0 is the highest.
  int priority = 0;
  /// Rack in which the task must run; empty if any will do.
  RackId rack;
  /// Workers that are chosen only if no other one is eligible; null if there
  /// are none.
  const std::vector<WorkerId>* avoided = nullptr;
};

/// @return whether the worker may receive new runs at all. One whose data
///   centre is closed may not.
bool AcceptsWork(const Worker& worker, Time now);

/// @return the thousandths of a core that best-effort tasks may use on the
///   worker, including those that they use now. They are not reserved, or
///   long-running tasks that hold them are expected to leave them unused.
double BestEffortProcessors(const Worker& worker);

/// @return the time until the task can have enough free resources, judged by
///   the declared run times of the runs on the worker; `Duration::max()` if the
///   long-running runs and the reservations do not leave enough.
Duration TimeUntilFits(const Worker& worker, const PlacementRequest& request,
                       Time now);

/// @return whether the worker accepts work and meets the constraints of the
///   step. Reservations of its other tasks count as runs.
bool IsEligible(const Worker& worker, const PlacementRequest& request,
                Time now);

/// Chooses a worker with enough free resources.
/// - Long-running tasks go to workers with few serving runs of other images,
///   and among these to the fullest.
/// - Tasks of finite length are packed best-fit, which leaves large gaps for
///   other tasks.
/// - Best-effort tasks go where they reduce the headroom of serving runs least,
///   and among these where most processors are unused.
/// Workers with recent failures are chosen only if no other worker has enough
/// free resources.
/// @return null if no worker is eligible.
Worker* ChooseWorker(WorkerTable& workers, const PlacementRequest& request,
                     const InterferenceModel& model, Time now);

/// Chooses the worker on which a best-effort task can start with the largest
/// share, when it must be throttled from its start on.
/// @param min_percent smallest share, in percent, that is enough.
/// @return null if no worker leaves it that share.
Worker* ChooseWorkerToThrottle(WorkerTable& workers,
                               const PlacementRequest& request,
                               const InterferenceModel& model, int min_percent,
                               Time now);

/// @return the share, in percent, with which a best-effort task can start on an
///   eligible worker.
int StartPercent(const Worker& worker, const PlacementRequest& request,
                 const InterferenceModel& model, Time now);

/// Chooses the worker that can have enough free resources soonest if no further
/// run of finite length starts on it, judged by the declared run times of those
/// it has.
/// @return null if no worker has enough resources beside its long-running runs
///   and its reservations.
Worker* ChooseWorkerToReserve(WorkerTable& workers,
                              const PlacementRequest& request, Time now);

/// Counts the tasks of a step that the workers could run at the same time if
/// all runs of finite length ended. Workers that fail runs do not count.
/// @param enough number at which counting ends.
/// @return the number of tasks, at most `enough`.
int CountPlaces(WorkerTable& workers, const PlacementRequest& request,
                int enough, Time now);

/// Counts the tasks of a step that the workers could start now. The rack of the
/// data does not count, nor do workers that fail runs.
/// @param enough number at which counting ends.
/// @return the number of tasks, at most `enough`.
int CountFreePlaces(WorkerTable& workers, const PlacementRequest& request,
                    const InterferenceModel& model, int enough, Time now);

/// @param best_effort whether for best-effort steps, which use what others
///   leave unused.
/// @return an estimator for the waits of steps, by the declared run times of
///   the runs on all workers that accept work.
WaitEstimator EstimatorFor(const WorkerTable& workers, bool best_effort,
                           Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_PLACEMENT_H_
