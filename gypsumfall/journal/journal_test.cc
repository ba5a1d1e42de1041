#include "gypsumfall/journal/journal.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumfall {
namespace {

constexpr RowVersion kPartitionVersion(5);

// Collects the actions of one journal and advances its clock.
struct JournalFixture {
  WriteBudget budget{1000};
  Journal journal;
  Time now = Time(seconds(100));
  std::vector<SendTransact> sends;
  std::optional<SendRead> read;
  std::vector<PutSnapshotObject> objects;
  std::string outcome;

  explicit JournalFixture(JournalOptions options = {},
                          JournalPosition position = {})
      : journal(WithDefaults(std::move(options)), std::move(position), budget) {
  }

  static JournalOptions WithDefaults(JournalOptions options) {
    options.partition = 3;
    options.token_prefix = "host/1";
    options.partition_version = kPartitionVersion;
    return options;
  }

  void Perform(const JournalActions& actions) {
    for (const JournalAction& action : actions) {
      if (const auto* send = std::get_if<SendTransact>(&action)) {
        sends.push_back(*send);
      } else if (const auto* query = std::get_if<SendRead>(&action)) {
        read = *query;
      } else if (const auto* put = std::get_if<PutSnapshotObject>(&action)) {
        objects.push_back(*put);
      } else if (std::holds_alternative<RecordsCommitted>(action)) {
        outcome += "committed ";
      } else if (std::holds_alternative<RecordsUnknown>(action)) {
        outcome += "lost ";
      } else if (std::holds_alternative<RecordsRefused>(action)) {
        outcome += "refused ";
      }
    }
  }

  void PollWhenDue() {
    const Time due = journal.next_due();
    if (due == Time::max()) return;
    now = std::max(now, due);
    Perform(journal.Poll(now));
  }

  void Append(std::uint64_t record_id, std::string text = "record") {
    const auto appended =
        journal.Append(std::move(text), JournalRecordId(record_id), now);
    REQUIRE(appended);
  }

  void CommitOne(std::uint64_t record_id) {
    Append(record_id);
    PollWhenDue();
    Perform(journal.OnTransactReply(sends.back().call,
                                    {true, {RowVersion(9)}, {}}, now));
  }
};

enum class Event {
  kApplied,
  kUnknown,
  kNotSent,
  kPartitionConflict,
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

void ReadBack(JournalFixture& fixture, const std::string& value, bool owned) {
  REQUIRE(fixture.read);
  const RowVersion row(value.empty() ? 0 : 8);
  const RowVersion part(owned ? kPartitionVersion : RowVersion(6));
  fixture.Perform(fixture.journal.OnReadBack(
      fixture.read->call, {{"", row, value}, {"", part, ""}}, fixture.now));
}

void Apply(JournalFixture& fixture, Event event) {
  using enum Event;
  Journal& journal = fixture.journal;
  const JournalCall call = fixture.sends.back().call;
  const std::string our_value =
      fixture.sends.back().transact.puts.front().value;
  const TransactReply applied{true, {RowVersion(9)}, {}};
  const TransactReply partition_conflict{
      false, {}, {"part/3", RowVersion(6), ""}};
  const TransactReply row_conflict{
      false, {}, {LogRowKey(3, JournalSequence(1)), RowVersion(8), our_value}};
  switch (event) {
    case kApplied:
      return fixture.Perform(
          journal.OnTransactReply(call, applied, fixture.now));
    case kUnknown:
      return fixture.Perform(journal.OnTransactUnknown(call, fixture.now));
    case kNotSent:
      return fixture.Perform(journal.OnTransactNotApplied(call, fixture.now));
    case kPartitionConflict:
      return fixture.Perform(
          journal.OnTransactReply(call, partition_conflict, fixture.now));
    case kRowConflict:
      return fixture.Perform(
          journal.OnTransactReply(call, row_conflict, fixture.now));
    case kReadOurs:
      return ReadBack(fixture, our_value, true);
    case kReadAbsent:
      return ReadBack(fixture, "", true);
    case kReadOther:
      return ReadBack(fixture, "other", true);
    case kReadLostAbsent:
      return ReadBack(fixture, "", false);
    case kReadLostOurs:
      return ReadBack(fixture, our_value, false);
    case kReadFails:
      return fixture.Perform(
          journal.OnReadFailed(fixture.read->call, fixture.now));
    case kOwnershipLost:
      return fixture.Perform(journal.OnOwnershipLost(fixture.now));
    case kLateAnswer:
      return fixture.Perform(journal.OnTransactReply(fixture.sends.front().call,
                                                     applied, fixture.now));
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
// reporting a record as not stored although it may be, and against a second row
// for the same batch.
TEST_CASE("a commit's outcome is determined from the rows in the store") {
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
      {"paused owner, only send", {kPartitionConflict}, "refused ", 1, false},
      {"paused owner after a lost answer",
       {kUnknown, kReadAbsent, kPartitionConflict, kReadLostAbsent},
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
  JournalFixture fixture;
  fixture.Append(1);
  fixture.PollWhenDue();
  REQUIRE(fixture.sends.size() == 1);
  for (std::size_t i = 0; i < row.events.size(); ++i) {
    Apply(fixture, row.events[i]);
    const bool next_is_loss =
        i + 1 < row.events.size() && row.events[i + 1] == Event::kOwnershipLost;
    if (!next_is_loss) fixture.PollWhenDue();
  }
  CHECK(fixture.outcome == row.outcome);
  CHECK(fixture.sends.size() == row.sends);
  CHECK(fixture.journal.owned() == row.owned);
  for (const SendTransact& send : fixture.sends) {
    CHECK(send.transact.token == fixture.sends[0].transact.token);
    CHECK(send.transact.puts[0].value ==
          fixture.sends[0].transact.puts[0].value);
    CHECK(send.transact.checks[0].version == kPartitionVersion);
    CHECK(send.transact.checks[1].version == RowVersion());
  }
}

// Guards against writing one row per record and against rows above the size
// limit.
TEST_CASE("waiting records are batched into rows of bounded size") {
  JournalFixture fixture({.max_row_bytes = 1000});
  CHECK_FALSE(fixture.journal.Append(std::string(1000, 'x'), {}, fixture.now));
  for (std::uint64_t i = 1; i <= 20; ++i)
    fixture.Append(i, std::string(90, 'x'));
  for (int commit = 0; commit < 3; ++commit) {
    fixture.PollWhenDue();
    REQUIRE(fixture.sends.size() == static_cast<std::size_t>(commit) + 1);
    CHECK(fixture.sends.back().transact.puts[0].value.size() <= 1000);
    fixture.Perform(fixture.journal.Poll(fixture.now + seconds(1)));
    // One commit is in flight at a time.
    CHECK(fixture.sends.size() == static_cast<std::size_t>(commit) + 1);
    Apply(fixture, Event::kApplied);
    if (fixture.journal.queued() == 0) break;
  }
  CHECK(fixture.outcome == "committed committed ");
}

// Guards against the journals of one host together exceeding the host's write
// rate.
TEST_CASE("the shared write budget spaces the commits of all journals") {
  WriteBudget budget(10);
  const Time now(seconds(1));
  Journal first(JournalFixture::WithDefaults({}), {}, budget);
  Journal second(JournalFixture::WithDefaults({}), {}, budget);
  REQUIRE(first.Append("a", JournalRecordId(1), now));
  REQUIRE(second.Append("b", JournalRecordId(1), now));
  CHECK(first.next_due() == now);
  CHECK(second.next_due() == now + milliseconds(100));
  CHECK(second.Poll(now + milliseconds(99)).empty());
  CHECK(second.Poll(now + milliseconds(100)).size() == 1);
}

// Guards against unbounded memory use and unanswered callers while the store is
// down for 5 minutes.
TEST_CASE("an outage refuses waiting records and keeps the commit in flight") {
  JournalFixture fixture({.max_queued_records = 3});
  fixture.Append(1);
  fixture.PollWhenDue();
  for (std::uint64_t i = 2; i <= 4; ++i) fixture.Append(i);
  CHECK_FALSE(fixture.journal.Append("r", JournalRecordId(5), fixture.now));
  const Time store_recovers = fixture.now + seconds(300);
  Apply(fixture, Event::kUnknown);
  int reads = 0;
  while (fixture.now < store_recovers) {
    Apply(fixture, Event::kReadFails);
    fixture.PollWhenDue();
    ++reads;
  }
  CHECK(reads < 200);
  CHECK(fixture.outcome == "refused ");
  CHECK(fixture.journal.Stalled(fixture.now, seconds(2)));
  CHECK(fixture.journal.queued() == 0);
  Apply(fixture, Event::kReadOurs);
  CHECK(fixture.outcome == "refused committed ");
}

// Guards against a snapshot that deletes the log row of an unresolved commit,
// and against a delayed pointer transaction that moves the pointer back.
TEST_CASE("a snapshot covers the resolved commits only") {
  JournalFixture fixture({.snapshot_rows = 2});
  fixture.CommitOne(1);
  CHECK_FALSE(fixture.journal.SnapshotDue());
  fixture.CommitOne(2);
  REQUIRE(fixture.journal.SnapshotDue());
  fixture.Append(3);
  fixture.PollWhenDue();
  fixture.Perform(fixture.journal.BeginSnapshot("state", fixture.now));
  REQUIRE(fixture.objects.size() == 1);
  CHECK(fixture.objects[0].name == "snap/3/2");
  fixture.Perform(
      fixture.journal.OnObjectPut(fixture.objects[0].call, false, fixture.now));
  Apply(fixture, Event::kApplied);
  fixture.PollWhenDue();
  REQUIRE(fixture.objects.size() == 2);
  fixture.Perform(
      fixture.journal.OnObjectPut(fixture.objects[1].call, true, fixture.now));
  const TransactCall pointer = fixture.sends.back().transact;
  CHECK(pointer.deletes ==
        std::vector<std::string>{LogRowKey(3, JournalSequence(1)),
                                 LogRowKey(3, JournalSequence(2))});
  CHECK(pointer.checks[1].key == "snapshot/3");
  CHECK(pointer.checks[1].version == RowVersion());
  Apply(fixture, Event::kUnknown);
  Apply(fixture, Event::kReadOurs);
  CHECK(fixture.journal.owned());
  fixture.CommitOne(4);
  REQUIRE(fixture.journal.SnapshotDue());
  fixture.Perform(fixture.journal.BeginSnapshot("state", fixture.now));
  fixture.Perform(
      fixture.journal.OnObjectPut(fixture.objects[2].call, true, fixture.now));
  CHECK(fixture.sends.back().transact.checks[1].version == RowVersion(8));
}

}  // namespace
}  // namespace gypsumfall
