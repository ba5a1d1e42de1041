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
    endpoint.retries.first_delay = milliseconds(1);
  }

  // Runs one call to its result; the time only ends a hung test.
  template <typename Reply>
  PlatformResult<Reply> Wait(
      const std::function<void(PlatformDone<Reply>)>& call) {
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

struct FateCase {
  Fault fault;
  bool replied;
  bool certainly_not_applied;
  bool applied;
};

// Guards against a write that is told as not applied when it was, which would
// run or record work twice.
TEST_CASE("each fault of a write is told by what is known of its effect") {
  const std::vector<FateCase> cases = {
      {Fault::kDown, false, true, false},
      {Fault::kSlow, true, false, true},
      {Fault::kAppliedAnswerLost, false, false, true},
      {Fault::kNotAppliedAnswerLost, false, false, false},
  };
  for (const FateCase& c : cases) {
    Fixture f;
    TableClient table(f.io, f.pool, f.endpoint);
    ObjectClient objects(f.io, f.pool, f.endpoint);
    const FaultRule rule{.fault = c.fault, .key_prefix = "k"};
    f.service.table().faults().Add(rule);
    f.service.objects().faults().Add(rule);
    const auto wrote = f.Transact(table, "k");
    CHECK(wrote.reply.has_value() == c.replied);
    CHECK(wrote.certainly_not_applied == c.certainly_not_applied);
    CHECK(f.service.table().rows().contains("k") == c.applied);
    const auto put = f.Wait<bool>(
        [&](auto done) { objects.Put("k/1", "bytes", std::move(done)); });
    CHECK(put.reply.has_value() == c.replied);
    CHECK(put.certainly_not_applied == c.certainly_not_applied);
    CHECK(f.service.objects().objects().contains("k/1") == c.applied);
  }
}

// Guards against refusals that are told as unknown, which would block a
// journal.
TEST_CASE("refused writes are certainly not applied") {
  Fixture f({.table = {.rows_written_per_second = 1}});
  TableClient table(f.io, f.pool, f.endpoint);
  PlatformEndpoint gone = f.endpoint;
  gone.endpoint = "127.0.0.1:1";
  TableClient unreachable(f.io, f.pool, gone);
  CHECK(f.Transact(unreachable, "a").certainly_not_applied);
  // A large value uses the budget of many seconds.
  TransactCall many{"t", {}, {}, {}};
  for (int i = 0; i < 100'000; ++i) many.deletes.push_back("x");
  CHECK(f.Wait<TransactReply>([&](auto done) {
           table.Transact(many, std::move(done));
         }).reply->committed);
  const auto refused = f.Transact(table, "a");
  CHECK_FALSE(refused.reply);
  CHECK(refused.certainly_not_applied);
  const auto large = f.Wait<TransactReply>([&](auto done) {
    table.Transact({"t", {}, {{"a", std::string(70'000, 'x')}}, {}},
                   std::move(done));
  });
  CHECK(large.certainly_not_applied);
}

// Guards against reads that fail for a short fault, and against retries that
// add load to a service that is down.
TEST_CASE("reads are retried within the budget and writes never") {
  Fixture f;
  f.endpoint.retries.burst = 5;
  f.endpoint.retries.share = 0;
  TableClient table(f.io, f.pool, f.endpoint);
  const FaultRule twice{
      .fault = Fault::kNotAppliedAnswerLost, .op = "read", .count = 2};
  f.service.table().faults().Add(twice);
  CHECK(f.Read(table).reply);
  f.service.table().faults().Add(twice);
  CHECK(f.Read(table).reply);
  f.service.table().faults().Add(twice);
  CHECK_FALSE(f.Read(table).reply);
  CHECK(f.Read(table).reply);
  f.service.table().faults().Add(
      {.fault = Fault::kNotAppliedAnswerLost, .op = "transact", .count = 1});
  CHECK_FALSE(f.Transact(table, "k").reply);
  CHECK(f.service.table().rows().empty());
}

// Guards against names that reach another object, and against an absent object
// that is told as a failure.
TEST_CASE("objects are stored under their exact name") {
  Fixture f;
  ObjectClient objects(f.io, f.pool, f.endpoint);
  const std::string bytes(1'000'000, '\xff');
  const auto get = [&](const std::string& name) {
    return f.Wait<std::optional<std::string>>(
        [&](auto done) { objects.Get(name, std::move(done)); });
  };
  f.Wait<bool>(
      [&](auto done) { objects.Put("snap/1?a b", bytes, std::move(done)); });
  CHECK(**get("snap/1?a b").reply == bytes);
  REQUIRE(get("snap/1").reply);
  CHECK_FALSE(get("snap/1").reply->has_value());
  f.Wait<bool>(
      [&](auto done) { objects.Delete("snap/1?a b", std::move(done)); });
  CHECK(f.service.objects().objects().empty());
}

TEST_CASE("rows and hosts are read") {
  Fixture f({.host_list_lag = Duration::zero()});
  TableClient table(f.io, f.pool, f.endpoint);
  HostListClient hosts(f.io, f.pool, f.endpoint);
  CHECK(f.Transact(table, "p/1").reply->committed);
  CHECK_FALSE(f.Transact(table, "p/1").reply->committed);
  const auto rows = f.Wait<RowsReply>([&](auto done) {
    table.Scan({"p/", "", 10}, std::move(done));
  });
  CHECK(rows.reply->rows.at(0).value == "v");
  ListedHost host;
  host.id = WorkerId("w1");
  f.service.hosts().Set(host, Time());
  const auto listed =
      f.Wait<HostListReply>([&](auto done) { hosts.List(std::move(done)); });
  CHECK(listed.reply->hosts.at(0).id == WorkerId("w1"));
}

// Guards against retries at the same moment by all hosts, and without end.
TEST_CASE("retry delays are random and doubled") {
  RetryBudget budget({.max_tries = 3, .first_delay = milliseconds(10)});
  Duration longest = Duration::zero();
  for (int i = 0; i < 100; ++i) {
    CHECK(budget.Delay(1) <= milliseconds(10));
    longest = std::max(longest, budget.Delay(2));
  }
  CHECK(longest > milliseconds(10));
  CHECK(longest <= milliseconds(20));
  CHECK_FALSE(budget.TryTake(3));
}

}  // namespace
}  // namespace gypsumfall
