#include "gypsumfall/requests/requests.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/requests/internal/test_rig.h"

namespace gypsumfall::requests_testing {
namespace {

using std::chrono::minutes;

// Guards against a refusal that is taken for a possible start, or repeated on
// the worker that refused.
TEST_CASE("each refusal reason proves that another worker may run it") {
  using enum RefusalReason;
  for (const RefusalReason reason :
       {kStaleEpoch, kExpired, kNoSlot, kNoResources, kLeaving, kUnknownKind,
        kClosed}) {
    Rig rig;
    rig.Begin("a");
    rig.Refuse(0, reason);
    REQUIRE(rig.sends.size() == 2);
    CHECK(rig.sends[1].worker != rig.sends[0].worker);
    rig.Reply(0, kFinished);
    CHECK(rig.answers.empty());
    rig.Reply(1, kFinished);
    CHECK(rig.answers.size() == 1);
  }
}

// Guards against answers that go to whoever waits (I4).
TEST_CASE("answers out of order and foreign answers reach their own caller") {
  Rig rig;
  for (const std::string id : {"a", "b", "c"}) rig.Begin(id);
  const RequestReply foreign{ExchangeId("e2/1/1"), kFinished, {}, "x"};
  rig.Do(rig.table.OnReply(foreign, WorkerId("w0"), rig.now));
  CHECK(rig.answers.empty());
  CHECK(rig.table.counters().unmatched_replies == 1);
  for (const std::size_t i : {2, 0, 1}) {
    rig.Reply(i, kFinished);
    CHECK(rig.answers.back().key == rig.sends[i].key);
    CHECK(rig.answers.back().answer.result ==
          "result of " + rig.sends[i].exchange.str());
  }
}

// Guards against a resubmission that runs again (I6) or sees other content.
TEST_CASE("a resubmitted id shares the outcome") {
  Rig rig;
  const auto first = std::get<Admitted>(rig.Begin("a"));
  const auto running = std::get<Duplicate>(rig.Begin("a"));
  CHECK(running.key == first.key);
  CHECK_FALSE(running.answer.has_value());
  CHECK(std::holds_alternative<Conflict>(rig.Begin("a", 2)));
  rig.Pass(kDeadline);
  CHECK(std::get<Duplicate>(rig.Begin("a")).answer->was_run ==
        WasRun::kUnknown);
  rig.CancelReply(0, kFinished);
  CHECK(std::get<Duplicate>(rig.Begin("a")).answer->was_run == WasRun::kYes);
  CHECK(std::holds_alternative<Conflict>(rig.Begin("a", 2)));
  CHECK(rig.sends.size() == 1);
  rig.Pass(minutes(10));
  CHECK_FALSE(rig.table.Lookup(CustomerId("c"), RequestId("a")).has_value());
  // What was told not to have run may be tried again.
  rig.rooms = 0;
  rig.Begin("b");
  rig.Pass(kDeadline);
  CHECK(rig.answers.back().answer.was_run == WasRun::kNo);
  rig.rooms = 1;
  CHECK(std::holds_alternative<Admitted>(rig.Begin("b")));
}

// Guards against unbounded tables and queues.
TEST_CASE("tables and queues are bounded") {
  Rig full({.max_active = 3});
  for (const std::string id : {"a", "b", "c"}) full.Begin(id);
  CHECK(std::holds_alternative<TableFull>(full.Begin("d")));
  CHECK(std::holds_alternative<Duplicate>(full.Begin("a")));
  full.Reply(0, kFinished);
  CHECK(std::holds_alternative<Admitted>(full.Begin("d")));

  Rig flooded({.max_waiting_per_customer = 2});
  flooded.rooms = 0;
  for (const std::string id : {"a", "b"}) flooded.Begin(id);
  const auto refused = std::get<RequestRefused>(flooded.Begin("c"));
  CHECK(refused.answer.error == ErrorKind::kQueueFull);
  CHECK(refused.answer.was_run == WasRun::kNo);

  Rig bytes({.max_remembered = 3, .max_remembered_bytes = 40});
  for (std::size_t i = 0; i < 5; ++i) {
    bytes.Begin(std::to_string(i));
    bytes.Reply(i, kFinished);
  }
  CHECK_FALSE(bytes.table.Lookup(CustomerId("c"), RequestId("1")).has_value());
  CHECK(bytes.Known("2").result.empty());
  CHECK(bytes.Known("2").was_run == WasRun::kYes);
  CHECK(bytes.Known("4").result == "result of e1/1/5");
}

// Guards against late requests being served before urgent ones.
TEST_CASE("room goes to the earliest deadline") {
  Rig rig;
  rig.rooms = 0;
  for (const std::string id : {"a", "b"}) {
    rig.Begin(id);
    rig.now -= milliseconds(50);
  }
  rig.rooms = 1;
  rig.Do(rig.table.OnRoom(rig.now));
  REQUIRE(rig.sends.size() == 1);
  CHECK(rig.table.Lookup(CustomerId("c"), RequestId("b"))->state ==
        RequestState::kRunning);
  // Released room is offered at once.
  rig.rooms = 1;
  rig.Reply(0, kFinished);
  CHECK(rig.sends.size() == 2);
  CHECK(rig.table.waiting() == 0);
}

// Guards against work that is sent although its answer must come too late, and
// against a wrong estimate that refuses for ever.
TEST_CASE("requests that can not meet the deadline are refused at once") {
  Rig rig;
  for (std::size_t i = 0; i < 100; ++i) {
    rig.Begin("r" + std::to_string(i));
    rig.now += kDeadline - Duration(1);
    rig.Reply(i, kFinished);
  }
  const auto begin_in = [&rig](Duration left) {
    return rig.table.Begin(CustomerId("c"), RequestId("late"),
                           {.kind = KindId("k"), .deadline = rig.now + left}, 1,
                           rig.now);
  };
  const auto refused = std::get<RequestRefused>(begin_in(kDeadline / 2));
  CHECK(refused.answer.error == ErrorKind::kDeadlineUnreachable);
  CHECK(std::holds_alternative<RequestRefused>(begin_in(Duration(0))));
  int refusals = 0;
  while (std::holds_alternative<RequestRefused>(begin_in(kDeadline / 2)))
    ++refusals;
  CHECK(refusals < 100);
}

// Guards against retries that multiply an overload.
TEST_CASE("retries of idempotent requests stay within 10% of requests") {
  Rig rig;
  rig.idempotent = true;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    const std::size_t send = rig.sends.size();
    rig.Begin("r" + std::to_string(i));
    rig.SendFailed(send, false);
    rig.Pass(milliseconds(10));
    for (std::size_t j = send; j < rig.sends.size(); ++j) {
      rig.CancelReply(j, kFinished);
    }
  }
  const auto retried = static_cast<int>(rig.table.counters().retried);
  CHECK(retried >= kRequests / 10);
  CHECK(retried <= kRequests / 10 + RequestSettings{}.retry_burst);
  CHECK(rig.answers.size() == kRequests);
}

// Guards against forwarding twice, and against `no` when a peer is silent.
TEST_CASE("forwarding ends in the peer's answer or an unknown outcome") {
  using Kind = ForwardOutcome::Kind;
  struct ForwardRow {
    std::string fault;
    ForwardOutcome outcome;
    WasRun told;
    int resolves;
  };
  const CallerAnswer done{WasRun::kYes, std::nullopt, {}, "r"};
  const CallerAnswer full{WasRun::kNo, ErrorKind::kNoCapacity, {}, {}};
  const CallerAnswer never{WasRun::kNo, ErrorKind::kNeverFits, {}, {}};
  const CallerAnswer lost{WasRun::kUnknown, ErrorKind::kOutcomeUnknown, {}, {}};
  for (const ForwardRow& row : std::vector<ForwardRow>{
           {"finished", {Kind::kAnswered, done}, WasRun::kYes, 0},
           {"no room either", {Kind::kAnswered, full}, WasRun::kNo, 0},
           {"refused for good", {Kind::kAnswered, never}, WasRun::kNo, 0},
           {"peer does not know", {Kind::kAnswered, lost}, WasRun::kUnknown, 1},
           {"an earlier call was not run",
            {Kind::kResolved, full},
            WasRun::kUnknown,
            0},
           {"not sent", {Kind::kNotSent, {}}, WasRun::kNo, 0},
           {"lost", {Kind::kLost, {}}, WasRun::kUnknown, 1}}) {
    INFO(row.fault);
    Rig rig;
    const BeginOutcome begun =
        rig.table.Begin(CustomerId("c"), RequestId("a"),
                        {.deadline = rig.now + kDeadline}, 1, rig.now);
    const RequestKey key = std::get<Admitted>(begun).key;
    const EntryHostId peer("e2");
    const ExchangeId id("e1/1/f");
    REQUIRE(rig.table.OnForwarded(key, peer, id, rig.now));
    CHECK_FALSE(rig.table.OnForwarded(key, peer, id, rig.now));
    rig.rooms = 0;
    rig.Do(rig.table.OnForwardOutcome(id, row.outcome, rig.now));
    for (const Place& place : rig.places) CHECK_FALSE(place.may_forward);
    CHECK(rig.resolves == row.resolves);
    rig.now += kDeadline;
    rig.Do(rig.table.Tick(rig.now));
    REQUIRE(rig.answers.size() == 1);
    CHECK(rig.answers[0].answer.was_run == row.told);
    rig.Do(rig.table.OnForwardOutcome(id, {Kind::kAnswered, done}, rig.now));
    CHECK(rig.answers.size() == 1);
  }
}

// Guards against room that stays reserved, or is returned for another request.
TEST_CASE("room that comes too late is returned") {
  Rig rig;
  rig.rooms = 0;
  rig.Begin("a");
  const RequestKey key = rig.places[0].key;
  rig.Do(rig.table.OnPlaced(key, WorkerId("w0"), ExchangeId("x"), rig.now));
  CHECK(rig.releases == 1);
  rig.Pass(kDeadline);
  rig.Do(rig.table.OnPlaced(key, WorkerId("w0"), ExchangeId("y"), rig.now));
  CHECK(rig.releases == 2);
  CHECK(rig.sends.empty());
}

// Guards against a host that keeps waiting requests when it stops.
TEST_CASE("a stopping host refuses what was never sent") {
  Rig rig;
  rig.rooms = 0;
  rig.Begin("a");
  rig.Do(rig.table.RefuseWaiting(rig.now));
  REQUIRE(rig.answers.size() == 1);
  CHECK(rig.answers[0].answer.error == ErrorKind::kStopping);
  CHECK(rig.table.unanswered() == 0);
}

// Guards against cancels that flood a worker which does not answer.
TEST_CASE("resolution backs off and ends") {
  Rig rig;
  rig.Begin("a");
  while (rig.table.NextTick().has_value()) {
    rig.Pass(*rig.table.NextTick() - rig.now);
  }
  // 100 ms doubling to 10 s, for 10 minutes.
  CHECK(rig.cancels > 60);
  CHECK(rig.cancels < 70);
  CHECK(rig.releases == 1);
  CHECK(rig.table.active() == 0);
}

}  // namespace
}  // namespace gypsumfall::requests_testing
