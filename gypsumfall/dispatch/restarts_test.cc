#include <algorithm>
#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

// More start orders than a test sends.
constexpr int kAllStarts = 1'000'000;
// A long-running task that has ended must run again within this time.
constexpr Duration kMaxRestartTime = seconds(9);

JobSpec Tasks(int count, int cpu, bool long_running) {
  JobSpec spec;
  spec.steps.push_back(
      {.task_count = count,
       .need = {MilliCores(cpu), MebiBytes(100), Accelerators(0)},
       .declared_run_time = milliseconds(400)});
  spec.steps[0].long_running = long_running;
  return spec;
}

/// Jobs whose ids begin with "long" run until they are stopped, but the first
/// run of "long-failing" fails after 3 s. Others run for 2 s.
void SetRunTimes(SimulatedCluster& cluster) {
  cluster.run_of = [](const TaskName& task, int start) {
    if (task.job == JobId("long-failing") && start == 1)
      return std::pair{Duration(seconds(3)), RunOutcome::kFailed};
    const bool is_long = task.job.str().starts_with("long");
    return std::pair{Duration(is_long ? seconds(1000) : seconds(2)),
                     RunOutcome::kDone};
  };
}

/// @return the longest time without a run of the task while `duration` passes.
Duration LongestGap(SimulatedCluster& cluster, const TaskName& task,
                    Duration duration) {
  Duration longest{0};
  Duration gap{0};
  for (Duration passed{0}; passed < duration; passed += milliseconds(10)) {
    cluster.Advance(milliseconds(10));
    gap = cluster.RunningNow(task) == 1 ? Duration{0} : gap + milliseconds(10);
    longest = std::max(longest, gap);
  }
  return longest;
}

// Guards against a failed long-running task whose capacity goes to other
// long-running tasks, which never return it.
TEST_CASE("a failed long-running task starts again beside waiting ones") {
  SimulatedCluster cluster(2);
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("long-failing", Tasks(1, 6000, true)));
  cluster.Submit(cluster.Record("long-full", Tasks(1, 8000, true)));
  cluster.Advance(milliseconds(2700));
  const TaskName failing{JobId("long-failing"), 0, 0, 0};
  REQUIRE(cluster.RunningNow(failing) == 1);
  // Has waited for less than its objective when the other task fails.
  cluster.Submit(cluster.Record("long-waiting", Tasks(2, 3000, true)));
  CHECK(LongestGap(cluster, failing, seconds(20)) < kMaxRestartTime);
  CHECK(cluster.starts[failing] == 2);
  CHECK(cluster.violations.empty());
}

// Guards against a failed long-running task that starves below a steady load of
// higher priority.
TEST_CASE("a failed long-running task starts again below urgent load") {
  SimulatedCluster cluster(2);
  SetRunTimes(cluster);
  JobRecord failing_job = cluster.Record("long-failing", Tasks(1, 6000, true));
  failing_job.terms.priority = 2;
  cluster.Submit(failing_job);
  cluster.Submit(cluster.Record("long-full", Tasks(1, 8000, true)));
  cluster.Advance(milliseconds(500));
  const TaskName failing{JobId("long-failing"), 0, 0, 0};
  REQUIRE(cluster.RunningNow(failing) == 1);
  for (int i = 0; i < 24; ++i) {
    cluster.Submit(
        cluster.Record("short" + std::to_string(i), Tasks(2, 2000, false)));
    cluster.Advance(milliseconds(500));
  }
  CHECK(cluster.RunningNow(failing) == 1);
  CHECK(cluster.starts[failing] == 2);
  CHECK(cluster.violations.empty());
}

TaskName FailingTask() { return {JobId("long-failing"), 0, 0, 0}; }

// Workers in the tests of takeovers. Four of them hold a run, and one of the
// others can replace each of two that are lost.
constexpr int kWorkerCount = 6;

/// @return the index of the worker on which the task runs.
int WorkerOf(SimulatedCluster& cluster, const TaskName& task) {
  for (int i = 0; i < kWorkerCount; ++i) {
    if (cluster.worker(i).runs.contains(task)) return i;
  }
  FAIL("the task does not run");
  return -1;
}

/// Advances until the first run of `FailingTask()` has 0.5 s left. Three other
/// tasks run on other workers.
void AdvanceToFailure(SimulatedCluster& cluster) {
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("long-failing", Tasks(1, 5000, true)));
  cluster.Submit(cluster.Record("long-other", Tasks(3, 5000, true)));
  cluster.Advance(milliseconds(2510));
}

// Guards against a task that waits for the lease of an unreachable worker
// although its only run was on a worker that has reported.
TEST_CASE("a successor restarts an adopted task beside unreachable workers") {
  SimulatedCluster cluster(kWorkerCount);
  AdvanceToFailure(cluster);
  const int unreachable =
      WorkerOf(cluster, {JobId("long-other"), 0, 0, GENERATE(0, 1, 2)});
  if (GENERATE(false, true)) {
    cluster.Crash(unreachable);
  } else {
    cluster.worker(unreachable).partitioned = true;
  }
  cluster.TakeOver();
  CHECK(LongestGap(cluster, FailingTask(), seconds(12)) <= milliseconds(100));
  CHECK(cluster.starts[FailingTask()] == 2);
  for (int i = 0; i < 3; ++i) {
    CHECK(cluster.RunningNow({JobId("long-other"), 0, 0, i}) == 1);
  }
  CHECK(cluster.violations.empty());
}

// Guards against a second run of an adopted task whose worker became
// unreachable before or after it reported.
TEST_CASE("a successor waits for the lease of an adopted task's worker") {
  SimulatedCluster cluster(kWorkerCount);
  AdvanceToFailure(cluster);
  const Duration reported = GENERATE(milliseconds(0), milliseconds(200));
  const int failing_on = WorkerOf(cluster, FailingTask());
  // Its run goes on until the lease has expired.
  cluster.worker(failing_on).runs.at(FailingTask()).run_time = seconds(1000);
  cluster.Crash(WorkerOf(cluster, {JobId("long-other"), 0, 0, 0}));
  cluster.TakeOver();
  cluster.Advance(reported);
  cluster.worker(failing_on).partitioned = true;
  CHECK(LongestGap(cluster, FailingTask(), seconds(12)) < kMaxRestartTime);
  CHECK(cluster.starts[FailingTask()] == 2);
  CHECK(cluster.violations.empty());
}

// Guards against a restart while a predecessor may still start the task on a
// worker that has not reported.
TEST_CASE("a successor with predecessor slack waits for unreachable workers") {
  SimulatedCluster cluster(kWorkerCount);
  AdvanceToFailure(cluster);
  cluster.Crash(WorkerOf(cluster, {JobId("long-other"), 0, 0, 0}));
  cluster.TakeOver(seconds(3));
  cluster.Advance(seconds(9));
  CHECK(cluster.starts[FailingTask()] == 1);
  cluster.Advance(seconds(1));
  CHECK(cluster.RunningNow(FailingTask()) == 1);
  CHECK(cluster.violations.empty());
}

// Guards against a second run of a task of finite length that is done on a
// worker that has not reported.
TEST_CASE("a successor restarts no finite task beside unreachable workers") {
  SimulatedCluster cluster(kWorkerCount);
  cluster.run_of = [](const TaskName&, int start) {
    return std::pair{Duration(seconds(3)),
                     start == 1 ? RunOutcome::kFailed : RunOutcome::kDone};
  };
  cluster.Submit(cluster.Record("finite", Tasks(1, 5000, false)));
  cluster.Advance(milliseconds(2510));
  const TaskName finite{JobId("finite"), 0, 0, 0};
  cluster.Crash((WorkerOf(cluster, finite) + 1) % kWorkerCount);
  cluster.TakeOver();
  cluster.Advance(seconds(5));
  CHECK(cluster.starts[finite] == 1);
  cluster.Advance(seconds(5));
  CHECK(cluster.StateOf("finite") == JobState::kCompleted);
  CHECK(cluster.violations.empty());
}

// Guards against a second run of a member of a gang on a worker that has not
// reported.
TEST_CASE("a successor restarts no gang beside unreachable workers") {
  SimulatedCluster cluster(kWorkerCount);
  cluster.run_of = [](const TaskName& task, int start) {
    if (task.index == 0 && start == 1)
      return std::pair{Duration(seconds(3)), RunOutcome::kFailed};
    return std::pair{Duration(seconds(20)), RunOutcome::kDone};
  };
  JobSpec spec = Tasks(2, 5000, GENERATE(false, true));
  spec.steps[0].gang = true;
  cluster.Submit(cluster.Record("gang", spec));
  cluster.Advance(milliseconds(2510));
  cluster.worker(WorkerOf(cluster, {JobId("gang"), 0, 0, 1})).partitioned =
      true;
  cluster.TakeOver();
  cluster.Advance(seconds(10));
  CHECK(cluster.starts[{JobId("gang"), 0, 0, 0}] == 2);
  CHECK(cluster.RunningNow({JobId("gang"), 0, 0, 0}) == 1);
  CHECK(cluster.violations.empty());
}

// Guards against a task that waits for several lease calls in turn until a run
// that was never reported is given up.
TEST_CASE("a start order that is not answered is soon given up") {
  SimulatedCluster cluster(1);
  SetRunTimes(cluster);
  // The lease call that is open when the task starts has begun at any time.
  cluster.Advance(GENERATE(range(0, 10)) * milliseconds(200));
  cluster.worker(0).replies_to_lose = 1;
  cluster.worker(0).execute_unanswered = false;
  cluster.Submit(cluster.Record("long", Tasks(1, 5000, true)));
  cluster.Advance(milliseconds(3200));
  CHECK(cluster.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(cluster.violations.empty());
}

/// A fault of a worker that answers lease calls.
enum class Fault {
  kFailsRuns,
  /// Other runs succeed, so that the worker does not look unhealthy.
  kFailsLongRunning,
  kRefusesStarts,
  kIgnoresStarts,
};

void Break(SimulatedWorker& worker, Fault fault) {
  worker.fails_all_runs = fault == Fault::kFailsRuns;
  if (fault == Fault::kFailsRuns || fault == Fault::kFailsLongRunning)
    worker.long_running_fail_after = milliseconds(50);
  worker.starts_to_refuse = fault == Fault::kRefusesStarts ? kAllStarts : 0;
  if (fault != Fault::kIgnoresStarts) return;
  worker.replies_to_lose = 1000;
  worker.execute_unanswered = false;
}

/// Makes a cluster of one worker with 8 cores, the last one, and of workers
/// with 6 cores and a fault, which a task of 5 cores prefers because it leaves
/// less unused.
struct BrokenCluster : SimulatedCluster {
  BrokenCluster(Fault fault, int broken_workers)
      : SimulatedCluster(broken_workers,
                         {MilliCores(6000), MebiBytes(300), Accelerators(0)}),
        healthy(broken_workers) {
    for (int i = 0; i < broken_workers; ++i) Break(worker(i), fault);
    AddWorker(healthy, {MilliCores(8000), MebiBytes(8000), Accelerators(0)});
    Advance(milliseconds(100));
    run_of = [](const TaskName& task, int) {
      const bool is_long = task.job.str().starts_with("long");
      return std::pair{is_long ? Duration(seconds(1000)) : milliseconds(600),
                       RunOutcome::kDone};
    };
  }

  int healthy;
};

constexpr std::initializer_list<Fault> kFaults = {
    Fault::kFailsRuns, Fault::kFailsLongRunning, Fault::kRefusesStarts,
    Fault::kIgnoresStarts};

// Guards against a task that is started on workers with a fault in turn, while
// another worker is free.
TEST_CASE("a long-running task finds the free worker beside broken ones") {
  const Fault fault = GENERATE(values(kFaults));
  BrokenCluster cluster(fault, GENERATE(1, 2, 3));
  const TaskName task{JobId("long"), 0, 0, 0};
  cluster.Submit(cluster.Record("long", Tasks(1, 5000, true)));
  cluster.Advance(kMaxRestartTime);
  CHECK(cluster.worker(cluster.healthy).runs.contains(task));
  CHECK(cluster.violations.empty());
}

// Guards against a wait that starts anew with each refused start and each short
// run, so that no worker is ever reserved.
TEST_CASE("a long-running task gets a worker reserved beside broken ones") {
  BrokenCluster cluster(GENERATE(values(kFaults)), 1);
  const TaskName task{JobId("long"), 0, 0, 0};
  // More memory than the broken worker has keeps the other tasks off it.
  const int memory = GENERATE(100, 500);
  const Duration run_time = GENERATE(milliseconds(600), milliseconds(4000));
  cluster.run_of = [run_time](const TaskName& name, int) {
    const bool is_long = name.job.str().starts_with("long");
    return std::pair{is_long ? Duration(seconds(1000)) : run_time,
                     RunOutcome::kDone};
  };
  JobSpec short_task = Tasks(1, 2000, false);
  short_task.steps[0].need.memory = MebiBytes(memory);
  short_task.steps[0].declared_run_time = run_time;
  Duration passed{0};
  for (int i = 0; passed < seconds(2) + kMaxRestartTime; ++i) {
    // Requests more than the healthy worker has.
    cluster.Submit(cluster.Record("short" + std::to_string(i), short_task));
    if (passed == seconds(2))
      cluster.Submit(cluster.Record("long", Tasks(1, 5000, true)));
    cluster.Advance(milliseconds(100));
    passed += milliseconds(100);
  }
  CHECK(cluster.worker(cluster.healthy).runs.contains(task));
  CHECK(cluster.violations.empty());
}

// Guards against a task that no other shard is asked to take, because it is
// started on a broken worker again and again.
TEST_CASE("a long-running task is transferred from broken workers") {
  BrokenCluster cluster(GENERATE(values(kFaults)), 1);
  cluster.Submit(cluster.Record("long-full", Tasks(1, 8000, true)));
  cluster.Advance(milliseconds(100));
  REQUIRE(cluster.RunsOn(cluster.healthy) == 1);
  cluster.Submit(cluster.Record("long", Tasks(1, 5000, true)),
                 {.first = 0, .stride = 2});
  bool transferable = false;
  for (Duration passed{0}; passed < kMaxRestartTime;
       passed += milliseconds(500)) {
    cluster.Advance(milliseconds(500));
    if (!cluster.dispatcher()
             .TasksToTransfer(ShardId(1), cluster.now(), 1)
             .empty())
      transferable = true;
  }
  CHECK(transferable);
  CHECK(cluster.violations.empty());
}

// Guards against a task that no longer runs on the only worker that can hold
// it, because its runs have failed there.
TEST_CASE("a long-running task is tried again on the only worker") {
  SimulatedCluster cluster(1);
  const Fault fault = GENERATE(values(kFaults));
  Break(cluster.worker(0), fault);
  const TaskName task{JobId("long"), 0, 0, 0};
  cluster.Submit(cluster.Record("long", Tasks(1, 5000, true)));
  cluster.Advance(seconds(6));
  cluster.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
  SimulatedWorker& worker = cluster.worker(0);
  worker.fails_all_runs = false;
  worker.starts_to_refuse = 0;
  worker.replies_to_lose = 0;
  worker.long_running_fail_after.reset();
  cluster.Advance(seconds(5));
  CHECK(cluster.RunningNow(task) == 1);
  CHECK(cluster.violations.empty());
}

// Guards against a task that waits for its transfer from the end of the lease,
// although its worker has not answered for most of a lease by then.
TEST_CASE("a long-running task of a crashed worker is transferred in time") {
  SimulatedCluster cluster(2);
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("long-full", Tasks(1, 8000, true)));
  cluster.Submit(cluster.Record("long", Tasks(1, 5000, true)),
                 {.first = 0, .stride = 2});
  const TaskName task{JobId("long"), 0, 0, 0};
  cluster.Advance(seconds(5));
  REQUIRE(cluster.RunningNow(task) == 1);
  cluster.Crash(cluster.worker(0).runs.contains(task) ? 0 : 1);
  // Two seconds are left to find a place, to store the transfer and to read it.
  cluster.Advance(kMaxRestartTime - seconds(2));
  CHECK(cluster.dispatcher()
            .TasksToTransfer(ShardId(1), cluster.now(), 1)
            .size() == 1);
}

// Guards against a failed long-running task that loses its place because
// another run failed on the worker long before. Only short runs that are done
// lower the failure score, and such a worker has none.
TEST_CASE("an old failure on the worker does not cost a task its place") {
  SimulatedCluster cluster(1);
  cluster.run_of = [](const TaskName& task, int start) {
    if (task.job == JobId("long-first") && start == 1)
      return std::pair{Duration(seconds(3)), RunOutcome::kFailed};
    if (task.job == JobId("long-second") && start == 1)
      return std::pair{Duration(seconds(33)), RunOutcome::kFailed};
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
  cluster.Submit(cluster.Record("long-first", Tasks(1, 2000, true)));
  cluster.Submit(cluster.Record("long-second", Tasks(1, 6000, true)));
  cluster.Advance(milliseconds(32500));
  const TaskName second{JobId("long-second"), 0, 0, 0};
  REQUIRE(cluster.RunningNow(second) == 1);
  cluster.Submit(cluster.Record("long-waiting", Tasks(2, 3000, true)));
  CHECK(LongestGap(cluster, second, seconds(20)) < kMaxRestartTime);
  CHECK(cluster.violations.empty());
}

// Guards against a place that is given up while the successor may not start
// tasks of earlier epochs yet, and goes to a job of its own epoch.
TEST_CASE("a place is kept until the runs of earlier epochs are known") {
  SimulatedCluster cluster(2);
  cluster.run_of = [](const TaskName& task, int start) {
    if (task.job == JobId("long-failing") && start == 1)
      return std::pair{Duration(milliseconds(2500)), RunOutcome::kFailed};
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
  cluster.Submit(cluster.Record("long-failing", Tasks(1, 6000, true)));
  cluster.Submit(cluster.Record("long-full", Tasks(1, 8000, true)));
  cluster.Advance(seconds(2));
  const TaskName failing{JobId("long-failing"), 0, 0, 0};
  const TaskName full{JobId("long-full"), 0, 0, 0};
  REQUIRE(cluster.RunningNow(failing) == 1);
  REQUIRE(cluster.RunningNow(full) == 1);
  const int other = cluster.worker(0).runs.contains(full) ? 0 : 1;
  cluster.Crash(other);
  cluster.TakeOver();
  cluster.Advance(milliseconds(300));
  cluster.Submit(cluster.Record("long-waiting", Tasks(2, 3000, true)));
  CHECK(LongestGap(cluster, failing, seconds(20)) < kMaxRestartTime);
  CHECK(cluster.violations.empty());
}

// Guards against kept places of a gang that are given up because one member
// finds no worker for a moment.
TEST_CASE("the members of a broken gang keep their places") {
  SimulatedCluster cluster(3);
  cluster.run_of = [&](const TaskName& task, int start) {
    if (task.job == JobId("long-gang") && start == 1)
      return std::pair{Duration(seconds(3)), RunOutcome::kGangBroken};
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
  JobSpec gang = Tasks(2, 6000, true);
  gang.steps[0].gang = true;
  cluster.Submit(cluster.Record("long-gang", gang));
  cluster.Advance(milliseconds(200));
  cluster.Submit(cluster.Record("long-full", Tasks(1, 8000, true)));
  cluster.Advance(milliseconds(2300));
  const TaskName first{JobId("long-gang"), 0, 0, 0};
  const TaskName second{JobId("long-gang"), 0, 0, 1};
  REQUIRE(cluster.RunningNow(first) == 1);
  int leaving = -1;
  for (int i = 0; i < 3; ++i) {
    if (cluster.worker(i).runs.contains(second)) leaving = i;
  }
  REQUIRE(leaving >= 0);
  cluster.Drain(leaving, seconds(10));
  cluster.Submit(cluster.Record("long-waiting", Tasks(2, 3000, true)));
  cluster.Advance(seconds(2));
  REQUIRE(cluster.RunningNow(first) == 0);
  cluster.AddWorker(3, {MilliCores(8000), MebiBytes(8000), Accelerators(0)});
  CHECK(LongestGap(cluster, first, seconds(20)) < kMaxRestartTime);
  CHECK(cluster.violations.empty());
}

// Guards against a place that goes to another task because the first start
// order there is refused.
TEST_CASE("a refused restart does not cost a task its place") {
  SimulatedCluster cluster(1);
  cluster.run_of = [&](const TaskName& task, int start) {
    if (task.job == JobId("long-failing") && start == 1)
      return std::pair{Duration(seconds(3)), RunOutcome::kFailed};
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
  cluster.Submit(cluster.Record("long-failing", Tasks(1, 6000, true)));
  cluster.Advance(milliseconds(2600));
  const TaskName failing{JobId("long-failing"), 0, 0, 0};
  REQUIRE(cluster.RunningNow(failing) == 1);
  cluster.Submit(cluster.Record("long-waiting", Tasks(2, 3000, true)));
  cluster.Advance(milliseconds(300));
  cluster.worker(0).starts_to_refuse = 1;
  CHECK(LongestGap(cluster, failing, seconds(20)) < kMaxRestartTime);
  CHECK(cluster.violations.empty());
}

constexpr Resources kSmallCapacity = {MilliCores(3000), MebiBytes(8000),
                                      Accelerators(0)};

/// Order in which the scheduler hears of a new incarnation.
enum class RestartNews {
  kReplyFirst,
  kEntryFirst,
  /// The new entry, then one of the former incarnation, then a reply.
  kLateEntryBeforeReply,
  /// The new entry and a reply, then an entry of the former incarnation.
  kLateEntryAfterReply,
};

/// Keeps enough tasks of 1 core waiting to fill the worker.
void KeepBusy(SimulatedCluster& cluster, Duration duration) {
  for (Duration passed{0}; passed < duration; passed += milliseconds(100)) {
    cluster.Submit(cluster.Record(
        "job" + std::to_string(cluster.now().time_since_epoch().count()),
        Tasks(2, 1000, false)));
    cluster.Advance(milliseconds(100));
  }
}

/// Restarts worker 0 with `kSmallCapacity`.
void RestartSmaller(SimulatedCluster& cluster, RestartNews news) {
  SimulatedWorker& worker = cluster.worker(0);
  const WorkerEntry former = worker.entry;
  cluster.Crash(0);
  cluster.StartIncarnation(0);
  worker.entry.capacity = kSmallCapacity;
  // A partition keeps back the replies; no lease call fails meanwhile.
  worker.partitioned = news != RestartNews::kReplyFirst;
  if (news == RestartNews::kReplyFirst) KeepBusy(cluster, seconds(3));
  cluster.dispatcher().OnWorkerListed(worker.entry, cluster.now());
  if (news == RestartNews::kLateEntryBeforeReply)
    cluster.dispatcher().OnWorkerListed(former, cluster.now());
  KeepBusy(cluster, milliseconds(200));
  worker.partitioned = false;
  if (news != RestartNews::kLateEntryAfterReply) return;
  KeepBusy(cluster, seconds(3));
  cluster.dispatcher().OnWorkerListed(former, cluster.now());
}

// Guards against starts by the capacity of a former incarnation, in each order
// in which the list and the replies tell of the new one.
TEST_CASE("a worker that restarts smaller is not filled by its old capacity") {
  SimulatedCluster cluster(1);
  SetRunTimes(cluster);
  KeepBusy(cluster, seconds(2));
  REQUIRE(cluster.RunsOn(0) == 8);
  RestartSmaller(cluster,
                 GENERATE(RestartNews::kReplyFirst, RestartNews::kEntryFirst,
                          RestartNews::kLateEntryBeforeReply,
                          RestartNews::kLateEntryAfterReply));
  KeepBusy(cluster, seconds(2));
  CHECK(cluster.violations.empty());
  // The worker is in use again.
  CHECK(cluster.RunsOn(0) == 3);
}

// Guards against a successor that joins the entry of a former incarnation with
// the replies of the new one.
TEST_CASE("a successor ignores the entry of a former incarnation") {
  SimulatedCluster cluster(1);
  SetRunTimes(cluster);
  KeepBusy(cluster, seconds(1));
  const WorkerEntry former = cluster.worker(0).entry;
  cluster.Crash(0);
  cluster.TakeOver();
  cluster.StartIncarnation(0);
  cluster.worker(0).entry.capacity = kSmallCapacity;
  cluster.dispatcher().OnWorkerListed(former, cluster.now());
  KeepBusy(cluster, seconds(2));
  CHECK(cluster.RunsOn(0) == 0);
  cluster.dispatcher().OnWorkerListed(cluster.worker(0).entry, cluster.now());
  KeepBusy(cluster, seconds(1));
  CHECK(cluster.RunsOn(0) == 3);
  CHECK(cluster.violations.empty());
}

// Guards against starts on a restarted worker whose entries do not name the
// incarnation, so that one of a former incarnation cannot be told.
TEST_CASE("an entry without incarnation counts until the worker restarts") {
  SimulatedCluster cluster(1);
  SetRunTimes(cluster);
  WorkerEntry unnamed = cluster.worker(0).entry;
  unnamed.incarnation.reset();
  cluster.dispatcher().OnWorkerListed(unnamed, cluster.now());
  KeepBusy(cluster, seconds(2));
  REQUIRE(cluster.RunsOn(0) == 8);
  cluster.Crash(0);
  cluster.StartIncarnation(0);
  KeepBusy(cluster, seconds(3));
  cluster.dispatcher().OnWorkerListed(unnamed, cluster.now());
  KeepBusy(cluster, seconds(1));
  CHECK(cluster.RunsOn(0) == 0);
}

// Guards against a worker that gets no work any more because the clock of its
// machine was set back, so that its new entry looks older than the former one.
TEST_CASE("a worker that restarts with an earlier clock gets work again") {
  SimulatedCluster cluster(1);
  SetRunTimes(cluster);
  KeepBusy(cluster, seconds(1));
  SimulatedWorker& worker = cluster.worker(0);
  cluster.Crash(0);
  cluster.StartIncarnation(0);
  worker.incarnation = WallTime(-5);
  worker.entry.incarnation = worker.incarnation;
  worker.entry.capacity = kSmallCapacity;
  // Heartbeats repeat the entry.
  for (int i = 0; i < 4; ++i) {
    cluster.dispatcher().OnWorkerListed(worker.entry, cluster.now());
    KeepBusy(cluster, seconds(1));
  }
  CHECK(cluster.RunsOn(0) == 3);
  CHECK(cluster.violations.empty());
}

// Guards against a long pause of a worker that restarts as it was.
TEST_CASE("a restarted worker gets work soon after its entry") {
  SimulatedCluster cluster(1);
  SetRunTimes(cluster);
  cluster.Advance(seconds(1));
  cluster.Crash(0);
  cluster.Advance(milliseconds(200));
  cluster.Restart(0);
  cluster.Submit(cluster.Record("a", Tasks(1, 1000, false)));
  cluster.Advance(seconds(2));
  CHECK(cluster.RunsOn(0) == 1);
  CHECK(cluster.violations.empty());
}

}  // namespace
}  // namespace gypsumfall
