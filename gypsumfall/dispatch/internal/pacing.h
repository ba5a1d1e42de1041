#ifndef GYPSUMFALL_DISPATCH_INTERNAL_PACING_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_PACING_H_

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// Decides at which share the runs that fill may work on a worker, from the
/// tail latencies that its long-running tasks report: halved while one is near
/// its target or over it, raised in steps while all are well below.
/// @param worker its runs hold the newest reports.
/// @return the share in percent.
int DecideFillPercent(const Worker& worker, Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_PACING_H_
