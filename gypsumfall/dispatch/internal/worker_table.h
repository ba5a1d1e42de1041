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

namespace gypsumfall::dispatch_internal {

/// Where a run stands, as far as is known.
enum class RunPhase {
  /// The start was sent.
  kSent,
  /// The start was not answered; the run may exist or may come later.
  kUncertain,
  kRunning,
  /// A stop is to be sent, or was sent without an answer.
  kStopWanted,
  /// The worker has taken the stop; the run is there until its end is listed.
  kStopTaken,
};

/// A run that is bound to a worker; it holds its room there.
struct Run {
  RunNumber number;
  RunPhase phase = RunPhase::kSent;
  /// Room that the run holds; a run that fills holds no processors.
  Resources need;
  /// Processors that a run that fills asks for.
  MilliCores fill_cpu;
  bool fills = false;
  bool long_running = false;
  Duration tail_target{0};
  /// Index of the image in the interference model.
  std::size_t image = 0;
  Duration declared{0};
  Time started_at{};
  /// Time of the last change of phase. A lease call that was sent later lists
  /// the run if the run exists.
  Time changed_at{};
  /// A stop is on its way.
  bool stop_open = false;
  Time stop_sent_at{};
  int percent = 0;
  Time progress_at{};
  double usage = 0;
  /// Target divided by the tail latency, smoothed, and what of it the run has
  /// without those beside it. An idle run of typical load starts with this.
  double headroom = 2.5;
  double own_headroom = 2.5;
  /// Share at which a run that fills is to work, and the one it was told.
  int wanted_percent = 100;
  /// Since when it is to stand still; unset while it may work.
  std::optional<Time> paused_since;
  int told_percent = 100;
  bool pace_open = false;
};

/// An end that is not acknowledged to the worker yet.
struct PendingEnd {
  EndNumber number;
  /// Ticket of the record that must be stored before; 0 if none.
  std::uint64_t record_ticket = 0;
};

/// A listed run that is bound to no task of this worker.
struct Stranger {
  RunNumber number;
  bool stop_open = false;
  Time stop_sent_at{};
};

struct Worker {
  WorkerEntry entry;
  bool listed = false;
  /// Stored in the roster, so that a successor waits for its lease.
  bool in_roster = false;
  /// Held a lease of an earlier epoch and has not listed its runs since.
  bool predecessor_lease = false;
  /// Has listed its runs under this epoch.
  bool fenced = false;
  WallTime incarnation{0};

  /// Reading of the worker's clock, and the latest time of ours at which it
  /// was taken.
  std::optional<WorkerTime> clock;
  Time clock_read_at{};
  /// Latest lease that may be in force.
  WorkerTime lease_until{};

  bool lease_call_open = false;
  Time lease_call_sent_at{};
  /// Latest time at which a sound worker answers the open lease call.
  Time lease_reply_due{};
  Time next_lease_call{};
  Time last_answer{};
  int unanswered = 0;

  EndNumber processed;
  EndNumber acknowledged;
  std::deque<PendingEnd> pending_ends;

  std::map<TaskName, Run> runs;
  /// Runs that the worker lists and that must not go on there.
  std::map<TaskName, Stranger> strangers;
  Resources used;
  /// Processors reserved by long-running runs.
  MilliCores long_running_cpu;
  /// Thousandths of a core that runs that fill may use at their present
  /// shares; see `UpdateFillDemand`.
  double fill_demand = 0;
  /// Since when a serving run misses its target.
  Time target_missed_since{};
  Time pace_changed_at{};

  /// Failed runs, halved by each run that is done.
  double failure_score = 0;
  Time last_failure{};
  /// Run times against declared ones, smoothed.
  double slowness = 1;
  Time refused_until{};
};

/// Slowest clock of a worker against ours.
inline constexpr double kSlowestWorkerClock = 0.98;

/// Added to the computed end of a lease before its runs count as ended.
inline constexpr Duration kLeaseSlack = milliseconds(150);

/// A worker whose lease call is unanswered this long gets no new work.
inline constexpr Duration kSilenceLimit = milliseconds(500);

/// @return the worker's clock now, as far as is known.
WorkerTime ClockNow(const Worker& worker, Time now);
/// @return whether the latest lease is certainly over. Unknown clocks need
///   `epoch_bound`, the time by which all leases of earlier epochs are over.
bool IsLeaseOver(const Worker& worker, Time now, Time epoch_bound);
/// @return whether the worker has not answered in time.
bool IsSilent(const Worker& worker, Time now);
/// @return what remains for runs that do not fill.
Resources Free(const Worker& worker);

/// Adds up what runs that fill may use. To be called after a share changed;
/// placement reads the sum of each worker for each task.
void UpdateFillDemand(Worker& worker);

/// Binds a run to the worker and reserves its room.
void Bind(Worker& worker, const TaskName& task, Run run);
/// Releases the room of a run.
void Unbind(Worker& worker, const TaskName& task);

/// Workers by id.
class WorkerTable {
 public:
  Worker& Ensure(const WorkerId& id);
  Worker* Find(const WorkerId& id);
  void Remove(const WorkerId& id) { workers_.erase(id); }
  /// Visits the workers, beginning behind where the last walk that `rotate`d
  /// began, so that walks that end early reach all of them in turn.
  /// @param visit returns whether to go on.
  template <typename Visit>
  void Walk(bool rotate, Visit visit) {
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
