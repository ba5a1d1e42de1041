#ifndef GYPSUMFALL_STORE_CLIENT_STORE_CLIENT_H_
#define GYPSUMFALL_STORE_CLIENT_STORE_CLIENT_H_

/// @file
/// Asynchronous clients of the platform services: table service, object store
/// and host list. If a call has no reply, its result states whether it may have
/// been applied. Reads are retried within a budget. Writes are sent once,
/// because only the caller knows how to determine whether a write was applied.
///
/// Example:
/// @code
///   TableClient table(io, pool, {.endpoint = "10.0.0.1:7000"});
///   table.Transact(call, [](PlatformResult<TransactReply> result) {
///     if (result.reply) {
///       Use(*result.reply);
///     } else if (!result.certainly_not_applied) {
///       ReadBack();
///     }
///   });
/// @endcode

#include "gypsumfall/store_client/internal/clients.h"
#include "gypsumfall/store_client/internal/retry_budget.h"

#endif  // GYPSUMFALL_STORE_CLIENT_STORE_CLIENT_H_
