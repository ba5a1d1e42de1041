#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gypsumfall/tasks/internal/durable_task.h"
#include "gypsumfall/tasks/internal/test_owner.h"

namespace gypsumfall {
namespace {

const TaskKey task_key{CustomerId("c"), TaskId("t\"\xff")};
const TaskSpec default_spec{.kind = KindId("k"),
                            .resources = {MilliCores(1), MebiBytes(2), {}},
                            .idempotent = false,
                            .resumable = true,
                            .urgency = -3,
                            .run_without_contact = seconds(7)};

// Guards against a field that is lost between encoding and decoding.
TEST_CASE("encoding and decoding a record preserves its fields") {
  const std::vector<TaskRecord> records = {
      AcceptedRecord{task_key, default_spec, std::string("p\0\n", 3), 9,
                     AttemptNumber(4)},
      IntentRecord{task_key, AttemptNumber(5), WorkerId("w"), Incarnation(6)},
      StoppedRecord{task_key, AttemptNumber(5), WasRun::kYes, true, true, "cp",
                    "text"},
      DoneRecord{task_key, AttemptNumber(5), "result"}, CancelRecord{task_key}};
  for (const TaskRecord& record : records) {
    const std::string text = EncodeRecord(record);
    INFO(text);
    const auto decoded = DecodeRecord(text);
    REQUIRE(decoded);
    CHECK(decoded->index() == record.index());
    CHECK(EncodeRecord(*decoded) == text);
    CHECK(KeyOf(*decoded) == task_key);
  }
}

// Guards against starting from a damaged journal as if it were complete.
TEST_CASE("damaged records and snapshots are rejected") {
  for (const char* text : {"", "{", "[]", "{\"t\":\"done\"}", "{\"t\":1}",
                           "{\"t\":\"other\",\"c\":\"c\",\"k\":\"t\"}"}) {
    INFO(text);
    CHECK_FALSE(DecodeRecord(text));
    CHECK_FALSE(TaskTable({}).Restore("", {text}, {}));
  }
  CHECK_FALSE(TaskTable({}).Restore("{\"floor\":1}", {}, {}));
  CHECK_FALSE(TaskTable({}).Restore("{\"floor\":1,\"tasks\":[{}]}", {}, {}));
}

// Guards against a snapshot that omits state held by the log rows.
TEST_CASE("a snapshot restores the same state") {
  TestOwner owner;
  owner.Submit("done", default_spec);
  owner.Submit("starting", default_spec);
  AttemptReport report;
  report.id = owner.ActionsOfType<StartAttempt>().at(0).id;
  report.state = AttemptState::kFinished;
  owner.Report(report);
  const std::string snapshot = owner.table.Snapshot();
  TaskTable next({});
  REQUIRE(next.Restore(snapshot, {}, owner.now));
  CHECK(next.Snapshot() == snapshot);
  const auto tasks = next.List(CustomerId("c"), 10);
  REQUIRE(tasks.size() == 2);
  CHECK(tasks[0].state == TaskState::kDone);
  CHECK(next.List(CustomerId("c"), 1).size() == 1);
}

// Guards against unbounded memory, and against a late report of a dropped task
// that is mistaken for the first attempt of a new task with the same id.
TEST_CASE(
    "ended tasks are dropped by count and age, attempt numbers are kept") {
  TestOwner owner({.retention = seconds(100), .max_ended_per_customer = 2});
  AttemptReport report;
  report.state = AttemptState::kFinished;
  for (const char* id : {"a", "b", "c"}) {
    owner.Submit(id, default_spec);
    report.id = owner.ActionsOfType<StartAttempt>().back().id;
    owner.Report(report);
  }
  CHECK(owner.table.counts().tasks == 2);
  owner.Submit("a", default_spec);
  CHECK(owner.ActionsOfType<StartAttempt>().back().id.number ==
        AttemptNumber(2));
  report.id = {CustomerId("c"), TaskId("a"), AttemptNumber(1)};
  owner.Report(report);
  CHECK_FALSE(owner.table.Status({CustomerId("c"), TaskId("a")})->ended());
  owner.Advance(seconds(100));
  CHECK(owner.table.counts().tasks == 1);
}

}  // namespace
}  // namespace gypsumfall
