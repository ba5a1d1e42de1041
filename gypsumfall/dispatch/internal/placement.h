#ifndef GYPSUMFALL_DISPATCH_INTERNAL_PLACEMENT_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_PLACEMENT_H_

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/interference.h"
#include "gypsumfall/dispatch/internal/job_table.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// What a task asks of a worker.
struct PlacementRequest {
  const StepSpec* spec = nullptr;
  const Step* step = nullptr;
  /// Index of the step's image in the interference model.
  std::size_t image = 0;
  ServiceId service;
  /// Only this rack, unless empty.
  RackId rack;
  /// Worker of the task's latest failure; avoided while another will do.
  WorkerId avoid;
};

/// @return whether new work may go to the worker at all.
bool AcceptsWork(const Worker& worker, Time now);

/// Chooses a worker with room.
/// - Long-running tasks go to workers that run the same image, and are spread
///   over these.
/// - Tasks that end are packed tightly, which leaves large gaps for others.
/// - Tasks that fill go where they harm the tails of others least, and then
///   where the most processors are left unused.
/// Workers that failed runs lately are taken only if no other has room.
/// @return null if no worker has room.
Worker* ChooseWorker(WorkerTable& workers, const PlacementRequest& request,
                     const InterferenceModel& model, Time now);

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_PLACEMENT_H_
