#ifndef GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/step_tasks.h"
#include "gypsumfall/jobs/jobs.h"
#include "gypsumfall/ranking/ranking.h"

namespace gypsumfall::dispatch_internal {

/// State of one step of one occurrence.
struct Step {
  StepTasks tasks;
  /// All steps it depends on are done and its occurrence is due.
  bool unblocked = false;
  /// Time since which a task of the step is ready.
  Time ready_since{};
  /// Time at which the reason for waiting is logged next; unset before the step
  /// waits.
  Time next_wait_event{};
  /// Workers of the shard could run the step; checked when a wait is logged.
  bool has_places = true;
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
  int steps_done = 0;
  /// A step was passed over for too long; see `StepDemand::moved_up`.
  bool moved_up = false;
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
  /// Declared CPU time of all tasks of finite length of one occurrence.
  CoreSeconds work;
  Time submitted{};
  /// A worker has started a task of the job.
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
  /// Occurrences that have begun and are not completed. Those that are due
  /// later need no state, and those that are completed no other.
  std::map<int, Occurrence> occurrences;
  /// Occurrences of which all steps are done.
  BitSet completed;
  /// Number of the first occurrence that has not been unblocked. It and later
  /// ones are open only if an earlier epoch has begun them.
  int next_occurrence = 0;
  /// Steps with ready tasks.
  int waiting_steps = 0;
  /// Time at which the dispatcher opens the next occurrence, if it is queued
  /// for that.
  std::optional<Time> queued_due;
  /// Time at which the job was added, and the time from then until its first
  /// occurrence is due.
  Time added{};
  WallTime first_due_after{0};
  /// A shard to which the job is being moved, and an epoch of its leader. Until
  /// the move is stored the job is not started here.
  struct Destination {
    ShardId shard;
    Epoch epoch;
    /// The job moves because it would start there sooner.
    bool for_load = false;
  };
  std::optional<Destination> moving_to;
  /// Number of offers of the job to other shards, and the time before which it
  /// is not offered again.
  std::uint64_t offers = 0;
  Time next_offer{};
  /// Time before which it is not offered again for load, and the expected wait
  /// in the latest of these offers.
  Time next_load_offer{};
  Duration offered_wait{0};
  /// The job was moved to this shard because of the load, now or earlier.
  bool moved_for_load = false;
  /// The store has rejected a move of the job, or would.
  bool immovable = false;
  /// Home shard, if that is another one.
  std::optional<ShardId> other_home;
  /// Number of the latest known move of the job; 0 if there is none.
  std::uint64_t move_number = 0;
  /// Highest run number that earlier epochs may have used.
  std::uint64_t last_run_of_earlier_epochs = 0;

  bool IsCompleted(int occurrence) const {
    return completed[static_cast<std::size_t>(occurrence)];
  }
  /// @return whether the job has a task of this name.
  bool HasTask(const TaskName& name) const;
  Time DueOf(int occurrence) const;
  /// @return the step, or null if its occurrence is not open.
  Step* FindStep(const TaskName& name);
  const Step* FindStep(const TaskName& name) const;
  /// @return the state of the occurrence, which is added if it is not open.
  Occurrence& Open(int occurrence);
  /// @return about as much memory as the job needs while one occurrence is
  ///   open.
  std::size_t EstimateBytes() const;
  /// @return the declared CPU time of the tasks of finite length that are not
  ///   done, those of other slices included.
  CoreSeconds RemainingWork(const Occurrence& occurrence) const;
  /// @return the number of the chunk with the task.
  int ChunkOf(const TaskName& name) const;
  /// @return the row with the progress of the task; its occurrence must be
  ///   open.
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
  /// Adds the progress of tasks that another shard has stored.
  void RestoreMoved(const JobMove& move);
  /// Adds a job that ended in an earlier epoch.
  void AddEnded(const JobProgress& progress);
  /// Removes all state that a job does not need once it has ended.
  void RemoveTasksOf(Job& job);
  /// @return about the memory that all jobs need which have not ended.
  std::size_t bytes() const { return bytes_; }

  Job* Find(const JobId& id);
  const Job* Find(const JobId& id) const;
  /// @return the task, or null if the job does not exist or the occurrence is
  ///   not open.
  const Task* FindTask(const TaskName& name) const;
  /// @return the task, whose state is kept from now on, or null as before and
  ///   if the task is done.
  Task* EditTask(const TaskName& name);

  /// @return the progress of a job, or of a chunk of its tasks, in the form in
  ///   which it is stored.
  static JobProgress ProgressOf(const Job& job);
  static ChunkProgress ProgressOf(const Job& job, const ProgressRowId& row);
  /// @return the number of accepted jobs of a queue of which no task has
  ///   started.
  std::uint64_t CountWaiting(const QueueId& queue) const;

  /// Expires at most `limit` jobs that ended before `ended_before`. Slices,
  /// which have no rows in the shard, are removed at once. Jobs of other home
  /// shards do not expire here.
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
  std::size_t bytes_ = 0;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_
