// Tests that the memory of the dispatcher follows the work that runs, and not
// all future and past work of the jobs. All allocations of the test program are
// counted.

#include <malloc.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace {

std::size_t allocated_bytes = 0;

}  // namespace

void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  allocated_bytes += malloc_usable_size(memory);
  return memory;
}
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  void* memory = std::malloc(size);
  if (memory != nullptr) allocated_bytes += malloc_usable_size(memory);
  return memory;
}
void operator delete(void* memory) noexcept {
  allocated_bytes -= malloc_usable_size(memory);
  std::free(memory);
}
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace gypsumfall {
namespace {

// What control may use on a host.
constexpr std::size_t kMaxBytes = 64'000'000;
constexpr int kJobs = 80;

StepSpec Tasks(int count) {
  return {.task_count = count,
          .need = {MilliCores(1000), MebiBytes(100), Accelerators(0)},
          .declared_run_time = milliseconds(300)};
}

JobSpec PeriodicJob(int steps, int tasks, int repetitions, WallTime first_due,
                    WallTime interval) {
  JobSpec spec;
  spec.payload.assign(kMaxPayloadBytes, 'x');
  spec.steps.assign(static_cast<std::size_t>(steps), Tasks(tasks));
  spec.repetitions = repetitions;
  spec.first_due = first_due;
  spec.interval = interval;
  return spec;
}

std::string JobName(int number) { return "job" + std::to_string(number); }

// Guards against a leader that is killed for its memory as soon as it knows
// jobs that are due in the future, and each successor with it.
TEST_CASE("memory does not grow with the occurrences of a job") {
  SimulatedCluster world(4);
  const WallTime due = GENERATE(WallTime(0), WallTime(3'600'000));
  const WallTime interval = GENERATE(WallTime(1), WallTime(3'600'000));
  const int tasks = GENERATE(8, kMaxTasksPerStep);
  const int steps = GENERATE(2, kMaxStepsPerJob);
  INFO("due in " << due.count() << " ms, every " << interval.count() << " ms, "
                 << steps << " steps of " << tasks << " tasks");
  const std::size_t before = allocated_bytes;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(
        world.Record(JobName(i), PeriodicJob(steps, tasks, kMaxOccurrences,
                                             world.WallNow() + due, interval)));
  }
  CHECK(allocated_bytes - before < kMaxBytes);
  world.Advance(milliseconds(500));
  CHECK(allocated_bytes - before < kMaxBytes);
  world.TakeOver();
  world.Advance(milliseconds(500));
  CHECK(allocated_bytes - before < kMaxBytes);
}

// Guards against memory for all tasks of ended jobs, which are kept for some
// minutes.
TEST_CASE("an ended job needs less memory than its payload") {
  SimulatedCluster world(1);
  const Time now = world.now();
  Dispatcher dispatcher({}, Epoch(1), now);
  const std::size_t before = allocated_bytes;
  for (int i = 0; i < kJobs; ++i) {
    const JobRecord record = world.Record(
        JobName(i), PeriodicJob(8, 100, 100, WallTime(0), WallTime(1)));
    dispatcher.Submit(record, now, world.WallNow());
    REQUIRE(dispatcher.Cancel(record.id, now, world.WallNow()));
  }
  dispatcher.Decide(now);
  dispatcher.TakeEvents();
  while (dispatcher.HasRecords())
    dispatcher.OnRecorded(dispatcher.TakeRecords(90));
  CHECK(allocated_bytes - before < kJobs * kMaxPayloadBytes);
  CHECK(dispatcher.StateOf(JobId(JobName(0))).state == JobState::kCancelled);
}

// Guards against memory for each pair of images that the leader has ever seen.
TEST_CASE("memory does not grow with the pairs of images") {
  SimulatedCluster world(4, {MilliCores(10'000'000), MebiBytes(1'000'000), {}});
  const std::size_t before = allocated_bytes;
  constexpr int kImages = 6000;
  for (int i = 0; i < kImages; ++i) {
    JobSpec spec;
    spec.steps = {Tasks(1)};
    spec.steps[0].image = ImageId("image" + std::to_string(i));
    world.Submit(world.Record(JobName(i), spec));
  }
  world.Advance(seconds(2));
  CHECK(allocated_bytes - before < kMaxBytes);
}

// Guards against entries for cancelled jobs that stay until the jobs would have
// been due.
TEST_CASE("a cancelled job leaves nothing behind after its retention") {
  SimulatedCluster world(1);
  const Time now = world.now();
  const WallTime wall_now = world.WallNow();
  const WallTime year{std::chrono::hours(24 * 365)};
  Dispatcher dispatcher({}, Epoch(1), now);
  constexpr std::size_t kCancelledJobs = 20'000;
  std::size_t before = 0;
  for (const bool warm_up : {true, false}) {
    before = warm_up ? 0 : allocated_bytes;
    std::vector<JobId> ids;
    for (std::size_t i = 0; i < kCancelledJobs; ++i) {
      const JobRecord record =
          world.Record(JobName(static_cast<int>(i)),
                       PeriodicJob(1, 1, 10, wall_now + year, year));
      ids.push_back(record.id);
      dispatcher.Submit(record, now, wall_now);
      dispatcher.Cancel(record.id, now, wall_now);
      dispatcher.TakeEvents();
    }
    while (dispatcher.HasRecords())
      dispatcher.OnRecorded(dispatcher.TakeRecords(90));
    CHECK(dispatcher.TakeExpired(ids.size(), wall_now + year).size() ==
          ids.size());
    dispatcher.OnRecordsRemoved(ids);
    while (dispatcher.HasRecords())
      dispatcher.OnRecorded(dispatcher.TakeRecords(90));
  }
  constexpr std::size_t kNoise = 16;
  CHECK(allocated_bytes < before + kCancelledJobs * kNoise);
}

// Guards against occurrences that are not started although there is capacity,
// because a limited number of them is open.
TEST_CASE("occurrences that are due at once all run") {
  SimulatedCluster world(4, {MilliCores(1'000'000), MebiBytes(1'000'000), {}});
  constexpr int kOccurrences = 3000;
  world.Submit(world.Record(
      "a", PeriodicJob(1, 1, kOccurrences, world.WallNow(), WallTime(1))));
  world.Advance(seconds(4));
  SECTION("without a takeover") {}
  SECTION("with a takeover") { world.TakeOver(); }
  world.Advance(seconds(14));
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.starts.size() == kOccurrences);
  for (const auto& [task, starts] : world.starts) CHECK(starts == 1);
}

}  // namespace
}  // namespace gypsumfall
