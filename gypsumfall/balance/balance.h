#ifndef GYPSUMFALL_BALANCE_BALANCE_H_
#define GYPSUMFALL_BALANCE_BALANCE_H_

/// @file
/// Decides which waiting jobs move to another shard because it would start
/// them sooner. No I/O and no state beyond the objects declared here; the
/// callers store and carry out the moves (`docs/design/balance.md`).
///
/// Example, on the shard that is offered a job:
/// @code
///   MoveBudget budget;
///   if (ShouldMove(here, there, job) &&
///       budget.TryTake(here.backlog, there.backlog, work)) {
///     promised.Add(id, {.cpu = cpu, .work = work, .until = now + seconds(2)});
///   }
/// @endcode

#include <cstdint>
#include <map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

/// @return the work of `cpu` processors that are busy for `time`; 0 if one of
///   them is negative.
CoreMilliseconds WorkOf(MilliCores cpu, Duration time);

/// Bounds of the moves.
struct BalanceTerms {
  /// Time from the offer of a job to its start in the other shard: an offer,
  /// two writes to the store and one read. 0.6 to 1 s in deployments with data
  /// centres 5 ms apart.
  Duration move_cost = milliseconds(800);
  /// Gain above the cost that makes a move worthwhile. Kept small, because each
  /// move also shortens the wait of the jobs behind: with 500 ms no job moved
  /// in waves with a period of 17 s at 85 % load (docs/design/balance.md).
  Duration margin = milliseconds(100);
  /// Time for which a step waits before its job is offered. Without a shortage
  /// steps start sooner.
  Duration min_wait = milliseconds(300);
};

/// What a shard expects for one waiting step.
struct ShardOutlook {
  /// Time until the step would start; `Duration::max()` if that is unknown.
  Duration expected_wait{0};
  /// Work of the waiting steps of the same or higher priority.
  CoreMilliseconds backlog;
};

/// A job whose first step waits.
struct WaitingJob {
  /// Time for which the step has waited.
  Duration waited{0};
  /// A task of the job has run.
  bool has_run = false;
  /// The job was moved because of the load before.
  bool moved_for_load = false;
  /// Time by which its tasks are expected to run longer in the other shard,
  /// for example because their data is in a rack of this one.
  Duration extra_run_time{0};
};

/// @param here the shard that holds the job.
/// @param there the shard that would take it.
/// @return whether the job should move: it has not run and was not moved for
///   load before, and it gains more than the cost and the margin.
bool ShouldMove(const ShardOutlook& here, const ShardOutlook& there,
                const WaitingJob& job, const BalanceTerms& terms = {});

/// Bounds the work that moves in one round to half of the difference between
/// the backlogs, so that the difference is not reversed.
class MoveBudget {
 public:
  /// @param here backlog of the giving shard at the start of the round.
  /// @param there backlog of the receiving shard at the start of the round.
  /// @param work work of the step that is to move. Half of it may exceed the
  ///   bound, so that a single waiting step can move.
  /// @return whether it may move; its work is then counted.
  bool TryTake(CoreMilliseconds here, CoreMilliseconds there,
               CoreMilliseconds work);

 private:
  CoreMilliseconds taken_;
};

/// Processors that a run will release.
struct CpuRelease {
  /// Expected time until the run ends.
  Duration remaining{0};
  MilliCores cpu;
};

/// Estimates how long a step waits in a shard, as if its workers were one pool.
/// The estimate is too low for steps that fit few of the workers.
class WaitEstimator {
 public:
  /// @param free processors that are free now.
  /// @param capacity processors that runs of finite length can use.
  /// @param releases the runs of finite length, in any order.
  WaitEstimator(MilliCores free, MilliCores capacity,
                std::vector<CpuRelease> releases);

  /// @param cpu processors needed by the steps ahead and by the step itself.
  /// @param work_ahead work of the steps ahead.
  /// @return the expected time until the step starts; `Duration::max()` if the
  ///   shard has no capacity.
  Duration WaitFor(MilliCores cpu, CoreMilliseconds work_ahead) const;

 private:
  /// Free processors after each release, by the time of the release.
  struct FreeAfter {
    Duration time{0};
    MilliCores cpu;
  };

  MilliCores free_;
  MilliCores capacity_;
  std::vector<FreeAfter> profile_;
  CoreMilliseconds running_work_;
};

/// Free room that a shard has promised to jobs which have not arrived yet.
class PromisedRoom {
 public:
  struct Promise {
    int priority = 0;
    MilliCores cpu;
    CoreMilliseconds work;
    /// Time at which the job no longer is expected: its move failed.
    Time until{};
  };
  struct Sums {
    MilliCores cpu;
    CoreMilliseconds work;
  };

  void Add(const JobId& id, Promise promise) { promises_[id] = promise; }
  /// Handles the arrival of a job.
  void Remove(const JobId& id) { promises_.erase(id); }
  /// Forgets the jobs that are no longer expected.
  void Expire(Time now);
  /// @return the sums over the jobs of the same or higher priority.
  Sums SumsFor(int priority) const;

 private:
  std::map<JobId, Promise> promises_;
};

/// @param objective time by which the job should end.
/// @param remaining_critical_path declared time from the start of the step to
///   the end of the job.
/// @return the time until which a task waits for the rack of its data: for its
///   declared run time at most, and no longer than the job can wait and still
///   end in time.
Time RackWaitEnd(Time ready_since, Duration declared_run_time, Time objective,
                 Duration remaining_critical_path);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BALANCE_BALANCE_H_
