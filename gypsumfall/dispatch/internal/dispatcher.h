#ifndef GYPSUMFALL_DISPATCH_INTERNAL_DISPATCHER_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/balance/balance.h"
#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/interference.h"
#include "gypsumfall/dispatch/internal/job_table.h"
#include "gypsumfall/dispatch/internal/placement.h"
#include "gypsumfall/dispatch/internal/worker_messages.h"
#include "gypsumfall/dispatch/internal/worker_table.h"
#include "gypsumfall/evacuation/evacuation.h"
#include "gypsumfall/jobs/jobs.h"
#include "gypsumfall/overload/overload.h"
#include "gypsumfall/ranking/ranking.h"

namespace gypsumfall {

/// Settings of a dispatcher.
struct DispatchSettings {
  /// Shard whose workers and tasks are scheduled.
  ShardId shard;
  /// Number of other shards, to which jobs may be moved.
  std::uint64_t other_shards = 0;
  /// Longest lease that workers accept.
  Duration max_lease = seconds(6);
  /// Longest time that a predecessor may have sent orders after it was
  /// replaced.
  Duration predecessor_slack{0};
  /// Time for which ended jobs are kept.
  Duration ended_retention = std::chrono::minutes(10);
  /// Memory that the jobs of the shard may need; see `IsFull`.
  std::size_t max_job_bytes = std::numeric_limits<std::size_t>::max();
  /// Waiting steps are ordered by what their callers lose by waiting, otherwise
  /// by objective.
  bool order_by_loss = false;
  /// What jobs are worth; used if they are ordered by loss.
  LossTerms loss_terms;
  /// The load is measured, for `Load`.
  bool measure_load = false;
  /// Jobs move to shards that start them sooner, and tasks wait for the rack of
  /// their data only while their job can be on time.
  bool balances_jobs = false;
};

/// A row with progress that waits to be stored.
struct QueuedRow {
  ProgressRowId id;
  std::uint64_t sequence = 0;
  /// In a batch: whether the batch holds the row. An earlier record may cover
  /// it, or another row may have replaced it.
  bool recorded = false;
};

/// A worker that may hold a lease, as successors need to know it.
struct LeaseHolder {
  WorkerId id;
  /// "ip:port".
  std::string endpoint;
  /// Time by which the lease has certainly expired. Until the worker is stored
  /// without it, the lease is not extended. Unset while it is being extended.
  std::optional<Time> lease_end;
};

/// Rows to store before the changes they hold are acknowledged to workers or
/// become visible to callers.
struct RecordBatch {
  /// Sequence number of the last record in the batch.
  std::uint64_t last_record_sequence = 0;
  /// The rows with progress that the batch covers.
  std::vector<QueuedRow> queued_rows;
  /// Progress of jobs that have not ended, and of their tasks.
  std::vector<JobProgress> progress;
  std::vector<ChunkProgress> chunk_progress;
  /// Jobs that have reached a final state.
  std::vector<JobProgress> ended;
  /// Rows with progress that are no longer needed.
  std::vector<ProgressRowId> obsolete_progress;
  /// Jobs whose records are removed and whose final states are to be removed.
  std::vector<JobId> expired;
  /// Tasks given to other shards, and tasks whose transfers by this shard are
  /// no longer needed.
  std::vector<TaskTransfer> transfers;
  std::vector<TaskName> obsolete_transfers;
  /// Jobs given to other shards, and jobs whose moves by this shard are no
  /// longer needed.
  std::vector<JobMove> moves;
  std::vector<JobId> obsolete_moves;
  /// Workers that may hold leases from now on, and those that no longer do.
  std::vector<LeaseHolder> roster_entries;
  std::vector<WorkerId> removed_from_roster;
  /// The row with the roster of an earlier version is to be removed.
  bool remove_old_roster = false;

  /// @return the number of rows that are written or removed.
  std::size_t size() const {
    return progress.size() + chunk_progress.size() + ended.size() +
           obsolete_progress.size() + expired.size() + transfers.size() +
           obsolete_transfers.size() + moves.size() + obsolete_moves.size() +
           roster_entries.size() + removed_from_roster.size() +
           (remove_old_roster ? 1 : 0);
  }
  bool empty() const { return size() == 0; }
};

/// A decision or a change of state, for the log.
struct DispatchEvent {
  std::string_view message;
  TaskName task;
  RunNumber run;
  WorkerId worker;
  /// Reason, with the inputs of the decision.
  std::string reason;
  /// Whether each task causes events of this kind.
  bool routine = false;
};

/// Load of a shard and the waits in it, for the log and the metrics.
struct ShardStatus {
  /// Capacity of the workers that accept new runs, and what of it is free.
  MilliCores capacity;
  MilliCores free;
  /// Largest number of free processors on one of them.
  MilliCores largest_free;
  int draining_workers = 0;
  /// Listed workers on which no task starts because their data centre is closed
  /// or they are still returning.
  int held_back_workers = 0;
  /// Runs of long-running tasks on draining workers.
  int long_running_on_draining = 0;
  std::size_t waiting_steps = 0;
  /// Waiting steps that stand behind their place by objective, and the longest
  /// wait of one of them; 0 unless steps are ordered by loss.
  std::size_t passed_over_steps = 0;
  Duration longest_passed_over_wait{0};
  /// Number of priorities whose queued work does not fit before its objectives.
  std::size_t overloaded_priorities = 0;
  /// Number of steps that this leader has moved up because they were passed
  /// over for longer than their objectives.
  std::uint64_t steps_moved_up = 0;
  /// What the memory for jobs depends on: the known jobs, ended ones included,
  /// the occurrences that have begun, and the tasks that have had a run there.
  std::size_t jobs = 0;
  std::size_t job_bytes = 0;
  std::size_t open_occurrences = 0;
  std::size_t changed_tasks = 0;
  /// Long-running tasks that are ready and have no run.
  int waiting_long_running = 0;
  /// Longest current wait of such a task.
  Duration longest_long_running_wait{0};
  /// Most processors that one of these tasks needs.
  MilliCores largest_waiting_need;
  /// Those of these tasks for which no worker has enough resources beside its
  /// long-running runs, so that the end of other work does not help them.
  int unplaceable_long_running = 0;
  /// Workers that may hold runs of earlier epochs and have not reported, and
  /// the time until the last of their leases has certainly expired. Tasks of
  /// earlier epochs wait until then.
  int awaited_workers = 0;
  Duration awaited_for{0};
};

/// Schedules all jobs of one service group on all its workers.
class Dispatcher {
 public:
  /// @param epoch epoch of this scheduler; workers that have seen it reject the
  ///   orders of earlier epochs.
  Dispatcher(const DispatchSettings& settings, Epoch epoch, Time now);

  /// Restores state that earlier epochs have stored. Must be called before any
  /// other input, and in this order.
  void RestoreEnded(const JobProgress& progress) { jobs_.AddEnded(progress); }
  void RestoreJob(JobRecord record, Time now, WallTime wall_now,
                  JobSlice slice = {});
  void RestoreProgress(const JobProgress& progress);
  void RestoreProgress(const ChunkProgress& progress);
  /// @param old_version the roster is in one row, which is to be replaced.
  void RestoreRoster(const std::vector<LeaseHolder>& roster, bool old_version,
                     Time now);
  /// Restores the moves that all shards have stored. Must be called after the
  /// ended jobs are restored and before the others, because it decides which of
  /// these are held here.
  void RestoreMoves(const std::vector<JobMove>& moves, Time now,
                    WallTime wall_now);
  /// Restores a transfer that this shard has stored. Must be called after the
  /// jobs are restored; the transfer is removed if its job is not among them.
  void RestoreTransfer(const TaskTransfer& transfer, Time now);

  /// Schedules a job that is stored; does nothing if its id is already known.
  /// @param slice tasks that this dispatcher runs. The end of a slice is not
  ///   recorded here: the caller stores the cancellation of the whole job
  ///   before it calls `Cancel`.
  void Submit(JobRecord record, Time now, WallTime wall_now,
              JobSlice slice = {});
  /// Acknowledges ends of runs whose jobs are still unknown after all stored
  /// jobs were submitted. A job is stored before its runs start, so a scan of
  /// the stored jobs that began after the report of an end includes its job.
  /// @param scan_started time at which the scan began.
  void OnJobsScanned(Time scan_started);
  /// Cancels a job unless it has ended.
  /// @return false if the job is not known.
  bool Cancel(const JobId& id, Time now, WallTime wall_now);

  /// @param other shard that is asked to run the tasks. It is offered all tasks
  ///   in turn, so that those it cannot hold do not displace the others.
  /// @return at most `limit` tasks of sliced jobs that have found no worker
  ///   here for some time, for `TransferTask`.
  std::vector<TaskName> TasksToTransfer(ShardId other, Time now,
                                        std::size_t limit);
  /// @return whether no worker of this shard could run the task, even if all
  ///   runs of finite length ended.
  bool IsUnplaceable(const TaskName& name, Time now);
  /// Reserves a worker for a task that another shard may transfer to this one.
  /// The reservation lasts long enough to store and read the transfer.
  /// @param unplaceable no worker of the other shard could run the task, so
  ///   that it waits here if it has to wait for the end of other runs.
  /// @return whether a worker is reserved.
  bool ReservePlace(const TaskName& name, Time now, bool unplaceable = false);
  /// Gives a waiting task to another shard. The transfer takes effect when the
  /// batch with it is stored.
  /// @return whether the task still waits.
  bool TransferTask(const TaskName& name, ShardId shard);
  /// Handles a transfer that another shard has stored, and runs the task if it
  /// names this shard. Does nothing if a later one is known.
  void ApplyTransfer(const TaskTransfer& transfer, Time now);

  /// @param other shard that is asked to take the jobs. It is offered all jobs
  ///   in turn.
  /// @return at most `limit` jobs that no worker of this shard could run, and
  ///   nothing of which runs, for `MoveJob`.
  std::vector<JobOffer> JobsToMove(ShardId other, Time now, std::size_t limit);
  /// @return whether workers of this shard could run the step of the job if all
  ///   runs of finite length ended.
  bool WantsJob(const JobOffer& offer, Time now);
  /// Gives a waiting job to another shard. The move takes effect when the batch
  /// with it is stored; until then the job does not start here.
  /// @param epoch epoch of the leader that wants the job.
  /// @return whether the job still waits.
  bool MoveJob(const JobId& id, ShardId shard, Epoch epoch, Time now);
  /// Returns the jobs that another shard may start sooner; none unless
  /// `DispatchSettings::balances_jobs` is set.
  /// @return at most `limit` jobs of which nothing has run, for
  ///   `MoveJobForLoad`.
  std::vector<LoadOffer> JobsToMoveForLoad(Time now, std::size_t limit);
  /// Chooses the offered jobs that this shard would start at once from free
  /// room, after its own waiting steps of the same or higher priority, and
  /// keeps the room in mind until they arrive.
  /// @return the chosen jobs; none unless `DispatchSettings::balances_jobs` is
  ///   set.
  std::vector<JobId> ChooseForLoad(const std::vector<LoadOffer>& offers,
                                   Time now);
  /// Gives a waiting job to a shard that starts it sooner; see `MoveJob`.
  /// @return whether the job still waits.
  bool MoveJobForLoad(const JobId& id, ShardId shard, Epoch epoch, Time now);
  /// @return whether a move of the job is being stored, so that it cannot be
  ///   cancelled at the moment.
  bool IsMoving(const JobId& id) const;
  /// Handles a move that another shard has stored, and runs the job if it names
  /// this shard. Does nothing if a later one is known.
  void ApplyMove(const JobMove& move, Time now, WallTime wall_now);
  /// Handles the removal of the move that the home shard of a job had stored:
  /// the final state of the job is stored there.
  void OnHomeMoveRemoved(const JobId& id, Time now);
  /// @return the jobs that were moved and have not ended, as far as known.
  std::vector<JobId> MovedJobs() const;

  /// Sets on which workers tasks may start. What runs on the others goes on.
  /// Without any call, tasks may start on all workers; a leader must call this
  /// before the first call of `Decide`.
  void ApplyEvacuations(const EvacuationSet& evacuations);

  /// Adds a worker of the worker list, or updates its entry.
  void OnWorkerListed(WorkerEntry entry, Time now);
  /// Handles the removal of a worker from the worker list; its runs may
  /// continue.
  void OnWorkerUnlisted(const WorkerId& id, Time now);

  /// Handle the answers of workers to orders.
  /// @param sent time at which the order was sent.
  void OnStartReply(const StartOrder& order, const OrderReply& reply, Time sent,
                    Time now);
  void OnStopReply(const StopOrder& order, const OrderReply& reply, Time sent,
                   Time now);
  void OnThrottleReply(const ThrottleOrder& order, const OrderReply& reply);
  void OnLeaseReply(const LeaseOrder& order, const LeaseReply& reply, Time sent,
                    Time now, WallTime wall_now);

  /// Updates the state of jobs and workers for the current time.
  /// @return the orders to send, in this sequence.
  std::vector<Order> Decide(Time now);

  /// @return whether there are records to store.
  bool HasRecords() const;
  /// @return whether the jobs need as much memory as they may, so that no
  ///   further ones should be accepted. Those that are accepted are run.
  bool IsFull() const { return jobs_.bytes() >= settings_.max_job_bytes; }
  /// @return whether an ended job is not stored yet, for which a caller may
  ///   wait.
  bool HasEndedJobs() const { return unstored_ended_jobs_ > 0; }
  /// Expires jobs that ended longer than the retention ago, at most `limit`.
  /// @return the expired jobs. Their records are to be removed from the store,
  ///   then `OnRecordsRemoved` must be called. They stay known until then,
  ///   because a stored record of an unknown job is a job to run.
  std::vector<JobId> TakeExpired(std::size_t limit, WallTime wall_now);
  /// Handles the removal of the records of expired jobs, and forgets the jobs.
  /// The next batches remove their final states.
  void OnRecordsRemoved(const std::vector<JobId>& ids);
  /// Takes records to store, at most `limit` rows.
  RecordBatch TakeRecords(std::size_t limit);
  /// Handles the successful write of a batch.
  /// @return the jobs whose final state has become visible.
  std::vector<JobId> OnRecorded(const RecordBatch& batch);
  /// Handles the rejection of a batch by the store. The next batches are
  /// smaller until the row at fault is alone; it is set aside and tried again
  /// later, so that it does not hold up the others.
  void OnRejected(RecordBatch batch, Time now);

  /// @return the state of the job that is visible to callers.
  JobStateReply StateOf(const JobId& id) const;
  /// @return the number of accepted jobs of a queue of which no task has
  /// started.
  std::uint64_t CountWaiting(const QueueId& queue) const {
    return jobs_.CountWaiting(queue);
  }
  /// @return the queue of the job; empty if the job is not known.
  QueueId QueueOf(const JobId& id) const;
  /// @return whether the job is known, has not ended and is run here in part
  ///   only.
  bool RunsSliceOf(const JobId& id) const;
  /// @return the jobs of which slices run here and that have not ended.
  std::vector<JobId> RunningSlices() const;
  /// @return the payload that each task of the job receives; empty if the job
  ///   is not known.
  const std::string& PayloadOf(const JobId& id) const;

  /// @return whether a worker has seen a newer epoch, so that this scheduler
  ///   must stop.
  bool is_superseded() const { return superseded_; }
  Epoch epoch() const { return epoch_; }
  /// @return the events since the last call.
  std::vector<DispatchEvent> TakeEvents();
  /// @return the load of the shard and the waits of its long-running tasks.
  ShardStatus Status(Time now);
  /// Summarizes the load of the shard. Must be called about once a second, only
  /// with `DispatchSettings::measure_load`. The cost is that of `Status`: one
  /// visit of the steps of jobs that have not ended, and of the runs.
  /// @param made_at reading of the store's clock at `now`.
  LoadSummary Load(StoreTime made_at, Time now);
  /// @return the whole state as readable text.
  std::string Dump(Time now) const;

 private:
  using Job = dispatch_internal::Job;
  using Occurrence = dispatch_internal::Occurrence;
  using PlacementRequest = dispatch_internal::PlacementRequest;
  using ProgressRow = dispatch_internal::ProgressRow;
  using Run = dispatch_internal::Run;
  using RunPhase = dispatch_internal::RunPhase;
  using Step = dispatch_internal::Step;
  using Task = dispatch_internal::Task;
  using Worker = dispatch_internal::Worker;

  /// A step with ready tasks.
  struct StepRef {
    JobId job;
    int occurrence = 0;
    int step = 0;
    friend auto operator<=>(const StepRef&, const StepRef&) = default;
  };

  // Jobs.
  /// @return the job, or null if its id is already known.
  Job* AddJob(JobRecord record, JobSlice slice, Time now, WallTime wall_now);
  /// Opens the occurrences of the job that are due, and queues the job for the
  /// next one. Only a limited number of steps wait for workers at a time, so
  /// that state follows the runs and not the occurrences that are due.
  void OpenDueOccurrences(Job& job, Time now);
  void QueueForDue(Job& job, Time due);
  void UnblockDueJobs(Time now);
  /// Makes the tasks ready of those steps of an occurrence whose dependencies
  /// are done.
  void UnblockSteps(Job& job, int occurrence, Time now);
  void MakeReady(const TaskName& name, Task& task, Time now);
  void MarkTaskDone(Job& job, const TaskName& name);
  void MarkGangDone(Job& job, const TaskName& name);
  void RecordTaskFailure(Job& job, const TaskName& name, Task& task,
                         RunNumber run, const WorkerId& worker);
  void CompleteOccurrence(Job& job, int number);
  static void MakeChunksObsolete(Job& job, int number, Occurrence& occurrence);
  void AdvanceJob(Job& job, const TaskName& name, Time now, WallTime wall_now);
  void EndJob(Job& job, JobState state, Time now, WallTime wall_now);
  /// Queues a row for the next batch of records, unless it is queued.
  /// @return the sequence number of its record.
  std::uint64_t QueueRow(ProgressRow& row, const ProgressRowId& id);
  std::uint64_t QueueJobRow(Job& job);
  std::uint64_t QueueChunkOf(Job& job, const TaskName& name);
  /// @return the sequence number of the record to store before an end of a run
  ///   of the task is acknowledged.
  static std::uint64_t SequenceOf(Job& job, const TaskName& name);
  /// Adds the row to the batch if it has changed since it was taken last.
  /// @return whether it was added.
  bool TakeRow(Job& job, const ProgressRowId& id, RecordBatch& batch);
  /// @return the row that holds the progress: that of the job if it has
  ///   replaced the one with the id.
  static ProgressRow& CurrentRow(Job& job, const ProgressRowId& id);
  /// Puts the rows of a batch back to the front of the queues.
  void Requeue(RecordBatch batch);
  /// Adds changes of the roster to the batch, at most `limit` rows.
  void TakeRosterChanges(std::size_t limit, RecordBatch& batch);
  void TakeProgress(std::size_t limit, RecordBatch& batch);
  /// Keeps a batch of one row for another attempt.
  void SetAside(RecordBatch batch, Time now);
  void RetryRejectedBatches(Time now);

  // Runs and their completions.
  Step& StepOf(Job& job, const TaskName& name);
  void BindRun(Worker& worker, Job& job, const TaskName& name, Task& task,
               Run run);
  void UnbindRun(Worker& worker, const TaskName& name);
  void RequestStop(Worker& worker, const TaskName& name, Time now,
                   std::string_view reason);
  void RequeueMissingRun(Worker& worker, const TaskName& name, Time now,
                         std::string_view reason);
  void ApplyCompletion(Worker& worker, const CompletionReport& end, Time now,
                       WallTime wall_now);
  /// @return the sequence number of the record to store before the completion
  ///   is acknowledged; 0 if there is none.
  std::uint64_t ApplyCompletionToTask(Worker& worker,
                                      const CompletionReport& end, Time now,
                                      WallTime wall_now);
  /// @param confirmed_at see `Run::confirmed_at`.
  /// @param last_known latest time at which the run was known to run.
  void Requeue(const TaskName& name, std::optional<Time> confirmed_at,
               Time last_known, Time now);
  /// Makes the next runs of a long-running task avoid a worker.
  void AvoidWorker(const TaskName& name, const Worker& worker);
  /// @return whether several runs of the task have failed on the worker, and it
  ///   should not be tried there again yet.
  bool IsRetryDelayed(const TaskName& name, const Worker& worker, Time now);
  /// Applies the completions that were reported before the job was known.
  void ApplyEarlierCompletions(const JobId& id, Time now, WallTime wall_now);
  void Acknowledge(Worker& worker);

  // Workers.
  void UpdateClock(Worker& worker, const std::optional<WorkerTime>& clock,
                   Time sent, Time now);
  void UpdateOpenPeriod(Worker& worker) const;
  void ResetForIncarnation(Worker& worker, WallTime incarnation, Time now);
  void ApplyRunReports(Worker& worker, const LeaseReply& reply, Time sent,
                       Time now);
  void AdoptRun(Worker& worker, const RunReport& report, Time sent, Time now);
  void RequeueUnlistedRuns(Worker& worker, const LeaseReply& reply, Time sent,
                           Time now);
  void RequeueAllRuns(Worker& worker, Time now, std::string_view reason);
  /// Stops extending the lease of a worker that does not answer, and has the
  /// roster tell successors when it expires.
  void LimitLease(Worker& worker);
  /// Has the roster allow the lease of a worker to be extended again.
  void ResumeLease(Worker& worker);
  /// Removes workers from the roster that no successor has to wait for.
  void RemoveIdleLeavingWorkersFromRoster();
  void ExpireLeases(Time now);
  void UpdatePredecessorRunsKnown();
  /// @return whether a worker reports a run of the task that this dispatcher
  ///   has not started and is stopping.
  bool HasUnexpectedRun(const TaskName& name) const;
  /// The same for all tasks from `first` to `last`, inclusive.
  bool HasUnexpectedRunBetween(const TaskName& first,
                               const TaskName& last) const;
  /// @return whether no worker that has not reported yet can hold a run of the
  ///   task, and none is still stopping one, so that the task may start. Of a
  ///   gang, all members count.
  bool EarlierRunsKnown(const Job& job, const TaskName& name) const;

  // Orders.
  void AddLeaseOrders(Time now, std::vector<Order>& orders);
  void MovePausedRuns(Time now);
  void MoveStalledRuns(Time now);
  void MoveRunsOffDrainingWorkers(Time now);
  void AddThrottleOrders(Worker& worker, Time now, std::vector<Order>& orders);
  void AddStopOrders(Time now, std::vector<Order>& orders);
  void AddStopOrder(Worker& worker, const TaskName& name, Run& run, Time now,
                    std::vector<Order>& orders);
  /// Updates the ratio of actual to declared run times of a queue.
  void LearnRunTime(const Job& job, const Run& run, Time now);
  /// Adds the work that the job has not done to the load of its class, and the
  /// work of a run to that of the job of the run.
  void AddBacklog(const Job& job, std::map<WorkClass, ClassBacklog>& backlogs,
                  Time now) const;
  void AddRunBacklog(const TaskName& name, const Run& run,
                     std::map<WorkClass, ClassBacklog>& backlogs,
                     Time now) const;
  /// @return whether the work of the occurrence delays other jobs: it is due,
  ///   and its job is not overdue.
  static bool CountsAsLoad(const Job& job, int occurrence, Time now);
  /// Measures a completed task, or its gang, and a newly accepted job.
  void MeasureDone(const Job& job, const TaskName& name, Time now);
  void MeasureAccepted(const Job& job, Time now);
  /// Makes room for new images in the interference model if it is full.
  void ForgetUnusedImages(Time now);
  /// Adds a step to those with ready tasks.
  void AddReadyStep(Job& job, const StepRef& ref, Time now);
  /// Removes a step from those with ready tasks.
  /// @return the next of these.
  std::set<StepRef>::iterator RemoveReadyStep(std::set<StepRef>::iterator step);
  /// @return the job of a step with ready tasks, or null if the job or its
  ///   occurrence has ended since.
  Job* FindJobOf(const StepRef& ref);
  void AddStartOrders(Time now, std::vector<Order>& orders);
  /// @param reason_without_places reason to log if the shard has no worker that
  ///   could run the step; empty if that makes no difference.
  void AddWaitEvent(const StepRef& ref, Time now, std::string_view reason,
                    std::string_view reason_without_places = {});
  /// @return whether the workers of the shard could run a task of the step, or
  ///   its whole gang, if all runs of finite length ended.
  bool HasPlacesFor(const JobTerms& terms, const StepSpec& spec, Time now);
  enum class StepStart {
    /// No task of the step is left to start.
    kAllStarted,
    /// A task of the step has found no worker.
    kNoWorker,
    /// Only tasks are left whose runs fail early where there is room for them,
    /// and that are tried there again later.
    kRetryDelayed,
    /// Only tasks are left that may still run on a worker that has not
    /// reported.
    kRunsUnknown,
  };
  bool MayStartThrottled(const StepRef& ref, Time now);
  /// @param may_throttle whether one task may start with a smaller share.
  StepStart StartStep(const StepRef& ref, bool may_throttle, Time now,
                      std::vector<Order>& orders);
  bool StartGang(Job& job, const TaskName& first, Step& step, Time now,
                 std::vector<Order>& orders);
  Worker* WorkerFor(Job& job, const TaskName& name, Step& step, Time now);
  /// @return whether a task should not start on a worker that fails its runs,
  ///   because another shard may take its job soon.
  bool AwaitsOtherShard(const Job& job, const TaskName& name,
                        const Worker& worker, Time now);
  /// @param start_percent share at which the run works from its start on.
  StartOrder PlaceRun(Worker& worker, Job& job, const TaskName& name,
                      Task& task, int start_percent, Time now);

  // Order of the waiting steps.
  static Time ObjectiveOf(const Job& job, const StepRef& ref);
  /// @return the step as its order needs to know it. Its cost depends on the
  ///   number of steps of the job, not on that of its tasks.
  StepDemand DemandOf(const Job& job, const StepRef& ref) const;
  /// @return the ratio of actual to declared run times of the queue of the job;
  ///   at least 1.
  double RunTimeRatioOf(const Job& job) const;
  /// Counts the processors and the work of running jobs, at most once in an
  /// interval.
  void UpdateCapacity(Time now);
  /// @param best_effort_priorities for each priority whether its steps are
  ///   best-effort ones.
  std::vector<PriorityCapacity> CapacitiesFor(
      const std::map<int, bool>& best_effort_priorities) const;
  /// @return the steps with ready tasks, first to start first.
  std::vector<StepRef> RankSteps(Time now);
  /// Keeps the job of a step at the front of its priority from now on.
  void MoveUp(const StepRef& ref, const StepDemand& demand, Time now);

  // Reservations.
  /// Limits the searches for workers to reserve, each of which looks at all
  /// workers.
  class SearchBudget {
   public:
    /// Counts a search, unless too many were made in the current round.
    bool TryAcquire(Time now);

   private:
    Time next_round_{};
    int searches_ = 0;
  };
  void DropUnusableReservations(Time now);
  void ReleaseReservationsOf(Job& job);
  void ReleaseAllReservations(Worker& worker);
  void ReleaseReservationOf(const TaskName& name, Task& task);
  /// Notes that the worker is no longer reserved for the task.
  void ForgetReservation(const TaskName& name, const WorkerId& worker);
  std::optional<dispatch_internal::Reservation> ReservationOf(
      const TaskName& name, const Task& task);
  /// Services whose reservations for starving tasks have reached their limit in
  /// the current round, with the priority of the task that waits for it.
  using LimitedServices = std::map<ServiceId, int>;
  /// @param limited receives the service if the limit keeps the task from
  ///   reserving; null if no limit applies.
  void ReserveWorker(Job& job, const TaskName& name, SearchBudget& budget,
                     Time now, LimitedServices* limited);
  /// @return whether a starving task may have a worker reserved beside the
  ///   reservations of other starving tasks.
  bool IsWithinReservationLimit(const PlacementRequest& request,
                                Time now) const;
  void KeepPlace(Worker& worker, const TaskName& name, Time now);
  void ReserveForStarvingTasks(const StepRef& ref, Time now,
                               LimitedServices& limited);
  bool HoldsWorkerFor(const TaskName& name, Time now);
  bool HoldsWorkerForAny(const StepRef& ref, Time now);
  void AddWaitsTo(ShardStatus& status, const StepRef& ref, Time now);
  void AddAwaitedWorkersTo(ShardStatus& status, Time now) const;
  /// @return what the task requires of its worker.
  PlacementRequest RequestFor(const Job& job, const TaskName& name,
                              const Step& step);

  // Transfers.
  /// @return the waiting task of a sliced job, or null.
  const Task* FindTransferable(const TaskName& name);
  void RemoveTransfersOf(const JobId& job);
  void ApplyDeferredTransfers(Time now);

  // Moves of jobs.
  /// What is known of a job that was moved.
  struct MovedJob {
    /// Number of the latest known move, the shard that it names, and the state
    /// of the job at that time.
    std::uint64_t number = 0;
    ShardId holder;
    JobState state = JobState::kQueued;
    /// This shard has stored a move of the job.
    bool has_own_row = false;
    /// Time at which the final state was known to be stored by the home shard.
    std::optional<Time> finished;
  };
  /// @return a ready step that has waited for some time and that no worker here
  ///   could run, if the job may be moved; otherwise null.
  const StepSpec* FindUnplaceableStep(const JobId& id, Time now);
  bool HasBoundRun(const Job& job) const;
  /// @return whether the job may be given away as far as its state tells,
  ///   except for runs of it that exist.
  bool MayMove(const Job& job) const;
  /// Stops scheduling the job and queues the record of its move.
  /// @return false if its row would be too large.
  bool StartMove(Job& job, const Job::Destination& destination, Time now);
  /// Removes a job from what is scheduled; its state stays.
  void Unschedule(Job& job);
  /// Schedules a job again whose move was not stored.
  void CancelMove(Job& job, Time now);
  JobMove MoveOf(const Job& job) const;
  /// Add the progress of an occurrence, and the checkpoints and run numbers of
  /// its tasks, to a move.
  static void AddProgressTo(JobMove& move, const Job& job, int occurrence);
  static void AddTasksTo(JobMove& move, int number,
                         const Occurrence& occurrence);
  /// Adds a job that another shard has given to this one.
  Job* AddMovedJob(const JobMove& move, Time now, WallTime wall_now);
  /// Stores the final state of a job that ended in another shard.
  void AddJobEndedElsewhere(const JobMove& move);
  /// Notes that a move is the latest one of its job.
  MovedJob& NoteMove(const JobMove& move);
  void OnMoveRecorded(const JobMove& move);
  void OnOwnMoveRemoved(const JobId& id);
  /// Removes a job of another home shard, which has stored its final state.
  void ForgetEndedElsewhere(const JobId& id, const MovedJob& moved);
  /// @return whether another shard holds the job.
  bool IsAway(const JobId& id) const;
  /// @return whether a worker reports a run of the job that this dispatcher has
  ///   not started and is stopping.
  bool HasUnexpectedRunOf(const JobId& id) const;
  void ApplyDeferredMoves(Time now);

  // Moves of jobs for load.
  /// A step with ready tasks, and what these need.
  struct WaitingStep {
    StepRef ref;
    int priority = 0;
    bool best_effort = false;
    /// For all ready tasks. The work of long-running tasks counts as 0.
    MilliCores cpu;
    CoreMilliseconds work;
  };
  /// @return the waiting steps that workers of this shard could run, in the
  ///   order in which they start.
  std::vector<WaitingStep> WaitingSteps(Time now);
  /// @return the job of a step if it may move because of the load, else null.
  Job* FindMovableForLoad(const JobId& id);
  /// @param ahead processors that go to other steps first.
  /// @return whether all tasks of the step would start now.
  bool HasFreeRoomFor(const JobOffer& offer, MilliCores ahead, Time now);
  /// @return the time until which a task waits for the rack of its data.
  Time RackWaitEndOf(const Job& job, const TaskName& name,
                     const Task& task) const;

  void StoreEvent(DispatchEvent event);
  void AddEvent(std::string_view message, const TaskName& task, RunNumber run,
                const WorkerId& worker, std::string reason = {});
  /// Adds an event of a kind that each task causes.
  void AddRoutineEvent(std::string_view message, const TaskName& task,
                       RunNumber run, const WorkerId& worker,
                       std::string reason = {});

  DispatchSettings settings_;
  Epoch epoch_;
  /// Time at which all leases of earlier epochs have expired.
  Time predecessor_leases_end_;
  bool predecessor_runs_known_ = false;
  bool superseded_ = false;

  dispatch_internal::JobTable jobs_;
  dispatch_internal::WorkerTable workers_;
  /// All workers with unexpected runs, and some that have none left.
  std::set<WorkerId> unexpected_run_workers_;
  std::optional<EvacuationSet> evacuations_;
  dispatch_internal::InterferenceModel interference_;
  /// Ratio of actual to declared run times, smoothed.
  std::unordered_map<QueueId, double> run_time_ratios_;
  LoadMeter load_meter_;
  std::set<StepRef> ready_steps_;
  std::variant<ObjectiveOrder, LossOrder> order_;
  /// Mean work of the jobs of a queue.
  std::unordered_map<QueueId, MeanWork> mean_work_;
  /// The latest ranking of the ready steps.
  Ranking ranking_;
  std::uint64_t steps_moved_up_ = 0;
  /// Processors of the workers that accept work, in cores, and what uses them.
  struct Capacity {
    /// For tasks of finite length that reserve processors.
    double reserving = 0;
    double best_effort = 0;
    /// Work left of running jobs without a waiting step, by priority, in
    /// core-seconds.
    std::map<int, double> committed;
  };
  Capacity capacity_;
  Time next_capacity_update_{};
  Time next_best_effort_round_{};
  Time next_sweep_{};
  Time next_image_cleanup_{};
  /// Separate budgets, so that many draining workers, for example, do not keep
  /// starving tasks from being searched for.
  SearchBudget starving_task_searches_;
  SearchBudget move_searches_;
  SearchBudget throttled_start_searches_;
  /// Times at which the next occurrences of jobs are due, one for each job.
  std::set<std::pair<Time, JobId>> due_occurrences_;
  /// Jobs with due occurrences that are not open, because enough steps wait.
  std::set<JobId> backlogged_jobs_;

  std::uint64_t next_record_sequence_ = 1;
  std::uint64_t stored_record_sequence_ = 0;
  /// Rows to store, in the order of their sequence numbers.
  std::deque<QueuedRow> rows_to_record_;
  /// A batch of one row that the store has rejected.
  struct RejectedBatch {
    RecordBatch batch;
    Time retry_at;
  };
  std::deque<RejectedBatch> rejected_batches_;
  /// Sequence numbers of rejected records. Ends that wait for them are not
  /// acknowledged.
  std::set<std::uint64_t> rejected_sequences_;
  /// Largest number of rows in a batch while the store rejects batches.
  std::size_t max_batch_rows_ = std::numeric_limits<std::size_t>::max();
  /// Rows to remove. What replaces them has been taken for an earlier batch.
  std::deque<ProgressRowId> obsolete_rows_;
  /// Expired jobs whose records are removed.
  std::deque<JobId> expired_jobs_;
  std::deque<TaskTransfer> transfers_to_record_;
  std::deque<TaskName> transfers_to_remove_;
  /// Tasks that this shard has given away. Their transfers are stored in its
  /// partition.
  std::set<TaskName> transferred_tasks_;
  /// Last task of the latest offer, by the shard that it was made to.
  std::map<ShardId, TaskName> last_offered_;
  /// Transfers to this shard of tasks that have an unexpected run.
  std::vector<TaskTransfer> deferred_transfers_;
  std::map<JobId, MovedJob> moved_jobs_;
  std::deque<JobId> moves_to_remove_;
  /// Last job of the latest offer, by the shard that it was made to.
  std::map<ShardId, JobId> last_offered_job_;
  /// Moves to this shard of jobs that have an unexpected run.
  struct DeferredMove {
    JobMove move;
    Time received{};
    WallTime wall_received{0};
  };
  std::vector<DeferredMove> deferred_moves_;
  /// Room for jobs of other shards that move here because of the load.
  PromisedRoom promised_room_;
  std::size_t unstored_ended_jobs_ = 0;
  /// Workers whose entries in the roster have changed.
  std::set<WorkerId> roster_changes_;
  bool old_roster_stored_ = false;
  std::vector<DispatchEvent> events_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_DISPATCHER_H_
