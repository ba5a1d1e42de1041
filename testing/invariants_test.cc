#include "testing/invariants.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace gypsumfall::testing {
namespace {

using Type = Event::Type;

Event Of(Type type, std::uint32_t attempt = 1, const std::string& text = "",
         const std::string& worker = "w") {
  return {type,
          {CustomerId("c"), TaskId("t")},
          AttemptNumber(attempt),
          WorkerId(worker),
          text};
}

Event Final(TaskState state) {
  Event event = Of(Type::kFinal);
  event.state = state;
  return event;
}

struct HistoryCase {
  std::string name;
  std::vector<Event> history;
  // The invariant that is broken; empty if none.
  std::string broken;
};

// Guards against a checker that overlooks one kind of violation.
TEST_CASE("each broken invariant is named") {
  const Event accepted = Of(Type::kAccepted);
  const Event done = Final(TaskState::kDone);
  const Event failed = Final(TaskState::kFailed);
  const std::vector<HistoryCase> cases = {
      {"resumed and done",
       {accepted, Of(Type::kStarted), Of(Type::kInterrupted),
        Of(Type::kStarted, 2, "cp"), Of(Type::kFinished, 2, "r"),
        Of(Type::kToldDone, 2, "r"), done},
       ""},
      {"never run", {accepted, Of(Type::kToldNotRun), failed}, ""},
      {"two at once",
       {Of(Type::kStarted), Of(Type::kStarted, 2, "cp", "v"), done},
       "I2"},
      {"resumed twice",
       {Of(Type::kStarted), Of(Type::kInterrupted), Of(Type::kStarted, 1, "cp"),
        done},
       "I3"},
      {"not resumed", {Of(Type::kStarted), Of(Type::kInterrupted)}, "I3"},
      {"run after refusal",
       {Of(Type::kToldNotRun), Of(Type::kStarted), done},
       "I5"},
      {"refused after run",
       {Of(Type::kStarted), Of(Type::kToldNotRun), done},
       "I5"},
      {"repeated",
       {Of(Type::kStarted), Of(Type::kFailed), Of(Type::kStarted, 2), done},
       "I6"},
      {"two results",
       {Of(Type::kStarted), Of(Type::kFinished, 1, "a"),
        Of(Type::kFinished, 1, "b"), Of(Type::kToldDone, 1, "a"),
        Of(Type::kToldDone, 1, "b"), done},
       "one result"},
      {"result of no attempt",
       {Of(Type::kToldDone, 1, "a"), done},
       "one result"},
      {"unknown at the end", {accepted}, "accepted task lost"},
      {"never ends",
       {accepted, Final(TaskState::kQueued)},
       "accepted task lost"},
      {"not recoverable", {Of(Type::kRecoveryFailed)}, "accepted task lost"},
  };
  const std::vector<TaskRule> rules = {{accepted.task, false}};
  for (const HistoryCase& row : cases) {
    INFO(row.name);
    const auto violations = CheckInvariants(rules, row.history);
    REQUIRE(violations.size() == (row.broken.empty() ? 0 : 1));
    if (!violations.empty()) CHECK(violations[0].invariant == row.broken);
  }
}

}  // namespace
}  // namespace gypsumfall::testing
