#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "standins/models.h"

namespace gypsumfall::standins {
namespace {

constexpr Time At(int s) { return Time(seconds(s)); }

WorkerOptions Options() {
  WorkerOptions options;
  options.capacity = {MilliCores(1000), MebiBytes(1000), Accelerators(0)};
  options.slots = 2;
  options.kinds[KindId("short")] = {.run_time = seconds(1)};
  options.kinds[KindId("long")] = {.run_time = seconds(100),
                                   .checkpoint_every = seconds(10)};
  return options;
}

struct Fixture {
  Fixture() { worker.Attach({EntryHostId("e1"), Epoch(3)}, Time()); }

  CommandHeader Header(Time now) const {
    return {EntryHostId("e1"), Epoch(3), worker.incarnation(),
            worker.Clock(now + seconds(5))};
  }
  RunRequestCall Request(const std::string& exchange, Time now) const {
    return {Header(now),
            ExchangeId(exchange),
            KindId("short"),
            {MilliCores(100), MebiBytes(100), {}},
            ""};
  }
  StartAttemptCall Attempt(const std::string& task, std::uint32_t number,
                           Time now, Duration lease = seconds(30)) const {
    return {Header(now),
            {CustomerId("c"), TaskId(task), AttemptNumber(number)},
            KindId("long"),
            {MilliCores(100), MebiBytes(100), {}},
            "",
            "",
            Epoch(1),
            worker.Clock(now + lease)};
  }
  AttemptReport OnlyAttempt(Time now) {
    const auto reply = worker.Heartbeat({Header(now), {}, {}}, now);
    REQUIRE(reply.attempts.size() == 1);
    return reply.attempts[0];
  }

  WorkerModel worker{WorkerId("w1"), Options()};
};

// Guards against a worker that accepts commands from two owners (I1).
TEST_CASE("attach is accepted by epoch only") {
  Fixture f;
  struct Case {
    const char* owner;
    std::uint64_t epoch;
    bool accepted;
  };
  for (const Case& c : std::vector<Case>{{"e1", 3, true},
                                         {"e2", 3, false},
                                         {"e2", 2, false},
                                         {"e2", 4, true},
                                         {"e1", 3, false},
                                         {"e1", 5, true}}) {
    const AttachReply reply =
        f.worker.Attach({EntryHostId(c.owner), Epoch(c.epoch)}, At(1));
    CHECK(reply.accepted == c.accepted);
  }
  const AttachReply refused =
      f.worker.Attach({EntryHostId("e2"), Epoch(4)}, At(1));
  CHECK(refused.highest_epoch == Epoch(5));
  CHECK(refused.owner == EntryHostId("e1"));
}

// Guards against work started by an invalid command.
TEST_CASE("commands are refused with their reason and start nothing") {
  struct Case {
    std::function<void(WorkerModel&, StartAttemptCall&)> change;
    RefusalReason reason;
  };
  using Call = StartAttemptCall;
  const std::vector<Case> cases = {
      {[](auto&, Call& c) { c.header.epoch = Epoch(2); },
       RefusalReason::kStaleEpoch},
      {[](auto&, Call& c) { c.header.epoch = Epoch(4); },
       RefusalReason::kStaleEpoch},
      {[](auto&, Call& c) { c.header.owner = EntryHostId("e2"); },
       RefusalReason::kStaleEpoch},
      {[](auto&, Call& c) { c.header.incarnation = Incarnation(9); },
       RefusalReason::kStaleEpoch},
      {[](auto&, Call& c) { c.header.valid_until -= seconds(6); },
       RefusalReason::kExpired},
      {[](auto&, Call& c) { c.lease_until -= seconds(30); },
       RefusalReason::kExpired},
      {[](auto&, Call& c) { c.kind = KindId("other"); },
       RefusalReason::kUnknownKind},
      {[](auto&, Call& c) { c.resources.memory = MebiBytes(1001); },
       RefusalReason::kNoResources},
      {[](auto&, Call& c) { c.resources.memory = MebiBytes(-1); },
       RefusalReason::kNoResources},
      {[](WorkerModel& w, Call&) { w.SetLeaving(true); },
       RefusalReason::kLeaving},
  };
  for (const Case& c : cases) {
    Fixture f;
    StartAttemptCall call = f.Attempt("t", 1, At(1));
    c.change(f.worker, call);
    CHECK(f.worker.StartAttempt(call, At(1)).refused == c.reason);
    CHECK(f.worker.running() == 0);
    CHECK(f.worker.TakeEvents().empty());
  }
  Fixture f;
  CHECK_FALSE(f.worker.RunRequest(f.Request("x1", At(1)), At(1)));
  CHECK_FALSE(f.worker.StartAttempt(f.Attempt("t", 1, At(1)), At(1)).refused);
  CHECK(f.worker.RunRequest(f.Request("x2", At(1)), At(1))->refused ==
        RefusalReason::kNoSlot);
  CHECK(f.worker.overcommits() == 1);
  CHECK(f.worker.violations().empty());
}

// Guards against a request that runs twice, or after it was cancelled (I5).
TEST_CASE("an exchange runs at most once") {
  Fixture f;
  CHECK_FALSE(f.worker.RunRequest(f.Request("x1", At(1)), At(1)));
  CHECK(f.worker.RunRequest(f.Request("x1", At(1)), At(1))->state ==
        ExchangeState::kRunning);
  const auto cancel = [&](const char* id, Time now) {
    return f.worker.CancelRequest({f.Header(now), ExchangeId(id)}, now);
  };
  CHECK(cancel("x1", At(1)).state == ExchangeState::kRunning);
  CHECK(cancel("x2", At(1)).state == ExchangeState::kNeverStarted);
  CHECK(f.worker.RunRequest(f.Request("x2", At(1)), At(1))->refused ==
        RefusalReason::kClosed);
  CHECK(f.worker.Advance(At(1)).empty());
  CHECK(f.worker.NextEvent() == At(2));
  const auto answers = f.worker.Advance(At(2));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].state == ExchangeState::kFinished);
  CHECK(cancel("x1", At(3)).result == answers[0].result);
  CHECK(f.worker.RunRequest(f.Request("x1", At(3)), At(3))->state ==
        ExchangeState::kFinished);
  CHECK(f.worker.TakeEvents().size() == 2);
}

// Guards against an attempt that outlives its lease or loses progress (I2, I3).
TEST_CASE("an attempt ends with its lease and resumes from its checkpoint") {
  Fixture f;
  f.worker.StartAttempt(f.Attempt("t", 1, At(0)), At(0));
  CHECK_FALSE(f.worker.StartAttempt(f.Attempt("t", 1, At(0)), At(1)).refused);
  f.worker.Heartbeat(
      {f.Header(At(9)),
       {{f.Attempt("t", 1, At(0)).id, Epoch(2), f.worker.Clock(At(45))},
        {f.Attempt("t", 1, At(0)).id, Epoch(1), f.worker.Clock(At(99))}},
       {}},
      At(9));
  CHECK(f.OnlyAttempt(At(44)).state == AttemptState::kRunning);
  const AttemptReport stopped = f.OnlyAttempt(At(46));
  CHECK(stopped.state == AttemptState::kStopped);
  CHECK(stopped.checkpoint == "progress_us=40000000");
  CHECK(f.worker.StartAttempt(f.Attempt("t", 1, At(46)), At(46)).refused ==
        RefusalReason::kClosed);
  StartAttemptCall next = f.Attempt("t", 2, At(46), seconds(100));
  next.checkpoint = stopped.checkpoint;
  CHECK_FALSE(f.worker.StartAttempt(next, At(46)).refused);
  f.worker.Heartbeat({f.Header(At(47)), {}, {stopped.id}}, At(47));
  CHECK(f.OnlyAttempt(At(105)).state == AttemptState::kRunning);
  CHECK(f.OnlyAttempt(At(106)).state == AttemptState::kFinished);
  CHECK(f.worker.violations().empty());
}

// Guards against an attempt that starts after its stop was confirmed.
TEST_CASE(
    "a stop closes the attempt number even if the attempt never started") {
  Fixture f;
  const AttemptId id = f.Attempt("t", 3, At(1)).id;
  const StopAttemptReply reply =
      f.worker.StopAttempt({f.Header(At(1)), id}, At(1));
  CHECK(reply.report.state == AttemptState::kStopped);
  CHECK_FALSE(reply.report.started);
  for (const std::uint32_t number : {1U, 2U, 3U}) {
    CHECK(f.worker.StartAttempt(f.Attempt("t", number, At(1)), At(1)).refused ==
          RefusalReason::kClosed);
  }
  f.worker.StartAttempt(f.Attempt("t", 4, At(1)), At(1));
  f.worker.StartAttempt(f.Attempt("t", 5, At(1)), At(1));
  CHECK(f.worker.violations().size() == 1);
}

// Guards against a paused worker whose attempts outlive their lease.
TEST_CASE("a pause stops progress but not the clock") {
  Fixture f;
  f.worker.StartAttempt(f.Attempt("t", 1, At(0)), At(0));
  CHECK_FALSE(f.worker.RunRequest(f.Request("x", At(15)), At(15)));
  f.worker.Pause(At(60), At(15));
  CHECK_FALSE(f.worker.Reachable(At(59)));
  CHECK(f.worker.Advance(At(59)).empty());
  CHECK(f.worker.NextEvent() == At(60));
  CHECK(f.worker.Advance(At(60)).empty());
  CHECK(f.OnlyAttempt(At(60)).state == AttemptState::kStopped);
  CHECK(f.OnlyAttempt(At(60)).checkpoint == "progress_us=10000000");
  CHECK(f.worker.Advance(At(61)).size() == 1);
}

TEST_CASE("a restarted worker has no state and refuses old commands") {
  Fixture f;
  const StartAttemptCall old = f.Attempt("t", 1, At(0));
  f.worker.StartAttempt(old, At(0));
  f.worker.Crash(At(1));
  CHECK_FALSE(f.worker.Reachable(At(1)));
  f.worker.Restart(At(2));
  CHECK(f.worker.StartAttempt(old, At(2)).refused ==
        RefusalReason::kStaleEpoch);
  const auto reply = f.worker.Attach({EntryHostId("e1"), Epoch(1)}, At(2));
  CHECK(reply.accepted);
  CHECK(reply.incarnation == Incarnation(2));
  CHECK(reply.attempts.empty());
}

// Guards against a model without interference between neighbours.
TEST_CASE("neighbours slow each other down and usage reports lag") {
  WorkerOptions options = Options();
  options.kinds[KindId("short")].slowdown_by_neighbour[KindId("short")] = 1000;
  Fixture f;
  f.worker = WorkerModel(WorkerId("w"), options);
  f.worker.Attach({EntryHostId("e1"), Epoch(3)}, Time());
  f.worker.RunRequest(f.Request("x1", At(0)), At(0));
  f.worker.RunRequest(f.Request("x2", At(0)), At(0));
  CHECK(f.worker.Advance(At(1)).empty());
  CHECK(f.worker.Advance(At(2)).size() == 2);
  const auto usage = [&](Time now) {
    return f.worker.Heartbeat({f.Header(now), {}, {}}, now).usage;
  };
  CHECK(usage(At(9)).empty());
  REQUIRE(usage(At(11)).size() == 2);
  CHECK(usage(At(11))[0].slowdown_permille == 2000);
}

TEST_CASE("answers can be delayed, duplicated, reordered and failed") {
  Fixture f;
  f.worker.faults() = {.fail_everything = true,
                       .answer_delay = seconds(5),
                       .duplicate_answers = true,
                       .reverse_answers = true};
  f.worker.RunRequest(f.Request("x1", At(0)), At(0));
  f.worker.RunRequest(f.Request("x2", At(0)), At(0));
  CHECK(f.worker.Advance(At(4)).empty());
  const auto answers = f.worker.Advance(At(5));
  REQUIRE(answers.size() == 4);
  CHECK(answers[0].exchange == ExchangeId("x2"));
  CHECK(answers[3].exchange == ExchangeId("x1"));
  CHECK(answers[3].state == ExchangeState::kFailed);
}

}  // namespace
}  // namespace gypsumfall::standins
