#ifndef GYPSUMFALL_DISPATCH_INTERNAL_WORKER_TABLE_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_WORKER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/worker_messages.h"
#include "gypsumfall/evacuation/evacuation.h"

namespace gypsumfall::dispatch_internal {

/// State of a run, as far as the scheduler knows.
enum class RunPhase {
  /// The start order was sent.
  kStartSent,
  /// The start order was not answered; the run may exist or may start later.
  kStartUnconfirmed,
  kRunning,
  /// A stop order is to be sent, or was sent without an answer.
  kStopPending,
  /// The worker accepted the stop order; the run exists until its completion is
  /// reported.
  kStopAcknowledged,
};

/// Share of a run that is not throttled, in percent.
inline constexpr int kFullSharePercent = 100;
/// Below this share, in percent, a best-effort run makes too little progress to
/// be worth an order.
inline constexpr int kMinSharePercent = 10;

/// A run that is bound to a worker and holds resources there.
struct Run {
  RunNumber number;
  RunPhase phase = RunPhase::kStartSent;
  /// Resources that the run holds; a best-effort run holds no processors.
  Resources need;
  /// Processors that a best-effort run requests.
  MilliCores best_effort_cpu;
  bool best_effort = false;
  bool long_running = false;
  /// Started by this epoch, and without a checkpoint.
  bool does_whole_task = false;
  Duration tail_target{0};
  /// Index of the image in the interference model.
  std::size_t image = 0;
  /// Declared run time.
  Duration declared{0};
  Time started_at{};
  /// Time at which the run was first known to run; unset before.
  std::optional<Time> confirmed_at;
  /// Time of the last change of phase. A lease call sent later reports the run
  /// if it exists.
  Time phase_changed_at{};
  /// A stop order has been sent and not answered.
  bool stop_in_flight = false;
  Time stop_sent_at{};
  /// Reported progress, 0 to 100.
  int percent = 0;
  /// Time of the last change of progress.
  Time progress_at{};
  /// Last reported usage; see `RunReport::usage`.
  double usage = 0;
  /// Latency target divided by tail latency, smoothed. The baseline is the
  /// headroom without best-effort runs on the same worker. Both start with the
  /// value of an idle run of typical load.
  double headroom = 2.5;
  double baseline_headroom = 2.5;
  /// Share in percent that a best-effort run should have, and the share in the
  /// last order sent to the worker.
  int target_percent = 100;
  /// Time since which the run is paused; unset while its target share is above
  /// 0.
  std::optional<Time> paused_since;
  int sent_percent = 100;
  bool throttle_in_flight = false;
  Time throttle_sent_at{};
};

/// A completion that is not acknowledged to the worker yet.
struct PendingCompletion {
  CompletionNumber number;
  /// Sequence number of the record that must be stored first; 0 if there is
  /// none.
  std::uint64_t record_sequence = 0;
  /// The completion, while its job is unknown. It is applied once the job is
  /// submitted, and is not acknowledged before.
  std::optional<CompletionReport> report_of_unknown_job;
  Time received{};
};

/// A run in the list of a worker that is not bound to the worker.
struct UnexpectedRun {
  RunNumber number;
  bool stop_in_flight = false;
  Time stop_sent_at{};
};

/// Priority of reservations that hold against all tasks.
inline constexpr int kHighestPriority = 0;

/// Resources kept free on a worker for a task that is to start there.
struct Reservation {
  Resources need;
  /// Priority of the task. Tasks of higher priority may use the resources.
  int priority = 0;
  Time until{};
  /// Holds while the worker does not accept work for a moment, unless it
  /// drains, has left or is in a closed data centre.
  bool committed = false;
  /// Made for a task that waits, on a worker whose runs may still have to end.
  /// Such reservations may hold a limited share of the service's processors.
  bool starving = false;
};

/// A worker and the runs bound to it.
struct Worker {
  WorkerEntry entry;
  /// Present in the worker list.
  bool listed = false;
  /// Was removed from the worker list in this epoch. Unset for a worker of the
  /// roster before the list is read.
  bool unlisted = false;
  /// The stored roster tells successors to wait for the worker, so that its
  /// lease may be extended.
  bool in_roster = false;
  /// Time by which the lease has expired, as the roster tells it or is about to
  /// tell it; see `LeaseHolder`.
  std::optional<Time> recorded_lease_end;
  /// Held a lease of an earlier epoch and has not reported all its runs, and
  /// all ends of runs, since.
  bool predecessor_lease = false;
  /// Has reported its runs under this epoch.
  bool fenced = false;
  WallTime incarnation{0};
  /// Another incarnation has answered this epoch before.
  bool restarted = false;
  /// Time at which the first entry of its incarnation was received.
  Time entry_received_at{};
  /// Another incarnation has answered a call that was sent after the entry was
  /// received, so that the entry is of a former one.
  bool entry_outdated = false;

  /// Reading of the worker's clock, and the latest local time at which it was
  /// taken.
  std::optional<WorkerTime> clock;
  Time clock_read_at{};
  /// Latest end of a lease that may be in force, on the worker's clock.
  WorkerTime lease_until{};

  /// The next lease call reads which runs exist and does not wait.
  bool read_runs_at_once = false;
  bool lease_call_in_flight = false;
  Time lease_call_sent_at{};
  /// Latest time at which a healthy worker answers the open lease call.
  Time lease_reply_due{};
  Time next_lease_call{};
  Time last_answer{};
  /// Consecutive lease calls without an accepted answer.
  int unanswered_calls = 0;
  /// The latest report listed all completions that are not acknowledged.
  bool lists_all_completions = false;

  /// Latest completion applied, and latest one that no successor needs.
  CompletionNumber processed;
  CompletionNumber releasable;
  /// Number to acknowledge with the next lease call.
  CompletionNumber acknowledged;
  std::deque<PendingCompletion> pending_completions;

  std::map<TaskName, Run> runs;
  /// Runs that the worker reports and that must be stopped.
  std::map<TaskName, UnexpectedRun> unexpected_runs;
  /// Resources held by runs on the worker.
  Resources used;
  /// Reservations by task, and the sum of what they reserve. Together with
  /// `used` this may exceed the capacity while runs still have to end.
  std::map<TaskName, Reservation> reservations;
  Resources reserved;
  /// The part of `used` that long-running runs hold.
  Resources used_by_long_running;
  /// Thousandths of a core that best-effort runs may use at their target
  /// shares; see `UpdateBestEffortDemand`.
  double best_effort_demand = 0;
  /// Last time at which no serving run missed its target.
  Time target_missed_since{};
  /// Consecutive reports in which all serving runs met their targets.
  int reports_met = 0;
  /// A serving run beside best-effort runs was close to its target, or missed
  /// it, in the latest report.
  bool target_at_risk = false;
  /// Time of the last change of a target share.
  Time throttle_changed_at{};

  /// Failed runs; halved by each run that is done.
  double failure_score = 0;
  Time last_failure{};
  /// Ratio of actual to declared run times, smoothed.
  double slowdown = 1;
  /// End of the pause in new runs after the worker refused one.
  Time refused_until{};

  /// When tasks may start on the worker, by what is known of its data centre.
  /// Kept here because placement asks for each worker and each task.
  OpenPeriod open;

  /// Earliest time at which the worker may leave; unset unless it drains and
  /// has reported it.
  std::optional<Time> may_leave_at;
};

/// Lowest rate of a worker's clock relative to the local clock.
inline constexpr double kMinWorkerClockRate = 0.98;

/// Added to the computed end of a lease before the runs under it count as
/// ended.
inline constexpr Duration kLeaseSlack = milliseconds(150);

/// A worker whose lease call is overdue by this time gets no new runs.
inline constexpr Duration kUnresponsiveTimeout = milliseconds(500);

/// @return the estimated current reading of the worker's clock.
WorkerTime ClockNow(const Worker& worker, Time now);
/// @return the time by which the latest lease has certainly expired.
/// @param predecessor_leases_end time by which all leases of earlier epochs
///   have expired; used if neither the clock of the worker nor a recorded end
///   is known.
Time LeaseEnd(const Worker& worker, Time predecessor_leases_end);
/// @return whether the worker has not answered in time.
bool IsUnresponsive(const Worker& worker, Time now);
/// @return whether the entry is of the incarnation that answers, so that its
///   capacity and labels hold.
bool HasCurrentEntry(const Worker& worker);
/// @return whether the received entry is of an earlier incarnation than the one
///   that is known, and came late.
bool IsLateEntry(const Worker& worker, const WorkerEntry& received);
/// @return whether the worker's data centre is open to new runs.
inline bool IsOpen(const Worker& worker, Time now) {
  return worker.open.Contains(now);
}
/// @return whether the worker gets no new runs and can hold neither a run nor
///   a completion that is not stored, so that no successor has to know of it.
bool IsIdleAndLeaving(const Worker& worker);
/// @return the resources that are neither held by a run nor reserved; may be
///   negative.
Resources FreeResources(const Worker& worker);
/// @return the resources that a task of this priority may use: free ones and
///   those reserved for tasks of lower priority.
Resources FreeResourcesFor(const Worker& worker, int priority);

/// Reserves resources for the task; replaces an earlier reservation of it.
void Reserve(Worker& worker, const TaskName& task, Reservation reservation);
/// Removes the reservation of the task, if there is one.
void ReleaseReservation(Worker& worker, const TaskName& task);

/// Recomputes the processors that best-effort runs may use. Must be called
/// after a target share changes; the sum is cached because placement reads it
/// for each worker and each task.
void UpdateBestEffortDemand(Worker& worker);

/// Binds a run to the worker and reserves its resources.
void Bind(Worker& worker, const TaskName& task, Run run);
/// Removes a run from the worker and releases its resources.
void Unbind(Worker& worker, const TaskName& task);

/// Workers by id.
class WorkerTable {
 public:
  Worker& FindOrAdd(const WorkerId& id);
  Worker* Find(const WorkerId& id);
  const Worker* Find(const WorkerId& id) const;
  void Remove(const WorkerId& id) { workers_.erase(id); }
  /// Visits each worker once until the visitor returns false.
  /// @param rotate whether to begin behind the worker at which the last
  ///   rotating visit began, so that visits that end early reach all workers
  ///   over time.
  /// @param visit returns whether to continue.
  template <typename Visit>
  void VisitWhile(bool rotate, Visit visit) {
    auto first = workers_.begin();
    if (rotate) {
      first = workers_.upper_bound(cursor_);
      if (first == workers_.end()) first = workers_.begin();
      if (first != workers_.end()) cursor_ = first->first;
    }
    for (auto next = first; next != workers_.end(); ++next) {
      if (!visit(next->second)) return;
    }
    for (auto next = workers_.begin(); next != first; ++next) {
      if (!visit(next->second)) return;
    }
  }

  auto begin() { return workers_.begin(); }
  auto end() { return workers_.end(); }
  auto begin() const { return workers_.begin(); }
  auto end() const { return workers_.end(); }
  std::size_t size() const { return workers_.size(); }

 private:
  /// Ordered, so that decisions do not depend on the hash function.
  std::map<WorkerId, Worker> workers_;
  WorkerId cursor_;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_WORKER_TABLE_H_
