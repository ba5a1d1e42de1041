#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/fake_ports.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

using Fault = FakeStore::Fault;

constexpr int kFirstPort = 29310;

ShardScope OnlyShard() { return ShardScope(ShardId(0)); }

RowAddress Config() { return {"op", "", "config"}; }

// The state as `PlainCallers` answers it.
std::string Text(JobState state) {
  return std::to_string(static_cast<int>(state));
}

/// A store with a configuration and one worker, and the first host.
struct Deployment {
  Deployment() : store(io), workers(io) {
    store.Put(Config(), "1");
    store.Put({"workers", "", "w1"}, "");
    first = std::make_unique<TestHost>(io, store, workers, "a", kFirstPort);
    first->RunUntil([&] { return first->dispatch().is_scheduling(); });
  }

  boost::asio::io_context io{1};
  FakeStore store;
  InstantWorkers workers;
  std::unique_ptr<TestHost> first;
};

TEST_CASE("a job is stored before it is accepted, runs, and is completed") {
  Deployment d;
  CHECK(d.first->Ask(HttpMethod::kPost, "/job1").status == 200);
  REQUIRE(d.store.Find(JobAddress(OnlyShard(), JobId("job1"))) != nullptr);
  while (d.first->Ask(HttpMethod::kGet, "/job1").body !=
         Text(JobState::kCompleted)) {
  }
  // The record stays, emptied, so that the same id is not run again.
  CHECK(d.store.Find(JobAddress(OnlyShard(), JobId("job1")))->value.empty());
  CHECK(d.first->Ask(HttpMethod::kPost, "/job1").status == 200);
  CHECK(d.first->Ask(HttpMethod::kGet, "/job1").body ==
        Text(JobState::kCompleted));
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
  CHECK(d.workers.starts.size() == 2);
}

TEST_CASE("a job that the store does not take is refused at once") {
  Deployment d;
  // Renewals of the duty meet the outage too.
  d.store.Break(Fault::kDown, 1000);
  const CallOutcome refused = d.first->Ask(HttpMethod::kPost, "/job1");
  CHECK(refused.status == 503);
  CHECK(d.store.Find(JobAddress(OnlyShard(), JobId("job1"))) == nullptr);
  d.store.Break(Fault::kNone, 0);
  CHECK(d.first->Ask(HttpMethod::kPost, "/job1").status == 200);
}

TEST_CASE("a lost answer of the store neither loses nor doubles a job") {
  const Fault fault = GENERATE(Fault::kAnswerLost, Fault::kCallLost);
  Deployment d;
  d.store.Break(fault, 3);
  CHECK(d.first->Ask(HttpMethod::kPost, "/job1").status == 200);
  while (d.first->Ask(HttpMethod::kGet, "/job1").body !=
         Text(JobState::kCompleted)) {
  }
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
}

// Neither 503 nor 429 may be said of a job that may be stored and may run.
TEST_CASE("a job whose storing stays unknown is not called refused") {
  Deployment d;
  d.store.Break(Fault::kCallLost, 1000);
  CHECK(d.first->Ask(HttpMethod::kPost, "/job1").status == 504);
}

TEST_CASE("unknown jobs are told apart from jobs not heard of yet") {
  Deployment d;
  CHECK(d.first->Ask(HttpMethod::kGet, "/none").status == 410);
  CHECK(d.first->Ask(HttpMethod::kDelete, "/none").status == 410);
  // Stored by a host whose report to the scheduler was lost.
  JobRecord record{.id = JobId("unheard"), .queue = QueueId("q")};
  record.terms.service = ServiceId("desk");
  record.spec.steps.push_back({.task_count = 1});
  d.store.Put(JobAddress(OnlyShard(), record.id), Encode(record));
  CHECK(d.first->Ask(HttpMethod::kGet, "/unheard").status == 200);
  while (d.first->Ask(HttpMethod::kGet, "/unheard").body !=
         Text(JobState::kCompleted)) {
  }
}

// Reading the rows behind the job as well took seconds on a small host's link.
TEST_CASE("asking for a job that the scheduler does not know reads one row") {
  Deployment d;
  for (int i = 0; i < 100; ++i) {
    const JobId id("later" + std::to_string(i));
    d.store.Put(JobAddress(OnlyShard(), id), "");
  }
  const std::size_t before = d.store.rows_returned;
  CHECK(d.first->Ask(HttpMethod::kGet, "/job1").status == 410);
  CHECK(d.store.rows_returned <= before + 1);
}

TEST_CASE("a cancelled job is stored as cancelled before the answer") {
  Deployment d;
  d.store.Put({"workers", "", "w1"}, "");
  CHECK(d.first->Ask(HttpMethod::kPost, "/job1").status == 200);
  CHECK(d.first->Ask(HttpMethod::kDelete, "/job1").status == 200);
  CHECK(d.store.Find({kEndedTable, OnlyShard().part, "job1"}) != nullptr);
  const std::string state = d.first->Ask(HttpMethod::kGet, "/job1").body;
  CHECK((state == Text(JobState::kCancelled) ||
         state == Text(JobState::kCompleted)));
}

TEST_CASE("any host answers for any job, and another takes over") {
  Deployment d;
  TestHost second(d.io, d.store, d.workers, "b", kFirstPort + 10);
  second.RunUntil([&] { return second.duty().lease().record().has_value(); });
  CHECK(second.Ask(HttpMethod::kPost, "/job1").status == 200);
  while (second.Ask(HttpMethod::kGet, "/job1").body !=
         Text(JobState::kCompleted)) {
  }
  CHECK_FALSE(second.dispatch().is_scheduling());
  d.first->shards().Release();
  CHECK_FALSE(d.first->dispatch().is_scheduling());
  second.RunUntil([&] { return second.dispatch().is_scheduling(); });
  CHECK(second.duty().lease().record()->epoch == Epoch(2));
  CHECK(second.Ask(HttpMethod::kGet, "/job1").body ==
        Text(JobState::kCompleted));
  CHECK(second.Ask(HttpMethod::kPost, "/job2").status == 200);
  while (d.first->Ask(HttpMethod::kGet, "/job2").body !=
         Text(JobState::kCompleted)) {
  }
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
}

/// A store with four workers in two racks, of which a shard carries two.
struct ShardedDeployment {
  ShardedDeployment() : store(io), workers(io) {
    store.Put(Config(), "1");
    for (int i = 0; i < 4; ++i) {
      const std::string rack = i < 2 ? "rack1" : "rack2";
      store.Put({"workers", "", rack + "-w" + std::to_string(i)}, "");
    }
    for (int i = 0; i < 2; ++i) {
      hosts.push_back(std::make_unique<TestHost>(io, store, workers,
                                                 "h" + std::to_string(i),
                                                 kFirstPort + 20 + 10 * i, 2));
    }
    for (auto& host : hosts) {
      host->RunUntil([&] { return host->shards().is_ready(); });
    }
  }

  /// @return whether some host schedules the shard.
  bool IsScheduled(std::size_t shard) {
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto& host) {
      return host->shards().shards()[shard]->dispatch.is_scheduling();
    });
  }
  void AwaitScheduled() {
    hosts[0]->RunUntil([&] { return IsScheduled(0) && IsScheduled(1); });
    // Each host knows whom to ask.
    for (auto& host : hosts) {
      for (const auto& shard : host->shards().shards()) {
        host->RunUntil(
            [&] { return shard->duty.lease().record().has_value(); });
      }
    }
  }

  boost::asio::io_context io{1};
  FakeStore store;
  InstantWorkers workers;
  std::vector<std::unique_ptr<TestHost>> hosts;
};

// One host that takes all shards would carry the load of the whole deployment.
TEST_CASE("a large deployment is split, and its shards over the hosts") {
  ShardedDeployment d;
  REQUIRE(d.hosts[0]->shards().shards().size() == 2);
  REQUIRE(d.hosts[1]->shards().shards().size() == 2);
  d.AwaitScheduled();
  for (auto& host : d.hosts) {
    int held = 0;
    for (const auto& shard : host->shards().shards()) {
      if (shard->dispatch.is_scheduling()) ++held;
    }
    CHECK(held == 1);
  }
}

TEST_CASE("each job runs in its shard, and any host answers for it") {
  ShardedDeployment d;
  d.AwaitScheduled();
  for (int i = 0; i < 8; ++i) {
    const std::string path = "/job" + std::to_string(i);
    CHECK(d.hosts[0]->Ask(HttpMethod::kPost, path).status == 200);
    while (d.hosts[1]->Ask(HttpMethod::kGet, path).body !=
           Text(JobState::kCompleted)) {
    }
    const JobId id(path.substr(1));
    int stored = 0;
    for (std::uint64_t shard = 0; shard < 2; ++shard) {
      const ShardScope scope{ShardId(shard)};
      if (d.store.Find(JobAddress(scope, id)) != nullptr) ++stored;
    }
    CHECK(stored == 1);
  }
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
  CHECK(d.hosts[0]->Ask(HttpMethod::kGet, "/").status == 200);
}

// Long-running jobs reserve processors for minutes. When chance put many into
// one shard, they waited there while another shard had room.
TEST_CASE("a long job goes to an emptier shard, and any host finds it there") {
  ShardedDeployment d;
  d.AwaitScheduled();
  const ShardLayout layout = *d.hosts[0]->layout().layout();
  const ShardScope home{ShardId(0)};
  const ShardScope other{ShardId(1)};
  // Lets the host learn how full the shards are.
  const auto ask_both = [&](int round) {
    for (int i = 0; i < 8; ++i) {
      const std::string id =
          "job" + std::to_string(round) + "-" + std::to_string(i);
      CHECK(d.hosts[0]->Ask(HttpMethod::kPost, "/" + id).status == 200);
    }
  };
  std::vector<JobId> ids;
  for (int i = 0; ids.size() < 3; ++i) {
    const JobId id("long" + std::to_string(i));
    if (ShardOf(layout, id) == home.id) ids.push_back(id);
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const JobId& id = ids[i];
    ask_both(static_cast<int>(i));
    CHECK(d.hosts[0]->Ask(HttpMethod::kPost, "/" + id.str()).status == 200);
    d.hosts[0]->RunUntil([&] {
      return d.workers.starts.contains({id, 0, 0, 1});
    });
  }
  int moved = 0;
  for (const JobId& id : ids) {
    const bool at_home = d.store.Find(JobAddress(home, id)) != nullptr;
    const bool elsewhere = d.store.Find(JobAddress(other, id)) != nullptr;
    CHECK(at_home != elsewhere);
    if (elsewhere) ++moved;
    // The other host has not seen where the job went.
    const std::string path = "/" + id.str();
    CHECK(d.hosts[1]->Ask(HttpMethod::kPost, path).status == 200);
    CHECK(d.hosts[1]->Ask(HttpMethod::kGet, path).body ==
          Text(JobState::kRunning));
    CHECK((d.store.Find(JobAddress(home, id)) != nullptr) == at_home);
    CHECK(d.hosts[1]->Ask(HttpMethod::kDelete, path).status == 200);
    CHECK(d.hosts[0]->Ask(HttpMethod::kGet, path).body ==
          Text(JobState::kCancelled));
  }
  CHECK(moved >= 1);
  CHECK(moved <= 2);
  for (const JobId& id : ids) CHECK(d.workers.starts[{id, 0, 0, 0}] == 1);
  CHECK(d.hosts[1]->Ask(HttpMethod::kGet, "/long-unknown").status == 410);
}

// Each step of storing a moved job can lose its answer or its call.
TEST_CASE("a lost answer neither loses nor doubles a job that is moved") {
  const Fault fault = GENERATE(Fault::kAnswerLost, Fault::kCallLost);
  const int count = GENERATE(1, 2, 3);
  ShardedDeployment d;
  d.AwaitScheduled();
  const ShardLayout layout = *d.hosts[0]->layout().layout();
  const JobId id("long-moved");
  const ShardId home = ShardOf(layout, id);
  const ShardId other(1 - home.value());
  d.store.Put(PlacementAddress(ShardScope(home), id), EncodePlacement({other}));
  d.store.Break(fault, count);
  CHECK(d.hosts[0]->Ask(HttpMethod::kPost, "/" + id.str()).status == 200);
  CHECK(d.store.Find(JobAddress(ShardScope(home), id)) == nullptr);
  CHECK(d.store.Find(JobAddress(ShardScope(other), id)) != nullptr);
  d.hosts[0]->RunUntil([&] {
    return d.workers.starts.contains({id, 0, 0, 1});
  });
  for (const auto& [task, starts] : d.workers.starts) CHECK(starts == 1);
}

// Two schedulers that both command a worker would give it more than it holds.
TEST_CASE("workers of a new rack join one shard") {
  ShardedDeployment d;
  d.AwaitScheduled();
  d.store.Put({"workers", "", "rack3-w9"}, "");
  const auto racks = [&](std::size_t host) {
    return d.hosts[host]->layout().layout()->racks.size();
  };
  d.hosts[0]->RunUntil([&] { return racks(0) == 3 && racks(1) == 3; });
  const StoredRow* row = d.store.Find({kLayoutTable, "", kLayoutKey});
  REQUIRE(row != nullptr);
  CHECK(DecodeLayout(row->value)->racks.size() == 3);
}

TEST_CASE("a host whose duty row was replaced stores nothing any more") {
  Deployment d;
  const StoredRow* row = d.store.Find({kDutyTable, OnlyShard().part, kDutyKey});
  REQUIRE(row != nullptr);
  DutyRecord other = *Decode<DutyRecord>(row->value);
  other.holder = EntryHostId("z");
  other.process = "process-z";
  other.epoch = other.epoch.Next();
  d.store.Put({kDutyTable, OnlyShard().part, kDutyKey}, Encode(other));
  d.first->RunUntil([&] { return !d.first->dispatch().is_scheduling(); });
  CHECK(*Decode<DutyRecord>(
            d.store.Find({kDutyTable, OnlyShard().part, kDutyKey})->value) ==
        other);
}

TEST_CASE("a newer configuration comes into force, an older one never") {
  Deployment d;
  const auto version = [&] { return d.first->topology().topology()->version; };
  d.store.Put(Config(), "5");
  d.first->RunUntil([&] { return version() == TopologyVersion(5); });
  // An older one, and one that can not be read, as another writer may leave.
  for (const std::string value : {"4", ""}) {
    d.store.Put(Config(), value);
    CHECK(d.first->Ask(HttpMethod::kPost, "/job" + value).status == 200);
    CHECK(version() == TopologyVersion(5));
  }
  d.store.Put(Config(), "6");
  d.first->RunUntil([&] { return version() == TopologyVersion(6); });
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
