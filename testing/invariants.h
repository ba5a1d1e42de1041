#ifndef TESTING_INVARIANTS_H_
#define TESTING_INVARIANTS_H_

/// @file
/// Checks the history of a simulated or recorded run against the invariants of
/// the design page. Events are in the order of real time, as seen by a global
/// observer of all workers.

#include <string>
#include <vector>

#include "gypsumfall/protocol/protocol.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall::testing {

/// One observed event.
struct Event {
  enum class Type {
    /// The caller received the acceptance of the task.
    kAccepted,
    /// The caller received the answer that the task has not run and never will.
    kReportedNotRun,
    /// The caller received the result `text` of the finished task.
    kReportedDone,
    /// A worker started an attempt from the checkpoint `text`.
    kStarted,
    /// A worker stopped an attempt because of an eviction, an expired lease or
    /// a restart.
    kInterrupted,
    /// A worker finished an attempt with the result `text`.
    kFinished,
    /// A worker reported that an attempt failed.
    kFailed,
    /// The owner lists the task in `state` at the end of the run.
    kFinalState,
    /// A new owner could not recover the partition.
    kRecoveryFailed,
  };
  Type type = Type::kAccepted;
  TaskKey task = {};
  AttemptNumber attempt = {};
  WorkerId worker = {};
  std::string text = {};
  TaskState state = TaskState::kAccepting;
};

/// A task and whether it may be restarted without a checkpoint.
struct TaskRule {
  TaskKey task;
  bool may_restart = true;
};

/// A violated invariant.
struct Violation {
  /// "I2", "I3", "I5", "I6", "one result" or "accepted task lost".
  std::string invariant;
  std::string detail;
};

/// @param rules all tasks that were submitted.
/// @param history all events of a run that ended in a quiescent state.
/// @return the violations; empty if all invariants hold.
std::vector<Violation> CheckInvariants(const std::vector<TaskRule>& rules,
                                       const std::vector<Event>& history);

}  // namespace gypsumfall::testing

#endif  // TESTING_INVARIANTS_H_
