#ifndef GYPSUMFALL_DISPATCH_DISPATCH_H_
#define GYPSUMFALL_DISPATCH_DISPATCH_H_

/// @file
/// Decides which worker runs which task, and when a task may start again. It
/// knows no network, no store and no clock: what happened goes in as calls
/// with the present time, orders to workers and rows to store come out.
///
/// What keeps a task from running in two places:
/// - at most one run of a task is bound to a worker; a new run is started only
///   when the old one is known to have ended, or when the lease of its worker
///   is certainly over on the worker's own clock;
/// - after a takeover, tasks of earlier epochs wait until every worker that
///   could run them has listed its runs under the new epoch or has lost its
///   lease.
///
/// Example:
/// @code
///   Dispatcher dispatcher(settings, Epoch(4), now);
///   dispatcher.OnWorkerListed(entry, now);
///   dispatcher.Submit(record, now);
///   for (Order& order : dispatcher.Decide(now)) Send(order);
///   RecordBatch batch = dispatcher.TakeRecords(now);
///   // ... once the rows of the batch are stored:
///   dispatcher.OnRecorded(batch.sequence, now);
/// @endcode

#include "gypsumfall/dispatch/internal/dispatcher.h"
#include "gypsumfall/dispatch/internal/worker_messages.h"

#endif  // GYPSUMFALL_DISPATCH_DISPATCH_H_
