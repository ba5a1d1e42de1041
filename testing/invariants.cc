#include "testing/invariants.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall::testing {
namespace {

// Events of one task, aggregated.
struct TaskTrace {
  bool accepted = false;
  bool reported_not_run = false;
  std::set<std::string> reported_results;
  std::set<std::string> results;
  std::set<std::pair<WorkerId, AttemptNumber>> running;
  std::set<AttemptNumber> started;
  std::set<AttemptNumber> interrupted;
  int fresh_starts = 0;
  TaskState final_state = TaskState::kAccepting;
};

class Checker {
 public:
  void Process(const Event& event) {
    if (event.type == Event::Type::kRecoveryFailed) {
      Report("accepted task lost", event.text);
      return;
    }
    ProcessTaskEvent(event, traces_[event.task]);
  }

  std::vector<Violation> Finish(const std::vector<TaskRule>& rules) {
    for (const TaskRule& rule : rules) CheckTask(rule, traces_[rule.task]);
    return std::move(violations_);
  }

 private:
  void ProcessTaskEvent(const Event& event, TaskTrace& trace) {
    switch (event.type) {
      case Event::Type::kAccepted:
        trace.accepted = true;
        return;
      case Event::Type::kReportedNotRun:
        trace.reported_not_run = true;
        return;
      case Event::Type::kReportedDone:
        trace.reported_results.insert(event.text);
        return;
      case Event::Type::kStarted:
        ProcessStart(event, trace);
        return;
      case Event::Type::kInterrupted:
        trace.interrupted.insert(event.attempt);
        break;
      case Event::Type::kFinished:
        trace.results.insert(event.text);
        break;
      case Event::Type::kFailed:
        break;
      case Event::Type::kFinalState:
        trace.final_state = event.state;
        return;
      case Event::Type::kRecoveryFailed:
        return;
    }
    trace.running.erase({event.worker, event.attempt});
  }

  void ProcessStart(const Event& event, TaskTrace& trace) {
    const std::string name =
        event.task.task.str() + "#" + std::to_string(event.attempt.value());
    if (!trace.running.empty()) {
      Report("I2", name + " started while another attempt runs");
    }
    if (!trace.started.insert(event.attempt).second) {
      Report("I3", name + " started a second time");
    }
    if (event.text.empty()) ++trace.fresh_starts;
    trace.running.insert({event.worker, event.attempt});
  }

  void CheckTask(const TaskRule& rule, const TaskTrace& trace) {
    const std::string& name = rule.task.task.str();
    const bool ended = trace.final_state >= TaskState::kDone;
    if (trace.accepted && !ended) Report("accepted task lost", name);
    if (trace.reported_not_run && !trace.started.empty()) Report("I5", name);
    if (!rule.may_restart && trace.fresh_starts > 1) Report("I6", name);
    if (trace.reported_results.size() > 1) Report("one result", name);
    for (const std::string& result : trace.reported_results) {
      if (!trace.results.contains(result)) Report("one result", name);
    }
    // The last interrupted attempt must be followed by a later attempt unless
    // the task has ended.
    const bool resumed = trace.interrupted.empty() || ended ||
                         *trace.interrupted.rbegin() < *trace.started.rbegin();
    if (!resumed) Report("I3", name + " was interrupted and not resumed");
  }

  void Report(std::string invariant, std::string detail) {
    violations_.push_back({std::move(invariant), std::move(detail)});
  }

  std::map<TaskKey, TaskTrace> traces_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> CheckInvariants(const std::vector<TaskRule>& rules,
                                       const std::vector<Event>& history) {
  Checker checker;
  for (const Event& event : history) checker.Process(event);
  return checker.Finish(rules);
}

}  // namespace gypsumfall::testing
