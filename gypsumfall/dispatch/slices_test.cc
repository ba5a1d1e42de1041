#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

constexpr JobSlice kOddTasks{.first = 1, .stride = 2};

JobSpec ServingJob(int tasks) {
  JobSpec spec;
  spec.steps.push_back({.task_count = tasks,
                        .need = {MilliCores(1000), MebiBytes(1000), {}},
                        .long_running = true});
  return spec;
}

void RunUntilStopped(SimulatedCluster& cluster) {
  cluster.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
  };
}

// Guards against a task that runs in two shards.
TEST_CASE("only the tasks of a slice are started") {
  SimulatedCluster cluster(2);
  RunUntilStopped(cluster);
  cluster.Submit(cluster.Record("job", ServingJob(6)), kOddTasks);
  cluster.Advance(seconds(2));
  CHECK(cluster.starts.size() == 3);
  for (const auto& [task, count] : cluster.starts) {
    CHECK(task.index % 2 == 1);
    CHECK(count == 1);
  }
  CHECK(cluster.dispatcher().RunsSliceOf(JobId("job")));
}

// A sliced job counts as waiting in one shard only.
TEST_CASE("a slice without the first task does not count as a waiting job") {
  SimulatedCluster cluster(0);
  cluster.Submit(cluster.Record("odd", ServingJob(6)), kOddTasks);
  CHECK(cluster.dispatcher().CountWaiting(QueueId("q")) == 0);
  cluster.Submit(cluster.Record("even", ServingJob(6)),
                 {.first = 0, .stride = 2});
  CHECK(cluster.dispatcher().CountWaiting(QueueId("q")) == 1);
}

// The cancellation of a sliced job is stored once for all shards. Guards
// against ends that wait for a record that never comes, and against rows of the
// job in the shard, which its leader would not remove.
TEST_CASE("the end of a slice needs no record") {
  SimulatedCluster cluster(2);
  RunUntilStopped(cluster);
  cluster.Submit(cluster.Record("job", ServingJob(6)), kOddTasks);
  cluster.Advance(seconds(1));
  cluster.store_available = false;
  while (cluster.dispatcher().HasRecords()) {
    cluster.dispatcher().OnRecorded(cluster.dispatcher().TakeRecords(90));
  }
  CHECK(cluster.dispatcher().Cancel(JobId("job"), cluster.now(),
                                    cluster.WallNow()));
  CHECK_FALSE(cluster.dispatcher().HasRecords());
  CHECK(cluster.StateOf("job") == JobState::kCancelled);
  cluster.Advance(seconds(2));
  for (int i = 0; i < 2; ++i) {
    CHECK(cluster.RunsOn(i) == 0);
    CHECK(cluster.worker(i).ended.empty());
  }
}

TEST_CASE("a successor adopts the runs of a slice") {
  SimulatedCluster cluster(2);
  RunUntilStopped(cluster);
  cluster.Submit(cluster.Record("job", ServingJob(6)), kOddTasks);
  cluster.Advance(seconds(1));
  cluster.TakeOver();
  cluster.Advance(seconds(10));
  CHECK(cluster.violations.empty());
  CHECK(cluster.starts.size() == 3);
  for (const auto& [task, count] : cluster.starts) CHECK(count == 1);
}

JobSpec LongRunning(int tasks, int cpu) {
  JobSpec spec;
  spec.steps.push_back(
      {.task_count = tasks,
       .need = {MilliCores(cpu), MebiBytes(100), Accelerators(0)},
       .declared_run_time = milliseconds(400),
       .long_running = true});
  return spec;
}

// Guards against a transfer to a shard whose new leader may not start the task
// for longer than the place is reserved.
TEST_CASE("no place is offered before the runs of earlier epochs are known") {
  SimulatedCluster cluster(2);
  RunUntilStopped(cluster);
  cluster.Submit(cluster.Record("long-job", LongRunning(2, 1000)), kOddTasks);
  cluster.Advance(seconds(1));
  const int silent = cluster.RunsOn(0) > 0 ? 1 : 0;
  cluster.Crash(silent);
  cluster.TakeOver();
  cluster.Advance(milliseconds(300));
  const TaskName offered{JobId("long-job"), 0, 0, 0};
  CHECK_FALSE(cluster.dispatcher().ReservePlace(offered, cluster.now()));
  cluster.Advance(seconds(8));
  CHECK(cluster.dispatcher().ReservePlace(offered, cluster.now()));
}

// Guards against waiting tasks that are never offered to other shards because
// the same other tasks are offered again and again.
TEST_CASE("each waiting task is offered to other shards") {
  SimulatedCluster cluster(1, {MilliCores(1), MebiBytes(1), Accelerators(0)});
  cluster.Submit(cluster.Record("long-a", LongRunning(40, 20000)), kOddTasks);
  cluster.Submit(cluster.Record("long-b", LongRunning(2, 1000)), kOddTasks);
  cluster.Advance(seconds(3));
  std::set<TaskName> offered;
  for (int i = 0; i < 20; ++i) {
    for (const TaskName& name :
         cluster.dispatcher().TasksToTransfer(ShardId(1), cluster.now(), 16)) {
      offered.insert(name);
    }
    cluster.Advance(milliseconds(500));
  }
  CHECK(offered.contains(TaskName{JobId("long-b"), 0, 0, 1}));
}

// Guards against a second run of a task that a predecessor started after this
// epoch had read the transfers.
TEST_CASE("a transfer that is read late does not start a running task again") {
  SimulatedCluster cluster(2);
  RunUntilStopped(cluster);
  cluster.Submit(cluster.Record("long-job", LongRunning(2, 1000)), kOddTasks);
  cluster.Advance(seconds(1));
  const TaskTransfer transfer{.task = {JobId("long-job"), 0, 0, 0},
                              .shard = ShardId(),
                              .number = 1,
                              .last_run = RunNumber(1),
                              .checkpoint = {}};
  cluster.dispatcher().ApplyTransfer(transfer, cluster.now());
  cluster.Advance(milliseconds(200));
  REQUIRE(cluster.RunningNow(transfer.task) == 1);
  for (int i = 0; i < 2; ++i) cluster.worker(i).stops_pending = true;
  // The successor has read the other shard's partition before the transfer.
  cluster.TakeOver();
  cluster.Advance(milliseconds(300));
  cluster.dispatcher().ApplyTransfer(transfer, cluster.now());
  cluster.Advance(milliseconds(600));
  CHECK(cluster.violations.empty());
  CHECK(cluster.RunningNow(transfer.task) <= 1);
}

}  // namespace
}  // namespace gypsumfall
