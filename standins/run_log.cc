#include <string>
#include <utility>
#include <vector>

#include "standins/models.h"

namespace gypsumfall::standins {
namespace {

constexpr std::size_t kMaxViolations = 100;

}  // namespace

void RunLog::Record(const WorkerId& worker,
                    const std::vector<WorkEvent>& events) {
  for (const WorkEvent& event : events) {
    if (event.attempt) {
      RecordAttempt(worker, event);
    } else if (event.started) {
      ++requests_started_;
    }
  }
}

void RunLog::RecordAttempt(const WorkerId& worker, const WorkEvent& event) {
  const AttemptId& attempt = *event.attempt;
  const auto key = std::make_pair(attempt.customer, attempt.task);
  const auto found = running_attempts_.find(key);
  if (!event.started) {
    if (found != running_attempts_.end() && found->second.first == attempt &&
        found->second.second == worker) {
      running_attempts_.erase(found);
    }
    return;
  }
  ++attempts_started_;
  if (found != running_attempts_.end() && violations_.size() < kMaxViolations) {
    violations_.push_back("task " + attempt.task.str() + " runs on " +
                          found->second.second.str() + " and " + worker.str());
  }
  running_attempts_[key] = {attempt, worker};
}

}  // namespace gypsumfall::standins
