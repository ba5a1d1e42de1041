#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/internal/interleaving.h"

namespace gypsumfall {
namespace {

constexpr std::int64_t kMilliCoresPerCore = 1000;

Resources Cores(int count) {
  return {MilliCores(kMilliCoresPerCore * count), MebiBytes(32000),
          Accelerators(0)};
}

JobSpec Tasks(int count, int cores, bool long_running = true) {
  JobSpec spec;
  spec.steps.push_back({.task_count = count,
                        .need = {MilliCores(kMilliCoresPerCore * cores),
                                 MebiBytes(100), Accelerators(0)},
                        .declared_run_time = milliseconds(400),
                        .long_running = long_running});
  return spec;
}

void RunUntilStopped(SimulatedCluster& cluster) {
  cluster.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
}

TaskName JobTask(int index) { return {JobId("job"), 0, 0, index}; }

// The even tasks of the job belong to shard 0, where the last of them finds no
// worker.
TaskName WaitingTask() { return JobTask(4); }

/// Two shards of which the second one has capacity left.
class TwoShards : public SimulatedShards {
 public:
  TwoShards() : SimulatedShards(2) {
    for (int i = 0; i < 2; ++i) RunUntilStopped(shard(i));
    shard(0).AddWorker(0, Cores(4));
    shard(1).AddWorker(0, Cores(16));
    Advance(milliseconds(100));
    Submit("job", Tasks(6, 2));
  }

  /// Gives the waiting task to shard 1. The transfer is not stored yet.
  void GiveWaitingTask() {
    offers_tasks = false;
    Advance(milliseconds(2500));
    REQUIRE(shard(0).dispatcher().TasksToTransfer(ShardId(1), now(), 16) ==
            std::vector{WaitingTask()});
    REQUIRE(shard(1).dispatcher().ReservePlace(WaitingTask(), now()));
    shard(0).dispatcher().TransferTask(WaitingTask(), ShardId(1));
  }

  /// Moves the tasks of shard 1 to shard 0, or those of shard 0 to shard 1.
  /// @param from shard that loses its workers while the other one gets one.
  void MoveTasksFrom(int from) {
    shard(1 - from).AddWorker(next_worker_++, Cores(16));
    for (int i = 0; i < next_worker_; ++i) {
      if (shard(from).workers().contains(WorkerId("w" + std::to_string(i))))
        shard(from).Crash(i);
    }
    // The leases expire within 6.3 s, and 2 s later the tasks are offered.
    Advance(seconds(12));
  }

 private:
  int next_worker_ = 1;
};

// Guards against a task that no shard runs, or that both run, when its own
// shard has no worker for it.
TEST_CASE("a task that finds no worker runs once in another shard") {
  TwoShards shards;
  shards.Advance(seconds(9));
  for (int i = 0; i < 6; ++i) CHECK(shards.RunningNow(JobTask(i)) == 1);
  CHECK(shards.shard(0).starts[WaitingTask()] == 0);
  CHECK(shards.shard(1).starts[WaitingTask()] == 1);
  CHECK(shards.transfer_count() == 1);
  CHECK(shards.Violations().empty());
}

// Guards against a long-running task that waits for ever, while others of its
// job run, because the worker it requires is in another shard.
TEST_CASE("each task of a job runs where its requirements are met") {
  SimulatedShards shards(2);
  JobSpec spec = Tasks(4, 2);
  spec.steps[0].required_label = WorkerLabel("b");
  SECTION("and one task on each worker") {
    spec.steps[0].max_per_worker = 1;
    shards.shard(0).AddWorker(0, Cores(16), "b");
    for (int k = 0; k < 3; ++k) shards.shard(1).AddWorker(k, Cores(16), "b");
  }
  SECTION("in a shard that is not the home of the job") {
    shards.shard(0).AddWorker(0, Cores(16));
    shards.shard(1).AddWorker(0, Cores(16), "b");
  }
  SECTION("for best-effort tasks") {
    spec.steps[0].best_effort = true;
    shards.shard(0).AddWorker(0, Cores(16));
    shards.shard(1).AddWorker(0, Cores(16), "b");
  }
  SECTION("for tasks whose data is in a rack of a shard without room") {
    spec.steps[0].required_label = WorkerLabel();
    spec.steps[0].data_rack = RackId("rack0");
    shards.shard(0).AddWorker(0, Cores(2));
    shards.shard(1).AddWorker(4, Cores(16));
  }
  for (int i = 0; i < 2; ++i) RunUntilStopped(shards.shard(i));
  shards.Advance(milliseconds(100));
  shards.SubmitAccepted(0, "job", spec);
  shards.Advance(seconds(6));
  for (int i = 0; i < 4; ++i) CHECK(shards.RunningNow(JobTask(i)) == 1);
  CHECK(shards.Violations().empty());
}

// Guards against a long-running task that waits for ever because short ones use
// all resources of the workers it requires, which are in another shard, as soon
// as they become free.
TEST_CASE("a task is transferred to a busy shard if only that can run it") {
  SimulatedShards shards(2);
  shards.shard(0).AddWorker(0, Cores(8));
  shards.shard(1).AddWorker(0, Cores(8), "b");
  for (int i = 0; i < 2; ++i) {
    shards.shard(i).run_of = [](const TaskName& task, int) {
      return std::pair{task.job == JobId("job") ? Duration(seconds(1000))
                                                : Duration(milliseconds(700)),
                       RunOutcome::kDone};
    };
  }
  shards.Advance(milliseconds(100));
  JobSpec spec = Tasks(2, 3);
  spec.steps[0].required_label = WorkerLabel("b");
  for (int i = 0; i < 100; ++i) {
    if (i == 10) shards.SubmitAccepted(0, "job", spec);
    shards.SubmitWhole(1, "short" + std::to_string(i), Tasks(1, 2, false));
    shards.Advance(milliseconds(100));
  }
  for (int i = 0; i < 2; ++i) CHECK(shards.RunningNow(JobTask(i)) == 1);
  CHECK(shards.Violations().empty());
}

// Guards against a task that both shards run because its transfer was lost with
// the leader, and against one that neither of them runs.
TEST_CASE("a transfer that was not stored leaves the task in its shard") {
  TwoShards shards;
  shards.GiveWaitingTask();
  shards.shard(0).store_available = false;
  shards.shard(0).AddWorker(1, Cores(4));
  shards.Advance(seconds(1));
  CHECK(shards.RunningNow(WaitingTask()) == 0);
  shards.TakeOver(0);
  shards.shard(0).store_available = true;
  shards.Advance(seconds(9));
  CHECK(shards.shard(0).RunningNow(WaitingTask()) == 1);
  CHECK(shards.shard(1).starts[WaitingTask()] == 0);
  CHECK(shards.shard(0).stored_transfers.empty());
  CHECK(shards.Violations().empty());
}

// Guards against a successor that runs a task which its predecessor gave away.
TEST_CASE("a successor keeps a transfer that was stored") {
  TwoShards shards;
  shards.SetReadsChanges(1, false);
  shards.GiveWaitingTask();
  shards.shard(0).StoreRecords();
  shards.TakeOver(0);
  shards.shard(0).AddWorker(1, Cores(4));
  shards.Advance(seconds(9));
  CHECK(shards.RunningNow(WaitingTask()) == 0);
  shards.SetReadsChanges(1, true);
  shards.Advance(seconds(1));
  CHECK(shards.shard(0).starts[WaitingTask()] == 0);
  CHECK(shards.shard(1).RunningNow(WaitingTask()) == 1);
  CHECK(shards.Violations().empty());
}

// Guards against a successor that stops or starts again a task that another
// shard gave to its predecessor.
TEST_CASE("a successor adopts the run of a task from another shard") {
  TwoShards shards;
  shards.Advance(seconds(9));
  REQUIRE(shards.shard(1).RunningNow(WaitingTask()) == 1);
  shards.TakeOver(1);
  shards.Advance(seconds(9));
  CHECK(shards.shard(1).RunningNow(WaitingTask()) == 1);
  CHECK(shards.shard(1).starts[WaitingTask()] == 1);
  CHECK(shards.Violations().empty());
}

// Guards against run numbers that a worker or a checkpoint of the task has seen
// before, in shards that have had several epochs.
TEST_CASE("run numbers rise when a task moves to another shard and back") {
  TwoShards shards;
  shards.TakeOver(1);
  shards.TakeOver(1);
  shards.TakeOver(1);
  shards.Advance(seconds(9));
  REQUIRE(shards.shard(1).RunningNow(WaitingTask()) == 1);
  const RunNumber first = shards.HighestRun(WaitingTask());
  shards.MoveTasksFrom(1);
  REQUIRE(shards.shard(0).RunningNow(WaitingTask()) == 1);
  const RunNumber second = shards.HighestRun(WaitingTask());
  CHECK(second > first);
  shards.TakeOver(0);
  shards.Advance(seconds(9));
  shards.TakeOver(0);
  shards.MoveTasksFrom(0);
  REQUIRE(shards.shard(1).RunningNow(WaitingTask()) == 1);
  CHECK(shards.HighestRun(WaitingTask()) > second);
  CHECK(shards.Violations().empty());
}

// Guards against a transfer that is read late or again and moves a task whose
// later transfer is known.
TEST_CASE("a transfer with a lower number changes nothing") {
  TwoShards shards;
  shards.Advance(seconds(9));
  REQUIRE(shards.shard(1).RunningNow(WaitingTask()) == 1);
  const TaskTransfer old = shards.shard(0).stored_transfers.at(WaitingTask());
  shards.MoveTasksFrom(1);
  REQUIRE(shards.shard(0).RunningNow(WaitingTask()) == 1);
  shards.shard(1).Restart(0);
  shards.shard(1).AddWorker(9, Cores(16));
  for (int i = 0; i < 2; ++i)
    shards.shard(i).dispatcher().ApplyTransfer(old, shards.now());
  shards.Advance(seconds(9));
  CHECK(shards.shard(0).RunningNow(WaitingTask()) == 1);
  CHECK(shards.shard(0).starts[WaitingTask()] == 1);
  CHECK(shards.shard(1).starts[WaitingTask()] == 1);
  CHECK(shards.Violations().empty());
}

// Guards against rows of transfers that stay in the store after their job, and
// against a run in the other shard that nobody stops.
TEST_CASE("a cancelled job removes its transfers and stops its runs") {
  TwoShards shards;
  shards.Advance(seconds(9));
  REQUIRE(shards.shard(1).RunningNow(WaitingTask()) == 1);
  REQUIRE(shards.shard(0).stored_transfers.size() == 1);
  SECTION("with the leader that stored the transfer") {
    shards.Cancel(JobId("job"));
  }
  SECTION("with a leader that does not know the job") {
    shards.SetReadsChanges(0, false);
    shards.Cancel(JobId("job"));
    shards.TakeOver(0);
  }
  SECTION("with the leader of the other shard replaced") {
    shards.SetReadsChanges(1, false);
    shards.Cancel(JobId("job"));
    shards.TakeOver(1);
  }
  shards.Advance(seconds(2));
  CHECK(shards.shard(0).stored_transfers.empty());
  for (int i = 0; i < 6; ++i) CHECK(shards.RunningNow(JobTask(i)) == 0);
}

// Guards against the row of a transfer that is on its way to the store while
// its job is cancelled.
TEST_CASE("a transfer that is stored after its job was cancelled is removed") {
  TwoShards shards;
  shards.GiveWaitingTask();
  Dispatcher& dispatcher = shards.shard(0).dispatcher();
  SECTION("not taken yet") {
    dispatcher.Cancel(JobId("job"), shards.now(), shards.shard(0).WallNow());
    const RecordBatch batch = dispatcher.TakeRecords(90);
    CHECK(batch.transfers.empty());
  }
  SECTION("in the batch that is being stored") {
    const RecordBatch batch = dispatcher.TakeRecords(90);
    REQUIRE(batch.transfers.size() == 1);
    dispatcher.Cancel(JobId("job"), shards.now(), shards.shard(0).WallNow());
    dispatcher.OnRecorded(batch);
    CHECK(dispatcher.TakeRecords(90).obsolete_transfers ==
          std::vector{WaitingTask()});
  }
}

// Guards against a second run of a task whose run of an earlier epoch goes on
// at a worker that the leader can not reach.
TEST_CASE("tasks of earlier epochs are offered once their runs are known") {
  TwoShards shards;
  shards.Advance(milliseconds(500));
  const TaskName running = JobTask(0);
  REQUIRE(shards.shard(0).RunningNow(running) == 1);
  shards.shard(0).worker(0).partitioned = true;
  shards.TakeOver(0);
  shards.offers_tasks = false;
  shards.Advance(seconds(5));
  CHECK(shards.shard(0)
            .dispatcher()
            .TasksToTransfer(ShardId(1), shards.now(), 16)
            .empty());
  shards.offers_tasks = true;
  shards.Advance(seconds(9));
  CHECK(shards.shard(1).RunningNow(running) == 1);
  CHECK(shards.Violations().empty());
}

// Guards against capacity that stays reserved for a task which another shard
// does not transfer.
TEST_CASE("a reservation for a transfer that does not come is dropped") {
  TwoShards shards;
  shards.offers_tasks = false;
  shards.shard(1).Submit(shards.shard(1).Record("fill", Tasks(1, 8)));
  shards.Advance(milliseconds(500));
  REQUIRE(
      shards.shard(1).dispatcher().ReservePlace(WaitingTask(), shards.now()));
  const TaskName next{JobId("next"), 0, 0, 0};
  shards.shard(1).Submit(shards.shard(1).Record("next", Tasks(1, 2, false)));
  shards.Advance(seconds(2));
  CHECK(shards.RunningNow(next) == 0);
  shards.Advance(milliseconds(1500));
  CHECK(shards.RunningNow(next) == 1);
}

// Guards against tasks that no shard can hold and that keep others, for which
// another shard has capacity, from being offered.
TEST_CASE("many unplaceable tasks do not keep a smaller one waiting") {
  const int shard_count = GENERATE(2, 3);
  SimulatedShards shards(shard_count);
  for (int i = 0; i < shard_count; ++i) RunUntilStopped(shards.shard(i));
  // Each shard runs one large task, and two full offers of tasks wait in it.
  // Only shard 1 has room for a small task of another shard.
  shards.shard(0).AddWorker(0, Cores(8));
  for (int i = 1; i < shard_count; ++i)
    shards.shard(i).AddWorker(0, Cores(i == 1 ? 10 : 9));
  shards.Advance(milliseconds(100));
  shards.Submit("large", Tasks(32 * shard_count, 8));
  shards.Advance(milliseconds(100));
  shards.Submit("small", Tasks(shard_count, 1));
  shards.Advance(seconds(9));
  for (int i = 0; i < shard_count; ++i)
    CHECK(shards.RunningNow({JobId("small"), 0, 0, i}) == 1);
}

// Time within which each task runs after the last fault if a worker has room
// for it: leases expire 6.3 s after a takeover, and a task whose earlier runs
// are known to have ended must run within 9 s.
constexpr Duration kRecoveryTime = milliseconds(15'300);
constexpr Duration kFaultTime = seconds(40);

/// Random faults in two or three shards whose capacity differs.
class Interleaving : RandomShards {
 public:
  explicit Interleaving(std::uint64_t seed) : RandomShards(seed, {}) {
    for (int i = 0; i < shards_.shard_count(); ++i) {
      SimulatedCluster& cluster = shards_.shard(i);
      cluster.run_of = [](const TaskName& task, int) {
        const bool is_short = task.job.str().starts_with("short");
        return std::pair{
            is_short ? Duration(milliseconds(800)) : Duration(seconds(1000)),
            RunOutcome::kDone};
      };
      const int workers = static_cast<int>(2 + Below(4));
      for (int k = 0; k < workers; ++k) {
        const int cores = static_cast<int>(4 + Below(20));
        cluster.AddWorker(k, Cores(cores));
        workers_.push_back({.shard = i, .index = k});
        capacity_ += cores;
      }
      shards_.SetReadsChanges(i, false);
    }
    shards_.reply_delay = [this] { return UpTo(milliseconds(500)); };
    shards_.Advance(milliseconds(100));
  }

  InterleavingReport Run() {
    SubmitJobs();
    const Time faults_end = shards_.now() + kFaultTime;
    while (shards_.now() < faults_end && !Failed()) {
      AddFaults();
      shards_.Advance(kSimulationStep);
    }
    EndFaults();
    const Time recovered = shards_.now() + kRecoveryTime;
    while (shards_.now() < recovered && !Failed())
      shards_.Advance(kSimulationStep);
    report_.violations = shards_.Violations();
    if (report_.violations.empty()) CheckAllTasksRun();
    report_.handovers = shards_.transfer_count();
    return report_;
  }

 private:
  struct WorkerRef {
    int shard = 0;
    int index = 0;
    Time heals_at = Time::max();
  };

  bool Failed() const { return !shards_.Violations().empty(); }

  SimulatedWorker& At(const WorkerRef& ref) {
    return shards_.shard(ref.shard).worker(ref.index);
  }

  void SubmitJobs() {
    // Between two thirds of the capacity and somewhat more than all of it.
    int demand = 0;
    const int wanted = capacity_ * static_cast<int>(65 + Below(40)) / 100;
    for (int i = 0; demand < wanted; ++i) {
      const int cores = static_cast<int>(1 + Below(4));
      const int count = static_cast<int>(1 + Below(10));
      const std::string id = "long" + std::to_string(i);
      specs_[JobId(id)] = Tasks(count, cores);
      shards_.Submit(id, specs_[JobId(id)]);
      demand += cores * count;
    }
  }

  void AddFaults() {
    HealWorkers();
    if (OneIn(300)) LoseWorker();
    if (OneIn(100)) FailRuns();
    if (OneIn(200)) {
      SimulatedWorker& worker = At(workers_[Below(workers_.size())]);
      worker.replies_to_lose = 1;
      worker.execute_unanswered = OneIn(2);
    }
    if (OneIn(1000)) CancelJob();
    if (OneIn(60)) SubmitShortJob();
    for (int i = 0; i < shards_.shard_count(); ++i) AddShardFaults(i);
  }

  void LoseWorker() {
    WorkerRef& ref = workers_[Below(workers_.size())];
    if (ref.heals_at != Time::max()) return;
    ++report_.faults;
    ref.heals_at = shards_.now() + UpTo(seconds(15));
    if (OneIn(2)) {
      At(ref).partitioned = true;
      return;
    }
    SimulatedCluster& cluster = shards_.shard(ref.shard);
    cluster.Crash(ref.index);
    if (OneIn(2))
      cluster.dispatcher().OnWorkerUnlisted(At(ref).entry.id, shards_.now());
  }

  void HealWorkers() {
    for (WorkerRef& ref : workers_) {
      if (shards_.now() < ref.heals_at) continue;
      ref.heals_at = Time::max();
      Heal(ref);
    }
  }

  void Heal(const WorkerRef& ref) {
    SimulatedWorker& worker = At(ref);
    worker.partitioned = false;
    worker.replies_to_lose = 0;
    SimulatedCluster& cluster = shards_.shard(ref.shard);
    if (!worker.alive) cluster.Restart(ref.index);
    cluster.dispatcher().OnWorkerListed(worker.entry, shards_.now());
  }

  /// Lets about half of the runs on a worker fail.
  void FailRuns() {
    ++report_.faults;
    SimulatedWorker& worker = At(workers_[Below(workers_.size())]);
    for (auto& [name, run] : worker.runs) {
      if (OneIn(2)) continue;
      run.end = RunOutcome::kFailed;
      run.run_time = run.done;
    }
  }

  void CancelJob() {
    auto job = specs_.begin();
    std::advance(job, Below(specs_.size()));
    if (job->first.str().starts_with("long") &&
        cancelled_.insert(job->first).second) {
      shards_.Cancel(job->first);
    }
  }

  void SubmitShortJob() {
    const std::string id = "short" + std::to_string(next_short_job_++);
    specs_[JobId(id)] = Tasks(static_cast<int>(1 + Below(3)), 1, false);
    const int home = static_cast<int>(
        Below(static_cast<std::uint64_t>(shards_.shard_count())));
    shards_.SubmitWhole(home, id, specs_[JobId(id)], 100);
  }

  void EndFaults() {
    for (const WorkerRef& ref : workers_) Heal(ref);
    EndShardFaults();
  }

  void CheckAllTasksRun() {
    for (const auto& [id, spec] : specs_) {
      if (!id.str().starts_with("long")) continue;
      const StepSpec& step = spec.steps[0];
      for (int i = 0; i < step.task_count; ++i) {
        const int runs = shards_.RunningNow({id, 0, 0, i});
        const std::string task = id.str() + "/" + std::to_string(i);
        if (cancelled_.contains(id)) {
          if (runs > 0)
            report_.violations.push_back(task + " runs, but is cancelled");
        } else if (runs == 0 && HasRoom(step.need)) {
          report_.violations.push_back(task + " does not run");
        }
      }
    }
  }

  bool HasRoom(const Resources& need) {
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](const WorkerRef& ref) {
                         Resources used;
                         for (const auto& [name, run] : At(ref).runs)
                           used += specs_.at(name.job).steps[0].need;
                         return need.FitsIn(At(ref).entry.capacity - used);
                       });
  }

  std::vector<WorkerRef> workers_;
  int capacity_ = 0;
  std::map<JobId, JobSpec> specs_;
  std::set<JobId> cancelled_;
  int next_short_job_ = 0;
};

void CheckSeeds(std::uint64_t seeds) {
  const InterleavingReport total = RunSeeds<Interleaving>(seeds);
  for (const std::string& violation : total.violations) FAIL_CHECK(violation);
  WARN(seeds << " seeds, " << total.faults << " faults, " << total.takeovers
             << " takeovers, " << total.handovers << " transfers");
  // Guards against a simulation without faults, takeovers or transfers.
  const int count = static_cast<int>(seeds);
  CHECK(total.faults > 10 * count);
  CHECK(total.takeovers > 5 * count);
  CHECK(total.handovers > 5 * count);
}

// Guards against a sequence of faults after which a task runs twice, on a full
// worker, with an old run number or not at all.
TEST_CASE("transfers keep the invariants under random faults") {
  CheckSeeds(20);
}

// The same check with more seeds, run before a release.
TEST_CASE("transfers keep the invariants for many seeds", "[.long]") {
  CheckSeeds(100);
}

}  // namespace
}  // namespace gypsumfall
