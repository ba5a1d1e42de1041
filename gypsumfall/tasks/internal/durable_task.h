#ifndef GYPSUMFALL_TASKS_INTERNAL_DURABLE_TASK_H_
#define GYPSUMFALL_TASKS_INTERNAL_DURABLE_TASK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/tasks/internal/task_types.h"

namespace gypsumfall {

/// The part of a task that the journal holds.
struct DurableTask {
  TaskKey key;
  TaskSpec spec;
  std::string payload;
  /// Hash of kind and payload, to compare submissions with the same id.
  std::uint64_t content_hash = 0;
  /// Order of acceptance within the partition.
  std::uint64_t arrival = 0;
  /// Never `kRunning`, which is kept in memory only.
  TaskState state = TaskState::kAccepting;
  AttemptNumber attempt;
  WorkerId worker;
  Incarnation incarnation;
  std::string checkpoint;
  /// Whether any ended attempt has run.
  WasRun ran = WasRun::kNo;
  int failed_attempts = 0;
  bool cancel_requested = false;
  std::string result;

  bool ended() const { return state >= TaskState::kDone; }
};

/// A task is accepted. Attempts are numbered from `previous_attempt` + 1.
struct AcceptedRecord {
  TaskKey key;
  TaskSpec spec;
  std::string payload;
  std::uint64_t arrival = 0;
  AttemptNumber previous_attempt;
};

/// An attempt may be started from now on.
struct IntentRecord {
  TaskKey key;
  AttemptNumber attempt;
  WorkerId worker;
  Incarnation incarnation;
};

/// An attempt ended without a result.
struct StoppedRecord {
  TaskKey key;
  AttemptNumber attempt;
  WasRun started = WasRun::kUnknown;
  /// Whether the worker reported a failure, described by `text`.
  bool failed = false;
  /// Whether the task ends as failed instead of being queued again.
  bool give_up = false;
  std::string checkpoint;
  std::string text;
};

/// The current attempt's result is accepted.
struct DoneRecord {
  TaskKey key;
  AttemptNumber attempt;
  std::string result;
};

/// The caller requested the cancellation of the task.
struct CancelRecord {
  TaskKey key;
};

using TaskRecord = std::variant<AcceptedRecord, IntentRecord, StoppedRecord,
                                DoneRecord, CancelRecord>;

/// @return the record as compact JSON text.
std::string EncodeRecord(const TaskRecord& record);
/// @return the record, or `kInternal`.
Result<TaskRecord> DecodeRecord(std::string_view text);
/// @return the key of the task that a record is about.
const TaskKey& KeyOf(const TaskRecord& record);

/// The durable state of a partition.
struct TaskSnapshot {
  /// Highest attempt number of any task that was dropped.
  AttemptNumber attempt_floor;
  std::vector<DurableTask> tasks;
};

std::string EncodeSnapshot(const TaskSnapshot& snapshot);
/// @return the snapshot, or `kInternal`.
Result<TaskSnapshot> DecodeSnapshot(std::string_view text);

/// @return a hash of the content, to detect a submission that reuses an id with
///     different content.
std::uint64_t ContentHash(const KindId& kind, std::string_view payload);

/// @return the task that an accepted record creates.
DurableTask NewTask(const AcceptedRecord& record);
/// Applies a record of any type other than AcceptedRecord. A record that does
/// not match the task's state, such as one of an old attempt, changes nothing.
/// @return whether the task was changed.
bool Apply(const TaskRecord& record, DurableTask& task);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_DURABLE_TASK_H_
