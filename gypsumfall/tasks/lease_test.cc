#include <catch2/catch.hpp>
#include <string>

#include "gypsumfall/tasks/internal/test_owner.h"

namespace gypsumfall {
namespace {

const TaskSpec default_spec{.kind = KindId("k")};
const TaskKey task_key{CustomerId("c"), TaskId("t")};
const AttemptId first_attempt{task_key.customer, task_key.task,
                              AttemptNumber(1)};
constexpr Duration kTick(1);

bool AttemptEnded(const TestOwner& owner) {
  return owner.ActionsOfType<AcknowledgeAttempt>().size() == 1;
}

// Guards against ending an attempt even 1 us before its lease has certainly
// expired, which would let two attempts run at once, and against waiting longer
// than that.
TEST_CASE("an attempt ends 32 s after the receipt of the last reading") {
  TestOwner owner;
  const Time received = owner.now;
  const WorkerTime reading = owner.worker.clock;
  owner.Submit("t", default_spec);
  const StartAttempt start = owner.ActionsOfType<StartAttempt>().at(0);
  CHECK(start.lease_until == reading + seconds(30));
  CHECK(start.task_epoch == Epoch(1));
  owner.Advance(received + seconds(32) - kTick - owner.now);
  CHECK_FALSE(AttemptEnded(owner));
  owner.Advance(kTick);
  CHECK(AttemptEnded(owner));
}

// Guards against a delayed or duplicate message that extends a lease without a
// newer clock reading, or that shortens a granted lease.
TEST_CASE("only a newer reading of the worker's clock moves the lease") {
  struct Case {
    std::string name;
    Duration reading_age;
    Duration lease_after_start;
  };
  for (const Case& row : {Case{"newer", seconds(2), seconds(8)},
                          Case{"repeated", seconds(10), seconds(0)},
                          Case{"older", seconds(11), seconds(0)}}) {
    INFO(row.name);
    TestOwner owner;
    const WorkerTime first = owner.worker.clock;
    owner.Submit("t", default_spec);
    owner.Perform(
        owner.table.OnStartReply(first_attempt, {{}, first}, owner.now));
    owner.Advance(seconds(10) - kTick);
    CHECK(owner.ActionsOfType<RenewAttempt>().empty());
    WorkerClockReading reading = owner.worker;
    reading.clock += kTick - row.reading_age;
    owner.Perform(owner.table.OnReports(reading, {}, false, owner.now));
    owner.Advance(kTick);
    REQUIRE(owner.ActionsOfType<RenewAttempt>().size() == 1);
    CHECK(owner.ActionsOfType<RenewAttempt>()[0].lease_until ==
          first + seconds(30) + row.lease_after_start);
  }
}

// Guards against ending running attempts because the store is down, and against
// renewing a lease for longer than the next owner waits.
TEST_CASE(
    "attempts are renewed without the store only for run_without_contact") {
  TestOwner owner;
  TaskSpec spec = default_spec;
  spec.run_without_contact = seconds(300);
  const Time confirmed = owner.now;
  owner.Submit("t", spec);
  owner.Submit("later", spec);
  owner.grant_reservations = false;
  while (owner.now < confirmed + seconds(300)) {
    owner.Perform(owner.table.OnReports(owner.worker, {}, false, owner.now));
    owner.Perform(owner.table.OnStartReply(
        first_attempt, {{}, owner.worker.clock}, owner.now));
    owner.Advance(seconds(5));
  }
  const auto renewals = owner.ActionsOfType<RenewAttempt>();
  CHECK(owner.table.Status(task_key)->state == TaskState::kRunning);
  CHECK(renewals.back().send_before == confirmed + seconds(300));
  // The last lease expires before a new owner treats the attempt as ended.
  CHECK(renewals.back().lease_until <=
        WorkerTime(seconds(50)) + seconds(300) + seconds(30));
  const std::size_t sent = renewals.size();
  owner.Advance(seconds(20));
  CHECK(owner.ActionsOfType<RenewAttempt>().size() == sent);
  owner.Submit("new", spec);
  owner.Advance(seconds(1));
  CHECK(owner.ActionsOfType<RequestReservation>().size() == 2);
}

// Guards against an owner that resumes after a pause and sends a start that the
// next owner does not know of.
TEST_CASE("a start is not sent after run_without_contact has passed") {
  TestOwner owner;
  owner.hold_records = true;
  owner.Submit("t", default_spec);
  owner.StoreHeld();
  owner.Advance({});
  REQUIRE(owner.held_records.size() == 1);
  owner.now += seconds(600);
  owner.StoreHeld();
  CHECK(owner.ActionsOfType<StartAttempt>().empty());
  // The start was never sent, so the task may be placed again.
  owner.hold_records = false;
  owner.Advance(seconds(10));
  CHECK(owner.table.Status(task_key)->state == TaskState::kQueued);
}

// Guards against a new owner that reruns a task while the old owner may still
// renew its attempt.
TEST_CASE("a new owner waits for leases that the old owner may have granted") {
  TestOwner owner;
  owner.Submit("t", default_spec);
  owner.TakeOver(seconds(7));
  owner.grant_reservations = false;
  CHECK(owner.ActionsOfType<QueryWorker>().size() == 1);
  owner.Advance(seconds(632) - kTick);
  CHECK_FALSE(AttemptEnded(owner));
  owner.Advance(kTick);
  CHECK(AttemptEnded(owner));
}

// Guards against a previous owner that makes the worker discard the outcome of
// a task that only the current owner knows; the task would run again.
TEST_CASE("reports of unknown tasks are left to an owner with a valid lease") {
  TestOwner owner;
  AttemptReport report;
  report.id = first_attempt;
  report.state = AttemptState::kFinished;
  owner.Advance(seconds(6));
  owner.Report(report);
  CHECK(owner.actions.empty());
  owner.table.OnHostLeaseRenewed(owner.now);
  owner.Report(report);
  CHECK(owner.ActionsOfType<AcknowledgeAttempt>().size() == 1);
}

// Guards against a start whose lease has expired when it arrives.
TEST_CASE("a start queries for a new reading if the last one is old") {
  TestOwner owner;
  owner.hold_records = true;
  owner.Submit("t", default_spec);
  owner.StoreHeld();
  owner.Advance({});
  owner.now += seconds(16);
  owner.StoreHeld();
  CHECK(owner.ActionsOfType<StartAttempt>().empty());
  CHECK(owner.ActionsOfType<QueryWorker>().size() == 1);
  owner.worker.clock += seconds(16);
  owner.Perform(owner.table.OnReports(owner.worker, {}, true, owner.now));
  owner.Advance(seconds(2));
  CHECK(owner.ActionsOfType<StartAttempt>().size() == 1);
}

}  // namespace
}  // namespace gypsumfall
