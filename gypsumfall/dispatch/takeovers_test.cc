#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

// A long-running task that has ended must run again within this time.
constexpr Duration kMaxRestartTime = seconds(9);
// Urgent work must start within this time.
constexpr Duration kMaxUrgentStartTime = milliseconds(3400);
// Time for which each of the leaders that follow each other leads.
constexpr Duration kShortTenure = milliseconds(1500);

JobSpec Tasks(int count, int cpu, bool long_running) {
  JobSpec spec;
  spec.steps.push_back(
      {.task_count = count,
       .need = {MilliCores(cpu), MebiBytes(100), Accelerators(0)},
       .declared_run_time = milliseconds(400)});
  spec.steps[0].long_running = long_running;
  return spec;
}

/// Jobs whose ids begin with "long" run until they are stopped.
void SetRunTimes(SimulatedCluster& cluster) {
  cluster.run_of = [](const TaskName& task, int) {
    const bool is_long = task.job.str().starts_with("long");
    return std::pair{Duration(is_long ? seconds(1000) : milliseconds(300)),
                     RunOutcome::kDone};
  };
}

/// The worker leaves and is removed from the worker list.
void Leave(SimulatedCluster& cluster, int index) {
  cluster.Crash(index);
  cluster.dispatcher().OnWorkerUnlisted(cluster.worker(index).entry.id,
                                        cluster.now());
}

/// @return the number of the worker on which the task runs, or -1.
int WorkerOf(SimulatedCluster& cluster, const TaskName& task, int workers) {
  for (int i = 0; i < workers; ++i) {
    if (cluster.worker(i).runs.contains(task)) return i;
  }
  return -1;
}

// Guards against a wait for workers that have left which begins anew with each
// leader, so that their tasks do not run while leaders follow each other.
TEST_CASE("a task runs again although leaders follow each other") {
  SimulatedCluster cluster(3);
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("long-a", Tasks(1, 3000, true)));
  cluster.Advance(seconds(1));
  const TaskName task{JobId("long-a"), 0, 0, 0};
  const int host = WorkerOf(cluster, task, 3);
  REQUIRE(host >= 0);
  SECTION("and its worker has left before") {
    Leave(cluster, host);
    cluster.Advance(milliseconds(200));
  }
  SECTION("and its worker leaves between two leaders") {
    cluster.TakeOver();
    cluster.Advance(milliseconds(500));
    Leave(cluster, host);
    cluster.TakeOver();
  }
  const Time left = cluster.now();
  while (cluster.RunningNow(task) == 0 && cluster.now() < left + seconds(20)) {
    cluster.Advance(kShortTenure);
    if (cluster.RunningNow(task) == 0) cluster.TakeOver();
  }
  CHECK(cluster.now() - left < kMaxRestartTime);
  CHECK(cluster.RunningNow(task) == 1);
  CHECK(cluster.violations.empty());
}

// Guards against a worker that left without a run and delays all tasks of the
// next leader until its lease has expired.
TEST_CASE("a worker that has left empty does not delay the next leader") {
  SimulatedCluster cluster(3);
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("short-a", Tasks(3, 5000, false)));
  cluster.Advance(milliseconds(200));
  cluster.Drain(0, seconds(2));
  cluster.Advance(seconds(2));
  REQUIRE(cluster.RunsOn(0) == 0);
  Leave(cluster, 0);
  cluster.Advance(milliseconds(100));
  cluster.Submit(cluster.Record("short-b", Tasks(1, 5000, false)));
  cluster.TakeOver();
  const TaskName task{JobId("short-b"), 0, 0, 0};
  const Time accepted = cluster.now();
  while (cluster.starts[task] == 0 && cluster.now() < accepted + seconds(10))
    cluster.Advance(milliseconds(10));
  CHECK(cluster.now() - accepted < kMaxUrgentStartTime);
  CHECK(cluster.violations.empty());
}

// Guards against long-running tasks that stay on a draining worker until they
// are stopped, because the leader waits for workers that have left before.
TEST_CASE("tasks leave a draining worker although others have left") {
  SimulatedCluster cluster(4);
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("long-a", Tasks(1, 3000, true)));
  cluster.Advance(seconds(1));
  const TaskName task{JobId("long-a"), 0, 0, 0};
  const int draining = WorkerOf(cluster, task, 4);
  REQUIRE(draining >= 0);
  const int empty = draining == 0 ? 1 : 0;
  cluster.Drain(empty, seconds(1));
  cluster.Advance(seconds(1));
  Leave(cluster, empty);
  cluster.Advance(milliseconds(100));
  cluster.TakeOver();
  cluster.Advance(milliseconds(500));
  cluster.Drain(draining, seconds(4));
  cluster.Advance(seconds(2));
  CHECK(cluster.RunsOn(draining) == 0);
  CHECK(cluster.RunningNow(task) == 1);
  CHECK(cluster.violations.empty());
}

// Guards against a run that makes no progress and is never moved, because the
// leader that has adopted it does not judge its progress.
TEST_CASE("a stalled run moves although the leader has changed") {
  SimulatedCluster cluster(2);
  SetRunTimes(cluster);
  cluster.worker(0).stalls_runs = cluster.worker(1).stalls_runs = true;
  cluster.Submit(cluster.Record("short-a", Tasks(1, 3000, false)));
  cluster.Advance(milliseconds(200));
  const TaskName task{JobId("short-a"), 0, 0, 0};
  const int stalled = WorkerOf(cluster, task, 2);
  REQUIRE(stalled >= 0);
  cluster.worker(1 - stalled).stalls_runs = false;
  cluster.TakeOver();
  cluster.Advance(seconds(10));
  CHECK(cluster.StateOf("short-a") == JobState::kCompleted);
  CHECK(cluster.violations.empty());
}

// Guards against tasks that are started again because their successful ends
// do not fit in the first report of their worker to the new leader.
TEST_CASE("a task whose end is reported later does not start again") {
  SimulatedCluster cluster(2);
  cluster.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(2)), RunOutcome::kDone};
  };
  const int count = static_cast<int>(kMaxListedCompletions) + 100;
  cluster.worker(1).partitioned = true;
  cluster.Advance(seconds(1));
  JobSpec spec = Tasks(count, 10, false);
  spec.steps[0].need.memory = MebiBytes(10);
  cluster.Submit(cluster.Record("short-a", spec));
  cluster.Advance(milliseconds(500));
  REQUIRE(cluster.RunsOn(0) == count);
  // The runs end while no leader reads them.
  cluster.worker(0).partitioned = true;
  cluster.Advance(seconds(2));
  REQUIRE(cluster.RunsOn(0) == 0);
  cluster.TakeOver();
  cluster.worker(0).partitioned = cluster.worker(1).partitioned = false;
  for (const int i : {0, 1})
    cluster.dispatcher().OnWorkerListed(cluster.worker(i).entry, cluster.now());
  cluster.Advance(seconds(3));
  CHECK(cluster.StateOf("short-a") == JobState::kCompleted);
  int started_again = 0;
  for (const auto& [task, starts] : cluster.starts) started_again += starts - 1;
  CHECK(started_again == 0);
}

// Guards against a second run beside one that a worker reported before its job
// was read, and that it has not stopped yet.
TEST_CASE("a job that is read late does not run beside its unexpected runs") {
  SimulatedCluster cluster(3);
  SetRunTimes(cluster);
  JobSpec spec = Tasks(2, 3000, true);
  spec.steps[0].gang = GENERATE(false, true);
  const JobRecord record = cluster.Record("long-a", spec);
  cluster.Submit(record);
  cluster.Advance(seconds(1));
  const TaskName first{record.id, 0, 0, 0};
  const TaskName second{record.id, 0, 0, 1};
  REQUIRE(cluster.RunningNow(first) == 1);
  const int host = WorkerOf(cluster, second, 3);
  REQUIRE(host >= 0);
  cluster.worker(host).stops_pending = true;
  cluster.unread_jobs = {record.id};
  cluster.TakeOver();
  cluster.Advance(milliseconds(300));
  REQUIRE(cluster.RunsOn(host) > 0);
  cluster.Submit(record);
  SECTION("the worker stops the run") {
    cluster.Advance(milliseconds(300));
    cluster.worker(host).stops_pending = false;
  }
  SECTION("the worker is lost") {
    cluster.Advance(milliseconds(10));
    cluster.Crash(host);
  }
  cluster.Advance(kMaxRestartTime);
  CHECK(cluster.RunningNow(first) == 1);
  CHECK(cluster.RunningNow(second) == 1);
  CHECK(cluster.violations.empty());
}

/// Answers all lease orders of the dispatcher as a worker without runs.
void AnswerLeaseOrders(Dispatcher& dispatcher, Time now) {
  for (const Order& order : dispatcher.Decide(now)) {
    const auto* lease = std::get_if<LeaseOrder>(&order);
    if (lease == nullptr) continue;
    LeaseReply reply;
    reply.verdict = OrderVerdict::kAccepted;
    reply.worker_clock = WorkerTime(seconds(50));
    reply.incarnation = WallTime(1);
    dispatcher.OnLeaseReply(*lease, reply, now, now, kWallClockStart);
  }
}

// Guards against a successor that removes all idle workers from the roster and
// adds them again, because they answer before the worker list is read.
TEST_CASE("no worker leaves the roster before the worker list is read") {
  Dispatcher dispatcher({}, Epoch(2), kSimulationStart);
  dispatcher.RestoreRoster({{WorkerId("w0"), "w0:1", std::nullopt}}, false,
                           kSimulationStart);
  AnswerLeaseOrders(dispatcher, kSimulationStart);
  dispatcher.Decide(kSimulationStart + milliseconds(100));
  CHECK(dispatcher.TakeRecords(90).empty());
}

// Guards against runs on a worker that was removed from the roster, for which
// no successor would wait.
TEST_CASE(
    "a worker that is removed from the roster is added before it is used") {
  SimulatedCluster cluster(1);
  WorkerEntry entry = cluster.worker(0).entry;
  // The move changes the roster while the worker is idle and drains.
  entry.draining = true;
  entry.endpoint = "w0:2";
  cluster.dispatcher().OnWorkerListed(entry, cluster.now());
  const RecordBatch removal = cluster.dispatcher().TakeRecords(90);
  REQUIRE(removal.removed_from_roster.size() == 1);
  cluster.dispatcher().OnRecorded(removal);
  entry.draining = false;
  cluster.dispatcher().OnWorkerListed(entry, cluster.now());
  CHECK(cluster.dispatcher().TakeRecords(90).roster_entries.size() == 1);
}

// Guards against a lease that is extended beyond the end that the roster still
// tells successors, which then start the task elsewhere.
TEST_CASE("a lease is not extended before successors know of it") {
  SimulatedCluster cluster(3);
  SetRunTimes(cluster);
  cluster.Submit(cluster.Record("long-a", Tasks(1, 3000, true)));
  cluster.Advance(seconds(1));
  const TaskName task{JobId("long-a"), 0, 0, 0};
  const int host = WorkerOf(cluster, task, 3);
  REQUIRE(host >= 0);
  cluster.worker(host).partitioned = true;
  cluster.TakeOver();
  cluster.Advance(seconds(1));
  // The worker answers while the store takes no change of the roster.
  cluster.store_available = false;
  cluster.worker(host).partitioned = false;
  cluster.Advance(seconds(5));
  cluster.worker(host).partitioned = true;
  cluster.TakeOver();
  cluster.store_available = true;
  cluster.Advance(seconds(10));
  CHECK(cluster.violations.empty());
  CHECK(cluster.RunningNow(task) == 1);
}

// Guards against a shorter wait that lets a task run twice: a worker that is
// cut off keeps its runs until its lease has expired on its own clock.
TEST_CASE("no task runs twice while leaders and cuts follow each other") {
  constexpr int kWorkers = 4;
  const int seed = GENERATE(range(1, 51));
  std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
  const auto draw = [&random](int count) {
    return static_cast<int>(random() % static_cast<unsigned>(count));
  };
  SimulatedCluster cluster(kWorkers);
  SetRunTimes(cluster);
  for (int i = 0; i < kWorkers; ++i)
    cluster.worker(i).clock_rate = i % 2 == 0 ? 0.98 : 1.0;
  cluster.Submit(cluster.Record("long-a", Tasks(4, 2000, true)));
  cluster.Submit(cluster.Record("short-a", Tasks(20, 2000, false), 10));
  for (int event = 0; event < 30; ++event) {
    cluster.Advance(milliseconds(100 * (1 + draw(20))));
    cluster.store_available = true;
    SimulatedWorker& worker = cluster.worker(draw(kWorkers));
    switch (draw(8)) {
      case 0:
      case 1:
        cluster.TakeOver(draw(2) == 0 ? Duration{0} : seconds(3));
        break;
      case 2:
        worker.partitioned = true;
        break;
      case 3:
        worker.partitioned = false;
        cluster.dispatcher().OnWorkerListed(worker.entry, cluster.now());
        break;
      case 4:
        cluster.dispatcher().OnWorkerUnlisted(worker.entry.id, cluster.now());
        break;
      case 5:
        // Nothing is stored before the next event, which may be a takeover.
        cluster.store_available = false;
        break;
      case 6: {
        // An answer between two cuts extends the lease, if it may be extended.
        cluster.store_available = false;
        worker.partitioned = false;
        cluster.Advance(milliseconds(900));
        worker.partitioned = true;
        break;
      }
      default:
        worker.entry.draining = !worker.entry.draining;
        worker.entry.remaining = seconds(3);
        if (!worker.partitioned)
          cluster.dispatcher().OnWorkerListed(worker.entry, cluster.now());
        break;
    }
  }
  INFO("seed " << seed);
  CHECK(cluster.violations.empty());
  cluster.store_available = true;
  for (int i = 0; i < kWorkers; ++i) {
    SimulatedWorker& worker = cluster.worker(i);
    worker.partitioned = worker.entry.draining = false;
    cluster.dispatcher().OnWorkerListed(worker.entry, cluster.now());
  }
  cluster.Advance(seconds(20));
  CHECK(cluster.violations.empty());
  for (int i = 0; i < 4; ++i)
    CHECK(cluster.RunningNow({JobId("long-a"), 0, 0, i}) == 1);
  CHECK(cluster.StateOf("short-a") == JobState::kCompleted);
}

}  // namespace
}  // namespace gypsumfall
