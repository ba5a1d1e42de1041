#ifndef GYPSUMFALL_TASKS_INTERNAL_TABLE_IMPL_H_
#define GYPSUMFALL_TASKS_INTERNAL_TABLE_IMPL_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/tasks/internal/durable_task.h"
#include "gypsumfall/tasks/internal/placement_queue.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// Implementation of `TaskTable`, whose methods forward to it.
class TaskTable::Impl {
 public:
  explicit Impl(TaskTableOptions options) : options_(options) {}

  // recording.cc
  Result<void> Restore(const std::string& snapshot,
                       const std::vector<std::string>& records,
                       Time takeover_time);
  std::string Snapshot() const;
  void OnRecordDurable(JournalRecordId record_id, Time now,
                       TaskActions& actions);
  void OnRecordUnknown(JournalRecordId record_id, TaskActions& actions);
  void OnRecordRefused(JournalRecordId record_id, Time now, ErrorKind reason,
                       TaskActions& actions);

  // calls.cc
  Result<TaskStatus> Submit(const TaskKey& key, const TaskSpec& spec,
                            std::string payload, const TaskLimits& limits,
                            Time now, TaskActions& actions);
  Result<TaskStatus> Cancel(const TaskKey& key, TaskActions& actions);
  void Evict(const AttemptId& id, Time now, TaskActions& actions);
  void SetLimits(const CustomerId& customer, const TaskLimits& limits);
  Result<TaskStatus> Status(const TaskKey& key) const;
  std::vector<TaskStatus> List(const CustomerId& customer,
                               std::size_t limit) const;

  // attempts.cc
  void OnReservation(const AttemptId& id,
                     const Result<WorkerClockReading>& granted, Time now,
                     TaskActions& actions);
  void OnStartReply(const AttemptId& id, const StartAttemptReply& reply,
                    Time now, TaskActions& actions);
  void OnStartUnknown(const AttemptId& id, Time now);
  void OnReports(const WorkerClockReading& reading,
                 const std::vector<AttemptReport>& reports, bool complete,
                 Time now, TaskActions& actions);
  void OnIncarnationChanged(const WorkerId& worker, Incarnation incarnation,
                            TaskActions& actions);

  // tick.cc
  void OnHostLeaseRenewed(Time confirmed_at);
  void Tick(Time now, TaskActions& actions);
  TaskCounts counts() const;

 private:
  // In-memory progress of the current attempt, beyond what the journal records.
  enum class Phase {
    kNone,
    kReserving,  // a reservation is requested, or the intent record is not
                 // durable yet
    kUnsent,     // the intent is durable; no start was sent
    kStarting,   // at least one start was sent
    kRunning,    // the worker reported it as running
    kAdopting,   // taken over from the previous owner, not reported by the
                 // worker yet
  };

  struct Task {
    DurableTask durable;
    Phase phase = Phase::kNone;
    // Record of the next state change, until its commit outcome is known.
    std::optional<JournalRecordId> change_id;
    // Record that the journal refused; appended again at `resend_at`.
    std::optional<TaskRecord> refused_record;
    bool cancel_pending = false;
    // The caller cancelled the task before its acceptance was durable.
    bool cancel_on_accept = false;
    bool stop_requested = false;
    // Whether the worker reported that the attempt has started.
    bool started = false;
    int start_sends = 0;
    std::string checkpoint;
    // Time from which the attempt has certainly ended: its lease has expired,
    // or its start was not sent in time.
    Time expires_at = Time::max();
    Time resend_at;
    Time renew_at;
    int consecutive_refusals = 0;
    std::vector<WorkerId> avoid;
  };
  using TaskMap = std::map<TaskKey, Task>;

  // The newest reading of a worker's clock.
  struct ReceivedReading {
    Incarnation incarnation;
    WorkerTime clock;
    Time received_at;
  };

  enum class ReadingAge {
    kStale,      // taken before the newest known reading
    kDuplicate,  // equal to the newest known reading
    kNew,
  };

  struct Ended {
    Time at;
    TaskKey key;
    std::uint64_t arrival = 0;
  };

  static AttemptId CurrentId(const Task& task);
  static PlacementQueue::Entry EntryOf(const Task& task);
  static bool IsQueued(const Task& task);
  TaskStatus StatusOf(const Task& task) const;
  Task* Find(const TaskKey& key);
  // Returns the task whose current attempt is `id`, or null if that attempt has
  // ended.
  Task* FindAttempt(const AttemptId& id);

  // recording.cc
  JournalRecordId Append(const TaskRecord& record, TaskActions& actions);
  void AppendTransition(Task& task, const TaskRecord& record,
                        TaskActions& actions);
  void AppendCancel(Task& task, TaskActions& actions);
  void RestoreRecord(const TaskRecord& record);
  void Resume(Task& task, Time takeover_time);
  void OnChanged(Task& task, TaskState previous, Time now,
                 TaskActions& actions);
  void OnAccepted(Task& task, TaskActions& actions);
  void OnIntentDurable(Task& task, Time now, TaskActions& actions);
  void OnAttemptEnded(Task& task, Time now, TaskActions& actions);
  void ClearAttempt(Task& task);
  void RetainEnded(const Task& task, Time now);
  void EraseEnded(const Ended& ended);
  void CountQueued(const CustomerId& customer, int change);

  // attempts.cc
  ReadingAge RecordReading(const WorkerClockReading& reading, Time now,
                           TaskActions& actions);
  void StopSuperseded(const WorkerId& worker, Incarnation incarnation,
                      TaskActions& actions);
  Time BackoffEnd(const Task& task, Time now) const;
  void ReservationFailed(Task& task, Time now);
  void AppendStopped(Task& task, WasRun started, TaskActions& actions);
  void AppendFailure(Task& task, const AttemptReport& report,
                     TaskActions& actions);
  void AppendResult(Task& task, const AttemptReport& report,
                    TaskActions& actions);
  WasRun KnownStart(const Task& task) const;
  void ProcessReport(const AttemptReport& report,
                     const WorkerClockReading& reading, ReadingAge reading_age,
                     Time now, TaskActions& actions);
  bool HasAttemptEnded(const AttemptId& id, Time now) const;
  void ProcessLateReport(const AttemptReport& report,
                         const WorkerClockReading& reading, Time now,
                         TaskActions& actions);
  void MarkRunning(Task& task, Time now, TaskActions& actions);
  void StopUnlisted(const WorkerClockReading& reading,
                    const std::vector<AttemptReport>& reports, Time now,
                    TaskActions& actions);
  void AvoidWorker(Task& task);

  // tick.cc
  void Examine(Task& task, Time now, TaskActions& actions);
  Time NextDue(const Task& task) const;
  void PlaceQueued(Time now, TaskActions& actions);
  void SendStart(Task& task, Time now, TaskActions& actions);
  void SendStop(Task& task, Time now, TaskActions& actions);
  void SendRenew(Task& task, Time now, TaskActions& actions);
  void SendQuery(Task& task, Time now, TaskActions& actions);
  void ExtendExpiry(Task& task, const ReceivedReading& reading);
  const ReceivedReading* ReadingFor(const Task& task) const;
  bool IsSuperseded(const Task& task) const;
  std::optional<Time> SendDeadline(const Task& task) const;
  bool HoldsHostLease(Time now) const;
  Time NextRenewal(Time now) const;
  void DropExpired(Time now);
  void DropOldestEnded();
  // Makes `Tick` examine the active tasks at `time` at the latest.
  void ScheduleExamination(Time time) {
    next_examination_ = std::min(next_examination_, time);
  }

  TaskTableOptions options_;
  TaskMap tasks_;
  // Tasks that are reserving or have an attempt.
  std::set<TaskKey> active_;
  std::map<WorkerId, std::set<TaskKey>> by_worker_;
  std::map<WorkerId, ReceivedReading> readings_;
  std::map<CustomerId, std::size_t> queued_;
  PlacementQueue queue_;
  std::unordered_map<JournalRecordId, TaskRecord> pending_records_;
  std::uint64_t last_record_id_ = 0;
  std::uint64_t last_arrival_ = 0;
  AttemptNumber attempt_floor_;
  // Ended tasks in the order in which they ended.
  std::deque<Ended> ended_;
  std::map<CustomerId, std::deque<Ended>> ended_by_customer_;
  std::optional<Time> lease_renewed_at_;
  Time next_examination_ = Time::max();
  // Workers already queried for reports in the current `Tick`.
  std::set<WorkerId> queried_;
  bool ownership_lost_ = false;
  std::uint64_t results_accepted_ = 0;
  std::uint64_t late_reports_ = 0;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_TABLE_IMPL_H_
