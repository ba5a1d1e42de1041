#ifndef GYPSUMFALL_BASE_BASE_H_
#define GYPSUMFALL_BASE_BASE_H_

/// @file
/// Vocabulary shared by all libraries: strong ids, units, time, hashes and the
/// closed list of error kinds.
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

#include "gypsumfall/base/internal/error.h"
#include "gypsumfall/base/internal/hash.h"
#include "gypsumfall/base/internal/ids.h"
#include "gypsumfall/base/internal/log_level.h"
#include "gypsumfall/base/internal/resources.h"
#include "gypsumfall/base/internal/secret.h"
#include "gypsumfall/base/internal/time.h"

#endif  // GYPSUMFALL_BASE_BASE_H_
