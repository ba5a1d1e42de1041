#include <algorithm>
#include <string>
#include <vector>

#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {
namespace {

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
  for (const int earlier : step.after) {
    if (earlier < 0 || earlier >= index) {
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

Duration LongestChain(const JobSpec& spec) {
  std::vector<Duration> chain(spec.steps.size());
  Duration longest{0};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    for (const int earlier : step.after) {
      chain[i] = std::max(chain[i], chain[static_cast<std::size_t>(earlier)]);
    }
    chain[i] += step.declared_run_time;
    longest = std::max(longest, chain[i]);
  }
  return longest;
}

}  // namespace gypsumfall
