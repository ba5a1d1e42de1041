#include <catch2/catch.hpp>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"
#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

JobSpec Tasks(int count, int cpu, Duration declared_run_time,
              bool long_running) {
  JobSpec spec;
  spec.steps.push_back(
      {.task_count = count,
       .need = {MilliCores(cpu), MebiBytes(100), Accelerators(0)},
       .declared_run_time = declared_run_time});
  spec.steps[0].long_running = long_running;
  return spec;
}

JobSpec LongRunning(int count, int cpu) {
  return Tasks(count, cpu, milliseconds(400), true);
}

/// Jobs whose ids begin with "long" run until they are stopped, others for
/// `run_time`.
void SetRunTimes(SimulatedCluster& world, Duration run_time) {
  world.run_of = [run_time](const TaskName& task, int) {
    const bool is_long = task.job.str().starts_with("long");
    return std::pair{is_long ? Duration(seconds(1000)) : run_time,
                     RunOutcome::kDone};
  };
}

/// Submits a short job of 2 cores that can be on time at each interval.
void AdvanceUnderLoad(SimulatedCluster& world, Duration duration,
                      Duration interval, Duration run_time, int& next_id) {
  const Time end = world.now() + duration;
  while (world.now() < end) {
    JobRecord record = world.Record("short" + std::to_string(next_id++),
                                    Tasks(1, 2000, run_time, false));
    record.terms.objective = seconds(600);
    world.Submit(record);
    world.Advance(interval);
  }
}

// Guards against a reservation that expires before the runs on the worker end,
// so that tasks on time take what had become free.
TEST_CASE("a long-running task starts beside runs of several seconds") {
  SimulatedCluster world(4);
  SetRunTimes(world, seconds(7));
  int next_id = 0;
  AdvanceUnderLoad(world, seconds(8), milliseconds(400), seconds(7), next_id);
  world.Submit(world.Record("long", LongRunning(1, 8000)));
  AdvanceUnderLoad(world, seconds(30), milliseconds(400), seconds(7), next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.violations.empty());
}

// Guards against a stop of a run whose task may not be started again yet.
TEST_CASE("a successor stops no run that it can not start elsewhere") {
  SimulatedCluster world(4);
  SetRunTimes(world, milliseconds(600));
  world.Submit(world.Record("long", LongRunning(1, 5000)));
  world.Advance(milliseconds(500));
  int old_worker = 0;
  while (world.RunsOn(old_worker) == 0) ++old_worker;
  world.Crash((old_worker + 1) % 4);
  world.TakeOver();
  world.Drain(old_worker, seconds(10));
  Duration longest_wait{0};
  Duration wait{0};
  for (int i = 0; i < 800; ++i) {
    world.Advance(milliseconds(10));
    wait = world.RunningNow({JobId("long"), 0, 0, 0}) == 1
               ? Duration{0}
               : wait + milliseconds(10);
    longest_wait = std::max(longest_wait, wait);
  }
  CHECK(longest_wait < seconds(1));
  CHECK(world.violations.empty());
}

// Guards against members of a gang that lose their reservations each time the
// gang does not start.
TEST_CASE("a long-running gang starts beside small tasks") {
  SimulatedCluster world(4);
  SetRunTimes(world, milliseconds(600));
  int next_id = 0;
  AdvanceUnderLoad(world, seconds(2), milliseconds(30), milliseconds(600),
                   next_id);
  JobSpec spec = LongRunning(3, 7000);
  spec.steps[0].gang = true;
  world.Submit(world.Record("long", spec));
  AdvanceUnderLoad(world, seconds(10), milliseconds(30), milliseconds(600),
                   next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.violations.empty());
}

// Guards against starvation of a task whose preferred rack has no worker: other
// racks are allowed, but were not reserved.
TEST_CASE("a task whose rack has no worker gets one reserved") {
  SimulatedCluster world(4);
  SetRunTimes(world, milliseconds(600));
  int next_id = 0;
  AdvanceUnderLoad(world, seconds(2), milliseconds(30), milliseconds(600),
                   next_id);
  JobSpec spec = LongRunning(1, 7000);
  spec.steps[0].data_rack = RackId("rack9");
  world.Submit(world.Record("long", spec));
  AdvanceUnderLoad(world, seconds(6), milliseconds(30), milliseconds(600),
                   next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.violations.empty());
}

// Guards against one task without a possible worker that keeps all others on
// its draining worker.
TEST_CASE("a task that fits nowhere does not keep others from moving") {
  const Resources small{MilliCores(4000), MebiBytes(8000), Accelerators(0)};
  SimulatedCluster world(1);
  SetRunTimes(world, milliseconds(600));
  world.Submit(world.Record("long-a", LongRunning(1, 5000)));
  world.Submit(world.Record("long-b", LongRunning(1, 2000)));
  world.Advance(milliseconds(500));
  REQUIRE(world.RunsOn(0) == 2);
  world.AddWorker(1, small);
  world.Advance(milliseconds(200));
  world.Drain(0, seconds(10));
  world.Advance(seconds(3));
  CHECK(world.RunsOn(1) == 1);
  CHECK(world.violations.empty());
}

// Guards against a reservation of low priority that tasks of higher priority
// use although other workers have capacity.
TEST_CASE("tasks of lower priority start beside half of the capacity") {
  SimulatedCluster world(4);
  SetRunTimes(world, milliseconds(600));
  int next_id = 0;
  // About half of the capacity.
  AdvanceUnderLoad(world, seconds(2), milliseconds(70), milliseconds(600),
                   next_id);
  JobRecord record = world.Record("long", LongRunning(2, 8000));
  record.terms.priority = 1;
  world.Submit(record);
  AdvanceUnderLoad(world, seconds(6), milliseconds(70), milliseconds(600),
                   next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 1}) == 1);
}

/// Run times between 0.6 and 1.4 times the mean, so that ends are spread.
void SetSpreadRunTimes(SimulatedCluster& world, Duration mean) {
  world.run_of = [mean](const TaskName& task, int) {
    const std::string id = task.job.str();
    if (id.starts_with("long"))
      return std::pair{Duration(seconds(1000)), RunOutcome::kDone};
    const int number = std::stoi(id.substr(5));
    return std::pair{mean * (60 + (number * 37) % 81) / 100, RunOutcome::kDone};
  };
}

// Guards against a reservation that expires before the runs on the worker have
// ended: the worker's ends are 1.75 s apart, and 4 of them must be awaited.
TEST_CASE("a reservation outlasts runs of 7 s with spread ends") {
  const int workers = GENERATE(1, 2);
  SimulatedCluster world(workers);
  SetRunTimes(world, seconds(7));
  int next_id = 0;
  const Duration interval = milliseconds(1700) / workers;
  AdvanceUnderLoad(world, seconds(28), interval, seconds(7), next_id);
  world.Submit(world.Record("long", LongRunning(1, 8000)));
  AdvanceUnderLoad(world, seconds(60), interval, seconds(7), next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.violations.empty());
}

// Guards against runs on draining workers that no worker can take and that use
// up the searches of all other tasks.
TEST_CASE("draining workers leave searches for starving tasks") {
  SimulatedCluster world(4);
  SetRunTimes(world, milliseconds(600));
  const Resources large{MilliCores(16000), MebiBytes(8000), Accelerators(0)};
  for (int i = 4; i < 14; ++i) world.AddWorker(i, large);
  world.Submit(world.Record("long-large", LongRunning(10, 16000)));
  world.Advance(milliseconds(500));
  for (int i = 4; i < 14; ++i) {
    REQUIRE(world.RunsOn(i) == 1);
    world.Drain(i, seconds(60));
  }
  int next_id = 0;
  AdvanceUnderLoad(world, seconds(2), milliseconds(30), milliseconds(600),
                   next_id);
  world.Submit(world.Record("long", LongRunning(1, 7000)));
  AdvanceUnderLoad(world, seconds(8), milliseconds(30), milliseconds(600),
                   next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.violations.empty());
}

// Guards against members of a gang that lose their reservations each time the
// gang does not start.
TEST_CASE("a gang whose members find room at different times") {
  const int gang = GENERATE(0, 1);
  INFO("gang " << gang);
  SimulatedCluster world(4);
  SetSpreadRunTimes(world, seconds(2));
  int next_id = 0;
  AdvanceUnderLoad(world, seconds(8), milliseconds(100), seconds(2), next_id);
  JobSpec spec = LongRunning(3, 7000);
  spec.steps[0].gang = gang == 1;
  world.Submit(world.Record("long", spec));
  AdvanceUnderLoad(world, seconds(20), milliseconds(100), seconds(2), next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
  CHECK(world.violations.empty());
}

// Guards against tasks of higher priority that prefer a reserved worker, whose
// free resources count as negative, to one with the same resources free.
TEST_CASE("tasks of higher priority spare reserved workers") {
  using dispatch_internal::Reserve;
  dispatch_internal::WorkerTable workers;
  for (const char* id : {"w0", "w1"}) {
    dispatch_internal::Worker& worker = workers.FindOrAdd(WorkerId(id));
    worker.entry.service = ServiceId("desk");
    worker.entry.capacity = {MilliCores(8000), MebiBytes(8000),
                             Accelerators(0)};
    worker.used = {MilliCores(4000), MebiBytes(0), Accelerators(0)};
    worker.listed = worker.fenced = worker.in_roster = true;
  }
  Reserve(*workers.Find(WorkerId("w0")), {JobId("long"), 0, 0, 0},
          {.need = {MilliCores(8000), MebiBytes(100), Accelerators(0)},
           .priority = 1,
           .until = kSimulationStart + seconds(3)});
  const StepSpec spec = Tasks(1, 2000, seconds(1), false).steps[0];
  const dispatch_internal::PlacementRequest request{
      .spec = &spec, .service = ServiceId("desk"), .priority = 0};
  const dispatch_internal::InterferenceModel model;
  dispatch_internal::Worker* worker = dispatch_internal::ChooseWorker(
      workers, request, model, kSimulationStart);
  REQUIRE(worker != nullptr);
  CHECK(worker->entry.id == WorkerId("w1"));
}

// Guards against tasks of a step that should run in one rack and start on
// reserved workers of different racks.
TEST_CASE("reservations of a step with one rack are in one rack") {
  SimulatedCluster world(4);
  SetRunTimes(world, milliseconds(1400));
  JobSpec fill = Tasks(1, 8000, milliseconds(1400), false);
  for (int i = 0; i < 4; ++i)
    world.Submit(world.Record("short" + std::to_string(i), fill));
  world.Advance(milliseconds(100));
  JobSpec spec = LongRunning(2, 5000);
  spec.steps[0].same_rack = true;
  spec.steps[0].declared_run_time = seconds(10);
  world.Submit(world.Record("long", spec));
  // Workers 0 and 1 are in one rack; the second task could wait for worker 1.
  world.worker(1).runs.begin()->second.run_time = milliseconds(1600);
  world.Advance(seconds(3));
  int racks = 0;
  for (int i = 0; i < 4; i += 2) {
    if (world.RunsOn(i) + world.RunsOn(i + 1) > 0) ++racks;
  }
  CHECK(racks == 1);
}

// Guards against a reservation that is lost with its worker and that the task
// keeps waiting for.
TEST_CASE("a task whose reserved worker is removed gets another") {
  // Control: with a sweep between the two, the reservation is released.
  const int sweep_between = GENERATE(0, 1);
  INFO("sweep between " << sweep_between);
  SimulatedCluster world(1);
  SetRunTimes(world, seconds(1000));
  world.Submit(world.Record("short0", Tasks(1, 8000, seconds(5), false)));
  world.Advance(milliseconds(500));
  world.Submit(world.Record("long", LongRunning(1, 8000)));
  world.Advance(milliseconds(2000));
  Dispatcher& dispatcher = world.dispatcher();
  const LeaseOrder order{.worker = WorkerId("w0"), .endpoint = "w0:1"};
  LeaseReply reply;
  reply.verdict = OrderVerdict::kOtherIncarnation;
  dispatcher.OnLeaseReply(order, reply, world.now(), world.now(),
                          world.WallNow());
  world.Crash(0);
  if (sweep_between == 1) world.Advance(milliseconds(100));
  dispatcher.OnWorkerUnlisted(WorkerId("w0"), world.now());
  world.Advance(milliseconds(500));
  world.AddWorker(1, {MilliCores(8000), MebiBytes(8000), Accelerators(0)});
  int next_id = 10;
  SetRunTimes(world, milliseconds(600));
  world.Submit(world.Record("short9", Tasks(4, 2000, seconds(1), false)));
  AdvanceUnderLoad(world, seconds(10), milliseconds(120), milliseconds(600),
                   next_id);
  CHECK(world.RunningNow({JobId("long"), 0, 0, 0}) == 1);
}

/// Fills part of each of the workers w0 to w11 (32 cores) with a run of 14
/// cores and 90 s, and submits a long-running job whose tasks of 20 cores fit
/// beside none of them. 18 cores of each worker are free.
void ReserveBesideLongRuns(SimulatedCluster& world, Duration declared) {
  const Resources capacity{MilliCores(32000), MebiBytes(128000),
                           Accelerators(0)};
  for (int i = 0; i < 12; ++i) world.AddWorker(i, capacity);
  world.run_of = [](const TaskName& task, int) {
    const std::string id = task.job.str();
    Duration run_time = milliseconds(500);
    if (id.starts_with("long")) run_time = seconds(1000);
    if (id == "filler") run_time = seconds(90);
    return std::pair{run_time, RunOutcome::kDone};
  };
  JobSpec filler = Tasks(12, 14000, declared, false);
  filler.steps[0].max_per_worker = 1;
  world.Submit(world.Record("filler", filler));
  world.Advance(milliseconds(500));
  for (int i = 0; i < 12; ++i) REQUIRE(world.RunsOn(i) == 1);
  world.Submit(world.Record("long", LongRunning(12, 20000)));
  world.Advance(seconds(5));
}

// Guards against reservations for starving tasks that hold the free room of all
// workers for as long as the runs in their way go on.
TEST_CASE("small jobs start while a large long-running job waits") {
  // With wrong run times the reservations are renewed all the time.
  const Duration declared =
      GENERATE(Duration(seconds(90)), Duration(seconds(1)));
  INFO("declared " << declared.count());
  SimulatedCluster world(0);
  ReserveBesideLongRuns(world, declared);
  for (int round = 0; round < 4; ++round) {
    for (int priority = 0; priority < 3; ++priority) {
      const std::string id =
          "small" + std::to_string(round) + std::to_string(priority);
      JobRecord record =
          world.Record(id, Tasks(1, 2000, milliseconds(500), false));
      record.terms.priority = priority;
      world.Submit(record);
      Duration wait{0};
      while (wait < seconds(3) && world.RunningNow({JobId(id), 0, 0, 0}) == 0) {
        world.Advance(milliseconds(50));
        wait += milliseconds(50);
      }
      INFO("job " << id);
      CHECK(wait < seconds(3));
    }
  }
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace gypsumfall
