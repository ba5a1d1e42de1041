#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_MESSAGES_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Identifies one attempt to run a task.
struct AttemptId {
  CustomerId customer;
  TaskId task;
  AttemptNumber number;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// State of an attempt, reported by its worker.
enum class AttemptState {
  kRunning,
  kFinished,
  kFailed,
  /// Ended without a result: stopped, lease expired, or never started. The
  /// worker never starts this attempt number again.
  kStopped,
};

/// State of one attempt, reported by its worker.
struct AttemptReport {
  AttemptId id;
  AttemptState state = AttemptState::kRunning;
  /// Whether the attempt ever started to run.
  bool started = false;
  KindId kind;
  Resources resources;
  /// Last confirmed checkpoint; empty if none.
  std::string checkpoint;
  /// Result or error text of an ended attempt.
  std::string result;
  WorkerTime lease_until;
};

/// A request that is running on a worker when an owner attaches to it.
struct ExchangeReport {
  ExchangeId id;
  Resources resources;
};

/// Measured resource usage of one attempt, or of all requests of one kind, on a
/// worker.
struct UsageReport {
  KindId kind;
  Resources used;
  /// Time of the measurement on the worker's clock; lags behind the report.
  WorkerTime measured_at;
  /// Run time relative to that on a host without other work, in thousandths.
  std::int64_t slowdown_permille = 1000;
};

/// Reason for which a worker refused a command. Every reason guarantees that
/// the command started nothing.
enum class RefusalReason {
  kStaleEpoch,
  kExpired,
  kNoSlot,
  kNoResources,
  kLeaving,
  kUnknownKind,
  /// The attempt number may no longer be started, or the exchange was cancelled
  /// earlier.
  kClosed,
};

/// Common fields of all commands to a worker.
struct CommandHeader {
  EntryHostId owner;
  Epoch epoch;
  /// Incarnation of the worker to which the command applies.
  Incarnation incarnation;
  /// The worker refuses the command after this time on its own clock.
  WorkerTime valid_until;
};

/// Makes an entry host the owner of a worker.
struct AttachCall {
  EntryHostId owner;
  Epoch epoch;
};

struct AttachReply {
  bool accepted = false;
  /// Highest epoch that the worker has received, and its owner; also set if the
  /// call was refused.
  Epoch highest_epoch;
  EntryHostId owner;
  Incarnation incarnation;
  WorkerTime clock;
  Resources capacity;
  int slots = 0;
  int connections = 0;
  bool leaving = false;
  std::vector<AttemptReport> attempts;
  std::vector<ExchangeReport> exchanges;
};

/// Extends the lease of one running attempt.
struct LeaseRenewal {
  AttemptId id;
  Epoch task_epoch;
  WorkerTime lease_until;
};

/// Renews leases on a worker and requests its state.
struct WorkerHeartbeatCall {
  CommandHeader header;
  std::vector<LeaseRenewal> renewals;
  /// Ended attempts whose outcome is stored durably; the worker may discard
  /// their reports.
  std::vector<AttemptId> acknowledged;
};

struct WorkerHeartbeatReply {
  /// Unset if the worker accepted the heartbeat.
  std::optional<RefusalReason> refused;
  Incarnation incarnation;
  WorkerTime clock;
  bool leaving = false;
  /// All attempts that are running or whose end is not acknowledged yet.
  std::vector<AttemptReport> attempts;
  std::vector<UsageReport> usage;
};

/// Runs a request on a worker; the reply has its result.
struct RunRequestCall {
  CommandHeader header;
  ExchangeId exchange;
  KindId kind;
  Resources resources;
  std::string payload;
};

/// State of a request on a worker.
enum class ExchangeState {
  kFinished,
  /// The worker ran the request and it failed.
  kFailed,
  kRunning,
  /// The worker has not started the request and never will.
  kNeverStarted,
};

/// Reply to RunRequestCall and to CancelRequestCall.
struct RequestReply {
  ExchangeId exchange;
  ExchangeState state = ExchangeState::kNeverStarted;
  /// Set if the worker refused the command.
  std::optional<RefusalReason> refused;
  std::string result;
};

/// Cancels a request that has not started yet.
struct CancelRequestCall {
  CommandHeader header;
  ExchangeId exchange;
};

/// Starts an attempt to run a task.
struct StartAttemptCall {
  CommandHeader header;
  AttemptId id;
  KindId kind;
  Resources resources;
  std::string payload;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  Epoch task_epoch;
  WorkerTime lease_until;
};

struct StartAttemptReply {
  /// Unset if the attempt is running, including when an earlier copy of the
  /// call started it.
  std::optional<RefusalReason> refused;
  WorkerTime clock;
};

/// Stops an attempt after its last checkpoint. Even if the attempt is not
/// running, the worker never starts its number afterwards.
struct StopAttemptCall {
  CommandHeader header;
  AttemptId id;
};

struct StopAttemptReply {
  std::optional<RefusalReason> refused;
  AttemptReport report;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_MESSAGES_H_
