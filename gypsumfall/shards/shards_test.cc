#include "gypsumfall/shards/shards.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace gypsumfall {
namespace {

constexpr int kRacksPerDataCentre = 11;

std::vector<RackSize> Racks(int data_centres) {
  std::vector<RackSize> racks;
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

TEST_CASE("small deployments have one shard, large ones as many as needed") {
  CHECK(ShardCountFor(0, 128) == 1);
  CHECK(ShardCountFor(66, 128) == 1);
  CHECK(ShardCountFor(128, 128) == 1);
  CHECK(ShardCountFor(129, 128) == 2);
  CHECK(ShardCountFor(490, 128) == 4);
  CHECK(ShardCountFor(1'000'000, 128) == kMaxShards);
}

// A shard with less room than others would keep its jobs waiting while they
// have room, because jobs are spread by their ids alone.
TEST_CASE("shards get equal room, and a part of every data centre") {
  ShardLayout layout{.shard_count = 4, .racks = {}};
  REQUIRE(AssignRacks(layout, Racks(4)));
  std::map<ShardId, std::int64_t> room;
  std::map<ShardId, std::set<std::string>> data_centres;
  for (const RackAssignment& each : layout.racks) {
    room[each.shard] += each.cpu.value();
    data_centres[each.shard].insert(each.rack.str().substr(0, 2));
  }
  REQUIRE(room.size() == 4);
  const auto [least, most] = std::minmax_element(
      room.begin(), room.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CHECK(most->second - least->second <= 576'000);
  for (const auto& [shard, names] : data_centres) CHECK(names.size() == 4);
}

// Two shards that both command a worker would give it more than it holds.
TEST_CASE("racks that come later leave the others where they are") {
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

TEST_CASE("jobs are spread evenly over the shards") {
  const ShardLayout layout{.shard_count = 4, .racks = {}};
  std::map<ShardId, int> jobs;
  for (int i = 0; i < 4000; ++i) {
    ++jobs[ShardOf(layout, JobId("job" + std::to_string(i)))];
  }
  for (const auto& [shard, count] : jobs) CHECK(count > 800);
}

TEST_CASE("a worker's shard is that of its rack, or unknown") {
  ShardLayout layout{.shard_count = 2, .racks = {}};
  AssignRacks(layout, {{RackId("r1"), DataCentreId("d"), MilliCores(1)}});
  const ShardMap map(layout);
  CHECK(map.ShardOf(WorkerId("w1"), RackId("r1")) == ShardId(0));
  CHECK_FALSE(map.ShardOf(WorkerId("w1"), RackId("r2")));
  CHECK(map.ShardOf(WorkerId("w1"), RackId()));
  CHECK(ShardMap({}).ShardOf(WorkerId("w1"), RackId("r2")) == ShardId(0));
}

constexpr MilliCores kCapacity(100'000);
constexpr MilliCores kJob(2'000);

MilliCores Plus(MilliCores a, MilliCores b) {
  return MilliCores(a.value() + b.value());
}

/// @return the difference between the fullest and the emptiest of four shards
///   after 160 jobs from `hosts` hosts, as part of the capacity.
double Imbalance(int hosts, bool by_hash, bool heard) {
  const ShardLayout layout{.shard_count = 4, .racks = {}};
  std::vector<std::vector<ShardLoad>> known(
      static_cast<std::size_t>(hosts),
      std::vector<ShardLoad>(4, ShardLoad{.capacity = kCapacity}));
  std::vector<std::int64_t> used(4, 0);
  for (int i = 0; i < 160; ++i) {
    auto& loads = known[static_cast<std::size_t>(i % hosts)];
    const ShardId home = ShardOf(layout, JobId("job" + std::to_string(i)));
    if (heard) {
      for (std::size_t s = 0; s < loads.size(); ++s) {
        loads[s] = {MilliCores(kCapacity.value() - used[s]), kCapacity,
                    Time(seconds(1)), MilliCores(0)};
      }
    }
    const ShardId shard =
        by_hash ? home : ChooseShard(home, loads, Time(seconds(2)));
    loads[shard.value()].sent = Plus(loads[shard.value()].sent, kJob);
    used[shard.value()] += kJob.value();
  }
  const auto [least, most] = std::minmax_element(used.begin(), used.end());
  return static_cast<double>(*most - *least) /
         static_cast<double>(kCapacity.value());
}

// Long-running jobs reserve processors for minutes. With hashing alone a
// long-running task waited 10 s in a full shard while another had room.
TEST_CASE("long-running jobs fill shards evenly") {
  CHECK(Imbalance(1, true, false) > 0.1);
  CHECK(Imbalance(1, false, true) <= 0.05);
  // All at once, before any host has heard how full the shards are.
  CHECK(Imbalance(1, false, false) <= 0.05);
  CHECK(Imbalance(20, false, false) < Imbalance(20, true, false) / 2);
}

TEST_CASE("a shard that was not heard of lately is not chosen for its load") {
  const ShardLoad full{MilliCores(10), MilliCores(100), Time(seconds(10)), {}};
  const ShardLoad empty{MilliCores(90), MilliCores(100), Time(seconds(10)), {}};
  const ShardId home(0);
  CHECK(ChooseShard(home, {full, empty}, Time(seconds(11))) == ShardId(1));
  CHECK(ChooseShard(home, {full, empty}, Time(seconds(16))) == home);
  CHECK(ChooseShard(home, {ShardLoad{}, empty}, Time(seconds(11))) == home);
  CHECK(ChooseShard(home, {full, ShardLoad{}}, Time(seconds(11))) == home);
  CHECK(ChooseShard(home, {}, Time(seconds(11))) == home);
}

TEST_CASE("a layout is read as it was stored, and a bad one is refused") {
  ShardLayout layout{.shard_count = 2, .racks = {}};
  AssignRacks(layout, Racks(1));
  const Result<ShardLayout> read = DecodeLayout(EncodeLayout(layout));
  REQUIRE(read);
  CHECK(read->shard_count == 2);
  REQUIRE(read->racks.size() == layout.racks.size());
  CHECK(read->racks.back().rack == layout.racks.back().rack);
  CHECK(read->racks.back().cpu == layout.racks.back().cpu);
  const std::string bad = GENERATE("", "{}", R"({"shards":0,"racks":[]})",
                                   R"({"shards":65,"racks":[]})",
                                   R"({"shards":1,"racks":[
                                     {"rack":"r","shard":1,"cpu":1}]})");
  CHECK_FALSE(DecodeLayout(bad));
}

}  // namespace
}  // namespace gypsumfall
