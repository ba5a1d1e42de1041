#ifndef GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall::dispatch_internal {

/// Runs of a later epoch start this far above those of the one before, so that
/// they are higher although the earlier ones are not known.
inline constexpr std::uint64_t kRunsPerEpoch = 1024;

enum class TaskPhase {
  /// Its step, its time or its gang is not due yet.
  kBlocked,
  kReady,
  /// A run is bound to a worker.
  kBound,
  kDone,
};

struct Task {
  TaskPhase phase = TaskPhase::kBlocked;
  /// Numbers of the runs that failed; an end that is listed again counts once.
  std::vector<std::uint64_t> failed_runs;
  std::uint64_t last_run = 0;
  Checkpoint checkpoint;
  Time ready_since{};
  /// Worker of the latest run that failed; the next run goes elsewhere.
  WorkerId failed_on;
};

struct Step {
  std::vector<Task> tasks;
  int done = 0;
  int ready = 0;
  bool released = false;
  /// Since when a task of the step waits.
  Time ready_since{};
  /// When the reason why it waits is noted next; unset before it waits.
  Time next_wait_note{};
  /// Rack chosen for tasks that are slowed unless they run in one rack.
  RackId rack;
  /// Runs of this step on each worker, kept only for steps with a bound.
  std::unordered_map<WorkerId, int> per_worker;
};

struct Occurrence {
  Time due{};
  int steps_done = 0;
  std::vector<Step> steps;
};

struct Job {
  JobRecord record;
  /// Latest completion that is on time; see `ObjectiveOf`.
  Time objective{};
  /// For each step the declared time from its start to the end of the job.
  std::vector<Duration> chains_left;
  Time submitted{};
  bool started = false;
  /// Decided; becomes visible once it is recorded.
  JobState state = JobState::kQueued;
  JobState visible_state = JobState::kQueued;
  WallTime ended_at{0};
  bool needs_record = false;
  /// Position among all records; stored once that position is.
  std::uint64_t record_ticket = 0;
  std::vector<Occurrence> occurrences;
  int occurrences_done = 0;

  const StepSpec& spec_of(const TaskName& name) const {
    return record.spec.steps[static_cast<std::size_t>(name.step)];
  }
};

/// Jobs by id with the progress of their tasks.
class JobTable {
 public:
  /// Adds a job.
  /// @return the job, or null if the id is known already.
  Job* Add(JobRecord record, Time now, WallTime wall_now);
  /// Takes over stored progress of a job that was added.
  void Restore(const JobProgress& progress);
  /// Adds a job that had ended in an earlier epoch.
  void AddEnded(const JobProgress& progress);

  Job* Find(const JobId& id);
  const Job* Find(const JobId& id) const;
  /// @return the task if the job is known and has such a task.
  Task* FindTask(const TaskName& name);

  /// @return the progress of a job as it is stored.
  static JobProgress ProgressOf(const Job& job);
  /// @return accepted jobs of a queue of which no task has started.
  std::uint64_t CountWaiting(const QueueId& queue) const;

  /// Removes ended jobs that nobody may ask for any more.
  /// @return their ids.
  std::vector<JobId> TakeExpired(WallTime ended_before, std::size_t limit);

  auto begin() { return jobs_.begin(); }
  auto end() { return jobs_.end(); }
  std::size_t size() const { return jobs_.size(); }

 private:
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_JOB_TABLE_H_
