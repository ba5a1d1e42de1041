#include "gypsumfall/store_client/store_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "standins/internal/platform_service.h"

namespace gypsumfall {
namespace {

using standins::Fault;
using standins::FaultRule;
using standins::PlatformService;

struct Fixture {
  explicit Fixture(const standins::PlatformOptions& options = {})
      : service(io, options), endpoint{.endpoint = service.Start().value()} {
    endpoint.retries.initial_backoff = milliseconds(1);
  }

  // Runs the event loop until the call completes; the timeout only ends a hung
  // test.
  template <typename Reply>
  PlatformResult<Reply> Wait(
      const std::function<void(PlatformCallback<Reply>)>& call) {
    std::optional<PlatformResult<Reply>> result;
    call([&](PlatformResult<Reply> r) { result = std::move(r); });
    while (!result) {
      io.restart();
      if (io.run_one_for(std::chrono::seconds(30)) == 0) FAIL("hung");
    }
    return *std::move(result);
  }
  PlatformResult<TransactReply> Transact(TableClient& table,
                                         const std::string& key) {
    return Wait<TransactReply>([&](auto done) {
      table.Transact({"t", {{key, RowVersion(0)}}, {{key, "v"}}, {}},
                     std::move(done));
    });
  }
  PlatformResult<RowsReply> Read(TableClient& table) {
    return Wait<RowsReply>(
        [&](auto done) { table.Read({{"a"}}, std::move(done)); });
  }

  boost::asio::io_context io;
  PlatformService service;
  ClientPool pool{io, {}};
  PlatformEndpoint endpoint;
};

struct WriteFaultCase {
  Fault fault;
  bool replied;
  bool certainly_not_applied;
  bool applied;
};

// Guards against an applied write that is reported as not applied, which would
// run or record work twice.
TEST_CASE("a failed write reports whether it may have been applied") {
  const std::vector<WriteFaultCase> cases = {
      {Fault::kDown, false, true, false},
      {Fault::kSlow, true, false, true},
      {Fault::kAppliedAnswerLost, false, false, true},
      {Fault::kNotAppliedAnswerLost, false, false, false},
  };
  for (const WriteFaultCase& c : cases) {
    Fixture fixture;
    TableClient table(fixture.io, fixture.pool, fixture.endpoint);
    ObjectClient objects(fixture.io, fixture.pool, fixture.endpoint);
    const FaultRule rule{.fault = c.fault, .key_prefix = "k"};
    fixture.service.table().faults().Add(rule);
    fixture.service.objects().faults().Add(rule);
    const auto wrote = fixture.Transact(table, "k");
    CHECK(wrote.reply.has_value() == c.replied);
    CHECK(wrote.certainly_not_applied == c.certainly_not_applied);
    CHECK(fixture.service.table().rows().contains("k") == c.applied);
    const auto put = fixture.Wait<bool>(
        [&](auto done) { objects.Put("k/1", "bytes", std::move(done)); });
    CHECK(put.reply.has_value() == c.replied);
    CHECK(put.certainly_not_applied == c.certainly_not_applied);
    CHECK(fixture.service.objects().objects().contains("k/1") == c.applied);
  }
}

// Guards against a rejected write whose outcome is reported as unknown, which
// would block a journal.
TEST_CASE("refused writes are certainly not applied") {
  Fixture fixture({.table = {.rows_written_per_second = 1}});
  TableClient table(fixture.io, fixture.pool, fixture.endpoint);
  PlatformEndpoint unreachable_endpoint = fixture.endpoint;
  unreachable_endpoint.endpoint = "127.0.0.1:1";
  TableClient unreachable(fixture.io, fixture.pool, unreachable_endpoint);
  CHECK(fixture.Transact(unreachable, "a").certainly_not_applied);
  // A large transaction uses up the service's row rate for many seconds.
  TransactCall many{"t", {}, {}, {}};
  for (int i = 0; i < 100'000; ++i) many.deletes.push_back("x");
  CHECK(fixture
            .Wait<TransactReply>(
                [&](auto done) { table.Transact(many, std::move(done)); })
            .reply->committed);
  const auto refused = fixture.Transact(table, "a");
  CHECK_FALSE(refused.reply);
  CHECK(refused.certainly_not_applied);
  const auto large = fixture.Wait<TransactReply>([&](auto done) {
    table.Transact({"t", {}, {{"a", std::string(70'000, 'x')}}, {}},
                   std::move(done));
  });
  CHECK(large.certainly_not_applied);
}

// Guards against reads that fail because of a short fault, and against retries
// that overload a service that is down.
TEST_CASE("reads are retried within the budget and writes are not") {
  Fixture fixture;
  fixture.endpoint.retries.burst = 5;
  fixture.endpoint.retries.retries_per_call = 0;
  TableClient table(fixture.io, fixture.pool, fixture.endpoint);
  const FaultRule twice{
      .fault = Fault::kNotAppliedAnswerLost, .op = "read", .count = 2};
  fixture.service.table().faults().Add(twice);
  CHECK(fixture.Read(table).reply);
  fixture.service.table().faults().Add(twice);
  CHECK(fixture.Read(table).reply);
  fixture.service.table().faults().Add(twice);
  CHECK_FALSE(fixture.Read(table).reply);
  CHECK(fixture.Read(table).reply);
  fixture.service.table().faults().Add(
      {.fault = Fault::kNotAppliedAnswerLost, .op = "transact", .count = 1});
  CHECK_FALSE(fixture.Transact(table, "k").reply);
  CHECK(fixture.service.table().rows().empty());
}

// Guards against a name that addresses another object, and against a missing
// object that is reported as a failure.
TEST_CASE("objects are stored under their exact name") {
  Fixture fixture;
  ObjectClient objects(fixture.io, fixture.pool, fixture.endpoint);
  const std::string bytes(1'000'000, '\xff');
  const auto get = [&](const std::string& name) {
    return fixture.Wait<std::optional<std::string>>(
        [&](auto done) { objects.Get(name, std::move(done)); });
  };
  fixture.Wait<bool>(
      [&](auto done) { objects.Put("snap/1?a b", bytes, std::move(done)); });
  CHECK(**get("snap/1?a b").reply == bytes);
  REQUIRE(get("snap/1").reply);
  CHECK_FALSE(get("snap/1").reply->has_value());
  fixture.Wait<bool>(
      [&](auto done) { objects.Delete("snap/1?a b", std::move(done)); });
  CHECK(fixture.service.objects().objects().empty());
}

TEST_CASE("rows and hosts are read") {
  Fixture fixture({.host_list_lag = Duration::zero()});
  TableClient table(fixture.io, fixture.pool, fixture.endpoint);
  HostListClient hosts(fixture.io, fixture.pool, fixture.endpoint);
  CHECK(fixture.Transact(table, "p/1").reply->committed);
  CHECK_FALSE(fixture.Transact(table, "p/1").reply->committed);
  const auto rows = fixture.Wait<RowsReply>([&](auto done) {
    table.Scan({"p/", "", 10}, std::move(done));
  });
  CHECK(rows.reply->rows.at(0).value == "v");
  ListedHost host;
  host.id = WorkerId("w1");
  fixture.service.hosts().Set(host, Time());
  const auto listed = fixture.Wait<HostListReply>(
      [&](auto done) { hosts.List(std::move(done)); });
  CHECK(listed.reply->hosts.at(0).id == WorkerId("w1"));
}

// Guards against synchronised retries by all hosts and against endless retries.
TEST_CASE("retry backoff is random and doubles") {
  RetryBudget budget({.max_attempts = 3, .initial_backoff = milliseconds(10)});
  Duration longest = Duration::zero();
  for (int i = 0; i < 100; ++i) {
    CHECK(budget.Backoff(1) <= milliseconds(10));
    longest = std::max(longest, budget.Backoff(2));
  }
  CHECK(longest > milliseconds(10));
  CHECK(longest <= milliseconds(20));
  CHECK_FALSE(budget.TryAcquire(3));
}

}  // namespace
}  // namespace gypsumfall
