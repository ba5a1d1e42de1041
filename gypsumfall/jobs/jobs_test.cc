#include "gypsumfall/jobs/jobs.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace gypsumfall {
namespace {

JobSpec TwoStepSpec() {
  JobSpec spec;
  spec.payload = "quote \"42\"\n";
  spec.steps.push_back({.task_count = 3,
                        .need = {MilliCores(500), MebiBytes(64), {}},
                        .declared_run_time = milliseconds(400)});
  spec.steps.push_back({.task_count = 2,
                        .need = {MilliCores(1000), MebiBytes(128), {}},
                        .declared_run_time = milliseconds(700),
                        .after = {0},
                        .checkpoints = true,
                        .max_per_worker = 1,
                        .image = ImageId("img-7"),
                        .best_effort = true});
  return spec;
}

TEST_CASE("a stored job decodes to the accepted job") {
  JobRecord record{.id = JobId("0123456789abcdef"),
                   .queue = QueueId("quotes"),
                   .terms = {.service = ServiceId("desk"),
                             .priority = 2,
                             .max_attempts = 4,
                             .objective = milliseconds(3200)},
                   .accepted_epoch = Epoch(3),
                   .accepted_at = WallTime(1'700'000'000'123),
                   .spec = TwoStepSpec()};
  const Result<JobRecord> decoded = Decode<JobRecord>(Encode(record));
  REQUIRE(decoded);
  CHECK(decoded->id == record.id);
  CHECK(decoded->terms.service == ServiceId("desk"));
  CHECK(decoded->terms.priority == 2);
  CHECK(decoded->terms.max_attempts == 4);
  CHECK(decoded->terms.objective == milliseconds(3200));
  CHECK(decoded->accepted_epoch == Epoch(3));
  CHECK(decoded->accepted_at == record.accepted_at);
  CHECK(decoded->spec.payload == record.spec.payload);
  REQUIRE(decoded->spec.steps.size() == 2);
  const StepSpec& step = decoded->spec.steps[1];
  CHECK(step.after == std::vector<int>{0});
  CHECK(step.checkpoints);
  CHECK(step.best_effort);
  CHECK_FALSE(step.gang);
  CHECK(step.image == ImageId("img-7"));
  CHECK(step.declared_run_time == milliseconds(700));
}

TEST_CASE("progress of a job decodes, with and without failures") {
  JobProgress progress{
      .id = JobId("a"),
      .queue = QueueId("q"),
      .state = JobState::kRunning,
      .steps = {{.step = 1, .done = "010", .failed_runs = {}},
                {.occurrence = 2, .done = "00", .failed_runs = {{}, {1, 3}}}}};
  const Result<JobProgress> decoded = Decode<JobProgress>(Encode(progress));
  REQUIRE(decoded);
  REQUIRE(decoded->steps.size() == 2);
  CHECK(decoded->steps[0].step == 1);
  CHECK(decoded->steps[0].done == "010");
  CHECK(decoded->steps[1].occurrence == 2);
  CHECK(decoded->steps[1].failed_runs ==
        std::vector<std::vector<std::uint64_t>>{{}, {1, 3}});
}

TEST_CASE("rows in an unknown format are rejected, not partly decoded") {
  CHECK_FALSE(Decode<JobRecord>("{\"id\":7}"));
  CHECK_FALSE(Decode<JobProgress>("not JSON"));
  CHECK_FALSE(Decode<JobProgress>(
      R"({"id":"a","queue":"q","state":"melted","ended_at_ms":0})"));
}

TEST_CASE("invalid jobs are rejected") {
  struct Case {
    std::string name;
    void (*invalidate)(JobSpec&);
  };
  const Case cases[] = {
      {"no steps", [](JobSpec& spec) { spec.steps.clear(); }},
      {"no tasks", [](JobSpec& spec) { spec.steps[0].task_count = 0; }},
      {"too many tasks",
       [](JobSpec& spec) { spec.steps[0].task_count = 100'000; }},
      {"after itself", [](JobSpec& spec) { spec.steps[0].after = {0}; }},
      {"after a later step", [](JobSpec& spec) { spec.steps[0].after = {1}; }},
      {"negative", [](JobSpec& spec) { spec.steps[1].after = {-1}; }},
      {"negative need",
       [](JobSpec& spec) { spec.steps[0].need.cpu = MilliCores(-1); }},
      {"no interval", [](JobSpec& spec) { spec.repetitions = 3; }},
      {"payload", [](JobSpec& spec) { spec.payload.assign(5000, 'x'); }},
  };
  CHECK(ValidateJob(TwoStepSpec()));
  for (const Case& test_case : cases) {
    JobSpec spec = TwoStepSpec();
    test_case.invalidate(spec);
    INFO(test_case.name);
    CHECK_FALSE(ValidateJob(spec));
  }
}

TEST_CASE("the critical path follows the dependencies") {
  JobSpec spec = TwoStepSpec();
  CHECK(CriticalPath(spec) == milliseconds(1100));
  const std::vector<Duration> remaining = RemainingCriticalPaths(spec);
  REQUIRE(remaining.size() == spec.steps.size());
  CHECK(*std::max_element(remaining.begin(), remaining.end()) ==
        milliseconds(1100));
  CHECK(remaining.back() == spec.steps.back().declared_run_time);
  spec.steps[1].after.clear();
  CHECK(CriticalPath(spec) == milliseconds(700));
}

TEST_CASE("a request goes to the queue with the longest prefix") {
  Topology topology;
  topology.queues = {
      {.id = QueueId("a"), .host_name = "h", .path_prefix = "/"},
      {.id = QueueId("b"), .host_name = "h", .path_prefix = "/jobs/"},
      {.id = QueueId("c"), .host_name = "other", .path_prefix = "/jobs/fast/"}};
  CHECK(topology.Route("h", "/jobs/1")->id == QueueId("b"));
  CHECK(topology.Route("h", "/x")->id == QueueId("a"));
  CHECK(topology.Route("other", "/jobs/slow/1") == nullptr);
  CHECK(topology.Route("none", "/jobs/1") == nullptr);
}

}  // namespace
}  // namespace gypsumfall
