#include "testing/invariants.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall::testing {
namespace {

// What the history says about one task.
struct Seen {
  bool accepted = false;
  bool told_not_run = false;
  std::set<std::string> told_results;
  std::set<std::string> results;
  std::set<std::pair<WorkerId, AttemptNumber>> running;
  std::set<AttemptNumber> started;
  std::set<AttemptNumber> interrupted;
  int fresh_starts = 0;
  TaskState last = TaskState::kAccepting;
};

class Checker {
 public:
  void Take(const Event& event) {
    if (event.type == Event::Type::kRecoveryFailed) {
      Report("accepted task lost", event.text);
      return;
    }
    TakeTaskEvent(event, seen_[event.task]);
  }

  std::vector<Violation> Finish(const std::vector<TaskRule>& rules) {
    for (const TaskRule& rule : rules) Judge(rule, seen_[rule.task]);
    return std::move(violations_);
  }

 private:
  void TakeTaskEvent(const Event& event, Seen& seen) {
    switch (event.type) {
      case Event::Type::kAccepted:
        seen.accepted = true;
        return;
      case Event::Type::kToldNotRun:
        seen.told_not_run = true;
        return;
      case Event::Type::kToldDone:
        seen.told_results.insert(event.text);
        return;
      case Event::Type::kStarted:
        TakeStart(event, seen);
        return;
      case Event::Type::kInterrupted:
        seen.interrupted.insert(event.attempt);
        break;
      case Event::Type::kFinished:
        seen.results.insert(event.text);
        break;
      case Event::Type::kFailed:
        break;
      case Event::Type::kFinal:
        seen.last = event.state;
        return;
      case Event::Type::kRecoveryFailed:
        return;
    }
    seen.running.erase({event.worker, event.attempt});
  }

  void TakeStart(const Event& event, Seen& seen) {
    const std::string name =
        event.task.task.str() + "#" + std::to_string(event.attempt.value());
    if (!seen.running.empty()) {
      Report("I2", name + " started while another attempt runs");
    }
    if (!seen.started.insert(event.attempt).second) {
      Report("I3", name + " started a second time");
    }
    if (event.text.empty()) ++seen.fresh_starts;
    seen.running.insert({event.worker, event.attempt});
  }

  void Judge(const TaskRule& rule, const Seen& seen) {
    const std::string& name = rule.task.task.str();
    const bool ended = seen.last >= TaskState::kDone;
    if (seen.accepted && !ended) Report("accepted task lost", name);
    if (seen.told_not_run && !seen.started.empty()) Report("I5", name);
    if (!rule.may_repeat && seen.fresh_starts > 1) Report("I6", name);
    if (seen.told_results.size() > 1) Report("one result", name);
    for (const std::string& result : seen.told_results) {
      if (!seen.results.contains(result)) Report("one result", name);
    }
    // Work that was interrupted last was not resumed, unless its task ended
    // otherwise.
    const bool resumed = seen.interrupted.empty() || ended ||
                         *seen.interrupted.rbegin() < *seen.started.rbegin();
    if (!resumed) Report("I3", name + " was interrupted and not resumed");
  }

  void Report(std::string invariant, std::string detail) {
    violations_.push_back({std::move(invariant), std::move(detail)});
  }

  std::map<TaskKey, Seen> seen_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> CheckInvariants(const std::vector<TaskRule>& rules,
                                       const std::vector<Event>& history) {
  Checker checker;
  for (const Event& event : history) checker.Take(event);
  return checker.Finish(rules);
}

}  // namespace gypsumfall::testing
