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

// Names of the services in the kernel; services look each other up by name.
inline constexpr const char* kTopologyService = "topology";
inline constexpr const char* kLayoutService = "layout";
inline constexpr const char* kWorkerListService = "worker-list";
inline constexpr const char* kShardService = "shards";
inline constexpr const char* kPeerService = "peers";
inline constexpr const char* kCallerService = "callers";
inline constexpr const char* kTransferService = "transfers";
inline constexpr const char* kHealthService = "health";
inline constexpr const char* kMetricsService = "metrics";

// Tables and row keys of the table service.
inline constexpr const char* kLeaderTable = "duty";
inline constexpr const char* kLeaderKey = "scheduler";
// Row with the roster of an earlier version; now a table with a row for each
// worker.
inline constexpr const char* kRosterKey = "roster";
inline constexpr const char* kRosterTable = "roster";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kEndedTable = "ended";
// Jobs of which each shard runs a slice, and those of them that were cancelled.
// The jobs of both tables are in one partition, so that a job changes tables
// atomically. The first table also holds the transfers of their tasks, and the
// moves of other jobs, so that one read of changes returns all of them in
// order. A transfer or move is in the partition of the shard that stored it,
// `ShardScope::partition`.
inline constexpr const char* kSlicedJobTable = "sliced-jobs";
inline constexpr const char* kCancelledSlicedJobTable = "sliced-jobs-cancelled";
inline constexpr const char* kSlicedJobPartition = "sliced-jobs";
inline constexpr const char* kLayoutTable = "layout";
inline constexpr const char* kLayoutKey = "shards";
// Row that names the host that counts the workers for the first layout. Sorts
// before the layout's key, so that one read returns both rows.
inline constexpr const char* kCountingHostKey = "counter";

/// Number of partitions over which the jobs of a shard are distributed. The
/// store carries out the transactions of a partition one after another.
inline constexpr std::uint64_t kJobPartitionCount = 16;

/// Location of a shard's rows in the table service.
struct ShardScope {
  ShardId id;
  /// Partition of the leader row and of the rows that are stored under a
  /// condition on it. It holds no jobs: hosts store these without the leader,
  /// and while the store is slow renewals of the lease would wait behind them.
  std::string partition;
  /// Table of the shard's jobs. Each shard has its own, because changes can
  /// only be read per table.
  std::string job_table;

  explicit ShardScope(ShardId shard)
      : id(shard),
        partition(shard == ShardId(0)
                      ? "jobs"
                      : "jobs-" + std::to_string(shard.value())),
        job_table(partition) {}

  /// @param number from 0 to `kJobPartitionCount` - 1.
  std::string JobPartition(std::uint64_t number) const {
    return partition + "-accepted-" + std::to_string(number);
  }
};

/// Dependencies shared by all services of a scheduling host.
struct Context {
  const SchedulerSettings& settings;
  /// Unique id of this process.
  std::string process;
  Runtime& runtime;
  Kernel& kernel;
  ClientPool& peers;
  Metrics& metrics;
  const SchedulerPorts& ports;

  Time Now() const { return runtime.Now(); }
  /// @return the wall-clock time, for stored records only; it may jump.
  WallTime WallNow() const {
    return std::chrono::duration_cast<WallTime>(
        std::chrono::system_clock::now().time_since_epoch());
  }
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_CONTEXT_H_
