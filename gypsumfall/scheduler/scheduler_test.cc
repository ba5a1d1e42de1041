#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/fake_ports.h"
#include "gypsumfall/scheduler/internal/sharded_deployment.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

using Fault = FakeStore::Fault;

ShardScope OnlyShard() { return ShardScope(ShardId(0)); }

/// A store with a configuration and one worker, and a host that is the leader.
struct Deployment {
  Deployment() : store(io), workers(io) {
    store.Put(ConfigAddress(), "1");
    store.Put({"workers", "", "w1"}, "");
    first = std::make_unique<TestHost>(io, store, workers, "a");
    first->RunUntil([&] { return first->dispatch().is_scheduling(); });
  }

  boost::asio::io_context io{1};
  FakeStore store;
  InstantWorkers workers;
  std::unique_ptr<TestHost> first;
};

TEST_CASE("a job is stored before it is accepted, runs, and is completed") {
  Deployment d;
  CHECK(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
  REQUIRE(d.store.Find(JobAddress(OnlyShard(), JobId("job1"))) != nullptr);
  while (d.first->SendRequest(HttpMethod::kGet, "/job1").body !=
         StateText(JobState::kCompleted)) {
  }
  // The record stays with an empty value, so that a job with the same id is not
  // run again.
  d.first->RunUntil([&] {
    return d.store.Find(JobAddress(OnlyShard(), JobId("job1")))->value.empty();
  });
  CHECK(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
  CHECK(d.first->SendRequest(HttpMethod::kGet, "/job1").body ==
        StateText(JobState::kCompleted));
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
  CHECK(d.workers.starts.size() == 2);
}

TEST_CASE("a job is refused immediately if the store is down") {
  Deployment d;
  // Renewals of the leader lease fail during the outage as well.
  d.store.InjectFault(Fault::kDown, 1000);
  const CallOutcome refused = d.first->SendRequest(HttpMethod::kPost, "/job1");
  CHECK(refused.status == 503);
  CHECK(d.store.Find(JobAddress(OnlyShard(), JobId("job1"))) == nullptr);
  d.store.InjectFault(Fault::kNone, 0);
  CHECK(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
}

TEST_CASE("a lost response of the store neither loses nor duplicates a job") {
  const Fault fault = GENERATE(Fault::kAnswerLost, Fault::kCallLost);
  Deployment d;
  d.store.InjectFault(fault, 3);
  CHECK(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
  while (d.first->SendRequest(HttpMethod::kGet, "/job1").body !=
         StateText(JobState::kCompleted)) {
  }
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
}

// A job that may be stored and may run must not be answered with 503 or 429.
TEST_CASE("a job whose storage has an unknown outcome is not refused") {
  Deployment d;
  d.store.InjectFault(Fault::kCallLost, 1000);
  CHECK(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 504);
}

// Stores a job of which the leader is not told.
void StoreUnreportedJob(FakeStore& store, const JobId& id) {
  JobRecord record{.id = id, .queue = QueueId("q")};
  record.terms.service = ServiceId("desk");
  record.spec.steps.push_back({.task_count = 1});
  store.Put(JobAddress(OnlyShard(), id), Encode(record));
}

TEST_CASE("unknown jobs are distinguished from jobs not reported yet") {
  Deployment d;
  CHECK(d.first->SendRequest(HttpMethod::kGet, "/none").status == 410);
  CHECK(d.first->SendRequest(HttpMethod::kDelete, "/none").status == 410);
  // A job whose report to the leader was lost.
  StoreUnreportedJob(d.store, JobId("unheard"));
  CHECK(d.first->SendRequest(HttpMethod::kGet, "/unheard").status == 200);
  while (d.first->SendRequest(HttpMethod::kGet, "/unheard").body !=
         StateText(JobState::kCompleted)) {
  }
}

// Guards against an accepted job that is never found, because the scan of the
// stored jobs moved on although its full read had failed.
TEST_CASE("a job is found after a scan without history that failed") {
  Deployment d;
  const JobId id("unheard");
  const std::string own_partition = JobAddress(OnlyShard(), id).partition;
  const std::string other_partition =
      JobAddress(OnlyShard(), JobId("another")).partition;
  REQUIRE(own_partition != other_partition);
  SECTION("because the partition of the job was down") {
    d.store.FailReads(own_partition, 2);
  }
  SECTION("because another partition is down for long") {
    d.store.FailReads(other_partition, 1'000'000);
  }
  StoreUnreportedJob(d.store, id);
  d.store.DropHistory(OnlyShard().job_table);
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  d.first->RunUntil([&] {
    return d.workers.starts.contains(TaskOf(id, 0)) ||
           std::chrono::steady_clock::now() > deadline;
  });
  CHECK(d.workers.starts.contains(TaskOf(id, 0)));
}

// Guards against a periodic job whose progress outgrows a row of the store:
// nothing else was stored any more, and the lease of the leader not renewed.
TEST_CASE("a job with many occurrences does not stop the others") {
  Deployment d;
  JobRecord record{.id = JobId("periodic"), .queue = QueueId("q")};
  record.terms.service = ServiceId("desk");
  record.spec.steps.assign(3, {.task_count = 1});
  record.spec.steps[1].after = {0};
  record.spec.steps[2].after = {1};
  record.spec.repetitions = 1500;
  record.spec.first_due = std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
  record.spec.interval = WallTime(1);
  d.store.Put(JobAddress(OnlyShard(), record.id), Encode(record));
  const auto deadline = std::chrono::steady_clock::now() + seconds(20);
  const auto is_completed = [&](const char* path) {
    return d.first->SendRequest(HttpMethod::kGet, path).body ==
           StateText(JobState::kCompleted);
  };
  while (!is_completed("/periodic") &&
         std::chrono::steady_clock::now() < deadline) {
  }
  CHECK(is_completed("/periodic"));
  CHECK(d.first->elector().lease().record()->epoch == Epoch(1));
  REQUIRE(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
  while (!is_completed("/job1") &&
         std::chrono::steady_clock::now() < deadline) {
  }
  CHECK(is_completed("/job1"));
}

// Guards against a row that the store never takes: it was sent again with each
// renewal of the lease, so that the leader stored nothing and lost the lease.
TEST_CASE("a row that the store rejects does not hold up the others") {
  Deployment d;
  d.store.rejected_row = {kEndedTable, OnlyShard().partition, "bad"};
  StoreUnreportedJob(d.store, JobId("bad"));
  d.first->RunUntil(
      [&] { return d.workers.starts.contains(TaskOf(JobId("bad"), 0)); });
  const auto is_completed = [&](const std::string& path) {
    return d.first->SendRequest(HttpMethod::kGet, path).body ==
           StateText(JobState::kCompleted);
  };
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 20; ++i) {
    const std::string path = "/job" + std::to_string(i);
    REQUIRE(d.first->SendRequest(HttpMethod::kPost, path).status == 200);
    while (!is_completed(path) &&
           std::chrono::steady_clock::now() < start + seconds(8)) {
    }
    CHECK(is_completed(path));
  }
  // A lease and more.
  d.first->RunUntil(
      [&] { return std::chrono::steady_clock::now() > start + seconds(4); });
  CHECK(d.first->elector().lease().record()->epoch == Epoch(1));
  // The end is not acknowledged, because a successor would need it.
  CHECK_FALSE(is_completed("/bad"));
  CHECK(d.workers.unacknowledged_ends(WorkerId("w1")) > 0);
  d.store.rejected_row = {};
  d.first->RunUntil([&] {
    return d.workers.unacknowledged_ends(WorkerId("w1")) == 0 ||
           std::chrono::steady_clock::now() > start + seconds(25);
  });
  CHECK(d.workers.unacknowledged_ends(WorkerId("w1")) == 0);
  CHECK(is_completed("/bad"));
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
}

// Guards against accepted jobs that no host has the memory to load.
TEST_CASE("jobs are refused while the accepted ones need all memory") {
  boost::asio::io_context io;
  FakeStore store(io);
  InstantWorkers workers(io);
  store.Put(ConfigAddress(), "1");
  store.Put({"workers", "", "w1"}, "");
  const ByteCount max_job_memory(64 << 10);
  TestHost leader(io, store, workers, "a", 500, 1.0, max_job_memory);
  leader.RunUntil([&] { return leader.dispatch().is_scheduling(); });
  TestHost other(io, store, workers, "b", 500, 1.0, max_job_memory);
  const auto deadline = std::chrono::steady_clock::now() + seconds(20);
  const auto submit_until = [&](TestHost& host, int status, int first) {
    int i = first;
    while (host.SendRequest(HttpMethod::kPost, "/long-" + std::to_string(i))
                   .status != status &&
           std::chrono::steady_clock::now() < deadline) {
      ++i;
    }
    return i;
  };
  const int refused = submit_until(leader, 503, 0);
  CHECK(submit_until(other, 503, refused) < 1000);
  CHECK(refused > 10);
  const CallOutcome answer =
      other.SendRequest(HttpMethod::kPost, "/long-refused");
  CHECK(answer.status == 503);
  CHECK(other.SendRequest(HttpMethod::kGet, "/long-refused").status == 410);
  for (int i = 0; i < refused; ++i) {
    CHECK(leader.SendRequest(HttpMethod::kDelete, "/long-" + std::to_string(i))
              .status == 200);
  }
  submit_until(other, 200, 2000);
  CHECK(std::chrono::steady_clock::now() < deadline);
}

// Guards against a refused job that was stored all the same, and against the
// refusal of a job whose first answer was lost.
TEST_CASE("a job that cannot end in time is refused and not stored") {
  const bool load_admission = GENERATE(true, false);
  boost::asio::io_context io;
  FakeStore store(io);
  InstantWorkers workers(io);
  store.Put(ConfigAddress(), "1");
  store.Put({"workers", "", "w1"}, "");
  TestHost host(io, store, workers, "a", 500, 1.0, ByteCount(64 << 20),
                {.load_admission = load_admission});
  const RowAddress leader_row{kLeaderTable, OnlyShard().partition, kLeaderKey};
  host.RunUntil([&] { return host.dispatch().is_scheduling(); });
  REQUIRE(host.SendRequest(HttpMethod::kPost, "/spare0").status == 200);
  const auto stored_leader = [&] {
    return *Decode<LeaderRecord>(store.Find(leader_row)->value);
  };
  host.RunUntil([&] { return stored_leader().renewal >= 2; });
  CHECK(stored_leader().load.empty() != load_admission);

  // Another host leads the shard and has an hour of work.
  LeaderRecord other = stored_leader();
  other.holder = EntryHostId("x");
  other.process = "process-x";
  other.load =
      EncodeLoad({.made_at = StoreTime(std::chrono::duration_cast<Duration>(
                      std::chrono::steady_clock::now().time_since_epoch())),
                  .classes = {{.work_class = {.best_effort = true},
                               .queued = CpuTime(3'600'000),
                               .rate = MilliCores(1000)}}});
  store.Put(leader_row, Encode(other));
  host.RunUntil([&] {
    const auto& leader = host.elector().lease().record();
    return leader && leader->holder == other.holder;
  });
  const JobId id("spare1");
  CHECK(host.SendRequest(HttpMethod::kPost, "/spare1").status ==
        (load_admission ? 503 : 200));
  CHECK((store.Find(JobAddress(OnlyShard(), id)) == nullptr) == load_admission);
  // A write whose response was lost, for example on another host.
  StoreUnreportedJob(store, id);
  CHECK(host.SendRequest(HttpMethod::kPost, "/spare1").status == 200);
  CHECK(host.SendRequest(HttpMethod::kPost, "/job1").status == 200);
}

// Guards against a roster that outgrows a row of the store, so that no worker
// is used any more.
TEST_CASE("a shard can have any number of workers") {
  boost::asio::io_context io;
  FakeStore store(io);
  InstantWorkers workers(io);
  store.Put(ConfigAddress(), "1");
  for (int i = 0; i < 2000; ++i)
    store.Put({"workers", "", "rack-worker-of-2000-" + std::to_string(i)}, "");
  // The roster as an earlier version has stored it.
  const RowAddress old_roster{kLeaderTable, OnlyShard().partition, kRosterKey};
  store.Put(old_roster, Encode(Roster{{{WorkerId("left"), "left:1"}}}));
  TestHost host(io, store, workers, "a", 10'000);
  host.RunUntil([&] { return host.dispatch().is_scheduling(); });
  CHECK(host.SendRequest(HttpMethod::kPost, "/job1").status == 200);
  const auto deadline = std::chrono::steady_clock::now() + seconds(15);
  const auto is_completed = [&] {
    return host.SendRequest(HttpMethod::kGet, "/job1").body ==
           StateText(JobState::kCompleted);
  };
  while (!is_completed() && std::chrono::steady_clock::now() < deadline) {
  }
  CHECK(is_completed());
  // The lease of the worker that is no longer listed is respected too.
  CHECK(workers.HasReceivedOrders(WorkerId("left")));
  CHECK(store.Find(old_roster) == nullptr);
}

// Guards against a list that is no longer read because the last key of a page
// is as long as the store allows: the key of the next page was longer.
TEST_CASE("rows behind the longest key of a full page are read") {
  boost::asio::io_context io;
  FakeStore store(io);
  InstantWorkers workers(io);
  store.Put(ConfigAddress(), "1");
  constexpr int kPageRows = 500;
  for (int i = 1; i < kPageRows; ++i)
    store.Put({"workers", "", "w" + std::to_string(i)}, "");
  store.Put({"workers", "", "x" + std::string(199, 'x')}, "");
  store.Put({"workers", "", "y"}, "");
  TestHost host(io, store, workers, "a", 1000);
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  host.RunUntil([&] {
    return workers.HasReceivedOrders(WorkerId("y")) ||
           std::chrono::steady_clock::now() > deadline;
  });
  CHECK(workers.HasReceivedOrders(WorkerId("y")));
}

// Guards against reads that also return the rows after the job's row, which
// took seconds on the network link of a small host.
TEST_CASE("a query for a job that the leader does not know reads one row") {
  Deployment d;
  for (int i = 0; i < 100; ++i) {
    const JobId id("later" + std::to_string(i));
    d.store.Put(JobAddress(OnlyShard(), id), "");
  }
  const std::size_t before = d.store.rows_returned;
  CHECK(d.first->SendRequest(HttpMethod::kGet, "/job1").status == 410);
  CHECK(d.store.rows_returned <= before + 1);
}

TEST_CASE("a cancelled job is stored as cancelled before the answer") {
  Deployment d;
  d.store.Put({"workers", "", "w1"}, "");
  CHECK(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
  CHECK(d.first->SendRequest(HttpMethod::kDelete, "/job1").status == 200);
  CHECK(d.store.Find({kEndedTable, OnlyShard().partition, "job1"}) != nullptr);
  const std::string state =
      d.first->SendRequest(HttpMethod::kGet, "/job1").body;
  CHECK((state == StateText(JobState::kCancelled) ||
         state == StateText(JobState::kCompleted)));
}

TEST_CASE("any host answers for any job, and another host can take over") {
  Deployment d;
  TestHost second(d.io, d.store, d.workers, "b");
  second.RunUntil(
      [&] { return second.elector().lease().record().has_value(); });
  CHECK(second.SendRequest(HttpMethod::kPost, "/job1").status == 200);
  while (second.SendRequest(HttpMethod::kGet, "/job1").body !=
         StateText(JobState::kCompleted)) {
  }
  CHECK_FALSE(second.dispatch().is_scheduling());
  d.first->shards().Release();
  CHECK_FALSE(d.first->dispatch().is_scheduling());
  second.RunUntil([&] { return second.dispatch().is_scheduling(); });
  CHECK(second.elector().lease().record()->epoch == Epoch(2));
  CHECK(second.SendRequest(HttpMethod::kGet, "/job1").body ==
        StateText(JobState::kCompleted));
  CHECK(second.SendRequest(HttpMethod::kPost, "/job2").status == 200);
  while (d.first->SendRequest(HttpMethod::kGet, "/job2").body !=
         StateText(JobState::kCompleted)) {
  }
  for (const auto& [task, count] : d.workers.starts) CHECK(count == 1);
}

// Guards against a small host that leads on beside larger ones, and against a
// handover that starts runs again or loses a job.
TEST_CASE("a small leader hands over to a larger host") {
  boost::asio::io_context io;
  FakeStore store(io);
  InstantWorkers workers(io);
  store.Put(ConfigAddress(), "1");
  store.Put({"workers", "", "w1"}, "");
  TestHost small(io, store, workers, "a", 500, 0.12);
  small.RunUntil([&] { return small.dispatch().is_scheduling(); });
  CHECK(small.SendRequest(HttpMethod::kPost, "/long-job").status == 200);
  small.RunUntil([&] { return workers.running() == 2; });
  TestHost large(io, store, workers, "b", 500, 0.5);
  large.RunUntil([&] { return large.dispatch().is_scheduling(); });
  CHECK_FALSE(small.dispatch().is_scheduling());
  CHECK(large.SendRequest(HttpMethod::kPost, "/job1").status == 200);
  while (small.SendRequest(HttpMethod::kGet, "/job1").body !=
         StateText(JobState::kCompleted)) {
  }
  CHECK(workers.running() == 2);
  for (const auto& [task, count] : workers.starts) CHECK(count == 1);
}

// If one host led all shards, it would carry the load of the whole deployment.
TEST_CASE(
    "a large deployment is split, and its shards have different leaders") {
  ShardedDeployment d;
  REQUIRE(d.hosts[0]->shards().shards().size() == 2);
  REQUIRE(d.hosts[1]->shards().shards().size() == 2);
  d.AwaitScheduled();
  for (auto& host : d.hosts) {
    int scheduled_shards = 0;
    for (const auto& shard : host->shards().shards()) {
      if (shard->dispatch.is_scheduling()) ++scheduled_shards;
    }
    CHECK(scheduled_shards == 1);
  }
}

TEST_CASE("each job runs in its shard, and any host answers for it") {
  ShardedDeployment d;
  d.AwaitScheduled();
  for (int i = 0; i < 8; ++i) {
    const std::string path = "/job" + std::to_string(i);
    CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, path).status == 200);
    while (d.hosts[1]->SendRequest(HttpMethod::kGet, path).body !=
           StateText(JobState::kCompleted)) {
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
  CHECK(d.hosts[0]->SendRequest(HttpMethod::kGet, "/").status == 200);
}

// Submits a job whose writes are late, cancels it, and lets the late writes be
// carried out.
void CancelBeforeLateWrites(FakeStore& store, TestHost& host,
                            const std::string& table, const std::string& path) {
  store.InjectFault(Fault::kLate, 1000, table);
  CHECK(host.SendRequest(HttpMethod::kPost, path).status == 504);
  store.InjectFault(Fault::kNone, 0);
  CHECK(host.SendRequest(HttpMethod::kDelete, path).status == 410);
  store.ApplyLate();
  // The leader scans the stored jobs every second.
  const auto end = std::chrono::steady_clock::now() + milliseconds(2500);
  host.RunUntil([&] { return std::chrono::steady_clock::now() > end; });
  CHECK(host.SendRequest(HttpMethod::kGet, path).status == 410);
  // The answer to a repeated cancellation stays the same, and a repeated
  // submission is not accepted.
  CHECK(host.SendRequest(HttpMethod::kDelete, path).status == 410);
  CHECK(host.SendRequest(HttpMethod::kPost, path).status == 410);
}

// Guards against tasks that start after the cancellation of their job was
// acknowledged, because a write that was not answered stored the job later.
TEST_CASE("a late write does not store a job that was cancelled") {
  Deployment d;
  CancelBeforeLateWrites(d.store, *d.first, OnlyShard().job_table, "/job1");
  CHECK(d.workers.starts.empty());
  // The marker of another cancellation, which is older than the retention.
  const RowAddress old = JobAddress(OnlyShard(), JobId("old"));
  d.store.Put(old, Encode(JobProgress{.id = JobId("old"),
                                      .state = JobState::kCancelled,
                                      .ended_at = WallTime(1),
                                      .steps = {},
                                      .never_accepted = true}));
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  d.first->RunUntil([&] {
    return d.store.Find(old) == nullptr ||
           std::chrono::steady_clock::now() > deadline;
  });
  CHECK(d.store.Find(old) == nullptr);
  CHECK(d.store.Find(JobAddress(OnlyShard(), JobId("job1"))) != nullptr);
}

RowAddress SlicedRow(const JobId& id) {
  return {kSlicedJobTable, kSlicedJobPartition, id.str()};
}

// Guards against long-running jobs that wait in a full shard while another one
// has free processors, and against a slice that is started, restarted or kept
// although another host holds the job.
TEST_CASE("each shard runs a slice of a long job, and any host answers") {
  ShardedDeployment d;
  d.AwaitScheduled();
  for (const std::string name : {"long-a", "long-b", "long-c"}) {
    const JobId id(name);
    const std::string path = "/" + name;
    CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, path).status == 200);
    d.hosts[0]->RunUntil([&] { return d.workers.running() == 2; });
    const std::string rack_of_first =
        d.workers.last_worker[TaskOf(id, 0)].str().substr(0, 5);
    CHECK(d.workers.last_worker[TaskOf(id, 1)].str().substr(0, 5) !=
          rack_of_first);
    // A repeated submission at another host.
    CHECK(d.hosts[1]->SendRequest(HttpMethod::kPost, path).status == 200);
    for (auto& host : d.hosts) {
      CHECK(host->SendRequest(HttpMethod::kGet, path).body ==
            StateText(JobState::kRunning));
    }
    CHECK(d.hosts[1]->SendRequest(HttpMethod::kDelete, path).status == 200);
    for (auto& host : d.hosts) {
      CHECK(host->SendRequest(HttpMethod::kGet, path).body ==
            StateText(JobState::kCancelled));
    }
    d.hosts[0]->RunUntil([&] { return d.workers.running() == 0; });
    // A submission that arrives after the cancellation.
    CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, path).status == 200);
    CHECK(d.hosts[0]->SendRequest(HttpMethod::kGet, path).body ==
          StateText(JobState::kCancelled));
    CHECK(d.store.Find(SlicedRow(id)) == nullptr);
  }
  for (const auto& [task, starts] : d.workers.starts) CHECK(starts == 1);
  CHECK(d.hosts[1]->SendRequest(HttpMethod::kGet, "/long-unknown").status ==
        410);
  CHECK(d.hosts[1]->SendRequest(HttpMethod::kDelete, "/long-unknown").status ==
        410);
}

// Guards against the same in a deployment with several shards, for a sliced and
// for another job.
TEST_CASE("a late write does not store a cancelled job in any shard") {
  ShardedDeployment d;
  d.AwaitScheduled();
  SECTION("a sliced job") {
    CancelBeforeLateWrites(d.store, *d.hosts[0], kSlicedJobTable, "/long-job");
  }
  SECTION("another job") {
    CancelBeforeLateWrites(d.store, *d.hosts[0], "", "/job1");
  }
  CHECK(d.workers.starts.empty());
}

TEST_CASE("a lost response neither loses nor duplicates a sliced job") {
  const Fault fault = GENERATE(Fault::kAnswerLost, Fault::kCallLost);
  ShardedDeployment d;
  d.AwaitScheduled();
  const JobId id("long-job");
  d.store.InjectFault(fault, 2);
  CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, "/long-job").status == 200);
  d.hosts[0]->RunUntil([&] { return d.workers.running() == 2; });
  d.store.InjectFault(fault, 1);
  // The cancellation can end with the outcome unknown; it is then sent again.
  while (d.hosts[1]->SendRequest(HttpMethod::kDelete, "/long-job").status !=
         200) {
  }
  d.hosts[0]->RunUntil([&] { return d.workers.running() == 0; });
  for (const auto& [task, starts] : d.workers.starts) CHECK(starts == 1);
}

// Guards against a successor that starts the tasks of its slice again, or that
// runs a slice that was cancelled while its shard had no leader.
TEST_CASE("a successor continues the slices that still run") {
  ShardedDeployment d;
  d.AwaitScheduled();
  for (const char* path : {"/long-kept", "/long-gone"}) {
    CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, path).status == 200);
  }
  d.hosts[0]->RunUntil([&] { return d.workers.running() == 4; });
  d.hosts[0]->shards().Release();
  const JobId gone("long-gone");
  RowStore port = d.store.Port();
  bool stored = false;
  port.transact(CancelSlicedTransaction({.id = gone,
                                         .queue = QueueId("q"),
                                         .state = JobState::kCancelled,
                                         .ended_at = WallTime(1),
                                         .steps = {}}),
                seconds(1), [&](const TransactionReply&) { stored = true; });
  d.hosts[1]->RunUntil([&] {
    return stored && d.workers.running() == 2 &&
           std::all_of(d.hosts[1]->shards().shards().begin(),
                       d.hosts[1]->shards().shards().end(),
                       [](const auto& shard) {
                         return shard->dispatch.is_scheduling();
                       });
  });
  CHECK(d.hosts[1]->SendRequest(HttpMethod::kGet, "/long-kept").body ==
        StateText(JobState::kRunning));
  CHECK(d.hosts[1]->SendRequest(HttpMethod::kGet, "/long-gone").body ==
        StateText(JobState::kCancelled));
  for (const auto& [task, starts] : d.workers.starts) CHECK(starts == 1);
}

// Guards against a slice that runs on because the store dropped the change that
// told of the cancellation.
TEST_CASE("a cancellation takes effect although its change was dropped") {
  ShardedDeployment d;
  d.AwaitScheduled();
  CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, "/long-job").status == 200);
  d.hosts[0]->RunUntil([&] { return d.workers.running() == 2; });
  d.store.RemoveWithoutHistory(SlicedRow(JobId("long-job")));
  d.store.DropHistory(kSlicedJobTable);
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  d.hosts[0]->RunUntil([&] {
    return d.workers.running() == 0 ||
           std::chrono::steady_clock::now() > deadline;
  });
  CHECK(d.workers.running() == 0);
}

// Starts two long-running tasks on each worker, which then have no capacity
// left, and adds a worker to the shard of the first rack.
void FillWorkersAndAddOne(ShardedDeployment& d) {
  d.AwaitScheduled();
  for (const char* path : {"/long-a", "/long-b", "/long-c", "/long-d"}) {
    CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, path).status == 200);
  }
  d.hosts[0]->RunUntil([&] { return d.workers.running() == 8; });
  d.store.Put({"workers", "", "rack1-w8"}, "");
}

// Guards against a long-running task that waits in a full shard although
// another shard has capacity.
TEST_CASE("a task that its shard cannot run is run by another shard") {
  ShardedDeployment d;
  FillWorkersAndAddOne(d);
  CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, "/long-e").status == 200);
  const auto deadline = std::chrono::steady_clock::now() + seconds(9);
  d.hosts[0]->RunUntil([&] {
    return d.workers.running() == 10 ||
           std::chrono::steady_clock::now() > deadline;
  });
  CHECK(d.workers.running() == 10);
  for (const auto& [task, starts] : d.workers.starts) CHECK(starts == 1);
}

// Guards against a running job that is shown as queued because the shard that
// answers for it has given its task away.
TEST_CASE("a job whose first task was transferred is shown as running") {
  ShardedDeployment d;
  FillWorkersAndAddOne(d);
  const ShardLayout& layout = *d.hosts[0]->layout().layout();
  ShardId shard_with_room;
  for (const RackAssignment& assignment : layout.racks) {
    if (assignment.rack == RackId("rack1")) shard_with_room = assignment.shard;
  }
  std::string name = "long-e";
  while (ShardOf(layout, JobId(name)) == shard_with_room) name += "e";
  CHECK(d.hosts[0]->SendRequest(HttpMethod::kPost, "/" + name).status == 200);
  const auto deadline = std::chrono::steady_clock::now() + seconds(9);
  d.hosts[0]->RunUntil([&] {
    return d.workers.running() == 10 ||
           std::chrono::steady_clock::now() > deadline;
  });
  REQUIRE(d.workers.running() == 10);
  CHECK(d.hosts[0]->SendRequest(HttpMethod::kGet, "/" + name).body ==
        StateText(JobState::kRunning));
}

// If two schedulers sent orders to one worker, they would exceed its capacity.
TEST_CASE("workers of a new rack are assigned to one shard") {
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

TEST_CASE("a host whose leader row was replaced cannot store anything") {
  Deployment d;
  const StoredRow* row =
      d.store.Find({kLeaderTable, OnlyShard().partition, kLeaderKey});
  REQUIRE(row != nullptr);
  LeaderRecord other = *Decode<LeaderRecord>(row->value);
  other.holder = EntryHostId("z");
  other.process = "process-z";
  other.epoch = other.epoch.Next();
  d.store.Put({kLeaderTable, OnlyShard().partition, kLeaderKey}, Encode(other));
  d.first->RunUntil([&] { return !d.first->dispatch().is_scheduling(); });
  CHECK(*Decode<LeaderRecord>(
            d.store.Find({kLeaderTable, OnlyShard().partition, kLeaderKey})
                ->value) == other);
}

// Guards against acknowledgements of a worker that stall for ever because the
// job of one end is not stored any more.
TEST_CASE("the end of a run of a job that is not stored is acknowledged") {
  Deployment d;
  const WorkerId worker("w1");
  d.workers.ReportEnd(worker, {JobId("gone"), 0, 0, 0}, RunNumber(1));
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  d.first->RunUntil([&] {
    return d.workers.unacknowledged_ends(worker) == 0 ||
           std::chrono::steady_clock::now() > deadline;
  });
  CHECK(d.workers.unacknowledged_ends(worker) == 0);
}

// Guards against a batch that the table service rejects for its size: the
// leader retries it until it loses its lease, and stores nothing in that time.
TEST_CASE("a batch with progress and expired jobs fits in a transaction") {
  constexpr std::size_t kMaxTransactionEntries = 100;
  // The condition on the leader row and its renewal.
  constexpr std::size_t kLeaderEntries = 2;
  const Time now{seconds(1000)};
  const WallTime wall_now{1'700'000'000'000};
  const int progress_count = GENERATE(1, 60, 69, 90);
  Dispatcher dispatcher({}, Epoch(1), now);
  for (int i = 0; i < 100; ++i) {
    dispatcher.RestoreEnded({.id = JobId("old" + std::to_string(i)),
                             .state = JobState::kCompleted,
                             .ended_at = wall_now - WallTime(3'600'000)});
  }
  LeaseReply reply{.verdict = OrderVerdict::kAccepted,
                   .worker_clock = WorkerTime(seconds(5)),
                   .incarnation = WallTime(1)};
  dispatcher.OnWorkerListed({.id = WorkerId("w1"), .endpoint = "w1:1"}, now);
  for (int i = 0; i < progress_count; ++i) {
    const JobId id("job" + std::to_string(i));
    JobRecord record{.id = id, .accepted_epoch = Epoch(1)};
    record.terms.max_attempts = 5;
    record.spec.steps.push_back({.task_count = 1});
    dispatcher.Submit(record, now, wall_now);
    reply.ended.push_back({CompletionNumber(static_cast<std::uint64_t>(i + 1)),
                           {id, 0, 0, 0},
                           RunNumber(1),
                           RunOutcome::kFailed,
                           {}});
  }
  dispatcher.OnLeaseReply({.worker = WorkerId("w1")}, reply, now, now,
                          wall_now);
  dispatcher.OnRecordsRemoved(dispatcher.TakeExpired(100, wall_now));
  std::size_t expired = 0;
  while (dispatcher.HasRecords() || expired < 100) {
    const RecordBatch batch = dispatcher.TakeRecords(kMaxBatchRows);
    REQUIRE_FALSE(batch.empty());
    expired += batch.expired.size();
    const RowTransaction rows = BatchTransaction(OnlyShard(), batch, {});
    CHECK(rows.conditions.size() + rows.writes.size() + rows.removals.size() +
              kLeaderEntries <=
          kMaxTransactionEntries);
    dispatcher.OnRecorded(batch);
  }
}

// Guards against a record without its final state, which a successor would take
// for a job to run.
TEST_CASE("final states are removed only after the records of their jobs") {
  const WallTime wall_now{1'700'000'000'000};
  Dispatcher dispatcher({}, Epoch(1), Time(seconds(1000)));
  std::vector<JobId> ids;
  for (int i = 0; i < 40; ++i) {
    ids.emplace_back("old" + std::to_string(i));
    dispatcher.RestoreEnded({.id = ids.back(),
                             .state = JobState::kCompleted,
                             .ended_at = wall_now - WallTime(3'600'000)});
  }
  const std::vector<JobId> expired = dispatcher.TakeExpired(90, wall_now);
  CHECK(expired.size() == ids.size());
  CHECK_FALSE(dispatcher.HasRecords());
  CHECK(dispatcher.TakeRecords(kMaxBatchRows).expired.empty());
  std::size_t removed = 0;
  for (const RowTransaction& rows :
       RemoveJobsTransactions(OnlyShard(), expired)) {
    CHECK(rows.writes.empty());
    for (const RowAddress& address : rows.removals) {
      CHECK(address.partition == rows.removals.front().partition);
      CHECK(address == JobAddress(OnlyShard(), JobId(address.key)));
    }
    removed += rows.removals.size();
  }
  CHECK(removed == expired.size());
  dispatcher.OnRecordsRemoved(expired);
  const RecordBatch batch = dispatcher.TakeRecords(kMaxBatchRows);
  CHECK(batch.expired == expired);
  for (const RowAddress& address :
       BatchTransaction(OnlyShard(), batch, {}).removals) {
    CHECK(address.table == kEndedTable);
  }
}

// Guards against a job that runs again: its record could be neither emptied nor
// removed, and the leader reads all records after the store dropped its
// history.
TEST_CASE("an expired job stays known until its record is removed") {
  const WallTime wall_now{1'700'000'000'000};
  const JobId id("old");
  Dispatcher dispatcher({}, Epoch(1), Time(seconds(1000)));
  dispatcher.RestoreEnded({.id = id,
                           .state = JobState::kCompleted,
                           .ended_at = wall_now - WallTime(3'600'000)});
  CHECK(dispatcher.TakeExpired(90, wall_now) == std::vector<JobId>{id});
  CHECK(dispatcher.StateOf(id).state == JobState::kCompleted);
  // The removal is requested once; the next leader repeats it if it failed.
  CHECK(dispatcher.TakeExpired(90, wall_now).empty());
  dispatcher.OnRecordsRemoved({id});
  CHECK_FALSE(dispatcher.StateOf(id).known);
}

// Guards against renewals of the leader lease that wait behind accepted jobs in
// a slow store, which carries out the transactions of a partition one after
// another: all leaders lost their leases.
TEST_CASE("no job is stored in the partition of the leader row") {
  for (int i = 0; i < 100; ++i) {
    const JobId id("job" + std::to_string(i));
    const RowTransaction rows = AcceptTransaction(OnlyShard(), id, "{}");
    CHECK(rows.writes.front().address.partition != OnlyShard().partition);
    CHECK(AcceptSlicedTransaction(id, "{}").writes.front().address.partition !=
          OnlyShard().partition);
  }
}

// Guards against attempts that are repeated while the first one waits in a
// store that needs a second: they doubled the load, and few of them succeeded.
TEST_CASE("a job is waited for longer in a slow store, within bounds") {
  CHECK(AcceptTimeout(Duration{0}) == milliseconds(700));
  CHECK(AcceptTimeout(milliseconds(5)) == milliseconds(700));
  // The store has not answered the latest attempt.
  CHECK(AcceptTimeout(milliseconds(700)) == milliseconds(1500));
  CHECK(AcceptTimeout(seconds(60)) == milliseconds(1500));
}

// A record may be emptied after the leader that ended the job has failed.
TEST_CASE("a successor does not run an ended job whose record is not emptied") {
  boost::asio::io_context io;
  FakeStore store(io);
  InstantWorkers workers(io);
  store.Put(ConfigAddress(), "1");
  store.Put({"workers", "", "w1"}, "");
  JobRecord record{.id = JobId("ended"), .queue = QueueId("q")};
  record.terms.service = ServiceId("desk");
  record.spec.steps.push_back({.task_count = 1});
  store.Put(JobAddress(OnlyShard(), record.id), Encode(record));
  store.Put({kEndedTable, OnlyShard().partition, "ended"},
            Encode(JobProgress{.id = record.id,
                               .queue = record.queue,
                               .state = JobState::kCompleted,
                               .ended_at = WallTime(32'000'000'000'000),
                               .steps = {}}));
  TestHost host(io, store, workers, "a");
  host.RunUntil([&] { return host.dispatch().is_scheduling(); });
  CHECK(host.SendRequest(HttpMethod::kGet, "/ended").body ==
        StateText(JobState::kCompleted));
  host.RunUntil([&] {
    return store.Find(JobAddress(OnlyShard(), record.id))->value.empty();
  });
  CHECK(workers.starts.empty());
}

TEST_CASE("a newer configuration takes effect, an older one never does") {
  Deployment d;
  const auto version = [&] { return d.first->topology().topology()->version; };
  d.store.Put(ConfigAddress(), "5");
  d.first->RunUntil([&] { return version() == TopologyVersion(5); });
  // An older and an undecodable configuration, as another writer may store
  // them.
  for (const std::string value : {"4", ""}) {
    d.store.Put(ConfigAddress(), value);
    CHECK(d.first->SendRequest(HttpMethod::kPost, "/job" + value).status ==
          200);
    CHECK(version() == TopologyVersion(5));
  }
  d.store.Put(ConfigAddress(), "6");
  d.first->RunUntil([&] { return version() == TopologyVersion(6); });
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
