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

// In-memory table service with compare-and-set transactions.
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

// Runs one put to its end; injects `faults` into its transactions in order.
PutResult RunPut(Table& table, ContractPutRequest request,
                 std::vector<Fault> faults) {
  ContractPut put(std::move(request));
  std::deque<ContractAction> pending_actions;
  std::vector<TransactCall> delayed;
  PutResult result;
  const auto add = [&](std::vector<ContractAction> actions) {
    for (auto& action : actions) pending_actions.push_back(std::move(action));
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
        delayed.push_back(call);
        return put.OnTransactUnknown();
    }
    return put.OnTransactUnknown();
  };
  add(put.Start());
  while (!pending_actions.empty()) {
    const ContractAction action = std::move(pending_actions.front());
    pending_actions.pop_front();
    if (const auto* read = std::get_if<ReadRows>(&action)) {
      const RowsReply rows = table.Read(read->call);
      // A delayed transaction takes effect just after the read-back.
      for (const TransactCall& call : std::exchange(delayed, {})) {
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

ContractPutRequest RequestFor(const std::string& text, std::uint64_t base) {
  return {CustomerId("acme"), ContractVersion(base), text, "ops",
          "token-" + text};
}

StoredContract Stored(const Table& table) {
  return DecodeStoredContract(table.Find("contract/acme").value).value();
}

// Guards against a put that reports a guessed outcome after a lost answer.
TEST_CASE("a put reports one correct outcome under each fault") {
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
    const PutResult result = RunPut(table, RequestFor("a", 0), row.faults);
    CHECK(result.done.has_value() == row.done);
    CHECK(result.rejected.has_value() == !row.done);
    CHECK_FALSE(result.unknown);
    const Row stored = table.Find("contract/acme");
    CHECK((stored.version == RowVersion(1)) == row.done);
    CHECK(table.Find("contract_revision").value == (row.done ? "1" : ""));
  }
}

// Guards against one operator silently overwriting the change of another.
TEST_CASE("a put based on an older version returns the stored contract") {
  Table table;
  REQUIRE(RunPut(table, RequestFor("a", 0), {}).done);
  for (const Fault fault : {Fault::kNone, Fault::kAnswerLostNotApplied}) {
    const PutResult second = RunPut(table, RequestFor("b", 0), {fault});
    REQUIRE(second.rejected);
    CHECK(second.rejected->error.kind == ErrorKind::kConflict);
    CHECK(second.rejected->current.text == "a");
    CHECK(Stored(table).version == ContractVersion(1));
  }
}

// An entry host that polls the table through stale and failing reads.
class Host {
 public:
  explicit Host(bool checks_version)
      : follower_(kPoll), checks_version_(checks_version) {}

  // `pick` returns the current or stale table that serves the next read.
  template <typename PickTable>
  void Step(PickTable pick, bool fail, Time now) {
    if (pending_.empty()) pending_ = follower_.Tick(now);
    while (!pending_.empty()) {
      const ContractFollowerAction action = std::move(pending_.front());
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
  std::vector<ContractFollowerAction> pending_;
  std::uint64_t version_ = 0;
  int reverts_ = 0;
};

struct Totals {
  int reverts = 0;
  int stale_hosts = 0;
  int lost_puts = 0;
  int faults = 0;
};

// Runs concurrent puts of two operators under lost answers and stale or failing
// reads, then stops the faults and checks the version that each host has
// applied.
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
      // Simulates a change based on a version that the other operator has
      // already replaced.
      const std::uint64_t base =
          accepted - (accepted > 0 && chance(30) ? 1 : 0);
      const PutResult result =
          RunPut(table, RequestFor("s" + std::to_string(step), base), {fault});
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
    if (host.version() != accepted) ++totals.stale_hosts;
  }
  return totals;
}

// Guards invariant I9: every reachable host applies an accepted change within
// four polls (2 s) and never reverts it.
TEST_CASE("contract changes reach all hosts and never revert") {
  constexpr std::uint64_t kSeeds = 500;
  int faults = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const Totals totals = Interleave(seed, true);
    faults += totals.faults;
    REQUIRE(totals.reverts == 0);
    REQUIRE(totals.stale_hosts == 0);
    REQUIRE(totals.lost_puts == 0);
  }
  WARN("contract interleaving: " << kSeeds << " seeds, " << faults
                                 << " faults injected");
}

// Shows that the check above can fail: a host that applies rows without
// comparing versions reverts after stale reads.
TEST_CASE("the check detects a host that ignores versions") {
  int reverts = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    reverts += Interleave(seed, false).reverts;
  }
  CHECK(reverts > 0);
}

// Guards against a host that waits for the next poll although a peer reports a
// newer revision, and against immediate retries after a failed fetch.
TEST_CASE("a newer revision at a peer is fetched immediately and only once") {
  Table table;
  Host host(true);
  const auto current = [&]() -> const Table& { return table; };
  host.Step(current, false, kStart);
  REQUIRE(RunPut(table, RequestFor("a", 0), {}).done);
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

// Guards against a corrupt row, or one of another kind, crashing a host.
TEST_CASE("corrupt contract rows yield errors instead of exceptions") {
  for (const char* text : {"", "{", "[]", "{}", R"({"customer":"a"})",
                           R"({"customer":"a","version":"x"})",
                           R"({"customer":"a","version":-1})"}) {
    INFO(text);
    CHECK_FALSE(DecodeStoredContract(text).has_value());
  }
}

}  // namespace
}  // namespace gypsumfall
