#ifndef GYPSUMFALL_DISPATCH_INTERNAL_THROTTLING_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_THROTTLING_H_

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/interference.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// Updates the target share of every best-effort run on a worker from the
/// headroom of the worker's serving runs. While a serving run misses its
/// target, the best-effort runs that reduce its headroom most are throttled by
/// the missing amount. If it continues to miss the target, all best-effort runs
/// are paused. Throttling is relaxed as far as the headroom of all serving runs
/// allows.
/// @param worker holds the latest reports of its runs; the target share of its
///   best-effort runs is changed.
void UpdateThrottling(Worker& worker, const InterferenceModel& model, Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_THROTTLING_H_
