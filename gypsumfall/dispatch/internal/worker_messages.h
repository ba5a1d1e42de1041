#ifndef GYPSUMFALL_DISPATCH_INTERNAL_WORKER_MESSAGES_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_WORKER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

/// Position in a worker's list of ended runs, from 1 in each incarnation.
using EndNumber = StrongNumber<struct EndNumberTag, std::uint64_t>;

/// What the worker list says of a worker.
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

  friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
};

/// How an order to a worker ended.
enum class OrderVerdict {
  kAccepted,
  /// A newer epoch commands the worker.
  kFenced,
  /// A run of that number or a higher one has been there already.
  kStaleRun,
  /// The lease named in the order was over.
  kLeaseOver,
  /// The worker has no room.
  kNoRoom,
  /// The ticket of the advice service is missing or over.
  kNoTicket,
  /// The worker did nothing.
  kRefused,
  /// Another incarnation answers at the address.
  kOtherIncarnation,
  kMalformed,
  /// No byte of the order was sent.
  kNotSent,
  /// The order may have been carried out, or may be later.
  kUnanswered,
};

/// @return a fixed name such as "no_room".
std::string_view OrderVerdictName(OrderVerdict verdict);

struct OrderReply {
  OrderVerdict verdict = OrderVerdict::kUnanswered;
  std::optional<WorkerTime> worker_clock;
};

/// One run that a worker lists.
struct RunReport {
  TaskName task;
  RunNumber run;
  Checkpoint checkpoint;
  /// Progress of a task that ends; share at work of one that does not.
  int percent = 0;
  /// Tail latency in milliseconds of a long-running task, otherwise the
  /// processors in use in thousandths of a core; of the last half second.
  double usage = 0;
};

enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLeaseLapsed,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not come in time.
  kGangIncomplete,
};

/// @return a fixed name such as "done".
std::string_view RunEndName(RunEnd end);

/// One run that has ended on a worker.
struct EndReport {
  EndNumber number;
  TaskName task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  Checkpoint checkpoint;
};

/// Answer to a lease call.
struct LeaseReply {
  OrderVerdict verdict = OrderVerdict::kUnanswered;
  std::optional<WorkerTime> worker_clock;
  /// Start of the worker's incarnation, as time since 1970.
  WallTime incarnation{0};
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
};

/// Starts a run.
struct StartOrder {
  WorkerId worker;
  std::string endpoint;
  TaskName task;
  RunNumber run;
  /// The worker stops everything at this time unless the lease is extended.
  WorkerTime lease_until;
  Checkpoint checkpoint;
};

/// Stops a run, also one that has not arrived yet.
struct StopOrder {
  WorkerId worker;
  std::string endpoint;
  TaskName task;
  RunNumber run;
};

/// Extends the lease of all that runs on a worker, acknowledges ends and asks
/// for both lists. The answer may wait for an end.
struct LeaseOrder {
  WorkerId worker;
  std::string endpoint;
  /// Unset until the worker's clock is known.
  std::optional<WorkerTime> lease_until;
  EndNumber acknowledged;
  Duration wait{0};
};

/// Lets a run work at a share of its speed.
struct PaceOrder {
  WorkerId worker;
  std::string endpoint;
  TaskName task;
  RunNumber run;
  int percent = 100;
};

using Order = std::variant<StartOrder, StopOrder, LeaseOrder, PaceOrder>;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_WORKER_MESSAGES_H_
