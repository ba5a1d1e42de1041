#ifndef STANDINS_INTERNAL_RUN_LOG_H_
#define STANDINS_INTERNAL_RUN_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "standins/internal/worker_model.h"

namespace gypsumfall::standins {

/// Checks that no task runs on two workers at once.
class RunLog {
 public:
  void Record(const WorkerId& worker, const std::vector<WorkEvent>& events);
  /// @return the violations; at most 100 entries are kept.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t attempts_started() const { return attempts_started_; }
  std::uint64_t requests_started() const { return requests_started_; }

 private:
  void RecordAttempt(const WorkerId& worker, const WorkEvent& event);

  std::map<std::pair<CustomerId, TaskId>, std::pair<AttemptId, WorkerId>>
      running_attempts_;
  std::vector<std::string> violations_;
  std::uint64_t attempts_started_ = 0;
  std::uint64_t requests_started_ = 0;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_RUN_LOG_H_
