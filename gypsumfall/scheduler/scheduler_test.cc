#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "gypsumfall/scheduler/internal/fake_ports.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

using Fault = FakeStore::Fault;

constexpr int kFirstPort = 29310;

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
  REQUIRE(d.store.Find(JobAddress(JobId("job1"))) != nullptr);
  while (d.first->Ask(HttpMethod::kGet, "/job1").body !=
         Text(JobState::kCompleted)) {
  }
  // The record stays, emptied, so that the same id is not run again.
  CHECK(d.store.Find(JobAddress(JobId("job1")))->value.empty());
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
  CHECK(d.store.Find(JobAddress(JobId("job1"))) == nullptr);
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
  d.store.Put(JobAddress(record.id), Encode(record));
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
    d.store.Put(JobAddress(id), "");
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
  CHECK(d.store.Find({kEndedTable, kPart, "job1"}) != nullptr);
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
  d.first->duty().Release();
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

TEST_CASE("a host whose duty row was replaced stores nothing any more") {
  Deployment d;
  const StoredRow* row = d.store.Find({kDutyTable, kPart, kDutyKey});
  REQUIRE(row != nullptr);
  DutyRecord other = *Decode<DutyRecord>(row->value);
  other.holder = EntryHostId("z");
  other.process = "process-z";
  other.epoch = other.epoch.Next();
  d.store.Put({kDutyTable, kPart, kDutyKey}, Encode(other));
  d.first->RunUntil([&] { return !d.first->dispatch().is_scheduling(); });
  CHECK(*Decode<DutyRecord>(
            d.store.Find({kDutyTable, kPart, kDutyKey})->value) == other);
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
