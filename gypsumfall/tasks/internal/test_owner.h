#ifndef GYPSUMFALL_TASKS_INTERNAL_TEST_OWNER_H_
#define GYPSUMFALL_TASKS_INTERNAL_TEST_OWNER_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// A task table with a journal that stores at once, for tests. Grants every
/// reservation on the worker `worker`.
struct TestOwner {
  TaskTable table;
  Time now = Time(seconds(1000));
  WorkerReading worker{WorkerId("w"), Incarnation(5), WorkerTime(seconds(50))};
  std::vector<std::string> journal;
  bool hold = false;
  bool grant = true;
  std::vector<AppendRecord> held;
  TaskActions actions;

  explicit TestOwner(TaskTableOptions options = {.epoch = Epoch(1)})
      : table(options) {
    table.OnAuthorityConfirmed(now);
  }

  /// @return the actions of one type, oldest first.
  template <typename Action>
  std::vector<Action> All() const {
    std::vector<Action> found;
    for (const TaskAction& action : actions) {
      if (const auto* match = std::get_if<Action>(&action)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  void Take(TaskActions taken) {
    for (TaskAction& action : taken) {
      if (auto* append = std::get_if<AppendRecord>(&action)) {
        held.push_back(*append);
      } else if (auto* request = std::get_if<RequestReservation>(&action)) {
        const AttemptId id = request->id;
        actions.push_back(std::move(action));
        if (grant) Take(table.OnReservation(id, worker, now));
      } else {
        actions.push_back(std::move(action));
      }
    }
    if (!hold) Store();
  }

  /// Makes the held records durable.
  void Store() {
    for (const AppendRecord& record : std::exchange(held, {})) {
      journal.push_back(record.text);
      Take(table.OnDurable(record.ticket, now));
    }
  }

  /// Refuses the held records.
  void Refuse() {
    for (const AppendRecord& record : std::exchange(held, {})) {
      Take(table.OnRefused(record.ticket, now, ErrorKind::kStoreUnavailable));
    }
  }

  /// Lets time pass on this host and on the worker alike.
  void Advance(Duration duration) {
    now += duration;
    worker.clock += duration;
    Take(table.Tick(now));
  }

  /// Continues as the next owner, which recovers the journal.
  void TakeOver(Duration after) {
    now += after;
    worker.clock += after;
    table = TaskTable({.epoch = Epoch(2)});
    held.clear();
    (void)table.Restore("", journal, now);
    table.OnAuthorityConfirmed(now);
    Take(table.Tick(now));
  }

  void Submit(const std::string& id, const TaskSpec& spec) {
    Take(table.Submit({CustomerId("c"), TaskId(id)}, spec, "payload", {}, now)
             .actions);
    Take(table.Tick(now));
  }

  void Report(AttemptReport report, bool complete = false) {
    Take(table.OnReports(worker, {std::move(report)}, complete, now));
  }
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_TEST_OWNER_H_
