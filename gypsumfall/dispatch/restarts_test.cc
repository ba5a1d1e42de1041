#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

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

}  // namespace
}  // namespace gypsumfall
