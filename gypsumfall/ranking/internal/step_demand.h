#ifndef GYPSUMFALL_RANKING_INTERNAL_STEP_DEMAND_H_
#define GYPSUMFALL_RANKING_INTERNAL_STEP_DEMAND_H_

#include <cstdint>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// CPU time in core-seconds.
using CoreSeconds = StrongNumber<struct CoreSecondsTag, double>;
/// A number of processors; may be fractional.
using Cores = StrongNumber<struct CoresTag, double>;

/// What a job is worth to its caller. The value of a job is
/// `fixed_value + value_per_relative_work * min(work / mean, max)`.
struct LossTerms {
  double fixed_value = 0.3;
  double value_per_relative_work = 0.7;
  /// Largest work, relative to the mean of the queue, that counts.
  double max_relative_work = 4;
  /// Share of the value that is left after the objective.
  double late_share = 0.15;
};

/// A caller whose job takes longer than this multiple of its objective no
/// longer waits for it.
inline constexpr int kOverdueFactor = 3;

/// Declared times are off by about a fifth, and starts and ends take time. A
/// job counts as late if its declared critical path times this margin does not
/// fit in the remaining time: started now, it would most often miss its
/// objective.
inline constexpr double kDeclaredTimeMargin = 1.2;

/// A step that waits for workers, as the order of steps needs to know it.
struct StepDemand {
  /// Scheduling priority; 0 is the highest.
  int priority = 0;
  /// Time by which the job should end.
  Time objective{};
  /// Time from the acceptance of the job to its objective.
  Duration objective_length{0};
  /// Declared time from the start of the step to the end of the job.
  Duration remaining_critical_path{0};
  /// Actual divided by declared run times of the queue; at least 1.
  double run_time_ratio = 1;
  /// Declared CPU time of all tasks of the job that are not done, and of all
  /// its tasks. Unused for long-running steps.
  CoreSeconds remaining_work;
  CoreSeconds job_work;
  /// Mean declared CPU time of the jobs of the queue.
  CoreSeconds mean_work;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  /// Time since which the step waits.
  Time ready_since{};
  /// Workers could run the step if all tasks of finite length ended. A step
  /// without is neither moved up nor a sign of overload.
  bool has_places = true;
  /// Another step of the same job with the same remaining work is in the queue
  /// as well, and counts it.
  bool work_counted = false;
  /// An earlier ranking has moved a step of the job up because of its wait.
  bool moved_up = false;
};

/// Rank of steps of one priority.
enum class Urgency : std::uint8_t {
  /// Can still meet its objective.
  kOnTime,
  /// Long-running and waiting for longer than its objective. Ranks before
  /// other late steps, because each moment of waiting is lost service time.
  kLateLongRunning,
  /// Can no longer meet its objective, but its caller may still wait.
  kLate,
  /// So late that its caller no longer waits. Such jobs run when nothing else
  /// needs the resources.
  kOverdue,
};

/// @return how urgent the step is if it starts now.
Urgency UrgencyOf(const StepDemand& step, Time now);

/// @return the value of the job if it ends within its objective. Jobs of a
///   queue without a known mean count as average.
double ValueOf(const StepDemand& step, const LossTerms& terms);

/// @return the value of the job for each core-second that it still needs.
double ValuePerWork(const StepDemand& step, const LossTerms& terms);

/// Mean work of the jobs of a queue, in which recent jobs count more.
class MeanWork {
 public:
  void Add(CoreSeconds work);
  /// @return the mean; 0 if no job was added.
  CoreSeconds mean() const { return mean_; }

 private:
  CoreSeconds mean_;
  int count_ = 0;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_RANKING_INTERNAL_STEP_DEMAND_H_
