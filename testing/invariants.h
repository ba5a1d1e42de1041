#ifndef TESTING_INVARIANTS_H_
#define TESTING_INVARIANTS_H_

/// @file
/// Checks the history of a simulated or recorded run against the invariants of
/// the design page. The history is in the order of real time, as an observer
/// sees it who knows what every worker does.

#include <string>
#include <vector>

#include "gypsumfall/protocol/protocol.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall::testing {

/// One observation.
struct Event {
  enum class Type {
    /// The caller was told that the task is accepted.
    kAccepted,
    /// The caller was told that the task was not run and never will be.
    kToldNotRun,
    /// The caller was told that the task is done, with `text` as its result.
    kToldDone,
    /// A worker began to run an attempt, from `text` as its checkpoint.
    kStarted,
    /// A worker no longer runs an attempt that was evicted, lapsed or cut off.
    kInterrupted,
    /// A worker finished an attempt, with `text` as its result.
    kFinished,
    /// A worker reported that an attempt failed.
    kFailed,
    /// At the end of the run the owner shows the task as `state`.
    kFinal,
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

/// A task and whether it may be run again from the beginning.
struct TaskRule {
  TaskKey task;
  bool may_repeat = true;
};

/// A broken invariant.
struct Violation {
  /// "I2", "I3", "I5", "I6", "one result" or "accepted task lost".
  std::string invariant;
  std::string detail;
};

/// @param rules all tasks that were submitted.
/// @param history all events of a run, which has been left to come to rest.
/// @return what the run violates; empty if nothing.
std::vector<Violation> CheckInvariants(const std::vector<TaskRule>& rules,
                                       const std::vector<Event>& history);

}  // namespace gypsumfall::testing

#endif  // TESTING_INVARIANTS_H_
