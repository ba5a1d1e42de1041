// Tests that the end of a run is acknowledged to its worker only once no
// successor needs it: the worker forgets an acknowledged end.

#include <catch2/catch.hpp>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

JobSpec OneStep(int task_count) {
  JobSpec spec;
  spec.steps.push_back(
      {.task_count = task_count,
       .need = {MilliCores(1000), MebiBytes(100), Accelerators(0)},
       .declared_run_time = milliseconds(300)});
  return spec;
}

TaskName FirstTask() { return {JobId("a"), 0, 0, 0}; }
TaskName SecondTask() { return {JobId("a"), 0, 0, 1}; }

// Lets a successor take over while the store is down, and checks that it starts
// no task again that had ended as done on the worker.
void CheckSuccessorKnowsEnd(SimulatedCluster& world, int worker,
                            const TaskName& done) {
  CHECK(world.ListsEndOf(worker, done));
  world.TakeOver();
  world.store_available = true;
  world.Advance(seconds(10));
  CHECK(world.starts[done] == 1);
  // A worker whose ends stay unacknowledged reports them with each answer.
  CHECK_FALSE(world.ListsEndOf(worker, done));
}

// Guards against a successor that restarts a task done after its job was
// cancelled: it knows neither the end nor the cancellation.
TEST_CASE("an end is not acknowledged before the cancellation is stored") {
  SimulatedCluster world(1);
  world.Submit(world.Record("a", OneStep(1)));
  world.Advance(milliseconds(290));
  world.store_available = false;
  // The run ends before the stop order takes effect.
  world.worker(0).stops_pending = true;
  REQUIRE(world.dispatcher().Cancel(JobId("a"), world.now(), world.WallNow()));
  world.Advance(seconds(1));
  REQUIRE(world.RunsOn(0) == 0);
  CheckSuccessorKnowsEnd(world, 0, FirstTask());
}

// Guards against a successor that restarts a task done after another task of
// the job had failed for the last time on another worker.
TEST_CASE("an end is not acknowledged before the failure is stored") {
  SimulatedCluster world(2);
  world.run_of = [](const TaskName& task, int) {
    return task == SecondTask()
               ? std::pair{Duration(milliseconds(250)), RunOutcome::kFailed}
               : std::pair{Duration(milliseconds(300)), RunOutcome::kDone};
  };
  JobSpec spec = OneStep(2);
  spec.steps[0].max_per_worker = 1;
  world.Submit(world.Record("a", spec, 1));
  world.Advance(milliseconds(200));
  const int worker = world.worker(0).runs.contains(FirstTask()) ? 0 : 1;
  REQUIRE(world.RunsOn(worker) == 1);
  world.store_available = false;
  world.worker(worker).stops_pending = true;
  world.Advance(seconds(1));
  REQUIRE(world.RunsOn(worker) == 0);
  CheckSuccessorKnowsEnd(world, worker, FirstTask());
}

// Guards against a successor that restarts the task of a completed job after
// the worker with the first end has crashed: the end of a second run was
// acknowledged although the completion was not stored.
TEST_CASE("an end is not acknowledged before the completion is stored") {
  SimulatedCluster world(2);
  world.Submit(world.Record("a", OneStep(1)));
  world.Advance(milliseconds(200));
  const int first = world.RunsOn(0) == 1 ? 0 : 1;
  REQUIRE(world.RunsOn(first) == 1);
  world.store_available = false;
  world.Advance(seconds(1));
  SimulatedWorker& second = world.worker(1 - first);
  second.ended.push_back({CompletionNumber(++second.completion_count),
                          FirstTask(),
                          RunNumber(2),
                          RunOutcome::kDone,
                          {}});
  world.Advance(seconds(1));
  world.Crash(first);
  CheckSuccessorKnowsEnd(world, 1 - first, FirstTask());
}

// Guards against a second run with the number of the first: the predecessor had
// started the job, which was accepted after the successor had read the job
// table.
TEST_CASE("a job of an earlier epoch that is submitted late gets new numbers") {
  SimulatedCluster world(2);
  world.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(3)), RunOutcome::kDone};
  };
  const JobRecord record = world.Record("a", OneStep(1));
  world.Submit(record);
  world.Advance(milliseconds(200));
  const int first = world.RunsOn(0) == 1 ? 0 : 1;
  REQUIRE(world.worker(first).runs.at(FirstTask()).number == RunNumber(1));
  world.unread_jobs = {record.id};
  world.TakeOver();
  world.Crash(first);
  world.Submit(record);
  world.Advance(seconds(8));
  REQUIRE(world.RunsOn(1 - first) == 1);
  CHECK(world.worker(1 - first).runs.at(FirstTask()).number > RunNumber(1));
}

// Lets a successor take over that has not read a stored job, one task of which
// ends as done before the successor reads the report of the worker.
JobRecord TakeOverWithoutJob(SimulatedCluster& world) {
  JobRecord record = world.Record("a", OneStep(1));
  world.Submit(record);
  world.Advance(milliseconds(100));
  world.store_available = false;
  world.Advance(milliseconds(500));
  REQUIRE(world.ListsEndOf(0, FirstTask()));
  world.unread_jobs = {record.id};
  world.TakeOver();
  world.store_available = true;
  world.Advance(milliseconds(500));
  return record;
}

// Guards against a successor that acknowledges the end of a run of a job that
// it does not know yet, and starts the task again once it knows the job.
TEST_CASE("an end is not acknowledged before its job is known") {
  SimulatedCluster world(1);
  const JobRecord record = TakeOverWithoutJob(world);
  CHECK(world.ListsEndOf(0, FirstTask()));
  world.Submit(record);
  world.Advance(seconds(5));
  CHECK(world.starts[FirstTask()] == 1);
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK_FALSE(world.ListsEndOf(0, FirstTask()));
}

// Guards against acknowledgements that stall for ever because the job of an end
// is no longer stored.
TEST_CASE("an end is acknowledged if a later scan does not find its job") {
  SimulatedCluster world(1);
  const Time before_takeover = world.now();
  TakeOverWithoutJob(world);
  // A scan that started before the end was reported may have missed the job.
  world.dispatcher().OnJobsScanned(before_takeover);
  world.Advance(seconds(1));
  CHECK(world.ListsEndOf(0, FirstTask()));
  world.dispatcher().OnJobsScanned(world.now());
  world.Advance(seconds(1));
  CHECK_FALSE(world.ListsEndOf(0, FirstTask()));
}

// Guards against a lease call with the number of the old incarnation, on which
// the new one forgets an end that the scheduler has never seen.
TEST_CASE("a restarted worker keeps ends that were never reported") {
  SimulatedCluster world(1);
  world.Submit(world.Record("a", OneStep(1)));
  world.Advance(seconds(1));
  REQUIRE(world.StateOf("a") == JobState::kCompleted);
  world.Crash(0);
  world.Advance(seconds(4));
  world.Restart(0);
  // A start order that was sent to the old incarnation arrives late and its run
  // ends before the next lease call.
  world.Submit(world.Record("b", OneStep(1)));
  SimulatedWorker& worker = world.worker(0);
  const TaskName task{JobId("b"), 0, 0, 0};
  worker.ended.push_back({CompletionNumber(++worker.completion_count),
                          task,
                          RunNumber(1),
                          RunOutcome::kDone,
                          {}});
  world.Advance(seconds(3));
  CHECK(world.StateOf("b") == JobState::kCompleted);
  CHECK(world.starts[task] == 0);
}

// Guards against a second run of a task that a restarted worker has started
// after it sent the report that shows the restart.
TEST_CASE("a run started by a restarted worker is not started again") {
  SimulatedCluster world(1);
  world.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(3)), RunOutcome::kDone};
  };
  world.Advance(milliseconds(500));
  // Its entry has not arrived when the run starts.
  world.StartIncarnation(0);
  LeaseReply reply;
  reply.verdict = OrderVerdict::kAccepted;
  reply.worker_clock = world.worker(0).Clock(world.now());
  reply.incarnation = world.worker(0).incarnation;
  const Time sent = world.now();
  world.Submit(world.Record("a", OneStep(1)));
  world.Advance(milliseconds(20));
  REQUIRE(world.RunsOn(0) == 1);
  world.dispatcher().OnLeaseReply({.worker = WorkerId("w0")}, reply, sent,
                                  world.now(), world.WallNow());
  world.Advance(seconds(4));
  CHECK(world.starts[FirstTask()] == 1);
  CHECK(world.violations.empty());
  CHECK(world.StateOf("a") == JobState::kCompleted);
}

}  // namespace
}  // namespace gypsumfall
