#include "gypsumfall/tasks/tasks.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gypsumfall/tasks/internal/test_owner.h"

namespace gypsumfall {
namespace {

const TaskSpec idempotent{.kind = KindId("k")};
const TaskSpec once{.kind = KindId("k"), .idempotent = false};
const TaskSpec once_resumable{
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
            std::uint32_t back = 0, const std::string& checkpoint = "") {
  const AttemptNumber number(owner.table.Status(task_key)->attempt.value() -
                             back);
  AttemptReport report;
  report.id = {task_key.customer, task_key.task, number};
  report.state = state;
  report.started = started;
  report.checkpoint = checkpoint;
  report.result = "result";
  owner.Report(report);
}

// Reports of workers.
void DoReport(TestOwner& owner, Step step) {
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
    owner.Take(owner.table.OnReports(owner.worker, {}, true, owner.now));
  }
}

// Calls, commands and time.
void Do(TestOwner& owner, Step step) {
  using enum Step;
  const TaskStatus status = *owner.table.Status(task_key);
  const AttemptId id{task_key.customer, task_key.task, status.attempt};
  TaskTable& table = owner.table;
  const Time now = owner.now;
  const StartAttemptReply refused{RefusalReason::kNoSlot, {}};
  const WorkerReading late{owner.worker.worker, Incarnation(4),
                           owner.worker.clock + seconds(9)};
  if (step == kStarted) {
    owner.Take(table.OnStartReply(id, {{}, owner.worker.clock}, now));
  }
  if (step == kRefused) owner.Take(table.OnStartReply(id, refused, now));
  if (step == kStartLost) owner.Take(table.OnStartUnknown(id, now));
  if (step == kWait) owner.Advance(seconds(2));
  if (step == kRestarted) {
    owner.worker.incarnation = owner.worker.incarnation.Next();
    owner.Take(table.OnReports(owner.worker, {}, true, now));
  }
  if (step == kOldIncarnation) {
    owner.Take(table.OnReports(late, {}, true, now));
  }
  if (step == kLeaseEnd) owner.Advance(seconds(632));
  if (step == kTakeOver) owner.TakeOver(seconds(7));
  if (step == kCancel) owner.Take(table.Cancel(task_key, now).actions);
  if (step == kEvict) owner.Take(table.Evict(id, now));
  if (step == kHold) owner.hold = true;
  if (step == kStore) owner.hold = false;
  if (step == kStore) owner.Store();
  if (step == kRefuse) owner.Refuse();
  DoReport(owner, step);
  // The host row is confirmed again, and a refusal's wait passes.
  owner.table.OnAuthorityConfirmed(owner.now);
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

// Guards against a task that runs twice, is lost, is answered wrongly or gets
// stuck after each fault that the design names. All rows begin with a start
// that was sent.
TEST_CASE("each fault leaves the task in the one right state") {
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
      {"refused", once, {kRefused}, "starting/2/unknown", 2},
      {"refusal of a second copy proves nothing",
       once,
       {kStartLost, kWait, kRefused},
       "starting/1/unknown",
       2},
      {"second copy refused, then closed",
       once,
       {kStartLost, kWait, kRefused, kNeverStarted},
       "starting/2/unknown",
       3},
      {"evicted with checkpoint",
       once,
       {kStarted, kEvict, kStopped},
       "starting/2/unknown",
       2},
      {"evicted while finishing",
       once,
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
       once,
       {kStarted, kFailed},
       "failed/1/yes",
       1},
      {"lease ends",
       idempotent,
       {kStarted, kLeaseEnd},
       "starting/2/unknown",
       2},
      {"lease ends, not idempotent",
       once,
       {kStarted, kLeaseEnd},
       "failed/1/unknown",
       1},
      {"lease ends, checkpointed",
       once,
       {kStarted, kCheckpoint, kLeaseEnd},
       "starting/2/unknown",
       2},
      {"lease ends, resumable",
       once_resumable,
       {kStarted, kLeaseEnd},
       "starting/2/unknown",
       2},
      {"worker restarted",
       idempotent,
       {kStarted, kRestarted},
       "starting/2/unknown",
       2},
      {"worker restarted, not idempotent",
       once,
       {kStarted, kRestarted},
       "failed/1/unknown",
       1},
      {"late message of an older incarnation",
       once,
       {kStarted, kOldIncarnation},
       "running/1/unknown",
       1},
      {"cancelled", once, {kStarted, kCancel, kStopped}, "cancelled/1/yes", 1},
      {"cancelled before it started",
       once,
       {kCancel, kNeverStarted},
       "cancelled/1/no",
       1},
      {"cancelled, worker gone",
       once,
       {kCancel, kRestarted},
       "cancelled/1/unknown",
       1},
      {"cancelled, result first",
       once,
       {kStarted, kHold, kFinished, kCancel, kStore},
       "done/1/yes",
       1},
      {"cancelled, cancellation first",
       once,
       {kStarted, kHold, kCancel, kFinished, kStore},
       "done/1/yes",
       1},
      {"cancelled, then finished",
       once,
       {kStarted, kCancel, kFinished},
       "done/1/yes",
       1},
      {"journal refuses the result",
       once,
       {kStarted, kHold, kFinished, kRefuse, kStore, kWait},
       "done/1/yes",
       1},
      {"taken over, adopted",
       once,
       {kStarted, kTakeOver, kRunning, kFinished},
       "done/1/yes",
       1},
      {"taken over before the start",
       once,
       {kTakeOver, kUnlisted, kNeverStarted},
       "starting/2/unknown",
       2},
      {"taken over, worker silent",
       once,
       {kTakeOver, kLeaseEnd},
       "failed/1/unknown",
       1},
      {"taken over, cancelled",
       once,
       {kCancel, kTakeOver, kStopped},
       "cancelled/1/yes",
       1},
      {"taken over with an unstored result",
       once,
       {kStarted, kHold, kFinished, kTakeOver, kStore, kFinished},
       "done/1/yes",
       1},
  };
  for (const FaultCase& row : cases) {
    INFO(row.name);
    TestOwner owner;
    owner.Submit("t", row.spec);
    REQUIRE(owner.All<StartAttempt>().size() == 1);
    for (const Step step : row.steps) Do(owner, step);
    const TaskStatus status = *owner.table.Status(task_key);
    CHECK(std::string(TaskStateName(status.state)) + "/" +
              std::to_string(status.attempt.value()) + "/" +
              std::string(WasRunName(status.was_run)) ==
          row.outcome);
    CHECK(owner.All<StartAttempt>().size() == row.starts);
    // The journal alone yields the same state.
    TestOwner next;
    next.journal = owner.journal;
    next.TakeOver({});
    CHECK(next.table.Snapshot() == owner.table.Snapshot());
  }
}

// Guards against resuming from the beginning although progress is kept.
TEST_CASE("an attempt resumes from the last confirmed checkpoint") {
  TestOwner owner;
  owner.Submit("t", once);
  Do(owner, Step::kCheckpoint);
  Do(owner, Step::kLeaseEnd);
  CHECK(owner.All<StartAttempt>().back().checkpoint == "cp");
}

// Guards against a worker that keeps an outcome for ever, and against one that
// forgets an outcome which is not durable.
TEST_CASE("an outcome is acknowledged once durable, and when late") {
  TestOwner owner;
  owner.Submit("t", idempotent);
  Do(owner, Step::kHold);
  Do(owner, Step::kFinished);
  CHECK(owner.All<AcknowledgeAttempt>().empty());
  Do(owner, Step::kStore);
  CHECK(owner.All<AcknowledgeAttempt>().size() == 1);
  Do(owner, Step::kFinished);
  CHECK(owner.All<AcknowledgeAttempt>().size() == 2);
  CHECK(owner.table.counts().results_accepted == 1);
}

// Guards against answering 202 before a task is durable, against a second task
// under one id, and against "not run" for a record that may be stored.
TEST_CASE("a submission is accepted once durable and only once") {
  TestOwner owner;
  owner.hold = true;
  owner.grant = false;
  const auto submit = [&owner](const std::string& payload) {
    return owner.table.Submit(task_key, idempotent, payload, {}, owner.now);
  };
  TaskDecision first = submit("a");
  CHECK(first.status->state == TaskState::kAccepting);
  owner.Take(first.actions);
  CHECK(submit("a").actions.empty());
  CHECK(submit("b").status.error().kind == ErrorKind::kConflict);
  CHECK(owner.All<Notify>().empty());
  owner.Refuse();
  REQUIRE(owner.All<Notify>().size() == 1);
  CHECK(owner.All<Notify>()[0].status.was_run == WasRun::kNo);
  CHECK_FALSE(owner.table.Status(task_key));
  owner.Take(submit("b").actions);
  owner.Store();
  CHECK(submit("b").status->state == TaskState::kQueued);
  owner.Take(owner.table.Cancel(task_key, owner.now).actions);
  owner.Take(owner.table.OnLost(owner.held[0].ticket, owner.now));
  CHECK(owner.All<Notify>().back().status.error->kind ==
        ErrorKind::kOutcomeUnknown);
  CHECK(owner.table.Tick(owner.now).empty());
}

// Guards against starving urgent tasks and against exceeding a customer's
// running tasks.
TEST_CASE("tasks are placed by urgency, then arrival, within the limit") {
  TestOwner owner;
  owner.grant = false;
  TaskSpec batch = idempotent;
  batch.urgency = 5;
  owner.hold = true;
  for (const char* id : {"b1", "b2"}) owner.Submit(id, batch);
  for (const char* id : {"u1", "u2"}) owner.Submit(id, idempotent);
  const CustomerId customer("c");
  owner.table.SetLimits(customer, {.queued = 4, .running = 3});
  owner.Store();
  owner.Advance({});
  std::string order;
  for (const auto& request : owner.All<RequestReservation>()) {
    order += request.id.task.str() + " ";
  }
  CHECK(order == "u1 u2 b1 ");
  const auto over = owner.table.Submit({customer, TaskId("x")}, batch, "",
                                       {.queued = 4, .running = 3}, owner.now);
  CHECK(over.status.error().kind == ErrorKind::kQueueFull);
  owner.table.SetLimits(customer, {.queued = 4, .running = 4});
  owner.Advance({});
  CHECK(owner.All<RequestReservation>().back().id.task == TaskId("b2"));
}

}  // namespace
}  // namespace gypsumfall
