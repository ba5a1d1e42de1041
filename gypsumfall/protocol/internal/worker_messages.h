#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_MESSAGES_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Names one attempt to run a task.
struct AttemptId {
  CustomerId customer;
  TaskId task;
  AttemptNumber number;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// State of an attempt as its worker reports it.
enum class AttemptState {
  kRunning,
  kFinished,
  kFailed,
  /// Ended without a result: stopped, lease lapsed, or never started. The
  /// worker never starts this attempt number again.
  kStopped,
};

/// What a worker reports about one attempt.
struct AttemptReport {
  AttemptId id;
  AttemptState state = AttemptState::kRunning;
  /// Whether the attempt ever started to run.
  bool started = false;
  KindId kind;
  Resources resources;
  /// Last checkpoint that the worker confirmed; empty if none.
  std::string checkpoint;
  /// Result, or failure text, once the attempt has ended.
  std::string result;
  WorkerTime lease_until;
};

/// A request that a worker is running, as it reports it when attached.
struct ExchangeReport {
  ExchangeId id;
  Resources resources;
};

/// Measured use of one attempt or of all requests of one kind on a worker.
struct UsageReport {
  KindId kind;
  Resources used;
  /// Time on the worker's clock that the figures speak of; lags behind.
  WorkerTime measured_at;
  /// Run time relative to an unshared host, in thousandths.
  std::int64_t slowdown_permille = 1000;
};

/// Why a worker refused a command. Each is a proof that nothing was started.
enum class RefusalReason {
  kStaleEpoch,
  kExpired,
  kNoSlot,
  kNoResources,
  kLeaving,
  kUnknownKind,
  /// The attempt number is closed, or the exchange was cancelled before.
  kClosed,
};

/// Fields of every command to a worker.
struct CommandHeader {
  EntryHostId owner;
  Epoch epoch;
  /// Incarnation of the worker that the command is for; 0 in an attach.
  Incarnation incarnation;
  /// The worker refuses the command after this time on its own clock.
  WorkerTime valid_until;
};

struct AttachCall {
  EntryHostId owner;
  Epoch epoch;
};

struct AttachReply {
  bool accepted = false;
  /// Highest epoch the worker has seen and its owner, also when refused.
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

struct WorkerHeartbeatCall {
  CommandHeader header;
  std::vector<LeaseRenewal> renewals;
  /// Ended attempts whose outcome is durable; the worker may forget them.
  std::vector<AttemptId> acknowledged;
};

struct WorkerHeartbeatReply {
  /// Unset if the worker accepted the heartbeat.
  std::optional<RefusalReason> refused;
  Incarnation incarnation;
  WorkerTime clock;
  bool leaving = false;
  /// All attempts that are running or not yet acknowledged.
  std::vector<AttemptReport> attempts;
  std::vector<UsageReport> usage;
};

struct RunRequestCall {
  CommandHeader header;
  ExchangeId exchange;
  KindId kind;
  Resources resources;
  std::string payload;
};

enum class ExchangeState {
  kFinished,
  /// The worker ran the request and it failed.
  kFailed,
  kRunning,
  /// The worker has not started it and never will.
  kNeverStarted,
};

/// Answer to RunRequestCall and to CancelRequestCall.
struct RequestReply {
  ExchangeId exchange;
  ExchangeState state = ExchangeState::kNeverStarted;
  /// Set if the worker refused the command.
  std::optional<RefusalReason> refused;
  std::string result;
};

struct CancelRequestCall {
  CommandHeader header;
  ExchangeId exchange;
};

struct StartAttemptCall {
  CommandHeader header;
  AttemptId id;
  KindId kind;
  Resources resources;
  std::string payload;
  /// Checkpoint to resume from; empty to start afresh.
  std::string checkpoint;
  Epoch task_epoch;
  WorkerTime lease_until;
};

struct StartAttemptReply {
  /// Unset if the attempt runs, also if an earlier copy of the call started it.
  std::optional<RefusalReason> refused;
  WorkerTime clock;
};

/// Stops an attempt after its last checkpoint; closes its number in any case.
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
