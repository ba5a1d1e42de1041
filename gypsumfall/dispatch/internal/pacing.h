#ifndef GYPSUMFALL_DISPATCH_INTERNAL_PACING_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_PACING_H_

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/interference.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// Decides at which share the runs that fill work on a worker, from the
/// headroom that its serving runs report. While one misses its target, those
/// that are known to take most from it are slowed by as much as is missing; if
/// it goes on missing it, all that fills stands still. Slowed runs are let go
/// as far as all headrooms allow.
/// @param worker its runs hold the newest reports; their wanted share changes.
void DecidePace(Worker& worker, const InterferenceModel& model, Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_PACING_H_
