#ifndef GYPSUMFALL_STORE_CLIENT_STORE_CLIENT_H_
#define GYPSUMFALL_STORE_CLIENT_STORE_CLIENT_H_

/// @file
/// Asynchronous clients of the platform: table service, object store and host
/// list. Each result tells whether a call without a reply can have had an
/// effect. Reads are retried within a budget; writes are sent once, because
/// only the caller knows how to find out what became of them.
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
