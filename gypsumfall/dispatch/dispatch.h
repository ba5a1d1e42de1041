#ifndef GYPSUMFALL_DISPATCH_DISPATCH_H_
#define GYPSUMFALL_DISPATCH_DISPATCH_H_

/// @file
/// Decides which worker runs which task, and when a task may be started again.
/// The library does no I/O and reads no clock: replies and events are passed in
/// as calls with the current time, and the library returns orders for workers
/// and rows to store.
///
/// A task never runs in two places at once, because:
/// - at most one run of a task is bound to a worker. A new run starts only when
///   the previous one is known to have ended, or when the lease of its worker
///   has expired on the worker's own clock;
/// - after a takeover, tasks accepted in earlier epochs wait until every worker
///   that could run them has reported its runs, and all ends of runs, under the
///   new epoch or has lost its lease;
/// - no run starts while a worker still stops an earlier one of the task that
///   this dispatcher did not expect.
///
/// Example:
/// @code
///   Dispatcher dispatcher(settings, Epoch(4), now);
///   dispatcher.OnWorkerListed(entry, now);
///   dispatcher.Submit(record, now, wall_now);
///   for (Order& order : dispatcher.Decide(now)) Send(order);
///   RecordBatch batch = dispatcher.TakeRecords(limit);
///   // ... once the rows of the batch are stored:
///   dispatcher.OnRecorded(batch);
/// @endcode

#include "gypsumfall/dispatch/internal/dispatcher.h"
#include "gypsumfall/dispatch/internal/worker_messages.h"

#endif  // GYPSUMFALL_DISPATCH_DISPATCH_H_
