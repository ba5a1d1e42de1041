#ifndef GYPSUMFALL_DISPATCH_INTERNAL_WORKER_MESSAGES_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_WORKER_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

/// Position in a worker's list of completion reports, from 1 in each
/// incarnation.
using CompletionNumber = StrongNumber<struct EndNumberTag, std::uint64_t>;

/// Entry of the worker list.
struct WorkerEntry {
  WorkerId id;
  /// "ip:port".
  std::string endpoint;
  ServiceId service;
  DataCentreId data_centre;
  Resources capacity;
  std::vector<WorkerLabel> labels;
  RackId rack;
  bool draining = false;
  /// Shortest time for which a draining worker goes on, counted from its
  /// report.
  std::optional<Duration> remaining;
  /// Start of the incarnation that the entry describes, in milliseconds since
  /// 1970; unset if the entry does not name it. A restarted worker may have
  /// another capacity and other labels.
  std::optional<WallTime> incarnation;

  friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
};

/// Result of an order to a worker.
enum class OrderVerdict {
  kAccepted,
  /// The worker has accepted orders of a newer epoch.
  kFenced,
  /// The worker has already seen a run of the task with this or a higher
  /// number.
  kStaleRun,
  /// The lease in the order had expired.
  kStaleLease,
  /// The worker lacks the resources.
  kNoCapacity,
  /// The ticket of the advice service is missing or has expired.
  kNoTicket,
  /// The worker rejected the order and did nothing.
  kRefused,
  /// Another incarnation of the worker answers at the address.
  kOtherIncarnation,
  /// The worker could not parse the order.
  kMalformed,
  /// No byte of the order was sent.
  kNotSent,
  /// The order may have been carried out, or may be carried out later.
  kUnanswered,
};

/// @return the fixed name of the verdict, such as "no_room".
std::string_view OrderVerdictName(OrderVerdict verdict);

/// Reply to a start, stop or throttling order.
struct OrderReply {
  OrderVerdict verdict = OrderVerdict::kUnanswered;
  std::optional<WorkerTime> worker_clock;
};

/// A run in the list of a worker.
struct RunReport {
  TaskName task;
  RunNumber run;
  Checkpoint checkpoint;
  /// Progress of a task of finite length, or current share of a long-running
  /// task.
  int percent = 0;
  /// Averaged over the last half second: the tail latency in milliseconds of a
  /// long-running task, otherwise the processors in use in thousandths of a
  /// core.
  double usage = 0;
};

/// How a run ended.
enum class RunOutcome {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

/// @return the fixed name of the outcome, such as "done".
std::string_view RunEndName(RunOutcome end);

/// Reports that a run has ended.
struct CompletionReport {
  CompletionNumber number;
  TaskName task;
  RunNumber run;
  RunOutcome end = RunOutcome::kDone;
  Checkpoint checkpoint;
};

/// A worker reports at most this many completions at once. Runs missing from
/// such a report may have ended.
inline constexpr std::size_t kMaxListedCompletions = 500;

/// Reply to a lease call.
struct LeaseReply {
  OrderVerdict verdict = OrderVerdict::kUnanswered;
  std::optional<WorkerTime> worker_clock;
  /// Start of the worker's incarnation, in milliseconds since 1970.
  WallTime incarnation{0};
  std::vector<RunReport> running;
  std::vector<CompletionReport> ended;
};

/// Starts a run.
struct StartOrder {
  WorkerId worker;
  std::string endpoint;
  TaskName task;
  RunNumber run;
  /// The worker stops all runs at this time unless the lease is extended.
  WorkerTime lease_until;
  Checkpoint checkpoint;
};

/// Stops a run, including one that has not reached the worker yet.
struct StopOrder {
  WorkerId worker;
  std::string endpoint;
  TaskName task;
  RunNumber run;
};

/// Extends the lease of all runs on a worker, acknowledges completions and asks
/// for the lists of running and ended runs. The worker may delay its answer
/// until a run ends.
struct LeaseOrder {
  WorkerId worker;
  std::string endpoint;
  /// Unset until the worker's clock is known.
  std::optional<WorkerTime> lease_until;
  CompletionNumber acknowledged;
  /// Longest time that the worker may delay its answer.
  Duration wait{0};
};

/// Limits a run to a share of its full speed.
struct ThrottleOrder {
  WorkerId worker;
  std::string endpoint;
  TaskName task;
  RunNumber run;
  int percent = 100;
};

using Order = std::variant<StartOrder, StopOrder, LeaseOrder, ThrottleOrder>;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_WORKER_MESSAGES_H_
