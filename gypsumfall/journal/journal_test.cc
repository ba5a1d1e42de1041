#include "gypsumfall/journal/journal.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumfall {
namespace {

constexpr RowVersion kPartVersion(5);

// Performs the actions of one journal and keeps what a test asks about.
struct Driver {
  WriteBudget budget{1000};
  Journal journal;
  Time now = Time(seconds(100));
  std::vector<SendTransact> sends;
  std::optional<SendRead> read;
  std::vector<PutSnapshotObject> objects;
  std::string outcome;

  explicit Driver(JournalOptions options = {}, JournalPosition position = {})
      : journal(Prepare(std::move(options)), std::move(position), budget) {}

  static JournalOptions Prepare(JournalOptions options) {
    options.partition = 3;
    options.token_prefix = "host/1";
    options.part_version = kPartVersion;
    return options;
  }

  void Take(const JournalActions& actions) {
    for (const JournalAction& action : actions) {
      if (const auto* send = std::get_if<SendTransact>(&action)) {
        sends.push_back(*send);
      } else if (const auto* query = std::get_if<SendRead>(&action)) {
        read = *query;
      } else if (const auto* put = std::get_if<PutSnapshotObject>(&action)) {
        objects.push_back(*put);
      } else if (std::holds_alternative<Committed>(action)) {
        outcome += "committed ";
      } else if (std::holds_alternative<Lost>(action)) {
        outcome += "lost ";
      } else if (std::holds_alternative<JournalRefused>(action)) {
        outcome += "refused ";
      }
    }
  }

  void PollWhenDue() {
    const Time due = journal.next_due();
    if (due == Time::max()) return;
    now = std::max(now, due);
    Take(journal.Poll(now));
  }

  void Append(std::uint64_t ticket, std::string text = "record") {
    const auto appended =
        journal.Append(std::move(text), JournalTicket(ticket), now);
    REQUIRE(appended);
  }

  void CommitOne(std::uint64_t ticket) {
    Append(ticket);
    PollWhenDue();
    Take(journal.OnTransactReply(sends.back().call, {true, {RowVersion(9)}, {}},
                                 now));
  }
};

enum class Event {
  kApplied,
  kUnknown,
  kNotSent,
  kPartConflict,
  kRowConflict,
  kReadOurs,
  kReadAbsent,
  kReadOther,
  kReadLostAbsent,
  kReadLostOurs,
  kReadFails,
  kOwnershipLost,
  kLateAnswer,
};

void ReadBack(Driver& driver, const std::string& value, bool owned) {
  REQUIRE(driver.read);
  const RowVersion row(value.empty() ? 0 : 8);
  const RowVersion part(owned ? kPartVersion : RowVersion(6));
  driver.Take(driver.journal.OnReadBack(
      driver.read->call, {{"", row, value}, {"", part, ""}}, driver.now));
}

void Apply(Driver& driver, Event event) {
  using enum Event;
  Journal& journal = driver.journal;
  const JournalCall call = driver.sends.back().call;
  const std::string ours = driver.sends.back().transact.puts.front().value;
  const TransactReply applied{true, {RowVersion(9)}, {}};
  const TransactReply part_conflict{false, {}, {"part/3", RowVersion(6), ""}};
  const TransactReply row_conflict{
      false, {}, {LogRowKey(3, JournalSequence(1)), RowVersion(8), ours}};
  switch (event) {
    case kApplied:
      return driver.Take(journal.OnTransactReply(call, applied, driver.now));
    case kUnknown:
      return driver.Take(journal.OnTransactUnknown(call, driver.now));
    case kNotSent:
      return driver.Take(journal.OnTransactNotApplied(call, driver.now));
    case kPartConflict:
      return driver.Take(
          journal.OnTransactReply(call, part_conflict, driver.now));
    case kRowConflict:
      return driver.Take(
          journal.OnTransactReply(call, row_conflict, driver.now));
    case kReadOurs:
      return ReadBack(driver, ours, true);
    case kReadAbsent:
      return ReadBack(driver, "", true);
    case kReadOther:
      return ReadBack(driver, "other", true);
    case kReadLostAbsent:
      return ReadBack(driver, "", false);
    case kReadLostOurs:
      return ReadBack(driver, ours, false);
    case kReadFails:
      return driver.Take(journal.OnReadFailed(driver.read->call, driver.now));
    case kOwnershipLost:
      return driver.Take(journal.OnOwnershipLost(driver.now));
    case kLateAnswer:
      return driver.Take(journal.OnTransactReply(driver.sends.front().call,
                                                 applied, driver.now));
  }
}

struct FaultCase {
  std::string name;
  std::vector<Event> events;
  std::string outcome;
  std::size_t sends;
  bool owned;
};

// Guards against guessing the outcome of a commit whose answer is lost, against
// telling a caller "not stored" about a record that may be, and against a
// second row for the same batch.
TEST_CASE("a commit's outcome is decided by what the store holds") {
  using enum Event;
  const FaultCase row = GENERATE(values<FaultCase>({
      {"answered", {kApplied}, "committed ", 1, true},
      {"lost answer, applied", {kUnknown, kReadOurs}, "committed ", 1, true},
      {"lost answer, not applied",
       {kUnknown, kReadAbsent, kApplied},
       "committed ",
       2,
       true},
      {"lost answer, applied after the read",
       {kUnknown, kReadAbsent, kRowConflict, kReadOurs},
       "committed ",
       2,
       true},
      {"two lost answers",
       {kUnknown, kReadAbsent, kUnknown, kReadOurs},
       "committed ",
       2,
       true},
      {"read-back fails",
       {kUnknown, kReadFails, kReadOurs},
       "committed ",
       1,
       true},
      {"never sent", {kNotSent, kApplied}, "committed ", 2, true},
      {"late answer to a superseded send",
       {kUnknown, kReadAbsent, kLateAnswer},
       "",
       2,
       true},
      {"paused owner, only send", {kPartConflict}, "refused ", 1, false},
      {"paused owner after a lost answer",
       {kUnknown, kReadAbsent, kPartConflict, kReadLostAbsent},
       "lost ",
       2,
       false},
      {"lost answer, then ownership lost",
       {kUnknown, kReadLostAbsent},
       "lost ",
       1,
       false},
      {"applied, then ownership lost",
       {kUnknown, kReadLostOurs},
       "committed ",
       1,
       false},
      {"row of another batch", {kUnknown, kReadOther}, "lost ", 1, false},
      {"ownership lost in flight", {kOwnershipLost}, "lost ", 1, false},
      {"ownership lost before the send",
       {kNotSent, kOwnershipLost},
       "refused ",
       1,
       false},
      {"answer after ownership is lost",
       {kOwnershipLost, kLateAnswer},
       "lost ",
       1,
       false},
  }));
  INFO(row.name);
  Driver driver;
  driver.Append(1);
  driver.PollWhenDue();
  REQUIRE(driver.sends.size() == 1);
  for (std::size_t i = 0; i < row.events.size(); ++i) {
    Apply(driver, row.events[i]);
    const bool next_is_loss =
        i + 1 < row.events.size() && row.events[i + 1] == Event::kOwnershipLost;
    if (!next_is_loss) driver.PollWhenDue();
  }
  CHECK(driver.outcome == row.outcome);
  CHECK(driver.sends.size() == row.sends);
  CHECK(driver.journal.owned() == row.owned);
  for (const SendTransact& send : driver.sends) {
    CHECK(send.transact.token == driver.sends[0].transact.token);
    CHECK(send.transact.puts[0].value ==
          driver.sends[0].transact.puts[0].value);
    CHECK(send.transact.checks[0].version == kPartVersion);
    CHECK(send.transact.checks[1].version == RowVersion());
  }
}

// Guards against one row per record and against rows above the size limit.
TEST_CASE("records that wait for a commit share rows of bounded size") {
  Driver driver({.max_row_bytes = 1000});
  CHECK_FALSE(driver.journal.Append(std::string(1000, 'x'), {}, driver.now));
  for (std::uint64_t i = 1; i <= 20; ++i)
    driver.Append(i, std::string(90, 'x'));
  for (int commit = 0; commit < 3; ++commit) {
    driver.PollWhenDue();
    REQUIRE(driver.sends.size() == static_cast<std::size_t>(commit) + 1);
    CHECK(driver.sends.back().transact.puts[0].value.size() <= 1000);
    driver.Take(driver.journal.Poll(driver.now + seconds(1)));
    // One commit is in flight at a time.
    CHECK(driver.sends.size() == static_cast<std::size_t>(commit) + 1);
    Apply(driver, Event::kApplied);
    if (driver.journal.queued() == 0) break;
  }
  CHECK(driver.outcome == "committed committed ");
}

// Guards against journals of one host that together exceed the host's rate.
TEST_CASE("commits of all journals are spaced by the shared budget") {
  WriteBudget budget(10);
  const Time now(seconds(1));
  Journal first(Driver::Prepare({}), {}, budget);
  Journal second(Driver::Prepare({}), {}, budget);
  REQUIRE(first.Append("a", JournalTicket(1), now));
  REQUIRE(second.Append("b", JournalTicket(1), now));
  CHECK(first.next_due() == now);
  CHECK(second.next_due() == now + milliseconds(100));
  CHECK(second.Poll(now + milliseconds(99)).empty());
  CHECK(second.Poll(now + milliseconds(100)).size() == 1);
}

// Guards against unbounded memory, and against callers left without an answer,
// while the store is down for 5 minutes.
TEST_CASE("an outage refuses waiting records and keeps the commit in flight") {
  Driver driver({.max_queued_records = 3});
  driver.Append(1);
  driver.PollWhenDue();
  for (std::uint64_t i = 2; i <= 4; ++i) driver.Append(i);
  CHECK_FALSE(driver.journal.Append("r", JournalTicket(5), driver.now));
  const Time up = driver.now + seconds(300);
  Apply(driver, Event::kUnknown);
  int reads = 0;
  while (driver.now < up) {
    Apply(driver, Event::kReadFails);
    driver.PollWhenDue();
    ++reads;
  }
  CHECK(reads < 200);
  CHECK(driver.outcome == "refused ");
  CHECK(driver.journal.Stalled(driver.now, seconds(2)));
  CHECK(driver.journal.queued() == 0);
  Apply(driver, Event::kReadOurs);
  CHECK(driver.outcome == "refused committed ");
}

// Guards against a snapshot that deletes an unresolved log row, and against a
// delayed pointer transaction that moves the pointer back.
TEST_CASE("a snapshot covers the resolved commits only") {
  Driver driver({.snapshot_rows = 2});
  driver.CommitOne(1);
  CHECK_FALSE(driver.journal.SnapshotDue());
  driver.CommitOne(2);
  REQUIRE(driver.journal.SnapshotDue());
  driver.Append(3);
  driver.PollWhenDue();
  driver.Take(driver.journal.BeginSnapshot("state", driver.now));
  REQUIRE(driver.objects.size() == 1);
  CHECK(driver.objects[0].name == "snap/3/2");
  driver.Take(
      driver.journal.OnObjectPut(driver.objects[0].call, false, driver.now));
  Apply(driver, Event::kApplied);
  driver.PollWhenDue();
  REQUIRE(driver.objects.size() == 2);
  driver.Take(
      driver.journal.OnObjectPut(driver.objects[1].call, true, driver.now));
  const TransactCall pointer = driver.sends.back().transact;
  CHECK(pointer.deletes ==
        std::vector<std::string>{LogRowKey(3, JournalSequence(1)),
                                 LogRowKey(3, JournalSequence(2))});
  CHECK(pointer.checks[1].key == "snapshot/3");
  CHECK(pointer.checks[1].version == RowVersion());
  Apply(driver, Event::kUnknown);
  Apply(driver, Event::kReadOurs);
  CHECK(driver.journal.owned());
  driver.CommitOne(4);
  REQUIRE(driver.journal.SnapshotDue());
  driver.Take(driver.journal.BeginSnapshot("state", driver.now));
  driver.Take(
      driver.journal.OnObjectPut(driver.objects[2].call, true, driver.now));
  CHECK(driver.sends.back().transact.checks[1].version == RowVersion(8));
}

}  // namespace
}  // namespace gypsumfall
