#include "gypsumfall/ownership/ownership.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

constexpr int kPartitions = 16;

// Applies transactions and reads at once; counts the rows that are read.
class FakeTable {
 public:
  TransactReply Transact(const TransactCall& call) {
    for (const RowCheck& check : call.checks) {
      const Row row = Find(check.key);
      if (row.version != check.version) return {false, {}, row};
    }
    TransactReply reply{true, {}, {}};
    for (const RowPut& put : call.puts) {
      Row& row = rows_[put.key];
      row = {put.key, row.version.Next(), put.value};
      reply.versions.push_back(row.version);
    }
    return reply;
  }
  RowsReply Read(const ReadCall& call) {
    RowsReply reply;
    for (const std::string& key : call.keys) reply.rows.push_back(Find(key));
    rows_read += reply.rows.size();
    return reply;
  }
  RowsReply Scan(const ScanCall& call) {
    RowsReply reply;
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(call.prefix)) reply.rows.push_back(row);
    }
    rows_read += reply.rows.size();
    return reply;
  }
  Row Find(const std::string& key) const {
    const auto row = rows_.find(key);
    return row == rows_.end() ? Row{key, {}, {}} : row->second;
  }
  std::size_t rows_read = 0;

 private:
  std::map<std::string, Row> rows_;
};

struct TestHost {
  TestHost(const std::string& name, int count)
      : id(name),
        lease({id, DataCentreId("dc"), "10.0.0.1:1"}, {}),
        parts({.self = id, .partitions = count}) {}

  EntryHostId id;
  HostLease lease;
  TaskPartitions parts;
  bool paused = false;
  bool lose_answers = false;
  bool stopping = false;
  int leases_lost = 0;
  std::map<PartitionId, OwnershipGained> owned;
};

// Steps hosts against one table, 100 ms at a time.
class World {
 public:
  explicit World(int count, int partitions = kPartitions)
      : partitions_(partitions) {
    for (int i = 0; i < count; ++i) Add();
  }

  TestHost& Add() {
    const std::string name = "host-" + std::to_string(100 + hosts.size());
    return hosts.emplace_back(name, partitions_);
  }
  void Run(Duration span) {
    for (const Time end = now + span; now < end; now += milliseconds(100)) {
      for (TestHost& host : hosts) {
        if (!host.paused) Step(host);
      }
    }
  }
  // Requires each partition to be owned by one running host at the version
  // that the table holds.
  void CheckAllOwnedOnce() {
    std::size_t held = 0;
    for (TestHost& host : hosts) {
      if (host.paused) continue;
      held += host.owned.size();
      for (const auto& [id, gained] : host.owned) {
        CHECK(table.Find(PartitionRowKey(id)).version == gained.version);
      }
    }
    CHECK(held == static_cast<std::size_t>(partitions_));
  }

  FakeTable table;
  std::deque<TestHost> hosts;
  Time now;
  bool outage = false;
  bool lapse_seen = false;

 private:
  template <typename Reply>
  Result<Reply> Deliver(const TestHost& host, Reply reply) {
    if (!outage && !host.lose_answers) return reply;
    return Fail(ErrorKind::kStoreUnavailable, "lost");
  }
  Result<TransactReply> Transact(const TestHost& host,
                                 const TransactCall& call) {
    return Deliver(host, outage ? TransactReply() : table.Transact(call));
  }
  void Step(TestHost& host) {
    PerformLease(host, host.lease.Tick(now));
    std::vector<EntryHostId> preferred;
    for (const TestHost& each : hosts) {
      if (!each.paused && !each.stopping) preferred.push_back(each.id);
    }
    Perform(host, host.parts.Tick(preferred, now));
  }
  void PerformLease(TestHost& host, const std::vector<HostLeaseAction>& all) {
    for (const HostLeaseAction& action : all) {
      if (const auto* send = std::get_if<OwnershipTransact>(&action)) {
        const auto reply = Transact(host, send->call);
        PerformLease(host,
                     host.lease.OnTransacted(send->call.token, reply, now));
      } else if (const auto* gained = std::get_if<LeaseGained>(&action)) {
        Perform(host, host.parts.OnLeaseGained(gained->incarnation, now));
      } else if (std::holds_alternative<LeaseLost>(action)) {
        ++host.leases_lost;
        Perform(host, host.parts.OnLeaseLost(now));
      }
    }
  }
  void Perform(TestHost& host, const PartitionActions& actions) {
    for (const PartitionAction& action : actions) {
      std::visit([&](const auto& each) { Do(host, each); }, action);
    }
  }
  void Do(TestHost& host, const OwnershipTransact& send) {
    const auto reply = Transact(host, send.call);
    Perform(host, host.parts.OnTransacted(send.call.token, reply, now));
  }
  void Do(TestHost& host, const OwnershipRead& send) {
    const auto reply = Deliver(host, table.Read(send.call));
    Perform(host, host.parts.OnRows(send.token, reply, now));
  }
  void Do(TestHost& host, const OwnershipScan& send) {
    const auto reply = Deliver(host, table.Scan(send.call));
    Perform(host, host.parts.OnRows(send.token, reply, now));
  }
  static void Do(TestHost& host, const OwnershipGained& gained) {
    host.owned[gained.partition] = gained;
  }
  static void Do(TestHost& host, const OwnershipLost& lost) {
    host.owned.erase(lost.partition);
  }
  static void Do(TestHost& host, const PrepareRelease& release) {
    host.parts.ReadyToRelease(release.partition);
  }
  void Do(TestHost& /*host*/, const HostLapsed& /*lapsed*/) {
    lapse_seen = true;
  }

  int partitions_;
};

void PauseFirst(World& world) { world.hosts[0].paused = true; }
void ResumeFirst(World& world) { world.hosts[0].paused = false; }
void LoseAnswers(World& world) { world.hosts[0].lose_answers = true; }
void FindAnswers(World& world) { world.hosts[0].lose_answers = false; }
void StartOutage(World& world) { world.outage = true; }
void EndOutage(World& world) { world.outage = false; }
void PauseTwo(World& world) {
  world.hosts[0].paused = true;
  world.hosts[1].paused = true;
}
void StopFirst(World& world) {
  world.hosts[0].lease.Leave();
  world.hosts[0].parts.Stop();
  world.hosts[0].stopping = true;
}
void AddHost(World& world) { world.Add(); }
void Nothing(World& /*world*/) {}

struct FaultRow {
  const char* name;
  void (*fault)(World&);
  Duration lasts;
  void (*repair)(World&);
  /// Within this time after the fault, and again after the repair, every
  /// partition has one owner.
  Duration bound;
  int leases_lost;
  bool lapse_seen;
};

constexpr FaultRow kFaults[] = {
    {"no fault", Nothing, seconds(30), Nothing, seconds(0), 0, false},
    {"paused owner", PauseFirst, seconds(20), ResumeFirst, seconds(15), 1,
     true},
    {"short pause", PauseFirst, seconds(4), ResumeFirst, seconds(4), 0, false},
    {"two hosts die", PauseTwo, seconds(30), Nothing, seconds(20), 0, true},
    {"lost answers", LoseAnswers, seconds(5), FindAnswers, seconds(5), 0,
     false},
    {"outage of the store", StartOutage, seconds(60), EndOutage, seconds(5), 0,
     false},
    {"planned stop", StopFirst, seconds(10), Nothing, seconds(10), 0, false},
    {"a better owner joins", AddHost, seconds(20), Nothing, seconds(20), 0,
     false},
};

// Guards against partitions without an owner, with two owners, or taken from a
// host that is able to renew.
TEST_CASE("partitions keep one owner through faults") {
  for (const FaultRow& row : kFaults) {
    INFO(row.name);
    World world(3);
    world.Run(seconds(15));
    world.CheckAllOwnedOnce();
    row.fault(world);
    world.Run(std::max(row.lasts, row.bound));
    if (row.repair == Nothing) world.CheckAllOwnedOnce();
    row.repair(world);
    world.Run(seconds(20));
    world.CheckAllOwnedOnce();
    CHECK(world.hosts[0].leases_lost == row.leases_lost);
    CHECK(world.lapse_seen == row.lapse_seen);
    for (const TestHost& host : world.hosts) {
      if (!host.paused && !host.stopping) CHECK_FALSE(host.owned.empty());
      if (host.stopping) CHECK(host.parts.Stopped());
    }
  }
}

// Guards against a takeover of a host that renewed its row meanwhile.
TEST_CASE("a renewal between observation and takeover prevents the takeover") {
  World world(2);
  world.Run(seconds(15));
  TestHost& paused = world.hosts[0];
  paused.paused = true;
  const std::string key = HostRowKey(paused.id);
  for (int i = 0; i < 300; ++i) {
    // Renewed by someone else each 6.5 s: never unchanged for 7 s.
    if (i % 65 == 0) {
      const Row row = world.table.Find(key);
      world.table.Transact({"", {{key, row.version}}, {{key, row.value}}, {}});
    }
    world.Run(milliseconds(100));
  }
  CHECK_FALSE(world.lapse_seen);
}

// Guards against a takeover that gives up, or puts an old epoch, because a row
// has changed since it was read.
TEST_CASE("a takeover with a failed check is repeated with the row as it is") {
  World world(3);
  world.Run(seconds(15));
  TestHost& dead = world.hosts[0];
  dead.paused = true;
  const PartitionId id = dead.owned.begin()->first;
  std::uint64_t epoch = 50;
  for (int i = 0; i < 120; ++i) {
    world.Run(milliseconds(100));
    const Row row = world.table.Find(PartitionRowKey(id));
    if (DecodePartitionRow(row.value)->owner != dead.id) break;
    const PartitionRow put{dead.id, dead.lease.incarnation(), Epoch(++epoch)};
    world.table.Transact({"", {}, {{row.key, EncodePartitionRow(put)}}, {}});
  }
  world.Run(seconds(10));
  world.CheckAllOwnedOnce();
  CHECK(epoch > 100);
  const Row row = world.table.Find(PartitionRowKey(id));
  CHECK(DecodePartitionRow(row.value)->epoch > Epoch(epoch));
}

// Guards against a journal that goes on writing after a lost partition, and
// against a late commit that is not noticed.
TEST_CASE("a foreign version of an owned row ends ownership") {
  World world(2);
  world.Run(seconds(15));
  TestHost& host = world.hosts[0];
  REQUIRE_FALSE(host.owned.empty());
  const PartitionId id = host.owned.begin()->first;
  const Row row = world.table.Find(PartitionRowKey(id));
  const PartitionRow other{world.hosts[1].id, Incarnation(1), Epoch(99)};
  world.table.Transact({"", {}, {{row.key, EncodePartitionRow(other)}}, {}});
  host.parts.SuspectPartition(id);
  world.Run(seconds(3));
  CHECK_FALSE(host.owned.contains(id));
  CHECK(host.parts.Find(id)->row == other);
}

// Guards against reads of all hosts growing with the square of their number.
TEST_CASE("rows read per host stay flat") {
  std::map<int, std::size_t> rows;
  for (const int count : {6, 48}) {
    World world(count);
    world.Run(seconds(30));
    world.table.rows_read = 0;
    world.Run(seconds(120));
    rows[count] = world.table.rows_read / static_cast<std::size_t>(count);
  }
  CHECK(rows[48] <= 2 * rows[6]);
}

// Guards against two processes that use one incarnation.
TEST_CASE("a lost join is never adopted") {
  FakeTable table;
  HostLease lease({EntryHostId("a"), DataCentreId("d"), "10.0.0.1:1"}, {});
  Time now;
  const auto first = std::get<OwnershipTransact>(lease.Tick(now).at(0));
  CHECK(table.Transact(first.call).committed);
  now += seconds(1);
  auto second = std::get<OwnershipTransact>(lease.Tick(now).at(0));
  const auto reply = table.Transact(second.call);
  CHECK_FALSE(reply.committed);
  const auto third = lease.OnTransacted(second.call.token, reply, now);
  const auto& call = std::get<OwnershipTransact>(third.at(0)).call;
  const auto done =
      lease.OnTransacted(call.token, table.Transact(call), now + seconds(1));
  CHECK(std::get<LeaseGained>(done.at(0)).incarnation == Incarnation(2));
  CHECK(lease.ConfirmedAt() == now);
}

// Guards against workers that change owner when an unrelated host fails, and
// against racks left alone when their data centre has no entry host.
TEST_CASE("worker owners") {
  const DataCentreId one("one");
  std::vector<LiveHost> hosts;
  hosts.reserve(6);
  for (int i = 0; i < 6; ++i) {
    hosts.push_back({EntryHostId("h" + std::to_string(i)),
                     DataCentreId(i < 3 ? "one" : "two")});
  }
  std::set<EntryHostId> owners;
  for (int rack = 0; rack < 64; ++rack) {
    const RackId id("r" + std::to_string(rack));
    const auto owner = ChooseWorkerOwner(id, one, hosts);
    owners.insert(*owner);
    std::vector<LiveHost> rest(hosts.begin() + 1, hosts.end());
    if (owner != hosts[0].id) CHECK(ChooseWorkerOwner(id, one, rest) == owner);
    CHECK(ChooseWorkerOwner(id, DataCentreId("three"), hosts).has_value());
  }
  CHECK(owners.size() == 3);
  CHECK_FALSE(ChooseWorkerOwner(RackId("r"), one, {}).has_value());
}

// Guards against damaged or foreign rows being taken as valid.
TEST_CASE("rows round-trip and reject other text") {
  const HostRow host{Incarnation(3), 9,    DataCentreId("d"),
                     "10.0.0.1:80",  true, false};
  CHECK(DecodeHostRow(EncodeHostRow(host)) == host);
  const PartitionRow part{EntryHostId("a"), Incarnation(2), Epoch(7)};
  CHECK(DecodePartitionRow(EncodePartitionRow(part)) == part);
  for (const char* text : {"", "{", "[]", "{}", "{\"epoch\":-1}"}) {
    CHECK_FALSE(DecodeHostRow(text));
    CHECK_FALSE(DecodePartitionRow(text));
  }
  CHECK(PartitionOfRowKey("part/x").empty());
  CHECK(PartitionOfRowKey("part/3") == TaskPartitionId(3));
}

}  // namespace
}  // namespace gypsumfall
