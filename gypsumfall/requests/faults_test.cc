#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/requests/internal/request_fixture.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall::requests_testing {
namespace {

using std::chrono::minutes;

struct Row {
  std::string fault;
  bool idempotent;
  std::function<void(RequestFixture&)> steps;
  /// Expected `was_run` and error of the only answer to the caller of "a".
  WasRun expected_was_run;
  std::optional<ErrorKind> error;
  /// Expected `was_run` of a lookup at the end.
  WasRun known;
  std::size_t sends;
  int releases;
};

constexpr auto kUnresolved = ErrorKind::kOutcomeUnknown;
constexpr auto kDeadlineMissed = ErrorKind::kDeadlineUnreachable;
constexpr auto kFailedOnWorker = ErrorKind::kWorkerFailed;

std::vector<Row> Faults() {
  using enum WasRun;
  const auto ok = std::nullopt;
  return {
      {"none", false, [](RequestFixture& r) { r.Reply(0, kFinished); }, kYes,
       ok, kYes, 1, 1},
      {"late answer after give-up", false,
       [](RequestFixture& r) {
         r.Advance(kDeadline);
         r.Reply(0, kFinished);
       },
       kUnknown, kUnresolved, kYes, 1, 1},
      {"answer twice", false,
       [](RequestFixture& r) {
         r.Reply(0, kFinished);
         r.Reply(0, kFailed);
       },
       kYes, ok, kYes, 1, 1},
      {"answer from another worker", false,
       [](RequestFixture& r) {
         r.Perform(
             r.table.OnReply(r.ReplyTo(0, kFinished), WorkerId("w9"), r.now));
         r.Advance(kDeadline);
       },
       kUnknown, kUnresolved, kUnknown, 1, 0},
      {"connection broken before sending", false,
       [](RequestFixture& r) {
         r.SendFailed(0, true);
         r.Reply(1, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"connection broken after sending", false,
       [](RequestFixture& r) {
         r.SendFailed(0, false);
         r.Advance(kDeadline);
       },
       kUnknown, kUnresolved, kUnknown, 1, 0},
      {"broken after sending, worker says never started", false,
       [](RequestFixture& r) {
         r.SendFailed(0, false);
         r.CancelReply(0, kNever);
         r.Reply(1, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"broken after sending, idempotent", true,
       [](RequestFixture& r) {
         r.SendFailed(0, false);
         r.Advance(milliseconds(5));
         r.Reply(1, kFinished);
         r.CancelReply(0, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"idempotent, first worker answers late, second not at all", true,
       [](RequestFixture& r) {
         r.SendFailed(0, false);
         r.Advance(milliseconds(5));
         r.CancelReply(0, kFinished);
       },
       kYes, ok, kYes, 2, 1},
      {"unknown resolved to finished", false,
       [](RequestFixture& r) {
         r.Advance(kDeadline);
         r.CancelReply(0, kRunning);
         r.Advance(seconds(1));
         r.CancelReply(0, kFinished);
       },
       kUnknown, kUnresolved, kYes, 1, 1},
      {"unknown resolved to never started", false,
       [](RequestFixture& r) {
         r.Advance(kDeadline);
         r.CancelReply(0, kNever);
       },
       kUnknown, kUnresolved, kNo, 1, 1},
      {"refused cancel leaves the outcome unknown", false,
       [](RequestFixture& r) {
         r.Advance(kDeadline);
         RequestReply refused = r.ReplyTo(0, kNever);
         refused.refused = RefusalReason::kStaleEpoch;
         r.Perform(r.table.OnCancelReply(refused, r.sends[0].worker, r.now));
       },
       kUnknown, kUnresolved, kUnknown, 1, 0},
      {"not idempotent, worker restarted", false,
       [](RequestFixture& r) {
         r.Perform(r.table.OnWorkerLost(WorkerId("w0"), r.now));
         r.Reply(0, kNever);
       },
       kUnknown, kUnresolved, kUnknown, 1, 1},
      {"idempotent, worker restarted", true,
       [](RequestFixture& r) {
         r.Perform(r.table.OnWorkerLost(WorkerId("w0"), r.now));
         r.Advance(milliseconds(5));
         r.Reply(1, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"worker failed, not idempotent", false,
       [](RequestFixture& r) { r.Reply(0, kFailed); }, kYes, kFailedOnWorker,
       kYes, 1, 1},
      {"worker failed, idempotent, then no time", true,
       [](RequestFixture& r) {
         r.Reply(0, kFailed);
         r.Advance(kDeadline);
       },
       kYes, kFailedOnWorker, kYes, 1, 1},
      {"refused by every worker", false,
       [](RequestFixture& r) {
         for (std::size_t i = 0; i < 4; ++i) {
           r.Refuse(i, RefusalReason::kNoSlot);
         }
       },
       kNo, ErrorKind::kNoCapacity, kNo, 4, 4},
      {"refused, then no time", false,
       [](RequestFixture& r) {
         r.free_slots = 0;
         r.Refuse(0, RefusalReason::kLeaving);
         r.Advance(kDeadline);
       },
       kNo, kDeadlineMissed, kNo, 1, 1},
      {"one microsecond before the deadline", false,
       [](RequestFixture& r) {
         r.Advance(kDeadline - Duration(1));
         REQUIRE(r.answers.empty());
         r.Reply(0, kFinished);
       },
       kYes, ok, kYes, 1, 1},
      {"clock steps far ahead", false,
       [](RequestFixture& r) {
         r.Advance(kDeadline);
         r.Advance(minutes(11));
         r.Reply(0, kFinished);
       },
       kUnknown, kUnresolved, kUnknown, 1, 1},
      {"host stops while the request runs", false,
       [](RequestFixture& r) {
         r.Perform(r.table.RefuseWaiting(r.now));
         r.Reply(0, kFinished);
       },
       kYes, ok, kYes, 1, 1},
  };
}

// Checks per fault I4 (a caller gets exactly one answer, its own), I5 (was_run
// is `no` only when proved) and I6 (a request that is not idempotent is sent
// again only when proved not started).
TEST_CASE("each fault leads to the specified answer") {
  for (const Row& row : Faults()) {
    INFO(row.fault);
    RequestFixture fixture;
    fixture.idempotent = row.idempotent;
    REQUIRE(std::holds_alternative<Admitted>(fixture.Begin("a")));
    row.steps(fixture);
    REQUIRE(fixture.answers.size() == 1);
    const CallerAnswer& answered = fixture.answers[0].answer;
    CHECK(answered.was_run == row.expected_was_run);
    CHECK(answered.error == row.error);
    CHECK(fixture.KnownAnswer("a").was_run == row.known);
    CHECK(fixture.sends.size() == row.sends);
    CHECK(fixture.releases == row.releases);
    if (!answered.error) CHECK(answered.result.starts_with("result of e1/1/"));
  }
}

}  // namespace
}  // namespace gypsumfall::requests_testing
