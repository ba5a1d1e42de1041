#include "testing/invariants.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace gypsumfall::testing {
namespace {

using Type = Event::Type;

Event MakeEvent(Type type, std::uint32_t attempt = 1,
                const std::string& text = "", const std::string& worker = "w") {
  return {type,
          {CustomerId("c"), TaskId("t")},
          AttemptNumber(attempt),
          WorkerId(worker),
          text};
}

Event MakeFinalEvent(TaskState state) {
  Event event = MakeEvent(Type::kFinalState);
  event.state = state;
  return event;
}

struct HistoryCase {
  std::string name;
  std::vector<Event> history;
  // The violated invariant; empty if none.
  std::string violated;
};

// Guards against a checker that misses one kind of violation.
TEST_CASE("each violated invariant is reported") {
  const Event accepted = MakeEvent(Type::kAccepted);
  const Event done = MakeFinalEvent(TaskState::kDone);
  const Event failed = MakeFinalEvent(TaskState::kFailed);
  const std::vector<HistoryCase> cases = {
      {"resumed and done",
       {accepted, MakeEvent(Type::kStarted), MakeEvent(Type::kInterrupted),
        MakeEvent(Type::kStarted, 2, "cp"), MakeEvent(Type::kFinished, 2, "r"),
        MakeEvent(Type::kReportedDone, 2, "r"), done},
       ""},
      {"never run", {accepted, MakeEvent(Type::kReportedNotRun), failed}, ""},
      {"two at once",
       {MakeEvent(Type::kStarted), MakeEvent(Type::kStarted, 2, "cp", "v"),
        done},
       "I2"},
      {"resumed twice",
       {MakeEvent(Type::kStarted), MakeEvent(Type::kInterrupted),
        MakeEvent(Type::kStarted, 1, "cp"), done},
       "I3"},
      {"not resumed",
       {MakeEvent(Type::kStarted), MakeEvent(Type::kInterrupted)},
       "I3"},
      {"run after refusal",
       {MakeEvent(Type::kReportedNotRun), MakeEvent(Type::kStarted), done},
       "I5"},
      {"refused after run",
       {MakeEvent(Type::kStarted), MakeEvent(Type::kReportedNotRun), done},
       "I5"},
      {"repeated",
       {MakeEvent(Type::kStarted), MakeEvent(Type::kFailed),
        MakeEvent(Type::kStarted, 2), done},
       "I6"},
      {"two results",
       {MakeEvent(Type::kStarted), MakeEvent(Type::kFinished, 1, "a"),
        MakeEvent(Type::kFinished, 1, "b"),
        MakeEvent(Type::kReportedDone, 1, "a"),
        MakeEvent(Type::kReportedDone, 1, "b"), done},
       "one result"},
      {"result of no attempt",
       {MakeEvent(Type::kReportedDone, 1, "a"), done},
       "one result"},
      {"unknown at the end", {accepted}, "accepted task lost"},
      {"never ends",
       {accepted, MakeFinalEvent(TaskState::kQueued)},
       "accepted task lost"},
      {"not recoverable",
       {MakeEvent(Type::kRecoveryFailed)},
       "accepted task lost"},
  };
  const std::vector<TaskRule> rules = {{accepted.task, false}};
  for (const HistoryCase& test : cases) {
    INFO(test.name);
    const auto violations = CheckInvariants(rules, test.history);
    REQUIRE(violations.size() == (test.violated.empty() ? 0 : 1));
    if (!violations.empty()) CHECK(violations[0].invariant == test.violated);
  }
}

}  // namespace
}  // namespace gypsumfall::testing
