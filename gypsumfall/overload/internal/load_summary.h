#ifndef GYPSUMFALL_OVERLOAD_INTERNAL_LOAD_SUMMARY_H_
#define GYPSUMFALL_OVERLOAD_INTERNAL_LOAD_SUMMARY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

/// CPU time, in milliseconds of one core.
using CpuTime = StrongNumber<struct CpuTimeTag, std::int64_t>;

/// Jobs that compete for the same processors in the same rank.
struct WorkClass {
  /// Scheduling priority; 0 is the highest.
  int priority = 0;
  /// The jobs use processors that other jobs leave unused.
  bool best_effort = false;

  friend auto operator<=>(const WorkClass&, const WorkClass&) = default;
};

/// Load of one class in a shard.
struct ClassLoad {
  WorkClass work_class;
  /// Declared CPU time of the tasks that have no run, of jobs that are not
  /// overdue.
  CpuTime queued;
  /// Declared CPU time that the runs of these jobs still need.
  CpuTime running;
  /// Declared CPU time that is done per time while tasks wait; 0 if unknown.
  /// A task that takes twice its declared time on one core adds half a core.
  MilliCores rate;
  /// Declared CPU time of newly accepted jobs per time.
  MilliCores arrivals;
  /// Ratio of actual to declared run times, in percent.
  int run_time_percent = 100;
  /// Ratio of actual to estimated waits, in percent; from `kMinWaitPercent` to
  /// `kMaxWaitPercent`.
  int wait_percent = 100;

  friend bool operator==(const ClassLoad&, const ClassLoad&) = default;
};

/// Bounds of the correction of estimated waits, so that a wrong correction
/// neither refuses all jobs nor hides an overload.
inline constexpr int kMinWaitPercent = 50;
inline constexpr int kMaxWaitPercent = 200;

/// Load of a shard as its leader sees it.
struct LoadSummary {
  /// Reading of the store's clock when the summary was made.
  StoreTime made_at;
  /// At most `kMaxClasses`, by priority.
  std::vector<ClassLoad> classes;

  /// @return the load of the class, or null if none of its jobs is known.
  const ClassLoad* Find(const WorkClass& work_class) const;

  friend bool operator==(const LoadSummary&, const LoadSummary&) = default;
};

/// Classes in a summary. Those of lower priority are left out; their jobs are
/// admitted without an estimate.
inline constexpr std::size_t kMaxClasses = 4;
/// Upper bound of the bytes of an encoded summary.
inline constexpr std::size_t kMaxEncodedLoadBytes = 200;
/// Age from which a summary is not used.
inline constexpr Duration kMaxSummaryAge = seconds(3);

/// @return the summary as text, at most `kMaxEncodedLoadBytes`. CPU times are
///   rounded to 0.1 core-seconds and rates to 0.01 cores.
std::string EncodeLoad(const LoadSummary& summary);
/// @return the summary, or kBadRequest if the text is not a valid summary.
Result<LoadSummary> DecodeLoad(std::string_view text);

/// What a job asks for.
struct JobDemand {
  WorkClass work_class;
  /// Declared CPU time of all tasks.
  CpuTime work;
  /// Declared critical path.
  Duration critical_path{0};
  /// The job is on time if it ends within this time.
  Duration objective{0};
};

/// @return the class of a job; best-effort if any step is.
WorkClass WorkClassOf(const JobRecord& record);
/// @return the declared CPU time of a number of tasks of the step.
CpuTime WorkOf(const StepSpec& step, int task_count);
/// @return what the job asks for, or nothing if no end can be estimated: it is
///   long-running or periodic, or declares no run times.
std::optional<JobDemand> DemandOf(const JobRecord& record);

/// @param work declared CPU time.
/// @param rate declared CPU time that is done per time; above 0.
/// @return the time that the work takes; at most an hour.
Duration TimeFor(CpuTime work, MilliCores rate);

/// Estimated course of a job that is accepted now.
struct LoadEstimate {
  /// Time until the tasks that rank before those of the job have started.
  Duration wait{0};
  /// Time until the last task of the job ends.
  Duration completion{0};
};

/// Estimates when a job would end. Work that waits in the same class, and for
/// other than best-effort jobs also in classes of higher priority, starts
/// before the job. The load is extrapolated over the age of the summary.
/// @param age time since the summary was made.
/// @return the estimate, or nothing if the summary is older than
///   `kMaxSummaryAge` or the rate of the class is not known.
std::optional<LoadEstimate> EstimateCompletion(const LoadSummary& summary,
                                               Duration age,
                                               const JobDemand& demand);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OVERLOAD_INTERNAL_LOAD_SUMMARY_H_
