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
#include "gypsumfall/journal/internal/ticket.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Names a task.
struct TaskKey {
  CustomerId customer;
  TaskId task;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// What the contract's kind says about a task; kept with the task.
struct TaskSpec {
  KindId kind = {};
  Resources resources = {};
  bool idempotent = true;
  /// Whether an interrupted attempt may be run again without a checkpoint even
  /// though the kind is not idempotent.
  bool resumable = false;
  /// Lower values are placed earlier.
  int urgency = 0;
  /// How long an attempt is renewed while the store is out of reach.
  Duration run_without_contact = seconds(600);
};

/// Per-customer limits that apply to one partition.
struct TaskLimits {
  std::size_t queued = 1000;
  std::size_t running = 1000;
};

enum class TaskState {
  /// Being made durable; the caller is not answered yet.
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

/// What a caller is told about a task.
struct TaskStatus {
  TaskKey key;
  TaskState state = TaskState::kAccepting;
  /// Attempt that is current or was last; 0 if none.
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

/// A worker's answer with the reading of its clock.
struct WorkerReading {
  WorkerId worker;
  Incarnation incarnation;
  /// Reading of the worker's clock, taken before the answer was received.
  WorkerTime clock;
};

/// Append a record to the journal; answer with `OnDurable`, `OnLost` or
/// `OnRefused`.
struct AppendRecord {
  JournalTicket ticket;
  std::string text;
};

/// Ask a worker owner for room; answer with `OnReservation`.
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
/// after a takeover, when no reading of the worker's clock is known.
struct QueryWorker {
  WorkerId worker;
  Incarnation incarnation;
};

/// Stop an attempt and close its number, also if it never started. Sent again
/// until a report shows that the attempt has ended.
struct StopAttempt {
  AttemptId id;
  WorkerId worker;
  Incarnation incarnation;
};

/// Tell the worker that the outcome is durable and may be forgotten.
struct AcknowledgeAttempt {
  AttemptId id;
  WorkerId worker;
  Incarnation incarnation;
};

/// Tell callers that wait for the task.
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
