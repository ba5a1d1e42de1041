#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "standins/models.h"

namespace gypsumfall::standins {
namespace {

TransactCall Put(const std::string& key, std::uint64_t version) {
  return {"t", {{key, RowVersion(version)}}, {{key, "v"}}, {}};
}

// Guards against a partially applied transaction and against a version that is
// reused after a delete.
TEST_CASE("transactions are atomic and versions only increase") {
  TableModel table;
  const auto first = table.Transact(Put("a", 0), Time());
  REQUIRE(first.reply);
  REQUIRE(first.reply->committed);
  TransactCall mixed = Put("b", 0);
  mixed.checks.push_back({"a", RowVersion(99)});
  const auto failed = table.Transact(mixed, Time());
  CHECK_FALSE(failed.reply->committed);
  CHECK(failed.reply->conflict.key == "a");
  CHECK(failed.reply->conflict.version == first.reply->versions[0]);
  CHECK(table.rows().size() == 1);
  CHECK(table.Transact({"t", {}, {}, {"a"}}, Time()).reply->committed);
  const auto again = table.Transact(Put("a", 0), Time());
  CHECK(again.reply->versions[0] > first.reply->versions[0]);
  CHECK(table.Read({{"a", "b"}}, Time()).reply->rows[1].version ==
        RowVersion(0));
}

TEST_CASE("a scan returns rows with the prefix in order, after a given key") {
  TableModel table;
  for (const char* key : {"a", "p/1", "p/2", "p/3", "q"}) {
    table.Transact(Put(key, 0), Time());
  }
  CHECK(table.Scan({"p/", "", 10}, Time()).reply->rows.size() == 3);
  const auto page = table.Scan({"p/", "p/1", 1}, Time());
  REQUIRE(page.reply->rows.size() == 1);
  CHECK(page.reply->rows[0].key == "p/2");
  CHECK(table.Scan({"p/", "p/3", 10}, Time()).reply->rows.empty());
}

struct FaultCase {
  Fault fault;
  bool applied;
  bool answered;
  bool down;
};

// Guards against a model whose lost answers differ from those of the platform.
TEST_CASE("each fault determines whether a call is applied and answered") {
  const std::vector<FaultCase> cases = {
      {Fault::kDown, false, false, true},
      {Fault::kSlow, true, true, false},
      {Fault::kAppliedAnswerLost, true, false, false},
      {Fault::kNotAppliedAnswerLost, false, false, false},
  };
  for (const FaultCase& c : cases) {
    TableModel table;
    ObjectModel objects;
    const FaultRule rule{.fault = c.fault, .key_prefix = "log/", .count = 1};
    table.faults().Add(rule);
    objects.faults().Add(rule);
    CHECK(table.Transact(Put("other", 0), Time()).reply);
    const auto answer = table.Transact(Put("log/1", 0), Time());
    CHECK(answer.applied == c.applied);
    CHECK(answer.reply.has_value() == c.answered);
    CHECK(answer.down == c.down);
    CHECK(table.rows().contains("log/1") == c.applied);
    CHECK(table.Transact(Put("log/2", 0), Time()).reply);
    const auto stored = objects.Put("log/1", "bytes");
    CHECK(stored.reply.has_value() == c.answered);
    CHECK(objects.objects().contains("log/1") == c.applied);
  }
}

TEST_CASE("random faults are reproducible with the same seed") {
  std::vector<bool> runs[2];
  for (auto& run : runs) {
    FaultRules rules(7);
    rules.Add({.fault = Fault::kDown, .probability = 0.5});
    for (int i = 0; i < 100; ++i) run.push_back(rules.Match("read", {}).down);
  }
  CHECK(runs[0] == runs[1]);
  CHECK(std::count(runs[0].begin(), runs[0].end(), true) > 20);
}

// Guards against a model with higher rate limits than the platform.
TEST_CASE("rates are limited and recover with time") {
  TableModel table({.rows_written_per_second = 10, .reads_per_second = 10});
  int committed = 0;
  for (int i = 0; i < 50; ++i) {
    const auto answer = table.Transact(Put("k" + std::to_string(i), 0), Time());
    committed += answer.reply ? 1 : 0;
  }
  CHECK(committed == 10);
  CHECK(table.rate_limited() == 40);
  CHECK(table.Transact(Put("x", 0), Time()).refused == ErrorKind::kOverLimit);
  CHECK(table.Transact(Put("x", 0), Time(seconds(1))).reply);
  ReadCall many;
  for (int i = 0; i < 25; ++i) many.keys.push_back("k");
  CHECK(table.Read(many, Time(seconds(1))).reply);
  CHECK(table.Read({{"a"}}, Time(seconds(2))).refused);
  CHECK(table.Read({{"a"}}, Time(seconds(3))).reply);
  TransactCall large = Put("large", 0);
  large.puts[0].value.resize(70'000);
  CHECK(table.Transact(large, Time(seconds(9))).refused ==
        ErrorKind::kTooLarge);
}

TEST_CASE("the host list shows changes after its lag") {
  HostListModel list(seconds(5));
  ListedHost host;
  host.id = WorkerId("w1");
  list.Set(host, Time(seconds(1)));
  host.leaving = true;
  list.Set(host, Time(seconds(2)));
  list.Remove(host.id, Time(seconds(10)));
  CHECK(list.View(Time(seconds(5))).reply->hosts.empty());
  CHECK_FALSE(list.View(Time(seconds(6))).reply->hosts.at(0).leaving);
  CHECK(list.View(Time(seconds(7))).reply->hosts.at(0).leaving);
  CHECK(list.View(Time(seconds(14))).reply->hosts.size() == 1);
  CHECK(list.View(Time(seconds(15))).reply->hosts.empty());
}

}  // namespace
}  // namespace gypsumfall::standins
