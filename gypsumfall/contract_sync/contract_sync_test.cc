#include "gypsumfall/contract_sync/contract_sync.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

constexpr Time kStart{};
constexpr Duration kPoll = milliseconds(500);

// Holds rows and applies transactions as the table service does.
class Table {
 public:
  TransactReply Transact(const TransactCall& call) {
    for (const RowCheck& check : call.checks) {
      const Row row = Find(check.key);
      if (row.version != check.version) return {.conflict = row};
    }
    TransactReply reply{.committed = true};
    for (const RowPut& put : call.puts) {
      const RowVersion version = Find(put.key).version.Next();
      rows_[put.key] = Row{put.key, version, put.value};
      reply.versions.push_back(version);
    }
    return reply;
  }

  RowsReply Read(const ReadCall& call) const {
    RowsReply reply;
    for (const std::string& key : call.keys) reply.rows.push_back(Find(key));
    return reply;
  }

  RowsReply Scan(const ScanCall& call) const {
    RowsReply reply;
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(call.prefix) && key > call.after) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }

  Row Find(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? Row{.key = key} : found->second;
  }

 private:
  std::map<std::string, Row> rows_;
};

enum class Fault {
  kNone,
  kAnswerLostApplied,
  kAnswerLostNotApplied,
  kRefused,
  kAppliedLate,
};

struct PutResult {
  std::optional<PutDone> done;
  std::optional<PutRejected> rejected;
  bool unknown = false;
};

// Runs one put; `faults` says what happens to each transaction in turn.
PutResult RunPut(Table& table, PutOrder order, std::vector<Fault> faults) {
  ContractPut put(std::move(order));
  std::deque<ContractAction> todo;
  std::vector<TransactCall> late;
  PutResult result;
  const auto add = [&](std::vector<ContractAction> actions) {
    for (auto& action : actions) todo.push_back(std::move(action));
  };
  const auto transact = [&](const TransactCall& call) {
    const Fault fault = faults.empty() ? Fault::kNone : faults.front();
    if (!faults.empty()) faults.erase(faults.begin());
    switch (fault) {
      case Fault::kNone: {
        TransactReply reply = table.Transact(call);
        return put.OnTransactReply(reply);
      }
      case Fault::kAnswerLostApplied:
        table.Transact(call);
        return put.OnTransactUnknown();
      case Fault::kAnswerLostNotApplied:
        return put.OnTransactUnknown();
      case Fault::kRefused:
        return put.OnTransactNotApplied();
      case Fault::kAppliedLate:
        late.push_back(call);
        return put.OnTransactUnknown();
    }
    return put.OnTransactUnknown();
  };
  add(put.Start());
  while (!todo.empty()) {
    const ContractAction action = std::move(todo.front());
    todo.pop_front();
    if (const auto* read = std::get_if<ReadRows>(&action)) {
      const RowsReply rows = table.Read(read->call);
      // A delayed transaction takes effect just after it was looked for.
      for (const TransactCall& call : std::exchange(late, {})) {
        table.Transact(call);
      }
      add(put.OnRows(rows));
    } else if (const auto* send = std::get_if<SendTransaction>(&action)) {
      add(transact(send->call));
    } else if (const auto* done = std::get_if<PutDone>(&action)) {
      result.done = *done;
    } else if (const auto* rejected = std::get_if<PutRejected>(&action)) {
      result.rejected = *rejected;
    } else {
      result.unknown = true;
    }
  }
  return result;
}

PutOrder OrderFor(const std::string& text, std::uint64_t base) {
  return {CustomerId("acme"), ContractVersion(base), text, "ops",
          "token-" + text};
}

StoredContract Stored(const Table& table) {
  return DecodeStoredContract(table.Find("contract/acme").value).value();
}

// Guards against guessing the outcome of a put whose answer was lost.
TEST_CASE("a put ends once and truthfully under each fault") {
  struct Case {
    const char* name;
    std::vector<Fault> faults;
    bool done;
  };
  const std::vector<Case> cases = {
      {"no fault", {}, true},
      {"answer lost, applied", {Fault::kAnswerLostApplied}, true},
      {"answer lost, not applied", {Fault::kAnswerLostNotApplied}, true},
      {"lost twice",
       {Fault::kAnswerLostNotApplied, Fault::kAnswerLostApplied},
       true},
      {"applied after the read-back", {Fault::kAppliedLate}, true},
      {"refused", {Fault::kRefused}, false},
  };
  for (const Case& row : cases) {
    INFO(row.name);
    Table table;
    const PutResult result = RunPut(table, OrderFor("a", 0), row.faults);
    CHECK(result.done.has_value() == row.done);
    CHECK(result.rejected.has_value() == !row.done);
    CHECK_FALSE(result.unknown);
    const Row stored = table.Find("contract/acme");
    CHECK((stored.version == RowVersion(1)) == row.done);
    CHECK(table.Find("contract_revision").value == (row.done ? "1" : ""));
  }
}

// Guards against one operator silently overwriting the change of another.
TEST_CASE("a put from an older version is rejected with what stands") {
  Table table;
  REQUIRE(RunPut(table, OrderFor("a", 0), {}).done);
  for (const Fault fault : {Fault::kNone, Fault::kAnswerLostNotApplied}) {
    const PutResult second = RunPut(table, OrderFor("b", 0), {fault});
    REQUIRE(second.rejected);
    CHECK(second.rejected->error.kind == ErrorKind::kConflict);
    CHECK(second.rejected->current.text == "a");
    CHECK(Stored(table).version == ContractVersion(1));
  }
}

// An entry host that follows the table through stale and failing reads.
class Host {
 public:
  explicit Host(bool checks_version)
      : follower_(kPoll), checks_version_(checks_version) {}

  // `pick` returns the table, current or stale, that the next read sees.
  template <typename PickTable>
  void Step(PickTable pick, bool fail, Time now) {
    if (pending_.empty()) pending_ = follower_.Tick(now);
    while (!pending_.empty()) {
      const FollowAction action = std::move(pending_.front());
      pending_.erase(pending_.begin());
      if (const auto* apply = std::get_if<ApplyContracts>(&action)) {
        Apply(*apply);
      } else if (fail) {
        follower_.OnReadFailed(now);
      } else {
        const Table& seen = pick();
        const auto* read = std::get_if<ReadRows>(&action);
        pending_ = follower_.OnRows(
            read != nullptr ? seen.Read(read->call)
                            : seen.Scan(std::get<ScanRows>(action).call),
            now);
      }
    }
  }

  ContractFollower& follower() { return follower_; }
  std::uint64_t version() const { return version_; }
  int reverts() const { return reverts_; }

 private:
  void Apply(const ApplyContracts& apply) {
    for (const StoredContract& contract : apply.contracts) {
      const std::uint64_t version = contract.version.value();
      if (checks_version_ && version <= version_) continue;
      if (version < version_) ++reverts_;
      version_ = version;
    }
  }

  ContractFollower follower_;
  bool checks_version_;
  std::vector<FollowAction> pending_;
  std::uint64_t version_ = 0;
  int reverts_ = 0;
};

struct Totals {
  int reverts = 0;
  int behind = 0;
  int lost_puts = 0;
  int faults = 0;
};

// Races two operators over lost answers and stale or failing reads, then lets
// the faults end and looks where each host stands.
Totals Interleave(std::uint64_t seed, bool checks_version) {
  std::mt19937_64 random(seed);
  const auto chance = [&](int percent) {
    return std::uniform_int_distribution(0, 99)(random) < percent;
  };
  Table table;
  std::vector<Table> snapshots = {table};
  std::vector<Host> hosts(7, Host(checks_version));
  Totals totals;
  Time now = kStart;
  std::uint64_t accepted = 0;
  for (int step = 0; step < 60; ++step) {
    now += kPoll;
    if (chance(30)) {
      const Fault fault =
          static_cast<Fault>(std::uniform_int_distribution(0, 4)(random));
      totals.faults += fault == Fault::kNone ? 0 : 1;
      // The other operator may have moved on from this version already.
      const std::uint64_t base =
          accepted - (accepted > 0 && chance(30) ? 1 : 0);
      const PutResult result =
          RunPut(table, OrderFor("s" + std::to_string(step), base), {fault});
      if (result.done) {
        if (result.done->version.value() != accepted + 1) ++totals.lost_puts;
        accepted = result.done->version.value();
      }
      snapshots.push_back(table);
    }
    for (Host& host : hosts) {
      const bool fail = chance(20);
      totals.faults += fail ? 1 : 0;
      const auto pick = [&]() -> const Table& {
        if (!chance(20)) return table;
        ++totals.faults;
        return snapshots[std::uniform_int_distribution<std::size_t>(
            0, snapshots.size() - 1)(random)];
      };
      host.Step(pick, fail, now);
    }
  }
  for (Host& host : hosts) {
    for (int round = 0; round < 4; ++round) {
      now += kPoll;
      host.Step([&]() -> const Table& { return table; }, false, now);
    }
    totals.reverts += host.reverts();
    if (host.version() != accepted) ++totals.behind;
  }
  return totals;
}

// Guards I9: an accepted change is in force on every reachable host within
// four polls (2 s) and never reverts.
TEST_CASE("contract changes reach all hosts and never revert") {
  constexpr std::uint64_t kSeeds = 500;
  int faults = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const Totals totals = Interleave(seed, true);
    faults += totals.faults;
    REQUIRE(totals.reverts == 0);
    REQUIRE(totals.behind == 0);
    REQUIRE(totals.lost_puts == 0);
  }
  WARN("contract interleaving: " << kSeeds << " seeds, " << faults
                                 << " faults injected");
}

// Proves that the check above can fail: a host that applies whatever it reads
// reverts under stale reads.
TEST_CASE("a host that ignores versions is caught") {
  int reverts = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    reverts += Interleave(seed, false).reverts;
  }
  CHECK(reverts > 0);
}

// Guards against waiting for the next poll, or polling in a wave, when a peer
// shows a newer revision.
TEST_CASE("a newer revision at a peer is fetched at once, but once") {
  Table table;
  Host host(true);
  const auto current = [&]() -> const Table& { return table; };
  host.Step(current, false, kStart);
  REQUIRE(RunPut(table, OrderFor("a", 0), {}).done);
  const Time soon = kStart + milliseconds(1);
  host.Step(current, false, soon);
  CHECK(host.version() == 0);
  host.follower().OnPeerRevision(ContractRevision(1));
  host.Step(current, true, soon);
  CHECK(host.follower().Tick(soon).empty());
  host.follower().OnPeerRevision(ContractRevision(1));
  host.Step(current, false, soon);
  CHECK(host.version() == 1);
}

// Guards against a damaged or foreign row taking a host down.
TEST_CASE("damaged contract rows are reported, not thrown") {
  for (const char* text : {"", "{", "[]", "{}", R"({"customer":"a"})",
                           R"({"customer":"a","version":"x"})",
                           R"({"customer":"a","version":-1})"}) {
    INFO(text);
    CHECK_FALSE(DecodeStoredContract(text).has_value());
  }
}

}  // namespace
}  // namespace gypsumfall
