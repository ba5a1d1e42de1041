#ifndef GYPSUMFALL_OVERLOAD_OVERLOAD_H_
#define GYPSUMFALL_OVERLOAD_OVERLOAD_H_

/// @file
/// Estimates the load of a shard and decides which jobs to refuse under
/// overload. The library does no I/O and reads no clock. The leader of a shard
/// feeds a `LoadMeter` and publishes a `LoadSummary` every second; each host
/// that accepts jobs passes the summary to its `AdmissionController`.
///
/// Example:
/// @code
///   const LoadSummary summary = meter.Summarize(backlogs, cores, made_at,
///   now); std::string field = EncodeLoad(summary);
///   // ... on a host that has read the field:
///   AdmissionDecision decision = controller.Decide(id, demand, observed, now);
///   if (!decision.accepted) RefuseFor(decision.retry_after);
/// @endcode

#include "gypsumfall/overload/internal/admission.h"
#include "gypsumfall/overload/internal/load_meter.h"
#include "gypsumfall/overload/internal/load_summary.h"

#endif  // GYPSUMFALL_OVERLOAD_OVERLOAD_H_
