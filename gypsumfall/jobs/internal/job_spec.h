#ifndef GYPSUMFALL_JOBS_INTERNAL_JOB_SPEC_H_
#define GYPSUMFALL_JOBS_INTERNAL_JOB_SPEC_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

using JobId = StringId<struct JobTag>;
using QueueId = StringId<struct QueueTag>;
using ServiceId = StringId<struct ServiceTag>;
/// Program that the tasks of a step run; tasks of one image have similar load
/// and interference.
using ImageId = StringId<struct ImageTag>;
/// Property of a worker that a step may require.
using WorkerLabel = StringId<struct WorkerLabelTag>;
/// Number of a start of one task, from 1.
using RunNumber = StrongNumber<struct RunNumberTag, std::uint64_t>;
/// Opaque reference to the saved progress of a run; empty if there is none.
using Checkpoint = StringId<struct CheckpointTag>;

/// Wall-clock time, in milliseconds since 1970.
using WallTime = std::chrono::milliseconds;

/// A group of tasks that do the same work; part of a job.
struct StepSpec {
  int task_count = 1;
  /// Resources that each task requests. For a best-effort step the processors
  /// are not reserved.
  Resources need;
  /// Run time of one task as declared by the caller; often far off.
  Duration declared_run_time{0};
  /// Indices of the steps that must be done before this one starts.
  std::vector<int> after;
  /// Runs report checkpoints from which a later run can continue.
  bool checkpoints = false;
  /// All tasks must run at the same time, and end together.
  bool gang = false;
  /// The tasks run slower unless all are in one rack.
  bool same_rack = false;
  /// Label that the worker must have; empty if any will do.
  WorkerLabel required_label;
  /// Rack that holds the input data; empty if there is none. The tasks run
  /// slower in other racks.
  RackId data_rack;
  /// Maximum number of tasks of the step on one worker; 0 means no limit.
  int max_per_worker = 0;
  /// Two runs of one task may run at the same time.
  bool duplicates_allowed = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  ImageId image;
  /// Maximum tail latency at which a long-running task should serve; 0 if there
  /// is none.
  Duration tail_target{0};
  /// Best-effort step: the tasks use only processors that other tasks leave
  /// unused.
  bool best_effort = false;
  /// Number of tasks of a long-running step that the scheduler may stop at the
  /// same time.
  int max_unavailable = 0;
};

/// A job as a caller submits it.
struct JobSpec {
  /// Data passed unchanged to each task.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of times the steps run; 0 means once, immediately.
  int repetitions = 0;
  /// Time at which the first repetition is due, and the time between two.
  WallTime first_due{0};
  WallTime interval{0};

  /// @return the number of occurrences, at least 1.
  int occurrence_count() const { return repetitions > 0 ? repetitions : 1; }
};

/// Every `stride`-th task of a job, from the `first` one on. The tasks of all
/// steps are counted together.
struct JobSlice {
  std::uint64_t first = 0;
  std::uint64_t stride = 1;

  /// @param position position of the task among all tasks of the job.
  constexpr bool Contains(std::uint64_t position) const {
    return position % stride == first;
  }
  /// @return whether the slice is the whole job.
  constexpr bool IsWhole() const { return stride <= 1; }
};

/// Shards are numbered from 0.
using ShardId = StrongNumber<struct ShardIdTag, std::uint64_t>;

/// Identifies a task among all tasks of all jobs.
struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// Limits on a job, so that one caller cannot exhaust a host.
inline constexpr int kMaxStepsPerJob = 64;
inline constexpr int kMaxTasksPerStep = 4096;
inline constexpr int kMaxOccurrences = 10'000;
inline constexpr std::size_t kMaxPayloadBytes = 4000;

/// @return success, `kTooLarge` if the payload is too large, or `kBadRequest`
///   with the faulty field.
Result<void> ValidateJob(const JobSpec& spec);

/// @return whether the tasks of the job are independent of each other and run
///   until the job is cancelled. Different schedulers can run slices of such a
///   job without coordination. Tasks whose workers another scheduler has are
///   transferred to it.
bool IsSliceable(const JobSpec& spec);

/// @return for each step the length of the critical path from the start of the
///   step to the end of the job, from declared run times.
std::vector<Duration> RemainingCriticalPaths(const JobSpec& spec);

/// @return the length of the critical path of the job, from declared run times.
Duration CriticalPath(const JobSpec& spec);

}  // namespace gypsumfall

template <>
struct std::hash<gypsumfall::TaskName> {
  std::size_t operator()(const gypsumfall::TaskName& name) const noexcept {
    std::size_t seed = std::hash<gypsumfall::JobId>()(name.job);
    for (const int part : {name.occurrence, name.step, name.index}) {
      // Odd multiplier from a 64-bit mixing function; spreads small numbers
      // over all bits.
      seed = (seed ^ static_cast<std::size_t>(part)) * 0x9E3779B97F4A7C15U;
    }
    return seed;
  }
};

#endif  // GYPSUMFALL_JOBS_INTERNAL_JOB_SPEC_H_
