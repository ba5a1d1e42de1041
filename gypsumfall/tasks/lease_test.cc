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

bool IsOver(const TestOwner& owner) {
  return owner.All<AcknowledgeAttempt>().size() == 1;
}

// Guards against a new attempt while the old one may still hold its lease, to
// the microsecond; and against waiting for longer than needed.
TEST_CASE("an attempt is over 32 s after the receipt of the last reading") {
  TestOwner owner;
  const Time received = owner.now;
  const WorkerTime reading = owner.worker.clock;
  owner.Submit("t", default_spec);
  const StartAttempt start = owner.All<StartAttempt>().at(0);
  CHECK(start.lease_until == reading + seconds(30));
  CHECK(start.task_epoch == Epoch(1));
  owner.Advance(received + seconds(32) - kTick - owner.now);
  CHECK_FALSE(IsOver(owner));
  owner.Advance(kTick);
  CHECK(IsOver(owner));
}

// Guards against a delayed or repeated message that extends a lease without a
// newer reading, or that shortens what was granted.
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
    owner.Take(owner.table.OnStartReply(first_attempt, {{}, first}, owner.now));
    owner.Advance(seconds(10) - kTick);
    CHECK(owner.All<RenewAttempt>().empty());
    WorkerReading reading = owner.worker;
    reading.clock += kTick - row.reading_age;
    owner.Take(owner.table.OnReports(reading, {}, false, owner.now));
    owner.Advance(kTick);
    REQUIRE(owner.All<RenewAttempt>().size() == 1);
    CHECK(owner.All<RenewAttempt>()[0].lease_until ==
          first + seconds(30) + row.lease_after_start);
  }
}

// Guards against ending running attempts because the store is down, and
// against renewing beyond what the next owner waits for.
TEST_CASE("attempts are renewed without the store for the kind's time only") {
  TestOwner owner;
  TaskSpec spec = default_spec;
  spec.run_without_contact = seconds(300);
  const Time confirmed = owner.now;
  owner.Submit("t", spec);
  owner.Submit("later", spec);
  owner.grant = false;
  while (owner.now < confirmed + seconds(300)) {
    owner.Take(owner.table.OnReports(owner.worker, {}, false, owner.now));
    owner.Take(owner.table.OnStartReply(first_attempt, {{}, owner.worker.clock},
                                        owner.now));
    owner.Advance(seconds(5));
  }
  const auto renewals = owner.All<RenewAttempt>();
  CHECK(owner.table.Status(task_key)->state == TaskState::kRunning);
  CHECK(renewals.back().send_before == confirmed + seconds(300));
  // The last lease ends before a new owner treats the attempt as over.
  CHECK(renewals.back().lease_until <=
        WorkerTime(seconds(50)) + seconds(300) + seconds(30));
  const std::size_t sent = renewals.size();
  owner.Advance(seconds(20));
  CHECK(owner.All<RenewAttempt>().size() == sent);
  owner.Submit("new", spec);
  owner.Advance(seconds(1));
  CHECK(owner.All<RequestReservation>().size() == 2);
}

// Guards against a paused owner that wakes and sends a start which the next
// owner does not know of.
TEST_CASE("a start is not sent after the owner's authority has ended") {
  TestOwner owner;
  owner.hold = true;
  owner.Submit("t", default_spec);
  owner.Store();
  owner.Advance({});
  REQUIRE(owner.held.size() == 1);
  owner.now += seconds(600);
  owner.Store();
  CHECK(owner.All<StartAttempt>().empty());
  // The intent was never sent, so the task may be placed again.
  owner.hold = false;
  owner.Advance(seconds(10));
  CHECK(owner.table.Status(task_key)->state == TaskState::kQueued);
}

// Guards against a new owner that resumes an attempt which the old owner may
// still renew.
TEST_CASE("a new owner waits for what the old owner may have granted") {
  TestOwner owner;
  owner.Submit("t", default_spec);
  owner.TakeOver(seconds(7));
  owner.grant = false;
  CHECK(owner.All<QueryWorker>().size() == 1);
  owner.Advance(seconds(632) - kTick);
  CHECK_FALSE(IsOver(owner));
  owner.Advance(kTick);
  CHECK(IsOver(owner));
}

// Guards against an earlier owner that makes the worker forget the outcome of a
// task which only the present owner knows: the task would be run again.
TEST_CASE("reports of unknown tasks are left to a certain owner") {
  TestOwner owner;
  AttemptReport report;
  report.id = first_attempt;
  report.state = AttemptState::kFinished;
  owner.Advance(seconds(6));
  owner.Report(report);
  CHECK(owner.actions.empty());
  owner.table.OnAuthorityConfirmed(owner.now);
  owner.Report(report);
  CHECK(owner.All<AcknowledgeAttempt>().size() == 1);
}

// Guards against a start with a lease that is over on arrival.
TEST_CASE("a start with an old reading asks for a new one first") {
  TestOwner owner;
  owner.hold = true;
  owner.Submit("t", default_spec);
  owner.Store();
  owner.Advance({});
  owner.now += seconds(16);
  owner.Store();
  CHECK(owner.All<StartAttempt>().empty());
  CHECK(owner.All<QueryWorker>().size() == 1);
  owner.worker.clock += seconds(16);
  owner.Take(owner.table.OnReports(owner.worker, {}, true, owner.now));
  owner.Advance(seconds(2));
  CHECK(owner.All<StartAttempt>().size() == 1);
}

}  // namespace
}  // namespace gypsumfall
