#ifndef GYPSUMFALL_DISPATCH_INTERNAL_WORKER_HEALTH_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_WORKER_HEALTH_H_

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// Rates workers by the results of their runs. This detects workers that answer
/// calls promptly while their runs fail, are slow or make no progress.

/// Stores the reported progress of a run and updates the slowdown of its
/// worker.
/// @param percent progress of the run, 0 to 100.
void UpdateProgress(Worker& worker, Run& run, int percent, Time now);
/// Counts a run that failed, or that had to be stopped because it stalled.
void CountFailure(Worker& worker, Time now);
/// Counts a run that completed successfully.
void CountSuccess(Worker& worker);

/// @return whether a run that should make progress has made none for longer
///   than a run on a healthy worker ever takes.
bool IsStalled(const Worker& worker, const Run& run);

/// @return whether several runs on the worker have failed lately.
bool FailsRuns(const Worker& worker, Time now);

/// @return the penalty of the worker for new runs: 0 for a healthy worker,
///   above 1 for a worker to be used only when no other has enough free
///   resources.
double HealthPenalty(const Worker& worker, Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_WORKER_HEALTH_H_
