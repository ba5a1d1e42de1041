#ifndef GYPSUMFALL_TASKS_INTERNAL_TASK_TYPES_H_
#define GYPSUMFALL_TASKS_INTERNAL_TASK_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/journal/internal/record_id.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Identifies a task.
struct TaskKey {
  CustomerId customer;
  TaskId task;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// Properties of a task, copied from its kind in the contract when it is
/// submitted.
struct TaskSpec {
  KindId kind = {};
  Resources resources = {};
  bool idempotent = true;
  /// Whether an interrupted attempt may be run again without a checkpoint even
  /// though the kind is not idempotent.
  bool resumable = false;
  /// Lower values are placed earlier.
  int urgency = 0;
  /// How long an attempt's lease is renewed while the store is unreachable.
  Duration run_without_contact = seconds(600);
};

/// Per-customer limits that apply to one partition.
struct TaskLimits {
  std::size_t queued = 1000;
  std::size_t running = 1000;
};

enum class TaskState {
  /// The acceptance is not durable yet and the caller not answered.
  kAccepting,
  kQueued,
  /// An attempt is durable but its worker has not reported it as running.
  kStarting,
  kRunning,
  kDone,
  kFailed,
  kCancelled,
};

/// @return "accepting", "queued", "starting", "running", "done", "failed" or
///     "cancelled".
std::string_view TaskStateName(TaskState state);

/// Status of a task as reported to its caller.
struct TaskStatus {
  TaskKey key;
  TaskState state = TaskState::kAccepting;
  /// Current or last attempt; 0 if there was none.
  AttemptNumber attempt;
  /// `kNo` only for a task that ended and never ran.
  WasRun was_run = WasRun::kUnknown;
  bool cancel_requested = false;
  /// Result of a done task, failure text of a failed one.
  std::string result;
  /// Set if the submission or cancellation itself failed.
  std::optional<Error> error;

  /// @return whether the state never changes again.
  bool ended() const { return state >= TaskState::kDone; }
};

/// Reading of a worker's clock, taken from one of its answers.
struct WorkerClockReading {
  WorkerId worker;
  Incarnation incarnation;
  /// Reading of the worker's clock, taken before the answer was received.
  WorkerTime clock;
};

/// Append a record to the journal; answer with `OnRecordDurable`,
/// `OnRecordUnknown` or `OnRecordRefused`.
struct AppendRecord {
  JournalRecordId record_id;
  std::string text;
};

/// Ask a worker owner for capacity; answer with `OnReservation`.
struct RequestReservation {
  AttemptId id;
  Resources resources;
  KindId kind;
  /// Workers on which earlier attempts of this task failed.
  std::vector<WorkerId> avoid;
};

/// Send a start. Each action is sent at most once, and not after `send_before`;
/// answer with `OnStartReply` or `OnStartUnknown`.
struct StartAttempt {
  AttemptId id;
  WorkerId worker;
  Incarnation incarnation;
  KindId kind;
  Resources resources;
  std::string payload;
  std::string checkpoint;
  Epoch task_epoch;
  WorkerTime lease_until;
  Time send_before;
};

/// Extend an attempt's lease, not sent after `send_before`. The actions of one
/// call are batched per worker owner.
struct RenewAttempt {
  AttemptId id;
  WorkerId worker;
  Incarnation incarnation;
  Epoch task_epoch;
  WorkerTime lease_until;
  Time send_before;
};

/// Ask the worker owner for the worker's reports, which `OnReports` takes. Used
/// when no recent reading of the worker's clock is known, for instance after a
/// takeover.
struct QueryWorker {
  WorkerId worker;
  Incarnation incarnation;
};

/// Stop an attempt and close its number, even if it never started. Resent until
/// a report shows that the attempt has ended.
struct StopAttempt {
  AttemptId id;
  WorkerId worker;
  Incarnation incarnation;
};

/// Tell the worker that the outcome is durable and may be discarded.
struct AcknowledgeAttempt {
  AttemptId id;
  WorkerId worker;
  Incarnation incarnation;
};

/// Answer the callers that wait for the task.
struct Notify {
  TaskStatus status;
};

using TaskAction =
    std::variant<AppendRecord, RequestReservation, StartAttempt, RenewAttempt,
                 QueryWorker, StopAttempt, AcknowledgeAttempt, Notify>;
using TaskActions = std::vector<TaskAction>;

/// Counts for metrics.
struct TaskCounts {
  std::size_t tasks = 0;
  /// Tasks that are reserving or have an attempt.
  std::size_t active = 0;
  std::uint64_t results_accepted = 0;
  /// Reports of attempts that are not current.
  std::uint64_t late_reports = 0;
};

/// Answer to a submission or cancellation.
struct TaskDecision {
  /// The status, or why the call was refused (certainly not run). While
  /// the state is `kAccepting`, or a cancellation is not yet shown as
  /// requested, the caller waits for the next `Notify` of the task.
  Result<TaskStatus> status;
  TaskActions actions;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_TASK_TYPES_H_
