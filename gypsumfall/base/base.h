#ifndef GYPSUMFALL_BASE_BASE_H_
#define GYPSUMFALL_BASE_BASE_H_

/// @file
/// Basic types shared by all libraries: strongly typed ids and numbers, units,
/// time, sets of small numbers, hashes, secrets, log levels and the closed set
/// of error kinds.
///
/// Example:
/// @code
///   Result<Resources> Reserve(const WorkerId& worker, Time now) {
///     if (worker.empty()) {
///       return Fail(ErrorKind::kBadRequest, "worker id is empty");
///     }
///     return Resources{.cpu = MilliCores(500), .memory = MebiBytes(256)};
///   }
/// @endcode

#include "gypsumfall/base/internal/bit_set.h"
#include "gypsumfall/base/internal/error.h"
#include "gypsumfall/base/internal/hash.h"
#include "gypsumfall/base/internal/ids.h"
#include "gypsumfall/base/internal/log_level.h"
#include "gypsumfall/base/internal/resources.h"
#include "gypsumfall/base/internal/secret.h"
#include "gypsumfall/base/internal/time.h"

#endif  // GYPSUMFALL_BASE_BASE_H_
