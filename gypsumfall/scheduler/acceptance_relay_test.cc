// Tests the acceptance of jobs by a host that the store does not serve.

#include <catch2/catch.hpp>
#include <string>

#include "gypsumfall/scheduler/internal/fake_ports.h"
#include "gypsumfall/scheduler/internal/sharded_deployment.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

using Fault = FakeStore::Fault;

constexpr int kAlways = 1'000'000;

/// A deployment in which each host leads a shard and the first one receives
/// jobs.
struct RelayDeployment : ShardedDeployment {
  /// @param leader host that leads the home shard of `job`.
  /// @param prefix prefix of the job's id.
  explicit RelayDeployment(std::size_t leader, bool relays = true,
                           const std::string& prefix = "job")
      : ShardedDeployment(relays) {
    AwaitScheduled();
    const auto& shards = hosts[leader]->shards();
    for (int i = 0; job.empty(); ++i) {
      const JobId id(prefix + std::to_string(i));
      if (shards.HomeShardOf(id).dispatch.is_scheduling()) job = id;
      REQUIRE(i < 1000);
    }
    row = IsLongRunning(job)
              ? RowAddress{kSlicedJobTable, kSlicedJobPartition, job.str()}
              : JobAddress(shards.HomeShardOf(job).scope, job);
  }

  void Fail(const std::string& host, Fault fault, int count = kAlways) {
    store.InjectHostFault(host, fault, count, row.table);
  }
  int Submit() {
    return hosts[0]->SendRequest(HttpMethod::kPost, "/" + job.str()).status;
  }
  void CheckRunsOnce() {
    hosts[0]->RunUntil([&] { return workers.starts.size() == 2; });
    for (const auto& [task, starts] : workers.starts) CHECK(starts == 1);
  }

  JobId job;
  RowAddress row;
};

// Guards against jobs refused, or answered as unknown, by a host that the store
// fails while it serves others (the host may itself be the home leader), and
// against an own write that was carried out being a second job.
TEST_CASE("a job is stored through a leader while the store fails the host") {
  const auto [leader, prefix] = GENERATE(
      table<std::size_t, std::string>({{0, "job"}, {1, "job"}, {1, "long"}}));
  RelayDeployment d(leader, /*relays=*/true, prefix);
  d.Fail("h0", GENERATE(Fault::kDown, Fault::kCallLost, Fault::kAnswerLost));
  CHECK(d.Submit() == 200);
  d.CheckRunsOnce();
  CHECK(d.hosts[0]->metrics().AddCounter("jobs_stored_through_peer").value() ==
        1);
}

// Guards against a changed answer where the operator has not asked for relays.
TEST_CASE("without the setting, no job is stored through another host") {
  RelayDeployment d(1, /*relays=*/false);
  d.Fail("h1", Fault::kNone);
  const auto [fault, status] = GENERATE(
      table<Fault, int>({{Fault::kDown, 503}, {Fault::kCallLost, 504}}));
  d.Fail("h0", fault);
  CHECK(d.Submit() == status);
  CHECK(d.store.faulty_writes("h1") == 0);
}

// Guards against calls that go round between hosts, and against "not run" being
// answered less or more often than is true.
TEST_CASE("a job that no host can store is relayed once and refused") {
  RelayDeployment d(1);
  d.Fail("h0", Fault::kDown);
  d.Fail("h1", Fault::kDown);
  CHECK(d.Submit() == 503);
  CHECK(d.store.faulty_writes("h0") == 1);
  CHECK(d.store.faulty_writes("h1") == 1);
}

// Guards against a stored job being answered as "not run".
TEST_CASE("a leader that is lost after its write leaves an unknown outcome") {
  RelayDeployment d(1);
  d.Fail("h0", Fault::kDown);
  const auto [fault, status] = GENERATE(
      table<Fault, int>({{Fault::kHostLost, 504}, {Fault::kAnswerLost, 200}}));
  d.Fail("h1", fault, 1);
  CHECK(d.Submit() == status);
  // The caller's retry is another record of the same job.
  CHECK(d.Submit() == 200);
  d.CheckRunsOnce();
}

// Guards against accepting a job whose caller was told that it does not exist.
TEST_CASE("a relayed job that was cancelled before is not accepted") {
  RelayDeployment d(1);
  d.store.Put(d.row, Encode(JobProgress{.id = d.job,
                                        .queue = QueueId("q"),
                                        .state = JobState::kCancelled,
                                        .steps = {},
                                        .never_accepted = true}));
  d.Fail("h0", Fault::kDown);
  CHECK(d.Submit() == 410);
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
