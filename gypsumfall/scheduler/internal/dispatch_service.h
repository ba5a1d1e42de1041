#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_DISPATCH_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_DISPATCH_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/layout_service.h"
#include "gypsumfall/scheduler/internal/leader_elector.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"
#include "gypsumfall/scheduler/internal/topology_service.h"
#include "gypsumfall/scheduler/internal/worker_list_service.h"

namespace gypsumfall::scheduler_internal {

/// Runs the dispatcher of a shard while this host is the shard's leader: passes
/// events to it, sends its orders to workers and stores its records.
class DispatchService : public WorkerListObserver {
 public:
  DispatchService(Context& context, const ShardScope& scope,
                  LeaderElector& elector, LayoutService& layout,
                  WorkerListService& worker_list, TopologyService& topology);

  /// Runs due work. Must be called periodically.
  void Tick();
  /// Handles the assignment of further racks, possibly to this shard.
  void OnRacksAssigned();
  /// Handles a change of what is known of the closed data centres.
  void OnEvacuations();
  std::string Dump() const;

  void OnListed(const WorkerEntry& entry) override;
  void OnUnlisted(const WorkerId& id) override;

  /// @return whether this host is the shard's leader and has loaded its state.
  bool is_scheduling() const;

  /// Adds a job that any host has accepted. Must be called only while
  /// scheduling.
  void OnAccepted(JobRecord record);
  JobStateReply StateOf(const JobId& id) const;
  std::uint64_t CountWaiting(const QueueId& queue) const;
  /// Cancels a job.
  /// @param done called with whether the job is known, and the shard that holds
  ///   it if that is another one, after the cancellation is stored; or with an
  ///   error if it is not known to be stored; discarded if leadership is lost
  ///   before.
  void Cancel(const JobId& id, UniqueFunction<Result<JobStateReply>> done);

  /// @param other shard that is offered the tasks.
  /// @return at most `limit` tasks that another shard should run, because they
  ///   find no worker here. Must be called only while scheduling, like
  ///   `ReservePlaces`.
  ReservePlacesRequest TasksToTransfer(ShardId other, std::size_t limit);
  /// Reserves workers for tasks of other shards.
  ReservePlacesReply ReservePlaces(const ReservePlacesRequest& request);
  /// Gives tasks to a shard that has reserved workers for them.
  void TransferTasks(const std::vector<TaskName>& tasks, ShardId shard);
  /// @param other shard that is offered the jobs.
  /// @return at most `limit` jobs that no worker of this shard could run, and
  ///   at most as many that another shard may start sooner. Must be called only
  ///   while scheduling, like `ChooseOffered`.
  OfferJobsRequest JobsToMove(ShardId other, std::size_t limit);
  /// Chooses the offered jobs that workers of this shard could run, or would
  /// start at once.
  OfferJobsReply ChooseOffered(const OfferJobsRequest& request);
  /// Gives jobs to a shard that wants them.
  void MoveJobs(const OfferJobsReply& reply, ShardId shard);

 private:
  void StartScheduling();
  void Load();
  /// @param sent time at which the reads were sent.
  void OnLoaded(Result<StoredState> loaded, Time sent);
  void StopScheduling();
  void RunCycle();
  void RunCycleSoon();
  void Send(Order& order);
  void SendStart(const StartOrder& order);
  void SendStop(const StopOrder& order);
  void SendLease(const LeaseOrder& order);
  void SendThrottle(const ThrottleOrder& order);
  void StoreRecords(Time now);
  /// Makes a new load summary if one is due and the settings ask for it.
  void UpdateLoad(Time now);
  void OnStored(const RecordBatch& batch);
  void ScanJobChanges();
  void ReloadJobs(Time scan_started);
  void SubmitUnreportedJobs(const std::vector<StoredRow>& rows);
  void CancelSliced(const JobId& id,
                    UniqueFunction<Result<JobStateReply>> done);
  void ReadSlicedJobChanges();
  void OnSlicedJobChanges(const RowPage& page);
  void ReloadSlicedJobs();
  void ApplySlicedJobChange(const StoredRow& row);
  void ApplySlicedJob(const StoredRow& row);
  void ApplyTransfer(const StoredRow& row);
  void ApplyMove(const StoredRow& row);
  /// @return whether the row is the move that the job's home shard has stored.
  bool IsHomeMove(const RowAddress& address) const;
  void RemoveExpiredSlicedJobs();
  void CleanUpRecords();
  /// @param removed called with the jobs whose rows are removed, if this host
  ///   is still the leader.
  void RemoveRecords(RowTransaction rows,
                     UniqueFunction<const std::vector<JobId>&> removed);
  /// @return the time before which ended jobs have expired.
  WallTime ExpiredBefore() const;
  std::vector<JobId> ExpiredMarkers() const;
  void LogDispatchEvents();
  void ReportStatus(Time now);

  Context& context_;
  const ShardScope& scope_;
  Logger log_{"dispatch"};
  LeaderElector& elector_;
  LayoutService& layout_;
  WorkerListService& worker_list_;
  TopologyService& topology_;
  Timer cycle_timer_;
  Timer load_retry_;
  /// Incremented whenever scheduling starts or stops; responses to calls of an
  /// earlier generation are ignored.
  std::uint64_t generation_ = 0;
  std::unique_ptr<Dispatcher> dispatcher_;
  Time leader_since_{};
  RowVersion job_scan_version_;
  Time next_job_scan_{};
  Time next_status_{};
  /// Encoded load summary to store with each renewal; empty if there is none.
  std::string load_;
  Time next_load_{};
  bool job_scan_pending_ = false;
  RowVersion sliced_version_;
  Time next_sliced_read_{};
  bool sliced_read_pending_ = false;
  Time next_sliced_cleanup_{};
  /// Ended jobs whose records are not emptied yet.
  std::vector<JobId> jobs_to_empty_;
  /// Jobs that were cancelled before they were accepted, and when.
  std::map<JobId, WallTime> never_accepted_;
  Time next_cleanup_{};
  std::multimap<JobId, UniqueFunction<Result<JobStateReply>>> pending_cancels_;

  Counter& starts_;
  Counter& refused_starts_;
  Counter& unanswered_;
  Counter& record_batches_;
  Counter& rejected_batches_;
  Counter& transfers_;
  Counter& moves_;
  Counter& moves_for_load_;
  LatencyHistogram& store_latency_;
  LatencyHistogram& takeover_time_;
  /// The shard's status, while this host is its leader.
  Gauge& free_cpu_;
  Gauge& largest_free_cpu_;
  Gauge& draining_workers_;
  Gauge& held_back_workers_;
  Gauge& jobs_;
  Gauge& job_bytes_;
  Gauge& open_occurrences_;
  Gauge& changed_tasks_;
  Gauge& passed_over_steps_;
  Gauge& longest_passed_over_wait_;
  Gauge& overloaded_priorities_;
  Gauge& steps_moved_up_;
  Gauge& waiting_long_running_;
  Gauge& longest_long_running_wait_;
  Gauge& unplaceable_long_running_;
  Gauge& largest_waiting_need_;
  Gauge& awaited_workers_;
  Gauge& awaited_for_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_DISPATCH_SERVICE_H_
