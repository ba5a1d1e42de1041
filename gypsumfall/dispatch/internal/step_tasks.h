#ifndef GYPSUMFALL_DISPATCH_INTERNAL_STEP_TASKS_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_STEP_TASKS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall::dispatch_internal {

/// Distance between the run numbers of consecutive epochs. A later epoch uses
/// higher numbers than earlier ones without knowing which they used.
inline constexpr std::uint64_t kRunsPerEpoch = 1024;

enum class TaskPhase {
  /// Waits for earlier steps or for the time its occurrence is due.
  kBlocked,
  kReady,
  /// A run of the task is bound to a worker.
  kBound,
  kDone,
  /// Run by another shard: outside the slice of this dispatcher, or
  /// transferred.
  kExcluded,
};

/// State of one task.
struct Task {
  TaskPhase phase = TaskPhase::kBlocked;
  /// Numbers of the latest runs that failed; a completion that is reported
  /// again counts once.
  std::vector<std::uint64_t> failed_runs;
  /// Number of failed runs before these.
  int forgotten_failures = 0;
  /// Highest run number that was used or may have been used.
  std::uint64_t last_run = 0;
  Checkpoint checkpoint;
  /// Time since which the task waits for a run. A run of a long-running task
  /// that ends early does not end the wait.
  Time ready_since{};
  /// Time at which the latest run ended or was given up.
  Time last_end{};
  /// Workers that the next run avoids: the one of the latest run that failed;
  /// for a long-running task those on which a run failed early, or a start
  /// order was not answered, in the current wait, once for each such run.
  std::vector<WorkerId> failed_on;
  /// Worker that holds a reservation for the task; empty if none does.
  WorkerId reserved_on;
  /// This epoch has bound a run of the task to a worker.
  bool bound_in_epoch = false;
  /// Number of the latest known transfer of the task; 0 if there is none.
  std::uint64_t transfer_number = 0;

  int failures() const {
    return forgotten_failures + static_cast<int>(failed_runs.size());
  }
  /// Counts the failure of a run, unless it is counted already.
  /// @return whether it was not counted yet.
  bool CountFailure(std::uint64_t run);
  std::ptrdiff_t CountFailuresOn(const WorkerId& worker) const {
    return std::count(failed_on.begin(), failed_on.end(), worker);
  }
  bool Avoids(const WorkerId& worker) const {
    return CountFailuresOn(worker) > 0;
  }
};

/// The tasks of one step. State is kept only for tasks that have changed and
/// are not done, so that a step with thousands of tasks that wait, or are done,
/// needs little memory.
class StepTasks {
 public:
  StepTasks() = default;
  /// @param count number of tasks.
  /// @param initial state of each task that has not changed.
  /// @param slice tasks that this dispatcher runs; the others are excluded.
  /// @param first_position position of the first task among all tasks of the
  ///   occurrence.
  StepTasks(int count, Task initial, JobSlice slice,
            std::uint64_t first_position)
      : count_(count),
        initial_(std::move(initial)),
        slice_(slice),
        first_position_(first_position) {}

  int size() const { return count_; }
  int done() const { return done_count_; }
  bool AllDone() const { return done_count_ == count_; }
  /// @return the number of tasks of which a state is kept.
  std::size_t changed() const { return changed_.size(); }
  /// @return the state of a task; valid until the step changes.
  const Task& operator[](int index) const;
  /// @return the state of a task that is not done, to change it.
  Task& Edit(int index);
  /// @return whether the task has a state of its own.
  bool HasChanged(int index) const { return changed_.contains(index); }
  /// Removes what `Edit` has changed.
  void Revert(int index) {
    changed_.erase(index);
    first_unchanged_ = std::min(first_unchanged_, index);
  }
  void MarkDone(int index);
  /// Makes all blocked tasks ready.
  /// @return whether a task is ready.
  bool MakeReady(Time now);

  /// Visits the ready tasks, those that have changed first.
  /// @param visit takes the index and returns whether to continue. It may edit
  ///   the task.
  template <typename Visit>
  void VisitReady(Visit visit) {
    for (auto next = changed_.begin(); next != changed_.end();) {
      const auto [index, phase] = std::pair(next->first, next->second.phase);
      ++next;
      if (phase == TaskPhase::kReady && !visit(index)) return;
    }
    if (initial_.phase != TaskPhase::kReady) return;
    SkipChanged();
    for (int index = first_unchanged_; index < count_; ++index) {
      if (IsUnchanged(index) && !visit(index)) return;
    }
  }
  /// Visits the tasks that have changed and are not done.
  /// @param visit takes the index and the task.
  template <typename Visit>
  void VisitChanged(Visit visit) const {
    for (const auto& [index, task] : changed_) visit(index, task);
  }

 private:
  bool IsDone(int index) const;
  bool IsInSlice(int index) const {
    return slice_.Contains(first_position_ + static_cast<std::uint64_t>(index));
  }
  /// @return whether the task has the initial state.
  bool IsUnchanged(int index) const {
    return !IsDone(index) && IsInSlice(index) && !HasChanged(index);
  }
  void SkipChanged();

  int count_ = 0;
  Task initial_;
  JobSlice slice_;
  std::uint64_t first_position_ = 0;
  std::map<int, Task> changed_;
  /// Empty while no task is done, and once all are.
  BitSet done_;
  int done_count_ = 0;
  /// No task before this one has the initial state.
  int first_unchanged_ = 0;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_STEP_TASKS_H_
