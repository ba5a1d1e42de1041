#ifndef GYPSUMFALL_DISPATCH_INTERNAL_WORKER_HEALTH_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_WORKER_HEALTH_H_

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// Judges workers by their own runs, for workers that answer well while their
/// work fails, crawls or stands still.

/// A run has reported progress; updates how slow the worker is.
void NoteProgress(Worker& worker, Run& run, int percent, Time now);
/// A run has failed, or had to be stopped because it stood still.
void NoteFailure(Worker& worker, Time now);
/// A run is done.
void NoteDone(Worker& worker);

/// @return whether a run that should make progress has made none for longer
///   than a sound worker ever takes.
bool StandsStill(const Run& run, Time now);

/// @return how unfit the worker is for new work: 0 if it is as good as any,
///   above 1 if it is to be used only when no other has room.
double Unfitness(const Worker& worker, Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_WORKER_HEALTH_H_
