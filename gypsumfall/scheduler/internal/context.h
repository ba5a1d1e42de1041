#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_CONTEXT_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_CONTEXT_H_

#include <chrono>

#include "gypsumfall/http/http.h"
#include "gypsumfall/kernel/kernel.h"
#include "gypsumfall/runtime/runtime.h"
#include "gypsumfall/scheduler/ports.h"
#include "gypsumfall/settings/settings.h"
#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall::scheduler_internal {

// Names by which services find each other in the kernel.
inline constexpr const char* kTopologyService = "topology";
inline constexpr const char* kDutyService = "duty";
inline constexpr const char* kWorkerListService = "worker-list";
inline constexpr const char* kDispatchService = "dispatch";
inline constexpr const char* kPeerService = "peers";
inline constexpr const char* kCallerService = "callers";
inline constexpr const char* kHealthService = "health";
inline constexpr const char* kMetricsService = "metrics";

// Tables of the scheduler. All rows that the scheduling host writes are in one
// part, because a transaction covers one part only and each of its
// transactions is conditional on the duty row.
inline constexpr const char* kPart = "jobs";
inline constexpr const char* kDutyTable = "duty";
inline constexpr const char* kDutyKey = "scheduler";
inline constexpr const char* kRosterKey = "roster";
inline constexpr const char* kJobTable = "jobs";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kEndedTable = "ended";

/// What all services of a scheduling host share.
struct Context {
  const SchedulerSettings& settings;
  /// Id of this process; no other process ever has it.
  std::string process;
  Runtime& runtime;
  Kernel& kernel;
  ClientPool& peers;
  Metrics& metrics;
  const SchedulerPorts& ports;

  Time Now() const { return runtime.Now(); }
  /// @return the time of day, for records only; it may jump.
  WallTime WallNow() const {
    return std::chrono::duration_cast<WallTime>(
        std::chrono::system_clock::now().time_since_epoch());
  }
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_CONTEXT_H_
