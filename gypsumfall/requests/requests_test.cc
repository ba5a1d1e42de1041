#include "gypsumfall/requests/requests.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/requests/internal/request_fixture.h"

namespace gypsumfall::requests_testing {
namespace {

using std::chrono::minutes;

// Guards against treating a refusal as a possible start, and against retrying
// on the worker that refused.
TEST_CASE("each refusal reason lets another worker run the request") {
  using enum RefusalReason;
  for (const RefusalReason reason :
       {kStaleEpoch, kExpired, kNoSlot, kNoResources, kLeaving, kUnknownKind,
        kClosed}) {
    RequestFixture fixture;
    fixture.Begin("a");
    fixture.Refuse(0, reason);
    REQUIRE(fixture.sends.size() == 2);
    CHECK(fixture.sends[1].worker != fixture.sends[0].worker);
    fixture.Reply(0, kFinished);
    CHECK(fixture.answers.empty());
    fixture.Reply(1, kFinished);
    CHECK(fixture.answers.size() == 1);
  }
}

// Guards against delivering an answer to another waiting caller (I4).
TEST_CASE(
    "answers reach their own caller despite reordering and unmatched replies") {
  RequestFixture fixture;
  for (const std::string id : {"a", "b", "c"}) fixture.Begin(id);
  const RequestReply foreign{ExchangeId("e2/1/1"), kFinished, {}, "x"};
  fixture.Perform(fixture.table.OnReply(foreign, WorkerId("w0"), fixture.now));
  CHECK(fixture.answers.empty());
  CHECK(fixture.table.counters().unmatched_replies == 1);
  for (const std::size_t i : {2, 0, 1}) {
    fixture.Reply(i, kFinished);
    CHECK(fixture.answers.back().key == fixture.sends[i].key);
    CHECK(fixture.answers.back().answer.result ==
          "result of " + fixture.sends[i].exchange.str());
  }
}

// Guards against a resubmission that runs again (I6) or sees other content.
TEST_CASE("a resubmitted id gets the outcome of the first submission") {
  RequestFixture fixture;
  const auto first = std::get<Admitted>(fixture.Begin("a"));
  const auto running = std::get<Duplicate>(fixture.Begin("a"));
  CHECK(running.key == first.key);
  CHECK_FALSE(running.answer.has_value());
  CHECK(std::holds_alternative<Conflict>(fixture.Begin("a", 2)));
  fixture.Advance(kDeadline);
  CHECK(std::get<Duplicate>(fixture.Begin("a")).answer->was_run ==
        WasRun::kUnknown);
  fixture.CancelReply(0, kFinished);
  CHECK(std::get<Duplicate>(fixture.Begin("a")).answer->was_run ==
        WasRun::kYes);
  CHECK(std::holds_alternative<Conflict>(fixture.Begin("a", 2)));
  CHECK(fixture.sends.size() == 1);
  fixture.Advance(minutes(10));
  CHECK_FALSE(
      fixture.table.Lookup(CustomerId("c"), RequestId("a")).has_value());
  // A request that was answered as not run may be submitted again.
  fixture.free_slots = 0;
  fixture.Begin("b");
  fixture.Advance(kDeadline);
  CHECK(fixture.answers.back().answer.was_run == WasRun::kNo);
  fixture.free_slots = 1;
  CHECK(std::holds_alternative<Admitted>(fixture.Begin("b")));
}

// Guards against unbounded tables and queues.
TEST_CASE("tables and queues are bounded") {
  RequestFixture full({.max_active = 3});
  for (const std::string id : {"a", "b", "c"}) full.Begin(id);
  CHECK(std::holds_alternative<TableFull>(full.Begin("d")));
  CHECK(std::holds_alternative<Duplicate>(full.Begin("a")));
  full.Reply(0, kFinished);
  CHECK(std::holds_alternative<Admitted>(full.Begin("d")));

  RequestFixture flooded({.max_waiting_per_customer = 2});
  flooded.free_slots = 0;
  for (const std::string id : {"a", "b"}) flooded.Begin(id);
  const auto refused = std::get<RequestRefused>(flooded.Begin("c"));
  CHECK(refused.answer.error == ErrorKind::kQueueFull);
  CHECK(refused.answer.was_run == WasRun::kNo);

  RequestFixture bytes(
      {.max_cached_answers = 3, .max_cached_result_bytes = 40});
  for (std::size_t i = 0; i < 5; ++i) {
    bytes.Begin(std::to_string(i));
    bytes.Reply(i, kFinished);
  }
  CHECK_FALSE(bytes.table.Lookup(CustomerId("c"), RequestId("1")).has_value());
  CHECK(bytes.KnownAnswer("2").result.empty());
  CHECK(bytes.KnownAnswer("2").was_run == WasRun::kYes);
  CHECK(bytes.KnownAnswer("4").result == "result of e1/1/5");
}

// Guards against late requests being served before urgent ones.
TEST_CASE("free capacity goes to the earliest deadline") {
  RequestFixture fixture;
  fixture.free_slots = 0;
  for (const std::string id : {"a", "b"}) {
    fixture.Begin(id);
    fixture.now -= milliseconds(50);
  }
  fixture.free_slots = 1;
  fixture.Perform(fixture.table.OnCapacityFreed(fixture.now));
  REQUIRE(fixture.sends.size() == 1);
  CHECK(fixture.table.Lookup(CustomerId("c"), RequestId("b"))->state ==
        RequestState::kRunning);
  // Released capacity is used for a waiting request at once.
  fixture.free_slots = 1;
  fixture.Reply(0, kFinished);
  CHECK(fixture.sends.size() == 2);
  CHECK(fixture.table.waiting() == 0);
}

// Guards against sending work that must miss its deadline, and against a wrong
// estimate that refuses requests forever.
TEST_CASE("requests that cannot meet the deadline are refused at once") {
  RequestFixture fixture;
  for (std::size_t i = 0; i < 100; ++i) {
    fixture.Begin("r" + std::to_string(i));
    fixture.now += kDeadline - Duration(1);
    fixture.Reply(i, kFinished);
  }
  const auto begin_in = [&fixture](Duration left) {
    return fixture.table.Begin(
        CustomerId("c"), RequestId("late"),
        {.kind = KindId("k"), .deadline = fixture.now + left}, 1, fixture.now);
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
  RequestFixture fixture;
  fixture.idempotent = true;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    const std::size_t send = fixture.sends.size();
    fixture.Begin("r" + std::to_string(i));
    fixture.SendFailed(send, false);
    fixture.Advance(milliseconds(10));
    for (std::size_t j = send; j < fixture.sends.size(); ++j) {
      fixture.CancelReply(j, kFinished);
    }
  }
  const auto retried = static_cast<int>(fixture.table.counters().retried);
  CHECK(retried >= kRequests / 10);
  CHECK(retried <= kRequests / 10 + RequestSettings{}.retry_burst);
  CHECK(fixture.answers.size() == kRequests);
}

// Guards against forwarding twice, and against answering `no` when a peer does
// not answer.
TEST_CASE("forwarding ends with the peer's answer or an unknown outcome") {
  using Kind = ForwardOutcome::Kind;
  struct ForwardRow {
    std::string fault;
    ForwardOutcome outcome;
    WasRun expected_was_run;
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
    RequestFixture fixture;
    const BeginOutcome begun = fixture.table.Begin(
        CustomerId("c"), RequestId("a"), {.deadline = fixture.now + kDeadline},
        1, fixture.now);
    const RequestKey key = std::get<Admitted>(begun).key;
    const EntryHostId peer("e2");
    const ExchangeId id("e1/1/f");
    REQUIRE(fixture.table.OnForwarded(key, peer, id, fixture.now));
    CHECK_FALSE(fixture.table.OnForwarded(key, peer, id, fixture.now));
    fixture.free_slots = 0;
    fixture.Perform(
        fixture.table.OnForwardOutcome(id, row.outcome, fixture.now));
    for (const RequestCapacity& place : fixture.places)
      CHECK_FALSE(place.may_forward);
    CHECK(fixture.resolves == row.resolves);
    fixture.now += kDeadline;
    fixture.Perform(fixture.table.Tick(fixture.now));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].answer.was_run == row.expected_was_run);
    fixture.Perform(fixture.table.OnForwardOutcome(id, {Kind::kAnswered, done},
                                                   fixture.now));
    CHECK(fixture.answers.size() == 1);
  }
}

// Guards against capacity that stays reserved or is released for another
// request.
TEST_CASE("capacity that is granted too late is released") {
  RequestFixture fixture;
  fixture.free_slots = 0;
  fixture.Begin("a");
  const RequestKey key = fixture.places[0].key;
  fixture.Perform(fixture.table.OnPlaced(key, WorkerId("w0"), ExchangeId("x"),
                                         fixture.now));
  CHECK(fixture.releases == 1);
  fixture.Advance(kDeadline);
  fixture.Perform(fixture.table.OnPlaced(key, WorkerId("w0"), ExchangeId("y"),
                                         fixture.now));
  CHECK(fixture.releases == 2);
  CHECK(fixture.sends.empty());
}

// Guards against a host that keeps waiting requests when it stops.
TEST_CASE("a host that shuts down refuses requests that were never sent") {
  RequestFixture fixture;
  fixture.free_slots = 0;
  fixture.Begin("a");
  fixture.Perform(fixture.table.RefuseWaiting(fixture.now));
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer.error == ErrorKind::kStopping);
  CHECK(fixture.table.unanswered() == 0);
}

// Guards against flooding an unresponsive worker with cancels.
TEST_CASE("resolving an outcome backs off and stops after the retention") {
  RequestFixture fixture;
  fixture.Begin("a");
  while (fixture.table.NextTick().has_value()) {
    fixture.Advance(*fixture.table.NextTick() - fixture.now);
  }
  // 100 ms doubling to 10 s, for 10 minutes.
  CHECK(fixture.cancels > 60);
  CHECK(fixture.cancels < 70);
  CHECK(fixture.releases == 1);
  CHECK(fixture.table.active() == 0);
}

}  // namespace
}  // namespace gypsumfall::requests_testing
