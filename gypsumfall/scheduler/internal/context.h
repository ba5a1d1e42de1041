#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_CONTEXT_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_CONTEXT_H_

#include <chrono>
#include <string>

#include "gypsumfall/http/http.h"
#include "gypsumfall/kernel/kernel.h"
#include "gypsumfall/runtime/runtime.h"
#include "gypsumfall/scheduler/ports.h"
#include "gypsumfall/settings/settings.h"
#include "gypsumfall/shards/shards.h"
#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall::scheduler_internal {

// Names by which services find each other in the kernel.
inline constexpr const char* kTopologyService = "topology";
inline constexpr const char* kLayoutService = "layout";
inline constexpr const char* kWorkerListService = "worker-list";
inline constexpr const char* kShardService = "shards";
inline constexpr const char* kPeerService = "peers";
inline constexpr const char* kCallerService = "callers";
inline constexpr const char* kHealthService = "health";
inline constexpr const char* kMetricsService = "metrics";

inline constexpr const char* kDutyTable = "duty";
inline constexpr const char* kDutyKey = "scheduler";
inline constexpr const char* kRosterKey = "roster";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kEndedTable = "ended";
// Jobs that are not in the shard that their id tells; in that shard's part.
inline constexpr const char* kPlacementTable = "placements";
inline constexpr const char* kLayoutTable = "layout";
inline constexpr const char* kLayoutKey = "shards";
// Names the host that counts the workers for the first layout. Sorted before
// the layout's key, so that one read shows both.
inline constexpr const char* kCounterKey = "counter";

/// Where the rows of one shard are.
struct ShardScope {
  ShardId id;
  /// Part of all rows that the shard's scheduler writes: a transaction covers
  /// one part only, and each is conditional on the shard's duty row.
  std::string part;
  /// Table of the shard's jobs. Each shard has its own, because changes are
  /// followed by table.
  std::string job_table;

  explicit ShardScope(ShardId shard)
      : id(shard),
        part(shard == ShardId(0) ? "jobs"
                                 : "jobs-" + std::to_string(shard.value())),
        job_table(part) {}
};

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
