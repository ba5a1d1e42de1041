#ifndef GYPSUMFALL_DISPATCH_INTERNAL_TEST_WORLD_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_TEST_WORLD_H_

// For tests of this library only: workers that follow the worker protocol, and
// a clock. Orders can be lost or held back, workers can crash or be cut off.

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"

namespace gypsumfall {

inline constexpr Time kEpochStart{seconds(1000)};
inline constexpr WallTime kWallStart{1'700'000'000'000};

inline constexpr Duration kModelStep = milliseconds(10);

/// A worker of the model. Its clock runs at a rate of its own.
struct ModelWorker {
  struct ModelRun {
    RunNumber number;
    Duration length{0};
    /// Work done; it grows at the pace.
    Duration done{0};
    RunEnd end = RunEnd::kDone;
    int pace = 100;

    int Percent() const { return static_cast<int>(100 * done / length); }
  };

  WorkerEntry entry;
  double clock_rate = 1.0;
  Time born{};
  WallTime incarnation{1};
  bool up = true;
  /// Cut off: it runs on, and no order or answer gets through.
  bool cut = false;
  /// The next starts and stops get no answer, and are carried out or not.
  int lose_answers = 0;
  bool carry_out_lost = true;
  /// All that starts here fails.
  bool fails_all = false;
  /// Its runs stand still and never end.
  bool hangs = false;
  /// Its runs take this many times as long.
  int slow_by = 1;

  Epoch fence;
  WorkerTime lease_until{};
  std::map<TaskName, ModelRun> runs;
  std::map<TaskName, RunNumber> highest;
  std::vector<EndReport> ended;
  std::uint64_t ends = 0;

  WorkerTime Clock(Time now) const {
    return WorkerTime(Duration(static_cast<std::int64_t>(
        static_cast<double>((now - born).count()) * clock_rate)));
  }
};

/// Plays orders against model workers and checks what must always hold: no
/// task runs twice at a time, and no worker is over its capacity.
class TestWorld {
 public:
  explicit TestWorld(int worker_count,
                     Resources capacity = {MilliCores(8000), MebiBytes(8000),
                                           Accelerators(0)})
      : dispatcher_(std::in_place, DispatchSettings{}, Epoch(1), kEpochStart) {
    for (int i = 0; i < worker_count; ++i) AddWorker(i, capacity);
    Advance(milliseconds(100));
  }

  void AddWorker(int index, Resources capacity) {
    const std::string name = "w" + std::to_string(index);
    ModelWorker worker;
    worker.entry = {.id = WorkerId(name),
                    .endpoint = name + ":1",
                    .service = ServiceId("desk"),
                    .data_centre = DataCentreId("dc"),
                    .capacity = capacity,
                    .labels = {WorkerLabel("a"),
                               WorkerLabel("rack" + std::to_string(index / 2))},
                    .rack = RackId("rack" + std::to_string(index / 2))};
    worker.born = now_ - seconds(50);
    workers_.emplace(worker.entry.id, worker);
    dispatcher_->OnWorkerListed(worker.entry, now_);
  }

  Dispatcher& dispatcher() { return *dispatcher_; }
  ModelWorker& worker(int index) {
    return workers_.at(WorkerId("w" + std::to_string(index)));
  }
  Time now() const { return now_; }
  WallTime WallNow() const {
    return kWallStart +
           std::chrono::duration_cast<WallTime>(now_ - kEpochStart);
  }

  JobRecord Record(const std::string& id, JobSpec spec, int max_attempts = 2) {
    return {.id = JobId(id),
            .queue = QueueId("q"),
            .terms = {.service = ServiceId("desk"),
                      .priority = 0,
                      .max_attempts = max_attempts,
                      .objective = seconds(2)},
            .accepted_in = dispatcher_->epoch(),
            .accepted_at = WallNow(),
            .spec = std::move(spec)};
  }

  void Submit(const JobRecord& record) {
    stored_jobs_[record.id] = record;
    dispatcher_->Submit(record, now_, WallNow());
  }

  /// Plays until `duration` has passed, in steps of 10 ms.
  void Advance(Duration duration) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ += kModelStep;
      for (auto& [id, worker] : workers_) EndRuns(worker);
      Deliver();
      if (store_up_) StoreRecords();
    }
  }

  /// The scheduler dies; a new one takes over from what is stored.
  void TakeOver(Duration predecessor_slack = Duration{0}) {
    const Epoch epoch = dispatcher_->epoch().Next();
    open_leases_.clear();
    dispatcher_.emplace(
        DispatchSettings{.predecessor_slack = predecessor_slack}, epoch, now_);
    for (const auto& [id, record] : stored_jobs_) {
      if (!stored_ended_.contains(id)) {
        dispatcher_->RestoreJob(record, now_, WallNow());
      }
    }
    for (const auto& [id, progress] : stored_progress_) {
      if (!stored_ended_.contains(id)) dispatcher_->RestoreProgress(progress);
    }
    for (const auto& [id, ended] : stored_ended_) {
      dispatcher_->RestoreEnded(ended);
    }
    dispatcher_->RestoreRoster(stored_roster_, now_);
    for (const auto& [id, worker] : workers_) {
      if (worker.up && !worker.cut) {
        dispatcher_->OnWorkerListed(worker.entry, now_);
      }
    }
  }

  /// The worker's process dies.
  void Crash(int index) {
    ModelWorker& dead = worker(index);
    dead.up = false;
    dead.runs.clear();
  }

  JobState StateOf(const std::string& id) {
    return dispatcher_->StateOf(JobId(id)).state;
  }

  /// @return runs of the task that go on somewhere now.
  int RunningNow(const TaskName& name) const {
    int count = 0;
    for (const auto& [id, worker] : workers_) {
      if (worker.runs.contains(name)) ++count;
    }
    return count;
  }
  int RunsOn(int index) { return static_cast<int>(worker(index).runs.size()); }

  /// Starts that workers have carried out, by task.
  std::map<TaskName, int> starts;
  std::map<WorkerId, int> starts_on;
  /// Violations of what must always hold, in words.
  std::vector<std::string> violations;
  /// Decides how a run goes: how long, and how it ends.
  std::function<std::pair<Duration, RunEnd>(const TaskName&, int start)>
      run_of = [](const TaskName&, int) {
        return std::pair{Duration(milliseconds(300)), RunEnd::kDone};
      };
  /// Decides what a worker reports as usage of a run.
  std::function<double(const ModelWorker&, const TaskName&)> usage_of;
  bool store_up_ = true;

 private:
  void EndRuns(ModelWorker& worker) {
    if (!worker.up) return;
    std::vector<std::pair<TaskName, RunEnd>> over;
    const bool lapsed = worker.Clock(now_) > worker.lease_until;
    for (auto& [name, run] : worker.runs) {
      run.done += kModelStep * run.pace / 100;
      if (lapsed) {
        over.emplace_back(name, RunEnd::kLeaseLapsed);
      } else if (run.done >= run.length) {
        over.emplace_back(name, run.end);
      }
    }
    for (const auto& [name, end] : over) End(worker, name, end);
  }

  void End(ModelWorker& worker, const TaskName& name, RunEnd end) {
    const auto found = worker.runs.find(name);
    if (found == worker.runs.end()) return;
    worker.ended.push_back(
        {EndNumber(++worker.ends), name, found->second.number, end, {}});
    worker.runs.erase(found);
  }

  void Deliver() {
    for (Order& order : dispatcher_->Decide(now_)) {
      std::visit([this](auto& each) { Carry(each); }, order);
    }
    // Lease calls wait for an end or for their time.
    std::vector<std::pair<LeaseOrder, Time>> still_open;
    for (auto& [order, sent] : std::exchange(open_leases_, {})) {
      ModelWorker& worker = workers_.at(order.worker);
      const bool reachable = worker.up && !worker.cut;
      const bool timed_out = now_ >= sent + order.wait + milliseconds(600);
      const bool ready = now_ >= sent + order.wait || HasNewEnd(worker, order);
      if (reachable && ready) {
        dispatcher_->OnLeaseReply(order, ReplyTo(worker, order), sent, now_,
                                  WallNow());
      } else if (timed_out) {
        dispatcher_->OnLeaseReply(order, {}, sent, now_, WallNow());
      } else {
        still_open.emplace_back(order, sent);
      }
    }
    for (auto& each : still_open) open_leases_.push_back(std::move(each));
  }

  static bool HasNewEnd(const ModelWorker& worker, const LeaseOrder& order) {
    return std::any_of(
        worker.ended.begin(), worker.ended.end(),
        [&](const EndReport& end) { return end.number > order.acknowledged; });
  }

  LeaseReply ReplyTo(ModelWorker& worker, const LeaseOrder& order) {
    LeaseReply reply;
    if (dispatcher_->epoch() < worker.fence) {
      reply.verdict = OrderVerdict::kFenced;
      return reply;
    }
    worker.fence = dispatcher_->epoch();
    if (order.lease_until) {
      worker.lease_until = std::max(worker.lease_until, *order.lease_until);
    }
    std::erase_if(worker.ended, [&](const EndReport& end) {
      return end.number <= order.acknowledged;
    });
    reply.verdict = OrderVerdict::kAccepted;
    reply.worker_clock = worker.Clock(now_);
    reply.incarnation = worker.incarnation;
    for (const auto& [name, run] : worker.runs) {
      const double usage = usage_of ? usage_of(worker, name) : 0;
      const int percent = worker.hangs ? 0 : run.Percent();
      reply.running.push_back({name, run.number, {}, percent, usage});
    }
    reply.ended = worker.ended;
    return reply;
  }

  void Carry(const LeaseOrder& order) {
    open_leases_.emplace_back(order, now_);
  }

  void Carry(const StartOrder& order) {
    ModelWorker& worker = workers_.at(order.worker);
    if (!worker.up || worker.cut) {
      dispatcher_->OnStartReply(order, {OrderVerdict::kUnanswered, {}}, now_,
                                now_);
      return;
    }
    const bool lost = worker.lose_answers > 0;
    if (lost) --worker.lose_answers;
    OrderReply reply{OrderVerdict::kUnanswered, {}};
    if (!lost || worker.carry_out_lost) {
      const OrderVerdict verdict = Start(worker, order);
      if (!lost) reply = {verdict, worker.Clock(now_)};
    }
    dispatcher_->OnStartReply(order, reply, now_, now_);
  }

  OrderVerdict Start(ModelWorker& worker, const StartOrder& order) {
    if (dispatcher_->epoch() < worker.fence) return OrderVerdict::kFenced;
    worker.fence = dispatcher_->epoch();
    if (order.lease_until < worker.Clock(now_)) return OrderVerdict::kLeaseOver;
    worker.lease_until = std::max(worker.lease_until, order.lease_until);
    RunNumber& highest = worker.highest[order.task];
    if (order.run <= highest) return OrderVerdict::kStaleRun;
    highest = order.run;
    if (RunningNow(order.task) > 0) {
      violations.push_back("task runs twice at a time");
    }
    ++starts_on[order.worker];
    const int start = ++starts[order.task];
    const auto [length, end] = run_of(order.task, start);
    worker.runs[order.task] = {
        .number = order.run,
        .length = worker.hangs ? seconds(1000) : length * worker.slow_by,
        .end = worker.fails_all ? RunEnd::kFailed : end};
    CheckCapacity(worker);
    return OrderVerdict::kAccepted;
  }

  void CheckCapacity(const ModelWorker& worker) {
    Resources used;
    for (const auto& [name, run] : worker.runs) {
      const auto job = stored_jobs_.find(name.job);
      if (job == stored_jobs_.end()) continue;
      const StepSpec& spec =
          job->second.spec.steps[static_cast<std::size_t>(name.step)];
      Resources need = spec.need;
      if (spec.fills) need.cpu = MilliCores(0);
      used += need;
    }
    if (!used.FitsIn(worker.entry.capacity)) {
      violations.push_back("worker over its capacity");
    }
  }

  void Carry(const StopOrder& order) {
    ModelWorker& worker = workers_.at(order.worker);
    if (!worker.up || worker.cut) {
      dispatcher_->OnStopReply(order, {OrderVerdict::kUnanswered, {}}, now_,
                               now_);
      return;
    }
    RunNumber& highest = worker.highest[order.task];
    highest = std::max(highest, order.run);
    End(worker, order.task, RunEnd::kStopped);
    dispatcher_->OnStopReply(
        order, {OrderVerdict::kAccepted, worker.Clock(now_)}, now_, now_);
  }

  void Carry(const PaceOrder& order) {
    ModelWorker& worker = workers_.at(order.worker);
    const auto found = worker.runs.find(order.task);
    if (found != worker.runs.end()) found->second.pace = order.percent;
    dispatcher_->OnPaceReply(order, {OrderVerdict::kAccepted, {}});
  }

  void StoreRecords() {
    if (!dispatcher_->HasRecords()) return;
    const RecordBatch batch = dispatcher_->TakeRecords(90, WallNow());
    for (const JobProgress& each : batch.progress) {
      stored_progress_[each.id] = each;
    }
    for (const JobProgress& each : batch.ended) stored_ended_[each.id] = each;
    if (batch.roster_changed) stored_roster_ = batch.roster;
    dispatcher_->OnRecorded(batch);
  }

  Time now_ = kEpochStart;
  std::optional<Dispatcher> dispatcher_;
  std::map<WorkerId, ModelWorker> workers_;
  std::vector<std::pair<LeaseOrder, Time>> open_leases_;
  std::map<JobId, JobRecord> stored_jobs_;
  std::map<JobId, JobProgress> stored_progress_;
  std::map<JobId, JobProgress> stored_ended_;
  std::vector<RosterEntry> stored_roster_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_TEST_WORLD_H_
