#ifndef GYPSUMFALL_DISPATCH_INTERNAL_DISPATCHER_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/interference.h"
#include "gypsumfall/dispatch/internal/job_table.h"
#include "gypsumfall/dispatch/internal/worker_messages.h"
#include "gypsumfall/dispatch/internal/worker_table.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

struct DispatchSettings {
  /// Longest lease that workers accept.
  Duration max_lease = seconds(6);
  /// Longest time that a predecessor may have acted after it was replaced.
  Duration predecessor_slack{0};
  /// Time that ended jobs are remembered.
  Duration ended_retention = std::chrono::minutes(10);
};

/// Rows to store before what they cover is acknowledged or shown.
struct RecordBatch {
  /// Ticket of the last record in the batch.
  std::uint64_t last_ticket = 0;
  /// Progress of jobs that go on.
  std::vector<JobProgress> progress;
  /// Jobs that have ended for good.
  std::vector<JobProgress> ended;
  /// Ended jobs whose rows are no longer needed.
  std::vector<JobId> expired;
  /// Workers that may hold leases; set if it has changed.
  bool roster_changed = false;
  std::vector<RosterEntry> roster;

  bool empty() const {
    return progress.empty() && ended.empty() && expired.empty() &&
           !roster_changed;
  }
};

/// One decision or one change of what is believed, for the log.
struct DispatchNote {
  std::string_view what;
  TaskName task;
  RunNumber run;
  WorkerId worker;
  /// Why, with the inputs that decided.
  std::string reason;
};

/// The scheduler of one service group: all its jobs and all its workers.
class Dispatcher {
 public:
  /// @param epoch fences the orders of all earlier epochs.
  Dispatcher(const DispatchSettings& settings, Epoch epoch, Time now);

  /// Restores what earlier epochs have stored; before any other input.
  void RestoreJob(JobRecord record, Time now, WallTime wall_now);
  void RestoreProgress(const JobProgress& progress);
  void RestoreEnded(const JobProgress& progress) { jobs_.AddEnded(progress); }
  void RestoreRoster(const std::vector<RosterEntry>& roster, Time now);

  /// Takes over a job that is stored; again for a known id does nothing.
  void Submit(JobRecord record, Time now, WallTime wall_now);
  /// Cancels a job unless it has ended.
  /// @return false if the job is not known.
  bool Cancel(const JobId& id, Time now, WallTime wall_now);

  void OnWorkerListed(WorkerEntry entry, Time now);
  /// The worker is no longer listed; its runs may go on.
  void OnWorkerUnlisted(const WorkerId& id, Time now);

  /// @param sent when the order was sent.
  void OnStartReply(const StartOrder& order, const OrderReply& reply, Time sent,
                    Time now);
  void OnStopReply(const StopOrder& order, const OrderReply& reply, Time sent,
                   Time now);
  void OnPaceReply(const PaceOrder& order, const OrderReply& reply);
  void OnLeaseReply(const LeaseOrder& order, const LeaseReply& reply, Time sent,
                    Time now, WallTime wall_now);

  /// Decides what is due now.
  /// @return orders to send, in this order.
  std::vector<Order> Decide(Time now);

  /// @return whether something waits to be stored.
  bool HasRecords() const;
  /// @return whether a caller waits for what is to be stored.
  bool HasEndedJobs() const { return ended_waiting_ > 0; }
  /// Takes what is to be stored, at most `limit` rows' worth.
  RecordBatch TakeRecords(std::size_t limit, WallTime wall_now);
  /// The rows of a batch are stored.
  /// @return jobs whose final state has become visible.
  std::vector<JobId> OnRecorded(const RecordBatch& batch);

  JobStateReply StateOf(const JobId& id) const;
  std::uint64_t CountWaiting(const QueueId& queue) const {
    return jobs_.CountWaiting(queue);
  }
  /// @return what of the workers that take work is free and how large they are.
  JobAcceptedReply Room(Time now) const;
  /// @return what each task of the job is handed.
  const std::string& PayloadOf(const JobId& id) const;

  /// @return whether a worker knows a newer epoch, so that this one must end.
  bool is_superseded() const { return superseded_; }
  Epoch epoch() const { return epoch_; }
  /// @return what was decided since the last call.
  std::vector<DispatchNote> TakeNotes();
  /// @return readable text of the whole state.
  std::string Dump(Time now) const;

 private:
  using Job = dispatch_internal::Job;
  using Occurrence = dispatch_internal::Occurrence;
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
  void Release(Job& job, Time now);
  void ReleaseDue(Time now);
  void MakeReady(const TaskName& name, Task& task, Time now);
  void TaskDone(Job& job, const TaskName& name, Task& task);
  void GangDone(Job& job, const TaskName& name);
  void TaskFailed(Job& job, const TaskName& name, Task& task, RunNumber run,
                  const WorkerId& worker);
  void FinishStep(Job& job, const TaskName& name, Time now, WallTime wall_now);
  void EndJob(Job& job, JobState state, Time now, WallTime wall_now);
  void MarkForRecord(Job& job);

  // Runs and ends.
  Step& StepOf(Job& job, const TaskName& name);
  void BindRun(Worker& worker, Job& job, const TaskName& name, Task& task,
               Run run);
  void UnbindRun(Worker& worker, const TaskName& name);
  void WantStop(Worker& worker, const TaskName& name, Time now,
                std::string_view reason);
  void RunNeverCame(Worker& worker, const TaskName& name, Time now,
                    std::string_view reason);
  void ApplyEnd(Worker& worker, const EndReport& end, Time now,
                WallTime wall_now);
  std::uint64_t ApplyEndToTask(Worker& worker, const EndReport& end, Time now,
                               WallTime wall_now);
  void Requeue(const TaskName& name, Time now);
  void Acknowledge(Worker& worker);

  // Workers.
  void NoteClock(Worker& worker, const std::optional<WorkerTime>& clock,
                 Time sent, Time now);
  void StartIncarnation(Worker& worker, WallTime incarnation, Time now);
  void ApplyRunning(Worker& worker, const LeaseReply& reply, Time sent,
                    Time now);
  void Adopt(Worker& worker, const RunReport& report, Time sent, Time now);
  void DropMissing(Worker& worker, const LeaseReply& reply, Time sent,
                   Time now);
  void LoseRuns(Worker& worker, Time now, std::string_view reason);
  void DropLostWorkers(Time now);
  bool AllAccounted();

  // Orders.
  void AddLeaseOrders(Time now, std::vector<Order>& orders);
  void MovePausedRuns(Time now);
  void MoveStandingRuns(Time now);
  void AddPaceOrders(Worker& worker, Time now, std::vector<Order>& orders);
  void AddStopOrders(Time now, std::vector<Order>& orders);
  void AddStopOrder(Worker& worker, const TaskName& name, Run& run, Time now,
                    std::vector<Order>& orders);
  /// Order of steps of one priority.
  enum class Urgency {
    /// Can still be on time.
    kOnTime,
    /// Is to last, and is missing for longer than allowed; each moment counts.
    kMissing,
    kLate,
  };

  static Time ObjectiveOf(const Job& job, const StepRef& ref);
  static Urgency UrgencyOf(const Job& job, const StepRef& ref, Time objective,
                           Time now);
  std::vector<StepRef> OrderOfSteps(Time now);
  void AddStartOrders(Time now, std::vector<Order>& orders);
  void NoteWait(const StepRef& ref, Time now, std::string_view reason);
  bool StartStep(const StepRef& ref, Time now, std::vector<Order>& orders);
  bool StartGang(Job& job, const TaskName& first, Step& step, Time now,
                 std::vector<Order>& orders);
  Worker* WorkerFor(Job& job, const TaskName& name, Step& step, Time now);
  StartOrder PlaceRun(Worker& worker, Job& job, const TaskName& name,
                      Task& task, Time now);

  void Note(std::string_view what, const TaskName& task, RunNumber run,
            const WorkerId& worker, std::string reason = {});

  DispatchSettings settings_;
  Epoch epoch_;
  /// Time at which the leases of all earlier epochs are over.
  Time epoch_bound_;
  bool all_accounted_ = false;
  bool superseded_ = false;

  dispatch_internal::JobTable jobs_;
  dispatch_internal::WorkerTable workers_;
  dispatch_internal::InterferenceModel interference_;
  std::set<StepRef> ready_;
  Time next_fill_round_{};
  Time next_sweep_{};
  /// Times at which further occurrences of jobs are due.
  std::multimap<Time, JobId> due_;

  std::uint64_t next_ticket_ = 1;
  std::uint64_t stored_ticket_ = 0;
  std::deque<JobId> to_record_;
  std::size_t ended_waiting_ = 0;
  bool roster_changed_ = false;
  std::vector<DispatchNote> notes_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_DISPATCHER_H_
