#ifndef GYPSUMFALL_OVERLOAD_INTERNAL_LOAD_METER_H_
#define GYPSUMFALL_OVERLOAD_INTERNAL_LOAD_METER_H_

#include <map>
#include <optional>
#include <unordered_map>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"
#include "gypsumfall/overload/internal/load_summary.h"

namespace gypsumfall {

/// Rate of work, averaged over the last seconds with exponential weights.
class WorkRate {
 public:
  /// Adds work that was done, or arrived, at `now`.
  void Add(CpuTime work, Time now);
  /// @return the average CPU time per time. The part of the window before the
  ///   first work is left out.
  MilliCores At(Time now) const;

 private:
  /// @return the weighted sum at `now`, in core-milliseconds.
  double SumAt(Time now) const;

  double sum_ = 0;
  Time updated_{};
  std::optional<Time> started_;
};

/// Work of a class that is not done, of jobs that are not overdue.
struct ClassBacklog {
  /// Declared CPU time of tasks that wait for a worker.
  CpuTime ready;
  /// Declared CPU time of tasks that wait for other steps.
  CpuTime blocked;
  /// Declared CPU time that runs still need.
  CpuTime running;
};

/// Measures the load of a shard. Used by the shard's leader; a new leader
/// measures anew.
class LoadMeter {
 public:
  /// Records a newly accepted job and what its wait is estimated to be.
  void OnAccepted(const JobId& job, const JobDemand& demand, Time now);
  /// Records that tasks of a class were completed.
  /// @param work their declared CPU time.
  void OnTasksDone(const WorkClass& work_class, CpuTime work, Time now);
  /// Records the run time of one task.
  /// @param ratio ratio of actual to declared run time.
  void OnRunTime(const WorkClass& work_class, double ratio);
  /// Records the end of a job. The estimates are corrected by the waits of
  /// completed jobs.
  /// @param submitted time at which the job was accepted.
  void OnEnded(const JobId& job, bool completed, Time submitted, Time now);
  /// Forgets a job that another shard runs from now on.
  void OnGivenAway(const JobId& job) { forecasts_.erase(job); }

  /// Summarizes the load. Must be called about once a second.
  /// @param cores processors that jobs other than long-running and best-effort
  ///   ones can use.
  /// @param made_at reading of the store's clock at `now`.
  LoadSummary Summarize(const std::map<WorkClass, ClassBacklog>& backlogs,
                        MilliCores cores, StoreTime made_at, Time now);

 private:
  struct ClassState {
    WorkRate done;
    WorkRate arrivals;
    double run_time_ratio = 1;
    double wait_ratio = 1;
    /// Rate while tasks wait, in thousandths of a core; 0 if unknown.
    double backlogged_rate = 0;
    std::optional<Time> backlogged_since;
    Time last_backlogged{};
  };
  /// Estimate for a job that has not ended.
  struct Forecast {
    WorkClass work_class;
    /// Estimated wait without the correction.
    Duration wait{0};
    /// Estimated time from the end of the wait to the end of the job.
    Duration run{0};
  };

  /// Updates the rate at which best-effort work is done while tasks wait.
  static void UpdateBackloggedRate(ClassState& state,
                                   const ClassBacklog& backlog, Time now);

  std::map<WorkClass, ClassState> classes_;
  std::unordered_map<JobId, Forecast> forecasts_;
  std::optional<LoadSummary> latest_;
  Time latest_at_{};
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OVERLOAD_INTERNAL_LOAD_METER_H_
