#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gypsumfall/journal/internal/batch.h"
#include "gypsumfall/journal/journal.h"

namespace gypsumfall {
namespace {

Row LogRow(std::uint64_t sequence, const std::vector<std::string>& records) {
  BatchWriter batch("token");
  for (const std::string& record : records) batch.Add(record);
  return {LogRowKey(1, JournalSequence(sequence)), RowVersion(7), batch.text()};
}

SnapshotPointer PointerAt(std::uint64_t sequence) {
  const std::string text =
      SnapshotPointerText("snap/1/x", JournalSequence(sequence));
  return ReadSnapshotPointer({"snapshot/1", RowVersion(4), text}).value();
}

struct RecoveryCase {
  std::string name;
  SnapshotPointer pointer;
  std::vector<Row> rows;
  bool valid;
  std::vector<std::string> records;
  std::uint64_t next;
  std::size_t stale;
};

// Guards against recovering with records missing, duplicated or out of order.
TEST_CASE("recovery yields the records after the snapshot in order") {
  Row truncated = LogRow(1, {"abc"});
  truncated.value.pop_back();
  const std::vector<RecoveryCase> cases = {
      {"new partition", {}, {}, true, {}, 1, 0},
      {"log only",
       {},
       {LogRow(1, {"a\n1", ""}), LogRow(2, {"b"})},
       true,
       {"a\n1", "", "b"},
       3,
       0},
      {"snapshot only", PointerAt(9), {}, true, {}, 10, 0},
      {"snapshot and log",
       PointerAt(9),
       {LogRow(10, {"c"})},
       true,
       {"c"},
       11,
       0},
      {"delayed copy of a deleted row",
       PointerAt(9),
       {LogRow(3, {"old"}), LogRow(10, {"c"})},
       true,
       {"c"},
       11,
       1},
      {"gap after the snapshot",
       PointerAt(9),
       {LogRow(11, {"d"})},
       false,
       {},
       0,
       0},
      {"gap in the log",
       {},
       {LogRow(1, {"a"}), LogRow(3, {"c"})},
       false,
       {},
       0,
       0},
      {"row cut short", {}, {truncated}, false, {}, 0, 0},
  };
  for (const RecoveryCase& row : cases) {
    INFO(row.name);
    const auto recovered = RecoverJournal(1, row.pointer, row.rows);
    REQUIRE(recovered.has_value() == row.valid);
    if (!recovered) continue;
    CHECK(recovered->records == row.records);
    CHECK(recovered->position.next == JournalSequence(row.next));
    CHECK(recovered->position.stale_rows.size() == row.stale);
  }
}

// Guards against a scan that returns row 10 before row 9.
TEST_CASE("log row keys order as their sequences") {
  CHECK(LogRowKey(1, JournalSequence(9)) < LogRowKey(1, JournalSequence(10)));
  CHECK(PointerAt(12).sequence == JournalSequence(12));
  CHECK_FALSE(ReadSnapshotPointer({"snapshot/1", RowVersion(1), "x"}));
  CHECK(ReadSnapshotPointer({"snapshot/1", RowVersion(), ""})->object.empty());
}

}  // namespace
}  // namespace gypsumfall
