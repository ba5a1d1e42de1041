// Tests that the progress of a job is stored in rows of limited size, and that
// a successor reads it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

// The store accepts a megabyte in one transaction, in Base64 and with names.
constexpr std::size_t kMaxTransactionBytes = 1 << 20;
constexpr std::size_t kMaxRowBytes = 65536;
constexpr std::size_t kBatchRows = 90;

StepSpec Tasks(int count) {
  return {.task_count = count,
          .need = {MilliCores(1000), MebiBytes(100), Accelerators(0)},
          .declared_run_time = milliseconds(300)};
}

// Returns the bytes of the rows of a batch in a transaction, and checks each
// row.
std::size_t CheckedBytesOf(const RecordBatch& batch) {
  std::size_t bytes = 0;
  const auto add = [&bytes](const std::string& row) {
    constexpr std::size_t kNameBytes = 200;
    CHECK(row.size() <= kMaxRowBytes);
    bytes += row.size() * 4 / 3 + kNameBytes;
  };
  for (const auto& progress : batch.progress) add(Encode(progress));
  for (const auto& progress : batch.chunk_progress) add(Encode(progress));
  for (const auto& ended : batch.ended) add(Encode(ended));
  return bytes;
}

// Guards against a row that the store refuses for its size, with which the
// leader could store nothing any more.
TEST_CASE("rows and batches of a large job stay within the store's limits") {
  constexpr int kSteps = 17;
  const Time now{seconds(1000)};
  const WallTime wall_now{1'700'000'000'000};
  const RunOutcome outcome = GENERATE(RunOutcome::kDone, RunOutcome::kFailed);
  const int max_attempts = GENERATE(2, 3, 1000);
  Dispatcher dispatcher({}, Epoch(1), now);
  JobRecord record{.id = JobId("0123456789abcdef"), .accepted_epoch = Epoch(1)};
  record.terms.max_attempts = max_attempts;
  record.spec.steps.assign(kSteps, Tasks(kMaxTasksPerStep));
  dispatcher.Submit(record, now, wall_now);
  dispatcher.OnWorkerListed({.id = WorkerId("w1"), .endpoint = "w1:1"}, now);
  LeaseReply reply{.verdict = OrderVerdict::kAccepted,
                   .worker_clock = WorkerTime(seconds(5)),
                   .incarnation = WallTime(1)};
  std::uint64_t number = 0;
  // All but the last task, so that the job does not end.
  for (int i = 0; i + 1 < kSteps * kMaxTasksPerStep; ++i) {
    const TaskName task{record.id, 0, i / kMaxTasksPerStep,
                        i % kMaxTasksPerStep};
    for (int run = 1; run <= std::min(max_attempts - 1, 20); ++run) {
      reply.ended.push_back(
          {CompletionNumber(++number),
           task,
           RunNumber(1'000'000'000'000'000 + static_cast<std::uint64_t>(run)),
           outcome,
           {}});
    }
  }
  dispatcher.OnLeaseReply({.worker = WorkerId("w1")}, reply, now, now,
                          wall_now);
  while (dispatcher.HasRecords()) {
    const RecordBatch batch = dispatcher.TakeRecords(kBatchRows);
    CHECK(CheckedBytesOf(batch) < kMaxTransactionBytes);
    dispatcher.OnRecorded(batch);
  }
}

// Guards against a task that is run again, or that gets more attempts, because
// a successor does not find its progress in one of several rows.
TEST_CASE("a successor reads the progress of a job from several rows") {
  SimulatedCluster world(4, {MilliCores(100'000), MebiBytes(100'000), {}});
  constexpr int kTasks = 600;
  const TaskName failing{JobId("a"), 0, 0, kTasks - 1};
  world.run_of = [&](const TaskName& task, int) {
    return task == failing
               ? std::pair{Duration(milliseconds(100)), RunOutcome::kFailed}
               : std::pair{Duration(milliseconds(300)), RunOutcome::kDone};
  };
  JobSpec spec;
  spec.steps = {Tasks(kTasks), Tasks(1)};
  spec.steps[1].after = {0};
  world.Submit(world.Record("a", spec, 4));
  while (world.starts[failing] < 3) world.Advance(milliseconds(10));
  world.Advance(milliseconds(80));
  REQUIRE(world.stored_chunks.size() > 1);
  world.TakeOver();
  world.Advance(seconds(12));
  CHECK(world.StateOf("a") == JobState::kFailed);
  CHECK(world.starts[failing] == 4);
  for (const auto& [task, starts] : world.starts) {
    if (task != failing) CHECK(starts == 1);
  }
  CHECK(world.stored_chunks.empty());
  CHECK(world.violations.empty());
}

// Guards against rows that stay in the store for ever.
TEST_CASE("rows of completed occurrences and of ended jobs are removed") {
  SimulatedCluster world(2);
  JobSpec spec;
  spec.steps = {Tasks(2), Tasks(1)};
  spec.steps[1].after = {0};
  spec.repetitions = 20;
  spec.first_due = world.WallNow();
  spec.interval = WallTime(100);
  world.Submit(world.Record("a", spec));
  world.Advance(milliseconds(1500));
  CHECK(world.StateOf("a") == JobState::kRunning);
  CHECK(world.stored_progress.at(JobId("a")).completed.count() >= 5);
  // Occurrences take 0.6 s.
  CHECK(world.stored_chunks.size() <= 8);
  SECTION("without a takeover") {}
  SECTION("after a takeover") { world.TakeOver(); }
  world.Advance(seconds(10));
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.stored_chunks.empty());
  CHECK(world.stored_progress.empty());
  for (const auto& [task, starts] : world.starts) CHECK(starts == 1);
}

// Guards against a gang that never ends or runs again: its end was stored for
// the members of one chunk when the leader failed.
TEST_CASE("a gang is done if one of its members is stored as done") {
  SimulatedCluster world(4, {MilliCores(300'000), MebiBytes(100'000), {}});
  constexpr int kMembers = 400;
  JobSpec spec;
  spec.steps = {Tasks(kMembers), Tasks(1)};
  spec.steps[0].gang = true;
  spec.steps[1].after = {0};
  world.Submit(world.Record("a", spec));
  world.Advance(milliseconds(450));
  REQUIRE(world.stored_chunks.size() > 1);
  world.stored_chunks.erase(std::prev(world.stored_chunks.end()));
  for (int i = 0; i < 4; ++i) world.worker(i).ended.clear();
  world.TakeOver();
  world.Advance(seconds(12));
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.starts[TaskName{JobId("a"), 0, 0, kMembers - 1}] == 1);
}

// Guards against an end that is acknowledged although its row was rejected, and
// against rows that are lost when a batch is taken back.
TEST_CASE("rejected rows neither lose work nor let it run again") {
  const int seed = GENERATE(range(0, 50));
  std::mt19937 random(static_cast<unsigned>(seed));
  SimulatedCluster world(3);
  world.run_of = [&](const TaskName&, int) {
    return std::pair{Duration(milliseconds(50 + random() % 400)),
                     RunOutcome::kDone};
  };
  const std::vector<JobId> jobs{JobId("a"), JobId("b"), JobId("c")};
  for (const JobId& id : jobs) {
    JobSpec spec;
    spec.steps = {Tasks(3), Tasks(2)};
    spec.steps[1].after = {0};
    spec.repetitions = 30;
    spec.first_due = world.WallNow();
    spec.interval = WallTime(100);
    world.Submit(world.Record(id.str(), spec));
  }
  const auto rejects_job = [](const RecordBatch& batch, const JobId& job) {
    const auto is_of = [&](const auto& progress) { return progress.id == job; };
    return std::any_of(batch.progress.begin(), batch.progress.end(), is_of) ||
           std::any_of(batch.ended.begin(), batch.ended.end(), is_of) ||
           std::any_of(batch.chunk_progress.begin(), batch.chunk_progress.end(),
                       [&](const ChunkProgress& progress) {
                         return progress.row.job == job;
                       });
  };
  for (int round = 0; round < 6; ++round) {
    const JobId& rejected = jobs[random() % jobs.size()];
    world.rejects = [&, rejected](const RecordBatch& batch) {
      return rejects_job(batch, rejected);
    };
    world.Advance(milliseconds(300 + random() % 1500));
    world.rejects = nullptr;
    if (random() % 2 == 0) world.TakeOver();
    world.Advance(milliseconds(random() % 1000));
  }
  world.Advance(seconds(40));
  for (const JobId& id : jobs)
    CHECK(world.StateOf(id.str()) == JobState::kCompleted);
  for (const auto& [task, starts] : world.starts) CHECK(starts == 1);
  CHECK(world.stored_chunks.empty());
  CHECK(world.stored_progress.empty());
  for (int i = 0; i < 3; ++i) CHECK(world.worker(i).ended.empty());
}

// Guards against work that runs again after an update of the scheduler.
TEST_CASE("progress that an earlier version has stored is read and replaced") {
  SimulatedCluster world(1);
  JobSpec spec;
  spec.steps = {Tasks(2), Tasks(2)};
  spec.steps[1].after = {0};
  spec.repetitions = 2;
  spec.first_due = world.WallNow();
  spec.interval = WallTime(1);
  world.store_available = false;
  world.Submit(world.Record("a", spec, 3));
  world.stored_progress[JobId("a")] = {
      .id = JobId("a"),
      .queue = QueueId("q"),
      .state = JobState::kRunning,
      .steps = {{.step = 0, .done = "11", .failed_runs = {}},
                {.step = 1, .done = "11", .failed_runs = {}},
                {.occurrence = 1,
                 .step = 0,
                 .done = "10",
                 .failed_runs = {{}, {1, 2}}}}};
  const TaskName open{JobId("a"), 1, 0, 1};
  SECTION("and its tasks end") {}
  SECTION("and a task fails for the last time") {
    world.run_of = [&](const TaskName&, int) {
      return std::pair{Duration(milliseconds(100)), RunOutcome::kFailed};
    };
  }
  world.Restart(0);
  world.TakeOver();
  world.store_available = true;
  world.Advance(milliseconds(50));
  CHECK(world.stored_progress.at(JobId("a")).steps.empty());
  world.Advance(seconds(12));
  const bool failed = world.StateOf("a") == JobState::kFailed;
  CHECK((failed || world.StateOf("a") == JobState::kCompleted));
  CHECK(world.starts[open] == 1);
  for (int step = 0; step < 2; ++step) {
    CHECK_FALSE(world.starts.contains(TaskName{JobId("a"), 0, step, 0}));
  }
  CHECK_FALSE(world.starts.contains(TaskName{JobId("a"), 1, 0, 0}));
  CHECK(world.stored_chunks.empty());
  CHECK(world.stored_progress.empty());
}

}  // namespace
}  // namespace gypsumfall
