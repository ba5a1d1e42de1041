#ifndef GYPSUMFALL_TASKS_TASKS_H_
#define GYPSUMFALL_TASKS_TASKS_H_

/// @file
/// State machine of the durable tasks of one task partition.
///
/// A task's state changes only when the record of the change is durable, and
/// the same function applies a record when it becomes durable and when it is
/// recovered. The in-memory state therefore always equals the journal's, and
/// `Snapshot()` may be called at any time.
///
/// Example:
/// @code
///   TaskTable table({.epoch = epoch});
///   Result<void> restored = table.Restore(snapshot, records, takeover_time);
///   table.OnHostLeaseRenewed(host_row_sent_at);
///   TaskDecision decision = table.Submit(key, spec, payload, limits, now);
///   for (const TaskAction& action : table.Tick(now)) Perform(action);
/// @endcode

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"
#include "gypsumfall/tasks/internal/task_types.h"

namespace gypsumfall {

/// Settings of a task table.
struct TaskTableOptions {
  /// Epoch of the partition; workers refuse lower ones per attempt.
  Epoch epoch = {};
  /// Duration of an attempt's lease, measured on its worker's clock.
  Duration attempt_lease = seconds(30);
  /// Added to the lease expiry to allow for different clock rates.
  Duration lease_margin = seconds(2);
  Duration renew_interval = seconds(10);
  /// Commands without a conclusive answer are sent again after this.
  Duration resend_interval = seconds(2);
  /// An unanswered reservation request counts as refused after this time.
  Duration reservation_timeout = seconds(5);
  /// Backoff after a refused reservation; doubles up to the longest.
  Duration first_backoff = milliseconds(100);
  Duration longest_backoff = seconds(5);
  /// Ended tasks are kept this long and at most this many per customer.
  Duration retention = std::chrono::hours(24);
  std::size_t max_ended_per_customer = 1000;
  std::size_t max_tasks = 100000;
  /// A task is failed after this many attempts that its worker reports failed.
  int max_failed_attempts = 3;
  /// Lease duration of the host row. When the last renewal is older, another
  /// host may own the partition: no new attempt is placed, and reports of
  /// unknown tasks are left to the current owner.
  Duration host_row_lease = seconds(6);
  /// Maximum number of queue entries examined, and so of reservations
  /// requested, per `Tick`.
  std::size_t reservations_per_tick = 64;
  /// Longest record that the journal accepts, in bytes. A longer submission is
  /// refused, a longer checkpoint is dropped, and a longer result fails its
  /// task.
  std::size_t max_record_bytes = 65000;
};

/// The tasks of one owned partition.
class TaskTable {
 public:
  explicit TaskTable(TaskTableOptions options);
  ~TaskTable();
  TaskTable(TaskTable&&) noexcept;
  TaskTable& operator=(TaskTable&&) noexcept;

  /// Takes over a partition. Attempts that the records show as started are
  /// adopted when their worker reports them.
  /// @param snapshot text of `Snapshot()`; empty without a snapshot.
  /// @param records the journal's records after the snapshot, in order.
  /// @param takeover_time time after which the previous owner cannot have
  ///     renewed its host row.
  /// @return `kInternal` if a record is damaged.
  Result<void> Restore(const std::string& snapshot,
                       const std::vector<std::string>& records,
                       Time takeover_time);

  /// @return the durable state as text for `Restore`.
  std::string Snapshot() const;

  /// Submits a task; it is accepted once its record is durable. A repeated id
  /// returns the existing task if kind and payload are equal, and `kConflict`
  /// otherwise.
  /// @param limits the customer's limits; `limits.running` is kept for `Tick`.
  TaskDecision Submit(const TaskKey& key, const TaskSpec& spec,
                      std::string payload, const TaskLimits& limits, Time now);
  /// Requests cancellation; it is in force once durable.
  TaskDecision Cancel(const TaskKey& key, Time now);
  /// Stops the running attempt at its last checkpoint and queues the task
  /// again. Does nothing if `id` is not the current attempt.
  TaskActions Evict(const AttemptId& id, Time now);
  /// Changes a customer's limits, for instance after a contract change.
  void SetLimits(const CustomerId& customer, const TaskLimits& limits);

  /// @return the status, or `kNotFound`.
  Result<TaskStatus> Status(const TaskKey& key) const;
  /// @return the statuses of a customer's tasks, at most `limit`, in id order.
  std::vector<TaskStatus> List(const CustomerId& customer,
                               std::size_t limit) const;

  /// A record is durable.
  TaskActions OnRecordDurable(JournalRecordId record_id, Time now);
  /// Ownership is lost; whether the record is durable is not known.
  TaskActions OnRecordUnknown(JournalRecordId record_id, Time now);
  /// A record is certainly not durable.
  TaskActions OnRecordRefused(JournalRecordId record_id, Time now,
                              ErrorKind reason);

  /// Answer to `RequestReservation`.
  /// @param granted the worker with its incarnation and clock, or a refusal.
  TaskActions OnReservation(const AttemptId& id,
                            const Result<WorkerClockReading>& granted,
                            Time now);
  /// Reply to `StartAttempt`; the clock is used only if it was not refused.
  TaskActions OnStartReply(const AttemptId& id, const StartAttemptReply& reply,
                           Time now);
  /// The answer to `StartAttempt` is lost.
  TaskActions OnStartUnknown(const AttemptId& id, Time now);
  /// Reports of a worker.
  /// @param complete whether all attempts that the worker has of this partition
  ///     are listed.
  TaskActions OnReports(const WorkerClockReading& reading,
                        const std::vector<AttemptReport>& reports,
                        bool complete, Time now);
  /// A worker answered with this incarnation; attempts of lower incarnations
  /// have ended.
  TaskActions OnIncarnationChanged(const WorkerId& worker,
                                   Incarnation incarnation, Time now);

  /// The lease of this host's row in the table service was renewed.
  /// @param confirmed_at time at which the renewal was sent. The time of its
  ///     answer would be too late: other hosts may see the lease expire
  ///     earlier.
  void OnHostLeaseRenewed(Time confirmed_at);

  /// Places queued tasks, renews leases, resends unanswered commands, ends
  /// attempts whose lease has expired and drops ended tasks past their
  /// retention.
  TaskActions Tick(Time now);

  /// @return counts for metrics.
  TaskCounts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_TASKS_H_
