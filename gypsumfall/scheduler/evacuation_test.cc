#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "gypsumfall/scheduler/internal/fake_ports.h"

namespace gypsumfall::scheduler_internal {
namespace {

/// A store with a worker in each of two data centres, and a host that is the
/// leader.
struct Deployment {
  Deployment() : store(io), workers(io) {
    store.Put(ConfigAddress(), "1");
    store.Put({"workers", "", "w1@a"}, "");
    store.Put({"workers", "", "w2@b"}, "");
    first = std::make_unique<TestHost>(io, store, workers, "h1");
    first->RunUntil([&] { return first->dispatch().is_scheduling(); });
  }

  /// @return whether the host has one data centre closed.
  static bool HasClosed(TestHost& host, const std::string& data_centre) {
    const std::set<DataCentreId>& closed =
        host.topology().evacuations().closed();
    return closed == std::set<DataCentreId>{DataCentreId(data_centre)};
  }
  /// Submits a job and waits until it is completed.
  /// @return the worker of its first task.
  WorkerId RunJob(TestHost& host, const std::string& id) {
    REQUIRE(host.SendRequest(HttpMethod::kPost, "/" + id).status == 200);
    while (host.SendRequest(HttpMethod::kGet, "/" + id).body !=
           StateText(JobState::kCompleted)) {
    }
    return workers.last_worker.at(TaskOf(JobId(id), 0));
  }
  void RunFor(TestHost& host, Duration duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    host.RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }

  boost::asio::io_context io{1};
  FakeStore store;
  InstantWorkers workers;
  std::unique_ptr<TestHost> first;
};

// Guards against a row that is not obeyed, and against a removal that is missed
// because the store no longer tells of it.
TEST_CASE("a leader obeys the operator's rows and their removal") {
  const bool history_lost = GENERATE(false, true);
  INFO("history lost " << history_lost);
  Deployment d;
  d.store.Put(EvacuationAddress("a"), "{}");
  d.first->RunUntil([&] { return d.HasClosed(*d.first, "a"); });
  CHECK(d.RunJob(*d.first, "job1") == WorkerId("w2@b"));
  if (history_lost) {
    d.store.RemoveWithoutHistory(EvacuationAddress("a"));
    d.store.Put(EvacuationAddress("b"), "{}");
    d.store.DropHistory("op");
  } else {
    d.store.Put(EvacuationAddress("b"), "{}");
    d.store.Remove(EvacuationAddress("a"));
  }
  d.first->RunUntil([&] { return d.HasClosed(*d.first, "b"); });
  CHECK(d.RunJob(*d.first, "job2") == WorkerId("w1@a"));
}

// Guards against a leader that starts tasks by what it knew before its claim,
// and against one that can renew its lease and cannot read what is closed.
TEST_CASE("a leader that cannot read the evacuations starts nothing") {
  Deployment d;
  TestHost second(d.io, d.store, d.workers, "h2");
  second.RunUntil([&] { return second.topology().topology().has_value(); });
  d.store.unreadable_table = "op";
  SECTION("after a takeover") {
    d.store.Put(EvacuationAddress("a"), "{}");
    d.first->shards().Release();
    second.RunUntil([&] { return second.elector().lease().is_leader(); });
    d.RunFor(second, seconds(1));
    CHECK_FALSE(second.dispatch().is_scheduling());
    CHECK_FALSE(d.HasClosed(second, "a"));
    d.store.unreadable_table.clear();
    second.RunUntil([&] { return second.dispatch().is_scheduling(); });
    CHECK(d.HasClosed(second, "a"));
    CHECK(d.RunJob(second, "job1") == WorkerId("w2@b"));
  }
  SECTION("while it leads") {
    d.RunFor(*d.first, milliseconds(4500));
    REQUIRE(d.first->dispatch().is_scheduling());
    d.store.Put(EvacuationAddress("a"), "{}");
    REQUIRE(d.first->SendRequest(HttpMethod::kPost, "/job1").status == 200);
    d.RunFor(*d.first, milliseconds(500));
    CHECK(d.workers.starts.empty());
    d.store.unreadable_table.clear();
    CHECK(d.RunJob(*d.first, "job1") == WorkerId("w2@b"));
  }
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
