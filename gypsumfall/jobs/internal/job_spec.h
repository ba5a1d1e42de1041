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
/// What the tasks of a step run; tasks of one image behave alike.
using ImageId = StringId<struct ImageTag>;
/// A property of a worker that a step may require.
using WorkerLabel = StringId<struct WorkerLabelTag>;
/// Counts the starts of one task, from 1.
using RunNumber = StrongNumber<struct RunNumberTag, std::uint64_t>;
/// Opaque progress mark of a run; empty if there is none.
using Checkpoint = StringId<struct CheckpointTag>;

/// A time of day, as time since 1970.
using WallTime = std::chrono::milliseconds;

/// Tasks that do the same work; part of a job.
struct StepSpec {
  int task_count = 1;
  /// What each task is given. For a step that fills, the processors are not
  /// reserved.
  Resources need;
  /// Declared run time of one task; often far off.
  Duration declared_run_time{0};
  /// Indices of steps all of whose tasks must be done first.
  std::vector<int> after;
  bool checkpoints = false;
  /// The tasks work only together and end together.
  bool gang = false;
  /// The tasks are slowed unless all run in one rack.
  bool same_rack = false;
  /// Label that a worker must have; empty if any will do.
  WorkerLabel required_label;
  /// Rack that holds the data; empty if none. Other racks slow the tasks.
  RackId data_rack;
  /// Most tasks of the step on one worker; 0 means no bound.
  int max_per_worker = 0;
  /// Two runs of one task may overlap.
  bool duplicates_allowed = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  ImageId image;
  /// Bound of the tail latency that a long-running task serves; 0 if none.
  Duration tail_target{0};
  /// The tasks take only processors that other tasks leave unused.
  bool fills = false;
  /// Tasks of a long-running step that the scheduler may take away at once.
  int may_be_away = 0;
};

/// What a caller submits.
struct JobSpec {
  /// Handed to each task as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  /// How many times the steps run; 0 means once, at once.
  int repetitions = 0;
  WallTime first_due{0};
  WallTime interval{0};

  /// @return the number of occurrences, at least 1.
  int occurrence_count() const { return repetitions > 0 ? repetitions : 1; }
};

/// Names one task of all jobs.
struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// Bounds of a job, so that one caller can not exhaust a host.
inline constexpr int kMaxStepsPerJob = 64;
inline constexpr int kMaxTasksPerStep = 4096;
inline constexpr int kMaxOccurrences = 10'000;
inline constexpr std::size_t kMaxPayloadBytes = 4000;

/// @return `kBadRequest` with the faulty field, or success.
Result<void> ValidateJob(const JobSpec& spec);

/// @return for each step the run time of the longest chain of steps from its
///   start to the end of the job, as declared.
std::vector<Duration> ChainsLeft(const JobSpec& spec);

/// @return the run time of the longest chain of steps, as declared.
Duration LongestChain(const JobSpec& spec);

}  // namespace gypsumfall

template <>
struct std::hash<gypsumfall::TaskName> {
  std::size_t operator()(const gypsumfall::TaskName& name) const noexcept {
    std::size_t seed = std::hash<gypsumfall::JobId>()(name.job);
    for (const int part : {name.occurrence, name.step, name.index}) {
      // Odd multiplier of a 64-bit mix; spreads small numbers over all bits.
      seed = (seed ^ static_cast<std::size_t>(part)) * 0x9E3779B97F4A7C15U;
    }
    return seed;
  }
};

#endif  // GYPSUMFALL_JOBS_INTERNAL_JOB_SPEC_H_
