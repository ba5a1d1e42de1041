#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/requests/internal/test_rig.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall::requests_testing {
namespace {

using std::chrono::minutes;

struct Row {
  std::string fault;
  bool idempotent;
  std::function<void(Rig&)> steps;
  /// The one answer the caller of "a" got.
  WasRun told;
  std::optional<ErrorKind> error;
  /// What a lookup shows at the end.
  WasRun known;
  std::size_t sends;
  int releases;
};

constexpr auto kUnresolved = ErrorKind::kOutcomeUnknown;
constexpr auto kNoTime = ErrorKind::kDeadlineUnreachable;
constexpr auto kBad = ErrorKind::kWorkerFailed;

std::vector<Row> Faults() {
  using enum WasRun;
  const auto ok = std::nullopt;
  return {
      {"none", false, [](Rig& r) { r.Reply(0, kFinished); }, kYes, ok, kYes, 1,
       1},
      {"late answer after give-up", false,
       [](Rig& r) {
         r.Pass(kDeadline);
         r.Reply(0, kFinished);
       },
       kUnknown, kUnresolved, kYes, 1, 1},
      {"answer twice", false,
       [](Rig& r) {
         r.Reply(0, kFinished);
         r.Reply(0, kFailed);
       },
       kYes, ok, kYes, 1, 1},
      {"answer from another worker", false,
       [](Rig& r) {
         r.Do(r.table.OnReply(r.ReplyTo(0, kFinished), WorkerId("w9"), r.now));
         r.Pass(kDeadline);
       },
       kUnknown, kUnresolved, kUnknown, 1, 0},
      {"connection broken before sending", false,
       [](Rig& r) {
         r.SendFailed(0, true);
         r.Reply(1, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"connection broken after sending", false,
       [](Rig& r) {
         r.SendFailed(0, false);
         r.Pass(kDeadline);
       },
       kUnknown, kUnresolved, kUnknown, 1, 0},
      {"broken after sending, worker says never started", false,
       [](Rig& r) {
         r.SendFailed(0, false);
         r.CancelReply(0, kNever);
         r.Reply(1, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"broken after sending, idempotent", true,
       [](Rig& r) {
         r.SendFailed(0, false);
         r.Pass(milliseconds(5));
         r.Reply(1, kFinished);
         r.CancelReply(0, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"idempotent, first worker answers late, second not at all", true,
       [](Rig& r) {
         r.SendFailed(0, false);
         r.Pass(milliseconds(5));
         r.CancelReply(0, kFinished);
       },
       kYes, ok, kYes, 2, 1},
      {"unknown resolved to finished", false,
       [](Rig& r) {
         r.Pass(kDeadline);
         r.CancelReply(0, kRunning);
         r.Pass(seconds(1));
         r.CancelReply(0, kFinished);
       },
       kUnknown, kUnresolved, kYes, 1, 1},
      {"unknown resolved to never started", false,
       [](Rig& r) {
         r.Pass(kDeadline);
         r.CancelReply(0, kNever);
       },
       kUnknown, kUnresolved, kNo, 1, 1},
      {"cancel refused proves nothing", false,
       [](Rig& r) {
         r.Pass(kDeadline);
         RequestReply refused = r.ReplyTo(0, kNever);
         refused.refused = RefusalReason::kStaleEpoch;
         r.Do(r.table.OnCancelReply(refused, r.sends[0].worker, r.now));
       },
       kUnknown, kUnresolved, kUnknown, 1, 0},
      {"not idempotent, worker restarted", false,
       [](Rig& r) {
         r.Do(r.table.OnWorkerLost(WorkerId("w0"), r.now));
         r.Reply(0, kNever);
       },
       kUnknown, kUnresolved, kUnknown, 1, 1},
      {"idempotent, worker restarted", true,
       [](Rig& r) {
         r.Do(r.table.OnWorkerLost(WorkerId("w0"), r.now));
         r.Pass(milliseconds(5));
         r.Reply(1, kFinished);
       },
       kYes, ok, kYes, 2, 2},
      {"worker failed, not idempotent", false,
       [](Rig& r) { r.Reply(0, kFailed); }, kYes, kBad, kYes, 1, 1},
      {"worker failed, idempotent, then no time", true,
       [](Rig& r) {
         r.Reply(0, kFailed);
         r.Pass(kDeadline);
       },
       kYes, kBad, kYes, 1, 1},
      {"refused by every worker", false,
       [](Rig& r) {
         for (std::size_t i = 0; i < 4; ++i) {
           r.Refuse(i, RefusalReason::kNoSlot);
         }
       },
       kNo, ErrorKind::kNoCapacity, kNo, 4, 4},
      {"refused, then no time", false,
       [](Rig& r) {
         r.rooms = 0;
         r.Refuse(0, RefusalReason::kLeaving);
         r.Pass(kDeadline);
       },
       kNo, kNoTime, kNo, 1, 1},
      {"one microsecond before the deadline", false,
       [](Rig& r) {
         r.Pass(kDeadline - Duration(1));
         REQUIRE(r.answers.empty());
         r.Reply(0, kFinished);
       },
       kYes, ok, kYes, 1, 1},
      {"clock steps far ahead", false,
       [](Rig& r) {
         r.Pass(kDeadline);
         r.Pass(minutes(11));
         r.Reply(0, kFinished);
       },
       kUnknown, kUnresolved, kUnknown, 1, 1},
      {"host stops while the request runs", false,
       [](Rig& r) {
         r.Do(r.table.RefuseWaiting(r.now));
         r.Reply(0, kFinished);
       },
       kYes, ok, kYes, 1, 1},
  };
}

// One row per fault: guards I4 (one answer, the own one), I5 (`no` only when
// proved) and I6 (not idempotent: sent again only when proved not started).
TEST_CASE("each fault leads to the one right answer") {
  for (const Row& row : Faults()) {
    INFO(row.fault);
    Rig rig;
    rig.idempotent = row.idempotent;
    REQUIRE(std::holds_alternative<Admitted>(rig.Begin("a")));
    row.steps(rig);
    REQUIRE(rig.answers.size() == 1);
    const CallerAnswer& told = rig.answers[0].answer;
    CHECK(told.was_run == row.told);
    CHECK(told.error == row.error);
    CHECK(rig.Known("a").was_run == row.known);
    CHECK(rig.sends.size() == row.sends);
    CHECK(rig.releases == row.releases);
    if (!told.error) CHECK(told.result.starts_with("result of e1/1/"));
  }
}

}  // namespace
}  // namespace gypsumfall::requests_testing
