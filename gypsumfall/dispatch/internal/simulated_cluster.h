#ifndef GYPSUMFALL_DISPATCH_INTERNAL_SIMULATED_CLUSTER_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_SIMULATED_CLUSTER_H_

// A simulation for tests of this library: workers that implement the worker
// protocol, and a clock. Replies can be lost, and workers can crash or be
// partitioned.

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"

namespace gypsumfall {

inline constexpr Time kSimulationStart{seconds(1000)};
inline constexpr WallTime kWallClockStart{1'700'000'000'000};

inline constexpr Duration kSimulationStep = milliseconds(10);

/// A simulated worker, whose clock runs at its own rate.
struct SimulatedWorker {
  struct SimulatedRun {
    RunNumber number;
    Duration run_time{0};
    /// Work done; grows in proportion to `speed_percent`.
    Duration done{0};
    RunOutcome end = RunOutcome::kDone;
    int speed_percent = 100;

    int Percent() const { return static_cast<int>(100 * done / run_time); }
  };

  WorkerEntry entry;
  double clock_rate = 1.0;
  Time clock_start{};
  WallTime incarnation{1};
  bool alive = true;
  /// Partitioned: its runs continue, and no order or answer gets through.
  bool partitioned = false;
  /// Number of start orders whose answers get lost, and whether these orders
  /// are executed.
  int replies_to_lose = 0;
  bool execute_unanswered = true;
  /// Number of start orders that the worker refuses.
  int starts_to_refuse = 0;
  /// All runs on the worker fail.
  bool fails_all_runs = false;
  /// Runs of long-running tasks fail after this time, if set.
  std::optional<Duration> long_running_fail_after;
  /// Accepts stop orders and does not carry them out yet.
  bool stops_pending = false;
  /// Its runs make no progress and never end.
  bool stalls_runs = false;
  /// Factor by which its runs take longer.
  int slowdown_factor = 1;

  Epoch highest_epoch;
  WorkerTime lease_until{};
  std::map<TaskName, SimulatedRun> runs;
  std::map<TaskName, RunNumber> highest_run;
  std::vector<CompletionReport> ended;
  std::uint64_t completion_count = 0;

  /// Extends the lease, to the longest one that workers accept at most: the
  /// order may count from the clock of an earlier incarnation.
  void ExtendLease(WorkerTime until, Time now) {
    const WorkerTime longest = Clock(now) + DispatchSettings{}.max_lease;
    lease_until = std::max(lease_until, std::min(until, longest));
  }

  WorkerTime Clock(Time now) const {
    return WorkerTime(Duration(static_cast<std::int64_t>(
        static_cast<double>((now - clock_start).count()) * clock_rate)));
  }
};

/// Executes orders on simulated workers and checks invariants: no task runs
/// twice at a time, and no worker exceeds its capacity.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(int worker_count,
                            Resources capacity = {MilliCores(8000),
                                                  MebiBytes(8000),
                                                  Accelerators(0)},
                            ShardId shard = {}, std::uint64_t other_shards = 0,
                            bool balances_jobs = false)
      : shard_(shard),
        other_shards_(other_shards),
        balances_jobs_(balances_jobs),
        dispatcher_(std::in_place,
                    DispatchSettings{.shard = shard,
                                     .other_shards = other_shards,
                                     .balances_jobs = balances_jobs},
                    Epoch(1), kSimulationStart) {
    for (int i = 0; i < worker_count; ++i) AddWorker(i, capacity);
    Advance(milliseconds(100));
  }

  /// @param label further label of the worker, if not empty.
  void AddWorker(int index, Resources capacity, const std::string& label = {}) {
    const std::string name = "w" + std::to_string(index);
    SimulatedWorker worker;
    worker.entry = {.id = WorkerId(name),
                    .endpoint = name + ":1",
                    .service = ServiceId("desk"),
                    .data_centre = DataCentreId("dc"),
                    .capacity = capacity,
                    .labels = {WorkerLabel("a"),
                               WorkerLabel("rack" + std::to_string(index / 2))},
                    .rack = RackId("rack" + std::to_string(index / 2)),
                    .incarnation = worker.incarnation};
    if (!label.empty()) worker.entry.labels.emplace_back(label);
    worker.clock_start = now_ - seconds(50);
    workers_.emplace(worker.entry.id, worker);
    dispatcher_->OnWorkerListed(worker.entry, now_);
  }

  /// Assigns the worker to a data centre; all begin in "dc".
  void SetDataCentre(int index, const std::string& data_centre) {
    SimulatedWorker& moved = worker(index);
    moved.entry.data_centre = DataCentreId(data_centre);
    dispatcher_->OnWorkerListed(moved.entry, now_);
  }

  Dispatcher& dispatcher() { return *dispatcher_; }
  SimulatedWorker& worker(int index) {
    return workers_.at(WorkerId("w" + std::to_string(index)));
  }
  Time now() const { return now_; }
  WallTime WallNow() const {
    return kWallClockStart +
           std::chrono::duration_cast<WallTime>(now_ - kSimulationStart);
  }

  JobRecord Record(const std::string& id, JobSpec spec, int max_attempts = 2) {
    return {.id = JobId(id),
            .queue = QueueId("q"),
            .terms = {.service = ServiceId("desk"),
                      .priority = 0,
                      .max_attempts = max_attempts,
                      .objective = seconds(2)},
            .accepted_epoch = dispatcher_->epoch(),
            .accepted_at = WallNow(),
            .spec = std::move(spec)};
  }

  void Submit(const JobRecord& record, JobSlice slice = {}) {
    stored_jobs_[record.id] = record;
    specs[record.id] = record.spec;
    slices_[record.id] = slice;
    dispatcher_->Submit(record, now_, WallNow(), slice);
  }

  /// Simulates `duration` in steps of 10 ms.
  void Advance(Duration duration) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ += kSimulationStep;
      ApplyEvacuations();
      for (auto& [id, worker] : workers_) EndRuns(worker);
      DeliverOrders();
      if (store_available) StoreRecords();
    }
  }

  /// Replaces the scheduler by a successor that starts from the stored state.
  void TakeOver(Duration predecessor_slack = Duration{0}) {
    const Epoch epoch = dispatcher_->epoch().Next();
    open_lease_calls_.clear();
    unanswered_batch_.reset();
    dispatcher_.emplace(DispatchSettings{.shard = shard_,
                                         .other_shards = other_shards_,
                                         .predecessor_slack = predecessor_slack,
                                         .order_by_loss = order_by_loss,
                                         .balances_jobs = balances_jobs_},
                        epoch, now_);
    ApplyEvacuations();
    for (const auto& [id, ended] : stored_ended_) {
      dispatcher_->RestoreEnded(ended);
    }
    dispatcher_->RestoreMoves(read_moves(), now_, WallNow());
    for (const auto& [id, record] : stored_jobs_) {
      if (!stored_ended_.contains(id) && !unread_jobs.contains(id) &&
          !cancelled_slices.contains(id)) {
        dispatcher_->RestoreJob(record, now_, WallNow(), slices_[id]);
      }
    }
    for (const auto& [name, transfer] : stored_transfers) {
      dispatcher_->RestoreTransfer(transfer, now_);
    }
    for (const auto& [id, progress] : stored_progress) {
      dispatcher_->RestoreProgress(progress);
    }
    for (const auto& [id, progress] : stored_chunks) {
      dispatcher_->RestoreProgress(progress);
    }
    std::vector<LeaseHolder> roster;
    for (const auto& [id, holder] : stored_roster_) roster.push_back(holder);
    dispatcher_->RestoreRoster(roster, false, now_);
    for (const auto& [id, worker] : workers_) {
      if (worker.alive && !worker.partitioned) {
        dispatcher_->OnWorkerListed(worker.entry, now_);
      }
    }
  }

  /// Ends the process of the worker.
  void Crash(int index) {
    SimulatedWorker& crashed = worker(index);
    crashed.alive = false;
    crashed.runs.clear();
  }

  /// Restarts the worker, whose new entry is received at once.
  void Restart(int index) {
    StartIncarnation(index);
    dispatcher_->OnWorkerListed(worker(index).entry, now_);
  }

  /// Gives the worker a new incarnation that knows nothing of the old one, and
  /// whose entry has not been received yet.
  void StartIncarnation(int index) {
    SimulatedWorker& restarted = worker(index);
    restarted.alive = true;
    restarted.runs.clear();
    restarted.highest_run.clear();
    restarted.ended.clear();
    restarted.completion_count = 0;
    restarted.highest_epoch = Epoch(0);
    restarted.clock_start = now_;
    restarted.lease_until = WorkerTime{};
    restarted.incarnation = WallTime(restarted.incarnation.count() + 1);
    restarted.entry.incarnation = restarted.incarnation;
  }

  /// Makes the worker report that it drains.
  /// @param remaining time after which it may leave, as it reports it.
  void Drain(int index, Duration remaining) {
    SimulatedWorker& draining = worker(index);
    draining.entry.draining = true;
    draining.entry.remaining = remaining;
    dispatcher_->OnWorkerListed(draining.entry, now_);
  }

  JobState StateOf(const std::string& id) {
    return dispatcher_->StateOf(JobId(id)).state;
  }
  /// @return whether the final state of the job is stored.
  bool HasStoredEnd(const JobId& id) const {
    return stored_ended_.contains(id);
  }

  /// @return the number of workers on which the task runs now.
  int RunningNow(const TaskName& name) const {
    int count = 0;
    for (const auto& [id, worker] : workers_) {
      if (worker.runs.contains(name)) ++count;
    }
    return count;
  }
  const std::map<WorkerId, SimulatedWorker>& workers() const {
    return workers_;
  }
  /// @return whether the worker still lists the end of a run of the task, so
  ///   that no scheduler has acknowledged it.
  bool ListsEndOf(int index, const TaskName& name) {
    const auto& ended = worker(index).ended;
    return std::any_of(
        ended.begin(), ended.end(),
        [&](const CompletionReport& end) { return end.task == name; });
  }
  int RunsOn(int index) { return static_cast<int>(worker(index).runs.size()); }

  /// Start orders that workers have executed, by task.
  std::map<TaskName, int> starts;
  /// The same by worker.
  std::map<WorkerId, int> starts_on;
  /// Descriptions of violated invariants.
  std::vector<std::string> violations;
  /// Returns the run time and the outcome of a run.
  std::function<std::pair<Duration, RunOutcome>(const TaskName&, int start)>
      run_of = [](const TaskName&, int) {
        return std::pair{Duration(milliseconds(300)), RunOutcome::kDone};
      };
  /// Returns the usage that a worker reports for a run.
  std::function<double(const SimulatedWorker&, const TaskName&)> usage_of;
  /// Setting of the successors that take over from now on.
  bool order_by_loss = false;
  bool store_available = true;
  /// Returns the time after which the answer to a stored batch arrives.
  std::function<Duration()> record_answer_delay = [] { return Duration{0}; };
  /// Returns whether the store rejects the batch, if set.
  std::function<bool(const RecordBatch&)> rejects;
  /// Jobs that are stored after a successor has read the job table.
  std::set<JobId> unread_jobs;
  /// Which data centres are closed, if set. The cluster confirms it at each
  /// step, and counts a start in a closed one as a violation.
  std::optional<EvacuationSet> evacuations;
  /// Sliced jobs whose cancellation is stored.
  std::set<JobId> cancelled_slices;
  /// Transfers that this shard has stored and not removed.
  std::map<TaskName, TaskTransfer> stored_transfers;
  /// Moves that this shard has stored and not removed, and what a successor
  /// reads: those of all shards.
  std::map<JobId, JobMove> stored_moves;
  std::function<std::vector<JobMove>()> read_moves = [this] {
    std::vector<JobMove> moves;
    for (const auto& [id, move] : stored_moves) moves.push_back(move);
    return moves;
  };
  /// Called with each move that this shard stores or removes.
  std::function<void(const JobMove&)> on_move_stored;
  std::function<void(const JobId&)> on_move_removed;
  /// Specifications of all jobs whose tasks may start here.
  std::map<JobId, JobSpec> specs;
  /// Rows with progress.
  std::map<JobId, JobProgress> stored_progress;
  std::map<ProgressRowId, ChunkProgress> stored_chunks;
  /// Called with each transfer that this shard stores.
  std::function<void(const TaskTransfer&)> on_transfer_stored;

  /// Stores the records that wait, as `Advance` does while the store is
  /// available.
  void StoreRecords() {
    if (unanswered_batch_) {
      if (now_ < batch_answered_at_) return;
      dispatcher_->OnRecorded(*std::exchange(unanswered_batch_, std::nullopt));
    }
    if (!dispatcher_->HasRecords()) return;
    const RecordBatch batch = dispatcher_->TakeRecords(90);
    if (rejects && rejects(batch)) {
      dispatcher_->OnRejected(batch, now_);
      return;
    }
    for (const JobProgress& job_progress : batch.progress) {
      stored_progress[job_progress.id] = job_progress;
    }
    for (const ChunkProgress& chunk : batch.chunk_progress) {
      stored_chunks[chunk.row] = chunk;
    }
    for (const ProgressRowId& row : batch.obsolete_progress) {
      if (row.occurrence == ProgressRowId::kWholeJob) {
        stored_progress.erase(row.job);
      } else {
        stored_chunks.erase(row);
      }
    }
    for (const JobProgress& job_progress : batch.ended)
      stored_ended_[job_progress.id] = job_progress;
    for (const TaskTransfer& transfer : batch.transfers) {
      stored_transfers[transfer.task] = transfer;
      if (on_transfer_stored) on_transfer_stored(transfer);
    }
    for (const TaskName& name : batch.obsolete_transfers) {
      stored_transfers.erase(name);
    }
    for (const JobMove& move : batch.moves) {
      stored_moves[move.record.id] = move;
      if (on_move_stored) on_move_stored(move);
    }
    for (const JobId& id : batch.obsolete_moves) {
      stored_moves.erase(id);
      if (on_move_removed) on_move_removed(id);
    }
    for (const LeaseHolder& holder : batch.roster_entries)
      stored_roster_[holder.id] = holder;
    for (const WorkerId& id : batch.removed_from_roster)
      stored_roster_.erase(id);
    batch_answered_at_ = now_ + record_answer_delay();
    if (batch_answered_at_ > now_) {
      unanswered_batch_ = batch;
    } else {
      dispatcher_->OnRecorded(batch);
    }
  }

 private:
  void ApplyEvacuations() {
    if (!evacuations) return;
    evacuations->Confirm(now_);
    dispatcher_->ApplyEvacuations(*evacuations);
  }

  void EndRuns(SimulatedWorker& worker) {
    if (!worker.alive) return;
    std::vector<std::pair<TaskName, RunOutcome>> ended_runs;
    const bool lease_expired = worker.Clock(now_) > worker.lease_until;
    for (auto& [name, run] : worker.runs) {
      run.done += kSimulationStep * run.speed_percent / 100;
      if (lease_expired) {
        ended_runs.emplace_back(name, RunOutcome::kLeaseExpired);
      } else if (run.done >= run.run_time) {
        ended_runs.emplace_back(name, run.end);
      }
    }
    for (const auto& [name, end] : ended_runs) EndRun(worker, name, end);
  }

  void EndRun(SimulatedWorker& worker, const TaskName& name, RunOutcome end) {
    const auto found = worker.runs.find(name);
    if (found == worker.runs.end()) return;
    worker.ended.push_back({CompletionNumber(++worker.completion_count),
                            name,
                            found->second.number,
                            end,
                            {}});
    worker.runs.erase(found);
  }

  void DeliverOrders() {
    for (Order& order : dispatcher_->Decide(now_)) {
      std::visit([this](auto& typed_order) { Execute(typed_order); }, order);
    }
    // A lease call waits for a completion or until its time is over.
    std::vector<std::pair<LeaseOrder, Time>> still_open;
    for (auto& [order, sent] : std::exchange(open_lease_calls_, {})) {
      SimulatedWorker& worker = workers_.at(order.worker);
      const bool reachable = worker.alive && !worker.partitioned;
      const bool timed_out = now_ >= sent + order.wait + milliseconds(600);
      const bool ready =
          now_ >= sent + order.wait || HasNewCompletion(worker, order);
      if (reachable && ready) {
        dispatcher_->OnLeaseReply(order, ReplyTo(worker, order), sent, now_,
                                  WallNow());
      } else if (timed_out) {
        dispatcher_->OnLeaseReply(order, {}, sent, now_, WallNow());
      } else {
        still_open.emplace_back(order, sent);
      }
    }
    for (auto& lease_call : still_open)
      open_lease_calls_.push_back(std::move(lease_call));
  }

  static bool HasNewCompletion(const SimulatedWorker& worker,
                               const LeaseOrder& order) {
    return std::any_of(worker.ended.begin(), worker.ended.end(),
                       [&](const CompletionReport& end) {
                         return end.number > order.acknowledged;
                       });
  }

  LeaseReply ReplyTo(SimulatedWorker& worker, const LeaseOrder& order) {
    LeaseReply reply;
    if (dispatcher_->epoch() < worker.highest_epoch) {
      reply.verdict = OrderVerdict::kFenced;
      return reply;
    }
    worker.highest_epoch = dispatcher_->epoch();
    if (order.lease_until) worker.ExtendLease(*order.lease_until, now_);
    ForgetAcknowledged(worker, order);
    reply.verdict = OrderVerdict::kAccepted;
    reply.worker_clock = worker.Clock(now_);
    reply.incarnation = worker.incarnation;
    for (const auto& [name, run] : worker.runs) {
      const double usage = usage_of ? usage_of(worker, name) : 0;
      const int percent = worker.stalls_runs ? 0 : run.Percent();
      reply.running.push_back({name, run.number, {}, percent, usage});
    }
    const std::size_t listed =
        std::min(worker.ended.size(), kMaxListedCompletions);
    reply.ended.assign(
        worker.ended.begin(),
        worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
    return reply;
  }

  static void ForgetAcknowledged(SimulatedWorker& worker,
                                 const LeaseOrder& order) {
    std::erase_if(worker.ended, [&](const CompletionReport& end) {
      return end.number <= order.acknowledged;
    });
  }

  void Execute(const LeaseOrder& order) {
    SimulatedWorker& worker = workers_.at(order.worker);
    // A worker forgets acknowledged ends when the call arrives, not when it
    // answers.
    if (worker.alive && !worker.partitioned &&
        dispatcher_->epoch() >= worker.highest_epoch) {
      ForgetAcknowledged(worker, order);
    }
    open_lease_calls_.emplace_back(order, now_);
  }

  void Execute(const StartOrder& order) {
    SimulatedWorker& worker = workers_.at(order.worker);
    if (!worker.alive || worker.partitioned) {
      dispatcher_->OnStartReply(order, {OrderVerdict::kUnanswered, {}}, now_,
                                now_);
      return;
    }
    const bool lost = worker.replies_to_lose > 0;
    if (lost) --worker.replies_to_lose;
    OrderReply reply{OrderVerdict::kUnanswered, {}};
    if (!lost || worker.execute_unanswered) {
      const OrderVerdict verdict = Start(worker, order);
      if (!lost) reply = {verdict, worker.Clock(now_)};
    }
    dispatcher_->OnStartReply(order, reply, now_, now_);
  }

  OrderVerdict Start(SimulatedWorker& worker, const StartOrder& order) {
    if (dispatcher_->epoch() < worker.highest_epoch)
      return OrderVerdict::kFenced;
    worker.highest_epoch = dispatcher_->epoch();
    if (worker.starts_to_refuse > 0) {
      --worker.starts_to_refuse;
      return OrderVerdict::kRefused;
    }
    if (order.lease_until < worker.Clock(now_))
      return OrderVerdict::kStaleLease;
    worker.ExtendLease(order.lease_until, now_);
    RunNumber& highest_run = worker.highest_run[order.task];
    if (order.run <= highest_run) return OrderVerdict::kStaleRun;
    highest_run = order.run;
    if (RunningNow(order.task) > 0) {
      violations.push_back("task runs twice at a time");
    }
    if (evacuations &&
        !evacuations->IsOpen(worker.entry.id, worker.entry.data_centre, now_)) {
      violations.push_back("task starts in a closed data centre");
    }
    ++starts_on[order.worker];
    const int start = ++starts[order.task];
    auto [run_time, end] = run_of(order.task, start);
    const bool long_running =
        specs.at(order.task.job)
            .steps[static_cast<std::size_t>(order.task.step)]
            .long_running;
    if (long_running && worker.long_running_fail_after) {
      run_time = *worker.long_running_fail_after;
      end = RunOutcome::kFailed;
    }
    worker.runs[order.task] = {
        .number = order.run,
        .run_time = worker.stalls_runs ? seconds(1000)
                                       : run_time * worker.slowdown_factor,
        .end = worker.fails_all_runs ? RunOutcome::kFailed : end};
    CheckCapacity(worker);
    return OrderVerdict::kAccepted;
  }

  void CheckCapacity(const SimulatedWorker& worker) {
    Resources used;
    for (const auto& [name, run] : worker.runs) {
      const auto job = specs.find(name.job);
      if (job == specs.end()) continue;
      const StepSpec& spec =
          job->second.steps[static_cast<std::size_t>(name.step)];
      Resources need = spec.need;
      if (spec.best_effort) need.cpu = MilliCores(0);
      used += need;
    }
    if (!used.FitsIn(worker.entry.capacity)) {
      violations.push_back("worker over its capacity");
    }
  }

  void Execute(const StopOrder& order) {
    SimulatedWorker& worker = workers_.at(order.worker);
    if (!worker.alive || worker.partitioned) {
      dispatcher_->OnStopReply(order, {OrderVerdict::kUnanswered, {}}, now_,
                               now_);
      return;
    }
    RunNumber& highest_run = worker.highest_run[order.task];
    highest_run = std::max(highest_run, order.run);
    if (!worker.stops_pending) EndRun(worker, order.task, RunOutcome::kStopped);
    dispatcher_->OnStopReply(
        order, {OrderVerdict::kAccepted, worker.Clock(now_)}, now_, now_);
  }

  void Execute(const ThrottleOrder& order) {
    SimulatedWorker& worker = workers_.at(order.worker);
    const auto found = worker.runs.find(order.task);
    if (found != worker.runs.end()) found->second.speed_percent = order.percent;
    dispatcher_->OnThrottleReply(order, {OrderVerdict::kAccepted, {}});
  }

  Time now_ = kSimulationStart;
  ShardId shard_;
  std::uint64_t other_shards_;
  bool balances_jobs_ = false;
  std::optional<Dispatcher> dispatcher_;
  std::map<WorkerId, SimulatedWorker> workers_;
  std::vector<std::pair<LeaseOrder, Time>> open_lease_calls_;
  std::optional<RecordBatch> unanswered_batch_;
  Time batch_answered_at_{};
  std::map<JobId, JobRecord> stored_jobs_;
  std::map<JobId, JobSlice> slices_;
  std::map<JobId, JobProgress> stored_ended_;
  std::map<WorkerId, LeaseHolder> stored_roster_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_SIMULATED_CLUSTER_H_
