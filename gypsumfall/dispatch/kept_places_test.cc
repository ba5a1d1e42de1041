#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

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

}  // namespace
}  // namespace gypsumfall
