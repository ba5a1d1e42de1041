#include "gypsumfall/jobs/jobs.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <vector>

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

// Guards against a part of a job's state that is lost when the job moves.
TEST_CASE("a stored move decodes to the moved job") {
  const JobId id("0123456789abcdef");
  JobMove move{.record = {.id = id, .queue = QueueId("quotes")},
               .home = ShardId(0),
               .from = ShardId(2),
               .to = ShardId(1),
               .number = 3,
               .last_run = RunNumber(2051),
               .started = true,
               .for_load = true,
               .progress = {.id = id, .queue = QueueId("quotes")},
               .chunks = {},
               .checkpoints = {{{id, 0, 1, 1}, Checkpoint("c1")}}};
  move.record.accepted_epoch = Epoch(7);
  move.record.spec = TwoStepSpec();
  move.progress.completed.resize(2);
  move.progress.completed.set(1);
  ChunkProgress chunk{.row = {.job = id, .occurrence = 1, .chunk = 0}};
  chunk.done.resize(5);
  chunk.done.set(2);
  chunk.failures.push_back({.task = 4, .forgotten = 1, .runs = {5, 9}});
  move.chunks.push_back(chunk);
  const Result<JobMove> decoded = Decode<JobMove>(Encode(move));
  REQUIRE(decoded);
  CHECK(decoded->home == move.home);
  CHECK(decoded->from == move.from);
  CHECK(decoded->to == move.to);
  CHECK(decoded->number == 3);
  CHECK(decoded->last_run == RunNumber(2051));
  CHECK(decoded->started);
  CHECK(decoded->for_load);
  CHECK(decoded->record.accepted_epoch == Epoch(7));
  CHECK(decoded->record.spec.steps.size() == 2);
  // Leading zeros are not kept.
  CHECK(decoded->progress.completed.count() == 1);
  CHECK(decoded->progress.completed.find_first() == 1);
  REQUIRE(decoded->chunks.size() == 1);
  CHECK(decoded->chunks[0].row == chunk.row);
  CHECK(decoded->chunks[0].done.count() == 1);
  CHECK(decoded->chunks[0].done.find_first() == 2);
  REQUIRE(decoded->chunks[0].failures.size() == 1);
  CHECK(decoded->chunks[0].failures[0].runs ==
        std::vector<std::uint64_t>{5, 9});
  REQUIRE(decoded->checkpoints.size() == 1);
  CHECK(decoded->checkpoints[0].task == TaskName{id, 0, 1, 1});
  CHECK(decoded->checkpoints[0].checkpoint == Checkpoint("c1"));
}

// Guards against offers for load that leaders of earlier versions cannot read
// or take for offers of jobs that no worker could run, and against messages of
// these leaders that are rejected.
TEST_CASE("offers for load are additions to the messages") {
  OfferJobsRequest request;
  CHECK(Encode(request).find("load") == std::string::npos);
  LoadOffer load{.offer = {.job = JobId("j"), .terms = {}, .step = {}},
                 .waited = milliseconds(400),
                 .expected_wait = seconds(3),
                 .backlog = CoreMilliseconds(12'000)};
  request.load_offers.push_back(load);
  const Result<OfferJobsRequest> decoded =
      Decode<OfferJobsRequest>(Encode(request));
  REQUIRE(decoded);
  CHECK(decoded->offers.empty());
  REQUIRE(decoded->load_offers.size() == 1);
  CHECK(decoded->load_offers[0].offer.job == JobId("j"));
  CHECK(decoded->load_offers[0].waited == milliseconds(400));
  CHECK(decoded->load_offers[0].expected_wait == seconds(3));
  CHECK(decoded->load_offers[0].backlog == CoreMilliseconds(12'000));
  CHECK(Decode<OfferJobsRequest>(R"({"offers":[]})"));
  const Result<OfferJobsReply> reply =
      Decode<OfferJobsReply>(R"({"epoch":4,"wanted":["k"]})");
  REQUIRE(reply);
  CHECK(reply->wanted.size() == 1);
  CHECK(reply->wanted_for_load.empty());
  const std::string encoded =
      Encode(OfferJobsReply{.epoch = Epoch(4), .wanted = {JobId("k")}});
  CHECK(encoded.find("load") == std::string::npos);
}

// Guards against shard 0, which is a valid one, taken for no shard.
TEST_CASE("a state tells whether the job was moved") {
  for (const std::optional<ShardId> shard :
       {std::optional<ShardId>(), std::optional(ShardId(0)),
        std::optional(ShardId(3))}) {
    const auto decoded = Decode<JobStateReply>(
        Encode(JobStateReply{true, JobState::kRunning, shard}));
    REQUIRE(decoded);
    CHECK(decoded->moved_to == shard);
  }
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

// Guards against leader rows that earlier versions cannot read or that grow
// although no load is measured.
TEST_CASE("the load of a leader row is optional") {
  LeaderRecord leader{.holder = EntryHostId("a")};
  const std::string without = Encode(leader);
  CHECK(without.find("load") == std::string::npos);
  CHECK(*Decode<LeaderRecord>(without) == leader);
  leader.load = "1 5 0 0 1 1 1 1 100 100";
  CHECK(*Decode<LeaderRecord>(Encode(leader)) == leader);
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
