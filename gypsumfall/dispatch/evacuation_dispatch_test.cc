#include <catch2/catch.hpp>
#include <string>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

constexpr int kWorkers = 9;

JobSpec Tasks(int count, int cpu, bool long_running = false) {
  JobSpec spec;
  spec.steps.push_back(
      {.task_count = count,
       .need = {MilliCores(cpu), MebiBytes(100), Accelerators(0)},
       .declared_run_time = milliseconds(400)});
  spec.steps[0].long_running = long_running;
  return spec;
}

/// Nine workers in three data centres "a", "b" and "c". Jobs whose ids begin
/// with "long" run until they are stopped, the others for 0.4 s.
class ThreeDataCentres {
 public:
  ThreeDataCentres() : cluster(kWorkers) {
    cluster.evacuations.emplace();
    for (int i = 0; i < kWorkers; ++i)
      cluster.SetDataCentre(i, std::string(1, static_cast<char>('a' + i / 3)));
    cluster.run_of = [](const TaskName& task, int) {
      const bool is_long = task.job.str().starts_with("long");
      return std::pair{is_long ? Duration(seconds(1000)) : milliseconds(400),
                       RunOutcome::kDone};
    };
    cluster.Advance(milliseconds(50));
  }

  void Close(const char* data_centre) {
    cluster.evacuations->Close(DataCentreId(data_centre));
    cluster.Advance(milliseconds(10));
  }
  void Reopen(const char* data_centre) {
    cluster.evacuations->Reopen(DataCentreId(data_centre), cluster.now());
    cluster.Advance(milliseconds(10));
  }
  /// Submits jobs for more than all workers, whose tasks and gangs compete.
  void AdvanceUnderLoad(Duration duration) {
    const Time end = cluster.now() + duration;
    while (cluster.now() < end) {
      JobSpec spec = Tasks(4, 4000);
      spec.steps[0].gang = next_id_ % 3 == 0;
      spec.steps[0].best_effort = next_id_ % 5 == 1;
      cluster.Submit(cluster.Record("job" + std::to_string(next_id_++), spec));
      cluster.Advance(milliseconds(80));
    }
  }
  void CheckAllCompleted() {
    for (int i = 0; i < next_id_; ++i)
      CHECK(cluster.StateOf("job" + std::to_string(i)) == JobState::kCompleted);
  }
  /// @return the number of runs in the data centre with this index.
  int RunsIn(int data_centre) {
    int runs = 0;
    for (int i = 3 * data_centre; i < 3 * data_centre + 3; ++i)
      runs += cluster.RunsOn(i);
    return runs;
  }

  SimulatedCluster cluster;

 private:
  int next_id_ = 0;
};

// Guards against starts in a closed data centre while a third of the room is
// lost under full load, also by a successor, and against work that is lost.
TEST_CASE("nothing starts in data centres closed under full load") {
  const bool take_over = GENERATE(false, true);
  INFO("takeover " << take_over);
  ThreeDataCentres d;
  JobSpec one_on_each_worker = Tasks(9, 1000, true);
  one_on_each_worker.steps[0].max_per_worker = 1;
  d.cluster.Submit(d.cluster.Record("long", one_on_each_worker));
  d.cluster.Advance(milliseconds(100));
  d.AdvanceUnderLoad(seconds(2));
  REQUIRE(d.RunsIn(0) > 3);
  d.Close("a");
  d.AdvanceUnderLoad(seconds(1));
  if (take_over) d.cluster.TakeOver();
  d.AdvanceUnderLoad(seconds(1));
  // Only the long-running tasks go on there.
  CHECK(d.RunsIn(0) == 3);
  // One is closed as the other begins to return.
  d.Reopen("a");
  d.Close("b");
  d.AdvanceUnderLoad(seconds(1));
  if (take_over) d.cluster.TakeOver();
  d.AdvanceUnderLoad(seconds(3));
  CHECK(d.RunsIn(0) > 3);
  CHECK(d.RunsIn(1) == 3);
  CHECK(d.cluster.dispatcher().Status(d.cluster.now()).held_back_workers == 3);
  // A second one in a row.
  d.Close("c");
  d.AdvanceUnderLoad(seconds(1));
  CHECK(d.RunsIn(1) + d.RunsIn(2) == 6);
  d.Reopen("b");
  d.Reopen("c");
  d.cluster.Advance(seconds(30));
  d.CheckAllCompleted();
  for (int i = 0; i < 9; ++i) {
    CHECK(d.cluster.starts[TaskName{JobId("long"), 0, 0, i}] == 1);
    CHECK(d.cluster.RunningNow({JobId("long"), 0, 0, i}) == 1);
  }
  CHECK(d.cluster.violations.empty());
}

// Guards against a long-running task whose place is kept in a data centre that
// is closed. The workers of the others have no room.
TEST_CASE("long-running tasks that end do not start in a closed data centre") {
  ThreeDataCentres d;
  d.cluster.Submit(d.cluster.Record("long", Tasks(18, 4000, true)));
  d.cluster.Advance(milliseconds(500));
  REQUIRE(d.RunsIn(0) == 6);
  for (int i = 0; i < 3; ++i) d.cluster.worker(i).starts_to_refuse = 1000;
  SECTION("they end after it was closed") {
    d.Close("a");
    for (int i = 0; i < 3; ++i) d.cluster.Restart(i);
  }
  SECTION("the places are kept when it is closed") {
    for (int i = 0; i < 3; ++i) d.cluster.Restart(i);
    d.cluster.Advance(milliseconds(1200));
    d.Close("a");
  }
  for (int i = 0; i < 3; ++i) d.cluster.worker(i).starts_to_refuse = 0;
  d.cluster.Advance(seconds(5));
  CHECK(d.RunsIn(0) == 0);
  CHECK(d.RunsIn(1) + d.RunsIn(2) == 12);
  d.Reopen("a");
  d.cluster.Advance(seconds(8));
  CHECK(d.RunsIn(0) == 6);
  CHECK(d.cluster.violations.empty());
}

// Guards against a place that is offered to another shard in a closed data
// centre, and against one that is kept for it after the closure.
TEST_CASE("no worker of a closed data centre is reserved for other shards") {
  SimulatedCluster cluster(
      2, {MilliCores(8000), MebiBytes(8000), Accelerators(0)}, ShardId(0), 1);
  cluster.evacuations.emplace();
  cluster.SetDataCentre(0, "a");
  cluster.SetDataCentre(1, "b");
  const JobSlice slice{.first = 0, .stride = 2};
  cluster.Submit(cluster.Record("long", Tasks(4, 8000, true)), slice);
  cluster.Advance(milliseconds(500));
  REQUIRE(cluster.RunsOn(0) + cluster.RunsOn(1) == 2);
  cluster.AddWorker(2, {MilliCores(8000), MebiBytes(8000), Accelerators(0)});
  cluster.Advance(milliseconds(500));
  const TaskName other{JobId("long"), 0, 0, 1};
  REQUIRE(cluster.dispatcher().ReservePlace(other, cluster.now()));
  cluster.evacuations->Close(DataCentreId("dc"));
  cluster.Advance(milliseconds(20));
  CHECK_FALSE(cluster.dispatcher().ReservePlace(other, cluster.now()));
  CHECK_FALSE(cluster.dispatcher().ReservePlace(other, cluster.now(), true));
  // The transfer was already stored: the task waits.
  cluster.dispatcher().ApplyTransfer(
      {.task = other, .shard = ShardId(0), .number = 1}, cluster.now());
  cluster.Advance(seconds(3));
  CHECK(cluster.RunningNow(other) == 0);
  CHECK(cluster.dispatcher().IsUnplaceable(other, cluster.now()));
  CHECK(cluster.dispatcher().TasksToTransfer(ShardId(1), cluster.now(), 9) ==
        std::vector<TaskName>{other});
  cluster.evacuations->Reopen(DataCentreId("dc"), cluster.now());
  cluster.Advance(seconds(4));
  CHECK(cluster.RunningNow(other) == 1);
  CHECK(cluster.violations.empty());
}

}  // namespace
}  // namespace gypsumfall
