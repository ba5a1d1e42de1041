#include "gypsumfall/shards/shards.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace gypsumfall {
namespace {

constexpr int kRacksPerDataCentre = 11;

std::vector<RackCapacity> Racks(int data_centres) {
  std::vector<RackCapacity> racks;
  for (int d = 0; d < data_centres; ++d) {
    for (int r = 0; r < kRacksPerDataCentre; ++r) {
      const std::string name =
          "d" + std::to_string(d) + "-r" + std::to_string(r);
      racks.push_back({RackId(name), DataCentreId("d" + std::to_string(d)),
                       MilliCores(r % 3 == 0 ? 576'000 : 384'000)});
    }
  }
  return racks;
}

TEST_CASE("the number of shards grows with the number of workers") {
  CHECK(ShardCountFor(0, 128) == 1);
  CHECK(ShardCountFor(66, 128) == 1);
  CHECK(ShardCountFor(128, 128) == 1);
  CHECK(ShardCountFor(129, 128) == 2);
  CHECK(ShardCountFor(490, 128) == 4);
  CHECK(ShardCountFor(1'000'000, 128) == kMaxShards);
}

// Jobs are distributed over shards by a hash of their ids. In a shard with
// fewer processors than the others, jobs would wait while other shards have
// capacity.
TEST_CASE("shards get equal capacity, and racks of every data centre") {
  ShardLayout layout{.shard_count = 4, .racks = {}};
  REQUIRE(AssignRacks(layout, Racks(4)));
  std::map<ShardId, std::int64_t> assigned_cpu;
  std::map<ShardId, std::set<std::string>> data_centres;
  for (const RackAssignment& assignment : layout.racks) {
    assigned_cpu[assignment.shard] += assignment.cpu.value();
    data_centres[assignment.shard].insert(assignment.rack.str().substr(0, 2));
  }
  REQUIRE(assigned_cpu.size() == 4);
  const auto [least, most] = std::minmax_element(
      assigned_cpu.begin(), assigned_cpu.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CHECK(most->second - least->second <= 576'000);
  for (const auto& [shard, names] : data_centres) CHECK(names.size() == 4);
}

// If a rack changed its shard, two schedulers could assign tasks to one worker
// and exceed its capacity.
TEST_CASE("assigning new racks does not move assigned racks") {
  ShardLayout layout{.shard_count = 3, .racks = {}};
  AssignRacks(layout, Racks(2));
  const ShardLayout before = layout;
  CHECK_FALSE(AssignRacks(layout, Racks(2)));
  REQUIRE(AssignRacks(layout, Racks(3)));
  REQUIRE(layout.racks.size() == before.racks.size() + kRacksPerDataCentre);
  for (std::size_t i = 0; i < before.racks.size(); ++i) {
    CHECK(layout.racks[i].rack == before.racks[i].rack);
    CHECK(layout.racks[i].shard == before.racks[i].shard);
  }
}

TEST_CASE("jobs are distributed evenly over the shards") {
  const ShardLayout layout{.shard_count = 4, .racks = {}};
  std::map<ShardId, int> jobs;
  for (int i = 0; i < 4000; ++i) {
    ++jobs[ShardOf(layout, JobId("job" + std::to_string(i)))];
  }
  for (const auto& [shard, count] : jobs) CHECK(count > 800);
}

TEST_CASE("a worker belongs to the shard of its rack, if it is assigned") {
  ShardLayout layout{.shard_count = 2, .racks = {}};
  AssignRacks(layout, {{RackId("r1"), DataCentreId("d"), MilliCores(1)}});
  const ShardMap map(layout);
  CHECK(map.ShardOf(WorkerId("w1"), RackId("r1")) == ShardId(0));
  CHECK_FALSE(map.ShardOf(WorkerId("w1"), RackId("r2")));
  CHECK(map.ShardOf(WorkerId("w1"), RackId()));
  CHECK(ShardMap({}).ShardOf(WorkerId("w1"), RackId("r2")) == ShardId(0));
}

// Guards against imbalance of long-running jobs, which reserve four fifths of
// all processors. The pattern: a deployment starts, and 173 such jobs arrive
// within a second at 97 hosts that know nothing of each other. Placed as a
// whole by their ids, they filled one shard while another had a third of its
// processors free.
TEST_CASE("slices of long-running jobs load all shards alike") {
  constexpr int kTasksPerJob = 24;
  const ShardLayout layout{.shard_count = 4, .racks = {}};
  std::vector<int> by_job(4, 0);
  std::vector<int> by_slice(4, 0);
  for (int i = 0; i < 173; ++i) {
    const JobId id("job" + std::to_string(i));
    by_job[ShardOf(layout, id).value()] += kTasksPerJob;
    for (std::uint64_t shard = 0; shard < 4; ++shard) {
      const JobSlice slice = SliceOf(layout, ShardId(shard), id);
      for (std::uint64_t task = 0; task < kTasksPerJob; ++task) {
        if (slice.Contains(task)) ++by_slice[shard];
      }
    }
  }
  const auto spread = [](const std::vector<int>& tasks) {
    const auto [least, most] = std::minmax_element(tasks.begin(), tasks.end());
    return *most - *least;
  };
  CHECK(spread(by_job) > 5 * kTasksPerJob);
  CHECK(spread(by_slice) == 0);
}

// Guards against a task that runs in two shards, or in none.
TEST_CASE("the slices of a job are disjoint and contain each task") {
  const std::uint64_t shards = GENERATE(1, 2, 3, 7, kMaxShards);
  const ShardLayout layout{.shard_count = shards, .racks = {}};
  for (int i = 0; i < 20; ++i) {
    const JobId id("job" + std::to_string(i));
    for (std::uint64_t task = 0; task < 30; ++task) {
      int containing = 0;
      for (std::uint64_t shard = 0; shard < shards; ++shard) {
        if (SliceOf(layout, ShardId(shard), id).Contains(task)) ++containing;
      }
      CHECK(containing == 1);
    }
    CHECK(SliceOf(layout, ShardOf(layout, id), id).Contains(0));
  }
}

TEST_CASE("a stored layout decodes unchanged, and an invalid one is rejected") {
  ShardLayout layout{.shard_count = 2, .racks = {}};
  AssignRacks(layout, Racks(1));
  const Result<ShardLayout> decoded = DecodeLayout(EncodeLayout(layout));
  REQUIRE(decoded);
  CHECK(decoded->shard_count == 2);
  REQUIRE(decoded->racks.size() == layout.racks.size());
  CHECK(decoded->racks.back().rack == layout.racks.back().rack);
  CHECK(decoded->racks.back().cpu == layout.racks.back().cpu);
  const std::string invalid = GENERATE("", "{}", R"({"shards":0,"racks":[]})",
                                       R"({"shards":65,"racks":[]})",
                                       R"({"shards":1,"racks":[
                                     {"rack":"r","shard":1,"cpu":1}]})");
  CHECK_FALSE(DecodeLayout(invalid));
}

}  // namespace
}  // namespace gypsumfall
