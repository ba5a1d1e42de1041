#include "gypsumfall/dispatch/internal/step_tasks.h"

#include <algorithm>
#include <utility>

namespace gypsumfall::dispatch_internal {

bool Task::CountFailure(std::uint64_t run) {
  const auto oldest = std::min_element(failed_runs.begin(), failed_runs.end());
  if (forgotten_failures > 0 && run < *oldest) return false;
  if (std::find(failed_runs.begin(), failed_runs.end(), run) !=
      failed_runs.end()) {
    return false;
  }
  if (failed_runs.size() == kMaxFailedRuns) {
    failed_runs.erase(oldest);
    ++forgotten_failures;
  }
  failed_runs.push_back(run);
  return true;
}

const Task& StepTasks::operator[](int index) const {
  static const Task done_task{.phase = TaskPhase::kDone};
  static const Task excluded_task{.phase = TaskPhase::kExcluded};
  if (IsDone(index)) return done_task;
  const auto found = changed_.find(index);
  if (found != changed_.end()) return found->second;
  return IsInSlice(index) ? initial_ : excluded_task;
}

Task& StepTasks::Edit(int index) {
  const auto [found, inserted] = changed_.try_emplace(index, initial_);
  if (inserted && !IsInSlice(index)) found->second.phase = TaskPhase::kExcluded;
  return found->second;
}

void StepTasks::MarkDone(int index) {
  if (IsDone(index)) return;
  changed_.erase(index);
  if (done_.empty()) done_.resize(static_cast<std::size_t>(count_));
  done_.set(static_cast<std::size_t>(index));
  if (++done_count_ == count_) done_ = BitSet();
}

bool StepTasks::MakeReady(Time now) {
  bool ready = false;
  for (auto& [index, task] : changed_) {
    if (task.phase == TaskPhase::kBlocked) {
      task.phase = TaskPhase::kReady;
      task.ready_since = now;
    }
    ready = ready || task.phase == TaskPhase::kReady;
  }
  if (initial_.phase == TaskPhase::kBlocked) {
    initial_.phase = TaskPhase::kReady;
    initial_.ready_since = now;
  }
  SkipChanged();
  return ready || first_unchanged_ < count_;
}

bool StepTasks::IsDone(int index) const {
  return AllDone() ||
         (!done_.empty() && done_[static_cast<std::size_t>(index)]);
}

void StepTasks::SkipChanged() {
  while (first_unchanged_ < count_ && !IsUnchanged(first_unchanged_))
    ++first_unchanged_;
}

}  // namespace gypsumfall::dispatch_internal
