#ifndef GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
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

/// State of one step of one occurrence.
struct Step {
  std::vector<Task> tasks;
  /// Number of tasks that are done.
  int done = 0;
  int ready = 0;
  /// All steps it depends on are done and its occurrence is due.
  bool unblocked = false;
  /// Time since which a task of the step is ready.
  Time ready_since{};
  /// Time at which the reason for waiting is logged next; unset before the step
  /// waits.
  Time next_wait_event{};
  /// Rack chosen for a step whose tasks should all run in one rack.
  RackId rack;
  /// Number of runs of the step by worker; kept only for steps with a limit on
  /// it.
  std::unordered_map<WorkerId, int> runs_per_worker;
};

/// State of a row with progress.
struct ProgressRow {
  /// The row may be in the store.
  bool stored = false;
  /// Queued for a batch of records.
  bool pending = false;
  /// Sequence number of the latest record of the row. The record is stored once
  /// the stored sequence number has reached it.
  std::uint64_t sequence = 0;
};

/// State of one repetition of a job.
struct Occurrence {
  Time due{};
  int steps_done = 0;
  std::vector<Step> steps;
  /// Rows with the progress of the tasks, by number of the chunk.
  std::vector<ProgressRow> chunks;
};

/// A job with the state of its tasks.
struct Job {
  JobRecord record;
  /// Tasks that this dispatcher runs.
  JobSlice slice;
  /// Latest time at which a completion is on time; see `ObjectiveOf`.
  Time objective{};
  /// For each step the declared time from the start of the step to the end of
  /// the job.
  std::vector<Duration> remaining_critical_paths;
  Time submitted{};
  /// A run of the job has been bound to a worker.
  bool started = false;
  /// Decided state; becomes visible to callers once it is stored.
  JobState state = JobState::kQueued;
  JobState visible_state = JobState::kQueued;
  WallTime ended_at{0};
  /// The removal of its record has been requested.
  bool expired = false;
  /// Row with the completed occurrences or the final state.
  ProgressRow row;
  /// Rows to remove once `row` is stored.
  std::vector<ProgressRowId> obsolete_rows;
  std::vector<Occurrence> occurrences;
  /// Occurrences of which all steps are done.
  BitSet completed;

  bool IsCompleted(int occurrence) const {
    return completed[static_cast<std::size_t>(occurrence)];
  }
  /// @return the number of the chunk with the task.
  int ChunkOf(const TaskName& name) const;
  /// @return the row with the progress of the task.
  ProgressRow& RowOf(const TaskName& name);
  const StepSpec& spec_of(const TaskName& name) const {
    return record.spec.steps[static_cast<std::size_t>(name.step)];
  }
};

/// Jobs by id, with the progress of their tasks.
class JobTable {
 public:
  /// Adds a job.
  /// @param slice tasks to run; the others are excluded.
  /// @return the job, or null if its id is already in the table.
  Job* Add(JobRecord record, JobSlice slice, Time now, WallTime wall_now);
  /// Apply stored progress to a job that was added before. The progress of
  /// chunks must be applied after that of jobs.
  void Restore(const JobProgress& progress);
  void Restore(const ChunkProgress& progress);
  /// Adds a job that ended in an earlier epoch.
  void AddEnded(const JobProgress& progress);

  Job* Find(const JobId& id);
  const Job* Find(const JobId& id) const;
  /// @return the task, or null if the job or the task does not exist.
  Task* FindTask(const TaskName& name);

  /// @return the progress of a job, or of a chunk of its tasks, in the form in
  ///   which it is stored.
  static JobProgress ProgressOf(const Job& job);
  static ChunkProgress ProgressOf(const Job& job, const ProgressRowId& row);
  /// @return the number of accepted jobs of a queue of which no task has
  ///   started.
  std::uint64_t CountWaiting(const QueueId& queue) const;

  /// Expires at most `limit` jobs that ended before `ended_before`. Slices,
  /// which have no rows in the shard, are removed at once.
  /// @return the ids of the other expired jobs. They stay known until `Remove`
  ///   is called for them.
  std::vector<JobId> TakeExpired(WallTime ended_before, std::size_t limit);

  void Remove(const JobId& id) { jobs_.erase(id); }

  auto begin() { return jobs_.begin(); }
  auto end() { return jobs_.end(); }
  auto begin() const { return jobs_.begin(); }
  auto end() const { return jobs_.end(); }
  std::size_t size() const { return jobs_.size(); }

 private:
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_
