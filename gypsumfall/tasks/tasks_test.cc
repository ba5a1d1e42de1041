#include "gypsumfall/tasks/tasks.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gypsumfall/tasks/internal/test_owner.h"

namespace gypsumfall {
namespace {

const TaskSpec idempotent{.kind = KindId("k")};
const TaskSpec not_idempotent{.kind = KindId("k"), .idempotent = false};
const TaskSpec resumable_only{
    .kind = KindId("k"), .idempotent = false, .resumable = true};
const TaskKey task_key{CustomerId("c"), TaskId("t")};

enum class Step {
  kStarted,
  kRefused,
  kStartLost,
  kWait,
  kRunning,
  kCheckpoint,
  kFinished,
  kFinishedOld,
  kFailed,
  kStopped,
  kNeverStarted,
  kUnlisted,
  kRestarted,
  kOldIncarnation,
  kLeaseEnd,
  kTakeOver,
  kCancel,
  kEvict,
  kHold,
  kStore,
  kRefuse,
};

void Report(TestOwner& owner, AttemptState state, bool started,
            std::uint32_t attempts_back = 0,
            const std::string& checkpoint = "") {
  const AttemptNumber number(owner.table.Status(task_key)->attempt.value() -
                             attempts_back);
  AttemptReport report;
  report.id = {task_key.customer, task_key.task, number};
  report.state = state;
  report.started = started;
  report.checkpoint = checkpoint;
  report.result = "result";
  owner.Report(report);
}

// Delivers the worker report of a step, if the step has one.
void DeliverReport(TestOwner& owner, Step step) {
  using enum Step;
  if (step == kRunning) Report(owner, AttemptState::kRunning, true);
  if (step == kCheckpoint) Report(owner, AttemptState::kRunning, true, 0, "cp");
  if (step == kFinished) Report(owner, AttemptState::kFinished, true);
  if (step == kFinishedOld) Report(owner, AttemptState::kFinished, true, 1);
  if (step == kFailed) Report(owner, AttemptState::kFailed, true);
  if (step == kStopped) Report(owner, AttemptState::kStopped, true, 0, "cp");
  if (step == kNeverStarted) Report(owner, AttemptState::kStopped, false);
  if (step == kUnlisted) {
    owner.worker.clock += milliseconds(1);
    owner.Perform(owner.table.OnReports(owner.worker, {}, true, owner.now));
  }
}

// Performs one step of a fault case.
void PerformStep(TestOwner& owner, Step step) {
  using enum Step;
  const TaskStatus status = *owner.table.Status(task_key);
  const AttemptId id{task_key.customer, task_key.task, status.attempt};
  TaskTable& table = owner.table;
  const Time now = owner.now;
  const StartAttemptReply refused{RefusalReason::kNoSlot, {}};
  const WorkerClockReading stale{owner.worker.worker, Incarnation(4),
                                 owner.worker.clock + seconds(9)};
  if (step == kStarted) {
    owner.Perform(table.OnStartReply(id, {{}, owner.worker.clock}, now));
  }
  if (step == kRefused) owner.Perform(table.OnStartReply(id, refused, now));
  if (step == kStartLost) owner.Perform(table.OnStartUnknown(id, now));
  if (step == kWait) owner.Advance(seconds(2));
  if (step == kRestarted) {
    owner.worker.incarnation = owner.worker.incarnation.Next();
    owner.Perform(table.OnReports(owner.worker, {}, true, now));
  }
  if (step == kOldIncarnation) {
    owner.Perform(table.OnReports(stale, {}, true, now));
  }
  if (step == kLeaseEnd) owner.Advance(seconds(632));
  if (step == kTakeOver) owner.TakeOver(seconds(7));
  if (step == kCancel) owner.Perform(table.Cancel(task_key, now).actions);
  if (step == kEvict) owner.Perform(table.Evict(id, now));
  if (step == kHold) owner.hold_records = true;
  if (step == kStore) owner.hold_records = false;
  if (step == kStore) owner.StoreHeld();
  if (step == kRefuse) owner.RefuseHeld();
  DeliverReport(owner, step);
  // Renews the host lease and lets the backoff after a refusal pass.
  owner.table.OnHostLeaseRenewed(owner.now);
  owner.Advance(milliseconds(200));
}

struct FaultCase {
  std::string name;
  TaskSpec spec;
  std::vector<Step> steps;
  // State, attempt and was_run at the end.
  std::string outcome;
  std::size_t starts;
};

// Guards against a task that runs twice, is lost, gets a wrong answer or stays
// stuck after each fault that the design lists. Every case begins after a start
// was sent.
TEST_CASE("each fault leaves the task in the specified state") {
  using enum Step;
  const std::vector<FaultCase> cases = {
      {"finishes", idempotent, {kStarted, kFinished}, "done/1/yes", 1},
      {"result before the start reply",
       idempotent,
       {kFinished},
       "done/1/yes",
       1},
      {"start reply lost",
       idempotent,
       {kStartLost, kRunning, kFinished},
       "done/1/yes",
       1},
      {"start lost",
       idempotent,
       {kStartLost, kWait, kStarted},
       "running/1/unknown",
       2},
      {"refused", not_idempotent, {kRefused}, "starting/2/unknown", 2},
      {"a refused second copy leaves the attempt open",
       not_idempotent,
       {kStartLost, kWait, kRefused},
       "starting/1/unknown",
       2},
      {"second copy refused, then closed",
       not_idempotent,
       {kStartLost, kWait, kRefused, kNeverStarted},
       "starting/2/unknown",
       3},
      {"evicted with checkpoint",
       not_idempotent,
       {kStarted, kEvict, kStopped},
       "starting/2/unknown",
       2},
      {"evicted while finishing",
       not_idempotent,
       {kStarted, kEvict, kFinished},
       "done/1/yes",
       1},
      {"late result of an old attempt",
       idempotent,
       {kStarted, kStopped, kFinishedOld},
       "starting/2/unknown",
       2},
      {"duplicate result",
       idempotent,
       {kStarted, kFinished, kFinished},
       "done/1/yes",
       1},
      {"fails three times",
       idempotent,
       {kStarted, kFailed, kStarted, kFailed, kStarted, kFailed},
       "failed/3/yes",
       3},
      {"fails once, not idempotent",
       not_idempotent,
       {kStarted, kFailed},
       "failed/1/yes",
       1},
      {"lease ends",
       idempotent,
       {kStarted, kLeaseEnd},
       "starting/2/unknown",
       2},
      {"lease ends, not idempotent",
       not_idempotent,
       {kStarted, kLeaseEnd},
       "failed/1/unknown",
       1},
      {"lease ends, checkpointed",
       not_idempotent,
       {kStarted, kCheckpoint, kLeaseEnd},
       "starting/2/unknown",
       2},
      {"lease ends, resumable",
       resumable_only,
       {kStarted, kLeaseEnd},
       "starting/2/unknown",
       2},
      {"worker restarted",
       idempotent,
       {kStarted, kRestarted},
       "starting/2/unknown",
       2},
      {"worker restarted, not idempotent",
       not_idempotent,
       {kStarted, kRestarted},
       "failed/1/unknown",
       1},
      {"late message of an older incarnation",
       not_idempotent,
       {kStarted, kOldIncarnation},
       "running/1/unknown",
       1},
      {"cancelled",
       not_idempotent,
       {kStarted, kCancel, kStopped},
       "cancelled/1/yes",
       1},
      {"cancelled before it started",
       not_idempotent,
       {kCancel, kNeverStarted},
       "cancelled/1/no",
       1},
      {"cancelled, worker gone",
       not_idempotent,
       {kCancel, kRestarted},
       "cancelled/1/unknown",
       1},
      {"cancelled, result first",
       not_idempotent,
       {kStarted, kHold, kFinished, kCancel, kStore},
       "done/1/yes",
       1},
      {"cancelled, cancellation first",
       not_idempotent,
       {kStarted, kHold, kCancel, kFinished, kStore},
       "done/1/yes",
       1},
      {"cancelled, then finished",
       not_idempotent,
       {kStarted, kCancel, kFinished},
       "done/1/yes",
       1},
      {"journal refuses the result",
       not_idempotent,
       {kStarted, kHold, kFinished, kRefuse, kStore, kWait},
       "done/1/yes",
       1},
      {"taken over, adopted",
       not_idempotent,
       {kStarted, kTakeOver, kRunning, kFinished},
       "done/1/yes",
       1},
      {"taken over before the start",
       not_idempotent,
       {kTakeOver, kUnlisted, kNeverStarted},
       "starting/2/unknown",
       2},
      {"taken over, worker unresponsive",
       not_idempotent,
       {kTakeOver, kLeaseEnd},
       "failed/1/unknown",
       1},
      {"taken over, cancelled",
       not_idempotent,
       {kCancel, kTakeOver, kStopped},
       "cancelled/1/yes",
       1},
      {"taken over before the result is durable",
       not_idempotent,
       {kStarted, kHold, kFinished, kTakeOver, kStore, kFinished},
       "done/1/yes",
       1},
  };
  for (const FaultCase& row : cases) {
    INFO(row.name);
    TestOwner owner;
    owner.Submit("t", row.spec);
    REQUIRE(owner.ActionsOfType<StartAttempt>().size() == 1);
    for (const Step step : row.steps) PerformStep(owner, step);
    const TaskStatus status = *owner.table.Status(task_key);
    CHECK(std::string(TaskStateName(status.state)) + "/" +
              std::to_string(status.attempt.value()) + "/" +
              std::string(WasRunName(status.was_run)) ==
          row.outcome);
    CHECK(owner.ActionsOfType<StartAttempt>().size() == row.starts);
    // Restoring from the journal alone yields the same state.
    TestOwner next;
    next.journal = owner.journal;
    next.TakeOver({});
    CHECK(next.table.Snapshot() == owner.table.Snapshot());
  }
}

// Guards against a restart from the beginning although a checkpoint exists.
TEST_CASE("an attempt resumes from the last confirmed checkpoint") {
  TestOwner owner;
  owner.Submit("t", not_idempotent);
  PerformStep(owner, Step::kCheckpoint);
  PerformStep(owner, Step::kLeaseEnd);
  CHECK(owner.ActionsOfType<StartAttempt>().back().checkpoint == "cp");
}

// Guards against a worker that keeps an outcome forever, and against one that
// discards an outcome before it is durable.
TEST_CASE(
    "an outcome is acknowledged once durable, and again on a late report") {
  TestOwner owner;
  owner.Submit("t", idempotent);
  PerformStep(owner, Step::kHold);
  PerformStep(owner, Step::kFinished);
  CHECK(owner.ActionsOfType<AcknowledgeAttempt>().empty());
  PerformStep(owner, Step::kStore);
  CHECK(owner.ActionsOfType<AcknowledgeAttempt>().size() == 1);
  PerformStep(owner, Step::kFinished);
  CHECK(owner.ActionsOfType<AcknowledgeAttempt>().size() == 2);
  CHECK(owner.table.counts().results_accepted == 1);
}

// Guards against answering 202 before a task is durable, against a second task
// under one id, and against "not run" for a record that may be stored.
TEST_CASE("a submission is accepted once durable and only once") {
  TestOwner owner;
  owner.hold_records = true;
  owner.grant_reservations = false;
  const auto submit = [&owner](const std::string& payload) {
    return owner.table.Submit(task_key, idempotent, payload, {}, owner.now);
  };
  TaskDecision first = submit("a");
  CHECK(first.status->state == TaskState::kAccepting);
  owner.Perform(first.actions);
  CHECK(submit("a").actions.empty());
  CHECK(submit("b").status.error().kind == ErrorKind::kConflict);
  CHECK(owner.ActionsOfType<Notify>().empty());
  owner.RefuseHeld();
  REQUIRE(owner.ActionsOfType<Notify>().size() == 1);
  CHECK(owner.ActionsOfType<Notify>()[0].status.was_run == WasRun::kNo);
  CHECK_FALSE(owner.table.Status(task_key));
  owner.Perform(submit("b").actions);
  owner.StoreHeld();
  CHECK(submit("b").status->state == TaskState::kQueued);
  owner.Perform(owner.table.Cancel(task_key, owner.now).actions);
  owner.Perform(
      owner.table.OnRecordUnknown(owner.held_records[0].record_id, owner.now));
  CHECK(owner.ActionsOfType<Notify>().back().status.error->kind ==
        ErrorKind::kOutcomeUnknown);
  CHECK(owner.table.Tick(owner.now).empty());
}

// Guards against starving urgent tasks and against exceeding a customer's
// running tasks.
TEST_CASE("tasks are placed by urgency, then arrival, within the limit") {
  TestOwner owner;
  owner.grant_reservations = false;
  TaskSpec batch = idempotent;
  batch.urgency = 5;
  owner.hold_records = true;
  for (const char* id : {"b1", "b2"}) owner.Submit(id, batch);
  for (const char* id : {"u1", "u2"}) owner.Submit(id, idempotent);
  const CustomerId customer("c");
  owner.table.SetLimits(customer, {.queued = 4, .running = 3});
  owner.StoreHeld();
  owner.Advance({});
  std::string order;
  for (const auto& request : owner.ActionsOfType<RequestReservation>()) {
    order += request.id.task.str() + " ";
  }
  CHECK(order == "u1 u2 b1 ");
  const auto over = owner.table.Submit({customer, TaskId("x")}, batch, "",
                                       {.queued = 4, .running = 3}, owner.now);
  CHECK(over.status.error().kind == ErrorKind::kQueueFull);
  owner.table.SetLimits(customer, {.queued = 4, .running = 4});
  owner.Advance({});
  CHECK(owner.ActionsOfType<RequestReservation>().back().id.task ==
        TaskId("b2"));
}

}  // namespace
}  // namespace gypsumfall
