#include "gypsumfall/tasks/internal/durable_task.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace gypsumfall {
namespace {

bool IsCurrentAttempt(const DurableTask& task, AttemptNumber attempt) {
  return task.state == TaskState::kStarting && task.attempt == attempt;
}

// Returns whether an interrupted attempt may be run again: only if that cannot
// repeat side effects of a kind that is not idempotent.
bool MayResume(const DurableTask& task, WasRun started) {
  return task.spec.idempotent || task.spec.resumable ||
         started == WasRun::kNo || !task.checkpoint.empty();
}

bool ApplyTo(DurableTask& /*task*/, const AcceptedRecord& /*record*/) {
  return false;
}

bool ApplyTo(DurableTask& task, const IntentRecord& record) {
  if (task.state != TaskState::kQueued || record.attempt <= task.attempt) {
    return false;
  }
  task.state = TaskState::kStarting;
  task.attempt = record.attempt;
  task.worker = record.worker;
  task.incarnation = record.incarnation;
  return true;
}

void FailInterrupted(DurableTask& task, const StoppedRecord& record) {
  task.state = TaskState::kFailed;
  task.result = record.failed
                    ? record.text
                    : "an attempt that may have run was interrupted, and the "
                      "kind of work must not be run twice";
  if (!record.failed) task.ran = WasRun::kUnknown;
}

bool ApplyTo(DurableTask& task, const StoppedRecord& record) {
  if (!IsCurrentAttempt(task, record.attempt)) return false;
  if (!record.checkpoint.empty()) task.checkpoint = record.checkpoint;
  if (task.ran != WasRun::kYes && record.started != WasRun::kNo) {
    task.ran = record.started;
  }
  if (record.failed) ++task.failed_attempts;
  if (record.give_up || (!record.failed && !MayResume(task, record.started) &&
                         !task.cancel_requested)) {
    FailInterrupted(task, record);
  } else if (task.cancel_requested) {
    task.state = TaskState::kCancelled;
  } else {
    task.state = TaskState::kQueued;
  }
  return true;
}

bool ApplyTo(DurableTask& task, const DoneRecord& record) {
  if (!IsCurrentAttempt(task, record.attempt)) return false;
  task.state = TaskState::kDone;
  task.ran = WasRun::kYes;
  task.result = record.result;
  return true;
}

bool ApplyTo(DurableTask& task, const CancelRecord& /*record*/) {
  if (task.ended() || task.cancel_requested) return false;
  task.cancel_requested = true;
  if (task.state == TaskState::kQueued) task.state = TaskState::kCancelled;
  return true;
}

}  // namespace

std::uint64_t ContentHash(const KindId& kind, std::string_view payload) {
  std::string text = kind.str();
  text.push_back('\0');
  text.append(payload);
  return StableHash(text);
}

const TaskKey& KeyOf(const TaskRecord& record) {
  return std::visit(
      [](const auto& value) -> const TaskKey& { return value.key; }, record);
}

DurableTask NewTask(const AcceptedRecord& record) {
  DurableTask task;
  task.key = record.key;
  task.spec = record.spec;
  task.payload = record.payload;
  task.content_hash = ContentHash(record.spec.kind, record.payload);
  task.arrival = record.arrival;
  task.state = TaskState::kQueued;
  task.attempt = record.previous_attempt;
  return task;
}

bool Apply(const TaskRecord& record, DurableTask& task) {
  const bool changed = std::visit(
      [&task](const auto& value) { return ApplyTo(task, value); }, record);
  // An ended task is kept only for status queries, so its payload and
  // checkpoint are released.
  if (changed && task.ended()) {
    task.payload = {};
    task.checkpoint = {};
  }
  return changed;
}

}  // namespace gypsumfall
