#include <algorithm>
#include <string>
#include <vector>

#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {
namespace {

// Bytes of a row with the progress of a chunk. Base64 included, a full batch of
// such rows is below the megabyte that the store accepts in one transaction.
constexpr int kMaxChunkBytes = 8 * 1024;
// Upper bounds of the bytes that a row needs for its names and ids, for a task
// with failed runs, and for the number of one such run.
constexpr int kRowOverheadBytes = 160;
constexpr int kTaskFailuresBytes = 64;
constexpr int kRunNumberBytes = 21;

Result<void> ValidateStep(const StepSpec& step, int index) {
  const std::string name = "step " + std::to_string(index);
  if (step.task_count < 1 || step.task_count > kMaxTasksPerStep) {
    return Fail(ErrorKind::kBadRequest, name + " must have 1 to " +
                                            std::to_string(kMaxTasksPerStep) +
                                            " tasks");
  }
  if (!step.need.IsValid()) {
    return Fail(ErrorKind::kBadRequest, name + " needs a negative amount");
  }
  for (const int dependency : step.after) {
    if (dependency < 0 || dependency >= index) {
      return Fail(ErrorKind::kBadRequest,
                  name + " must come after earlier steps only");
    }
  }
  return {};
}

}  // namespace

Result<void> ValidateJob(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes) {
    return Fail(
        ErrorKind::kTooLarge,
        "the payload has over " + std::to_string(kMaxPayloadBytes) + " bytes");
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxStepsPerJob) {
    return Fail(ErrorKind::kBadRequest,
                "a job has 1 to " + std::to_string(kMaxStepsPerJob) + " steps");
  }
  if (spec.repetitions < 0 || spec.repetitions > kMaxOccurrences) {
    return Fail(ErrorKind::kBadRequest, "too many repetitions");
  }
  if (spec.repetitions > 1 && spec.interval.count() <= 0) {
    return Fail(ErrorKind::kBadRequest, "repetitions need an interval");
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    if (auto valid = ValidateStep(spec.steps[i], static_cast<int>(i)); !valid) {
      return valid;
    }
  }
  return {};
}

int TasksPerChunk(const JobTerms& terms) {
  // A job ends with the last of the failures.
  const int runs =
      std::clamp(terms.max_attempts - 1, 0, static_cast<int>(kMaxFailedRuns));
  return (kMaxChunkBytes - kRowOverheadBytes) /
         (kTaskFailuresBytes + runs * kRunNumberBytes);
}

bool IsSliceable(const JobSpec& spec) {
  return std::all_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) {
                       return step.long_running && step.after.empty() &&
                              !step.gang && !step.same_rack;
                     });
}

std::vector<Duration> RemainingCriticalPaths(const JobSpec& spec) {
  std::vector<Duration> critical_paths(spec.steps.size(), Duration{0});
  // A step depends on earlier steps only, so in reverse order all steps that
  // depend on a step are final before it.
  for (std::size_t i = spec.steps.size(); i-- > 0;) {
    critical_paths[i] += spec.steps[i].declared_run_time;
    for (const int dependency : spec.steps[i].after) {
      Duration& predecessor =
          critical_paths[static_cast<std::size_t>(dependency)];
      predecessor = std::max(predecessor, critical_paths[i]);
    }
  }
  return critical_paths;
}

Duration CriticalPath(const JobSpec& spec) {
  const std::vector<Duration> critical_paths = RemainingCriticalPaths(spec);
  const auto longest =
      std::max_element(critical_paths.begin(), critical_paths.end());
  return longest == critical_paths.end() ? Duration{0} : *longest;
}

}  // namespace gypsumfall
