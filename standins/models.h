#ifndef STANDINS_MODELS_H_
#define STANDINS_MODELS_H_

/// @file
/// Deterministic models of the platform and of workers. Tests use them as
/// fakes; the program gypsumfall-standins serves them over HTTP. The models
/// take the current time as an argument and use no threads or sockets.
///
/// Example:
/// @code
///   TableModel table({}, FaultRules(7));
///   table.faults().Add({.fault = Fault::kAppliedAnswerLost,
///                       .key_prefix = "log/", .count = 1});
///   Answer<TransactReply> answer = table.Transact(call, now);
///   if (!answer.reply) { /* the answer was lost; see answer.applied */ }
/// @endcode

#include "standins/internal/fault_rules.h"
#include "standins/internal/platform_models.h"
#include "standins/internal/run_log.h"
#include "standins/internal/worker_model.h"

#endif  // STANDINS_MODELS_H_
