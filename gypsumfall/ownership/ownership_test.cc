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

// Table service that applies calls immediately and counts the rows read.
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
        task_partitions({.self = id, .partitions = count}) {}

  EntryHostId id;
  HostLease lease;
  TaskPartitions task_partitions;
  bool paused = false;
  bool lose_answers = false;
  bool stopping = false;
  int leases_lost = 0;
  std::map<PartitionId, OwnershipGained> owned;
};

// Advances several hosts against one table in steps of 100 ms.
class Cluster {
 public:
  explicit Cluster(int count, int partitions = kPartitions)
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
  // Checks that each partition is owned by exactly one running host, at the row
  // version in the table.
  void CheckEachPartitionHasOneOwner() {
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
  bool expiry_seen = false;

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
    Perform(host, host.task_partitions.Tick(preferred, now));
  }
  void PerformLease(TestHost& host, const std::vector<HostLeaseAction>& all) {
    for (const HostLeaseAction& action : all) {
      if (const auto* send = std::get_if<OwnershipTransact>(&action)) {
        const auto reply = Transact(host, send->call);
        PerformLease(host,
                     host.lease.OnTransacted(send->call.token, reply, now));
      } else if (const auto* gained = std::get_if<LeaseGained>(&action)) {
        Perform(host,
                host.task_partitions.OnLeaseGained(gained->incarnation, now));
      } else if (std::holds_alternative<LeaseLost>(action)) {
        ++host.leases_lost;
        Perform(host, host.task_partitions.OnLeaseLost(now));
      }
    }
  }
  void Perform(TestHost& host, const PartitionActions& actions) {
    for (const PartitionAction& action : actions) {
      std::visit([&](const auto& each) { Handle(host, each); }, action);
    }
  }
  void Handle(TestHost& host, const OwnershipTransact& send) {
    const auto reply = Transact(host, send.call);
    Perform(host,
            host.task_partitions.OnTransacted(send.call.token, reply, now));
  }
  void Handle(TestHost& host, const OwnershipRead& send) {
    const auto reply = Deliver(host, table.Read(send.call));
    Perform(host, host.task_partitions.OnRows(send.token, reply, now));
  }
  void Handle(TestHost& host, const OwnershipScan& send) {
    const auto reply = Deliver(host, table.Scan(send.call));
    Perform(host, host.task_partitions.OnRows(send.token, reply, now));
  }
  static void Handle(TestHost& host, const OwnershipGained& gained) {
    host.owned[gained.partition] = gained;
  }
  static void Handle(TestHost& host, const OwnershipLost& lost) {
    host.owned.erase(lost.partition);
  }
  static void Handle(TestHost& host, const PrepareRelease& release) {
    host.task_partitions.ReadyToRelease(release.partition);
  }
  void Handle(TestHost& /*host*/, const HostLeaseExpired& /*expiry*/) {
    expiry_seen = true;
  }

  int partitions_;
};

void PauseFirst(Cluster& cluster) { cluster.hosts[0].paused = true; }
void ResumeFirst(Cluster& cluster) { cluster.hosts[0].paused = false; }
void LoseAnswers(Cluster& cluster) { cluster.hosts[0].lose_answers = true; }
void DeliverAnswers(Cluster& cluster) { cluster.hosts[0].lose_answers = false; }
void StartOutage(Cluster& cluster) { cluster.outage = true; }
void EndOutage(Cluster& cluster) { cluster.outage = false; }
void PauseFirstTwo(Cluster& cluster) {
  cluster.hosts[0].paused = true;
  cluster.hosts[1].paused = true;
}
void StopFirst(Cluster& cluster) {
  cluster.hosts[0].lease.Leave();
  cluster.hosts[0].task_partitions.Stop();
  cluster.hosts[0].stopping = true;
}
void AddHost(Cluster& cluster) { cluster.Add(); }
void NoOp(Cluster& /*cluster*/) {}

struct FaultCase {
  const char* name;
  void (*fault)(Cluster&);
  Duration duration;
  void (*repair)(Cluster&);
  /// Every partition has one owner again within this time after the fault, and
  /// after the repair.
  Duration bound;
  int leases_lost;
  bool expiry_seen;
};

constexpr FaultCase kFaults[] = {
    {"no fault", NoOp, seconds(30), NoOp, seconds(0), 0, false},
    {"paused owner", PauseFirst, seconds(20), ResumeFirst, seconds(15), 1,
     true},
    {"short pause", PauseFirst, seconds(4), ResumeFirst, seconds(4), 0, false},
    {"two hosts die", PauseFirstTwo, seconds(30), NoOp, seconds(20), 0, true},
    {"lost answers", LoseAnswers, seconds(5), DeliverAnswers, seconds(5), 0,
     false},
    {"outage of the store", StartOutage, seconds(60), EndOutage, seconds(5), 0,
     false},
    {"graceful shutdown", StopFirst, seconds(10), NoOp, seconds(10), 0, false},
    {"a better owner joins", AddHost, seconds(20), NoOp, seconds(20), 0, false},
};

// Guards against partitions with no owner or two owners, and against a takeover
// from a host that can still renew its lease.
TEST_CASE("partitions keep one owner through faults") {
  for (const FaultCase& row : kFaults) {
    INFO(row.name);
    Cluster cluster(3);
    cluster.Run(seconds(15));
    cluster.CheckEachPartitionHasOneOwner();
    row.fault(cluster);
    cluster.Run(std::max(row.duration, row.bound));
    if (row.repair == NoOp) cluster.CheckEachPartitionHasOneOwner();
    row.repair(cluster);
    cluster.Run(seconds(20));
    cluster.CheckEachPartitionHasOneOwner();
    CHECK(cluster.hosts[0].leases_lost == row.leases_lost);
    CHECK(cluster.expiry_seen == row.expiry_seen);
    for (const TestHost& host : cluster.hosts) {
      if (!host.paused && !host.stopping) CHECK_FALSE(host.owned.empty());
      if (host.stopping) CHECK(host.task_partitions.Stopped());
    }
  }
}

// Guards against a takeover from a host that renewed its row after it was last
// observed.
TEST_CASE("a renewal between observation and takeover prevents the takeover") {
  Cluster cluster(2);
  cluster.Run(seconds(15));
  TestHost& paused = cluster.hosts[0];
  paused.paused = true;
  const std::string key = HostRowKey(paused.id);
  for (int i = 0; i < 300; ++i) {
    // Rewrites the row every 6.5 s, so that it is never unchanged for the 7 s
    // of lease and margin.
    if (i % 65 == 0) {
      const Row row = cluster.table.Find(key);
      cluster.table.Transact(
          {"", {{key, row.version}}, {{key, row.value}}, {}});
    }
    cluster.Run(milliseconds(100));
  }
  CHECK_FALSE(cluster.expiry_seen);
}

// Guards against a takeover that gives up, or writes an old epoch, because a
// partition row changed between its read and the transaction.
TEST_CASE("a takeover with a failed check is retried with the current row") {
  Cluster cluster(3);
  cluster.Run(seconds(15));
  TestHost& dead = cluster.hosts[0];
  dead.paused = true;
  const PartitionId id = dead.owned.begin()->first;
  std::uint64_t epoch = 50;
  for (int i = 0; i < 120; ++i) {
    cluster.Run(milliseconds(100));
    const Row row = cluster.table.Find(PartitionRowKey(id));
    if (DecodePartitionRow(row.value)->owner != dead.id) break;
    const PartitionRow put{dead.id, dead.lease.incarnation(), Epoch(++epoch)};
    cluster.table.Transact({"", {}, {{row.key, EncodePartitionRow(put)}}, {}});
  }
  cluster.Run(seconds(10));
  cluster.CheckEachPartitionHasOneOwner();
  CHECK(epoch > 100);
  const Row row = cluster.table.Find(PartitionRowKey(id));
  CHECK(DecodePartitionRow(row.value)->epoch > Epoch(epoch));
}

// Guards against a journal that keeps writing after its partition was lost, and
// against an unnoticed late commit of another host.
TEST_CASE("a row version written by another host ends ownership") {
  Cluster cluster(2);
  cluster.Run(seconds(15));
  TestHost& host = cluster.hosts[0];
  REQUIRE_FALSE(host.owned.empty());
  const PartitionId id = host.owned.begin()->first;
  const Row row = cluster.table.Find(PartitionRowKey(id));
  const PartitionRow other{cluster.hosts[1].id, Incarnation(1), Epoch(99)};
  cluster.table.Transact({"", {}, {{row.key, EncodePartitionRow(other)}}, {}});
  host.task_partitions.RefreshPartition(id);
  cluster.Run(seconds(3));
  CHECK_FALSE(host.owned.contains(id));
  CHECK(host.task_partitions.Find(id)->row == other);
}

// Guards against a number of row reads that grows with the square of the number
// of hosts.
TEST_CASE("rows read per host stay bounded as hosts are added") {
  std::map<int, std::size_t> rows;
  for (const int count : {6, 48}) {
    Cluster cluster(count);
    cluster.Run(seconds(30));
    cluster.table.rows_read = 0;
    cluster.Run(seconds(120));
    rows[count] = cluster.table.rows_read / static_cast<std::size_t>(count);
  }
  CHECK(rows[48] <= 2 * rows[6]);
}

// Guards against two processes that use the same incarnation: after a join
// whose answer was lost, the host joins with the next incarnation.
TEST_CASE("an unconfirmed join is never adopted") {
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
// against racks without an owner when their data centre has no entry host.
TEST_CASE("racks have a stable preferred owner") {
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

// Guards against corrupt rows, or rows of another kind, being decoded as valid.
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
