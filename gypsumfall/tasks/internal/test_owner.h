#ifndef GYPSUMFALL_TASKS_INTERNAL_TEST_OWNER_H_
#define GYPSUMFALL_TASKS_INTERNAL_TEST_OWNER_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// Test fixture: a task table with an in-memory journal that stores records at
/// once unless `hold_records` is set. Grants every reservation on `worker`
/// unless `grant_reservations` is cleared.
struct TestOwner {
  TaskTable table;
  Time now = Time(seconds(1000));
  WorkerClockReading worker{WorkerId("w"), Incarnation(5),
                            WorkerTime(seconds(50))};
  std::vector<std::string> journal;
  bool hold_records = false;
  bool grant_reservations = true;
  std::vector<AppendRecord> held_records;
  TaskActions actions;

  explicit TestOwner(TaskTableOptions options = {.epoch = Epoch(1)})
      : table(options) {
    table.OnHostLeaseRenewed(now);
  }

  /// @return the actions of one type, oldest first.
  template <typename Action>
  std::vector<Action> ActionsOfType() const {
    std::vector<Action> found;
    for (const TaskAction& action : actions) {
      if (const auto* match = std::get_if<Action>(&action)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  void Perform(TaskActions new_actions) {
    for (TaskAction& action : new_actions) {
      if (auto* append = std::get_if<AppendRecord>(&action)) {
        held_records.push_back(*append);
      } else if (auto* request = std::get_if<RequestReservation>(&action)) {
        const AttemptId id = request->id;
        actions.push_back(std::move(action));
        if (grant_reservations) Perform(table.OnReservation(id, worker, now));
      } else {
        actions.push_back(std::move(action));
      }
    }
    if (!hold_records) StoreHeld();
  }

  /// Makes the held records durable.
  void StoreHeld() {
    for (const AppendRecord& record : std::exchange(held_records, {})) {
      journal.push_back(record.text);
      Perform(table.OnRecordDurable(record.record_id, now));
    }
  }

  /// Reports the held records as refused by the journal.
  void RefuseHeld() {
    for (const AppendRecord& record : std::exchange(held_records, {})) {
      Perform(table.OnRecordRefused(record.record_id, now,
                                    ErrorKind::kStoreUnavailable));
    }
  }

  /// Advances the clocks of the host and the worker, then runs `Tick`.
  void Advance(Duration duration) {
    now += duration;
    worker.clock += duration;
    Perform(table.Tick(now));
  }

  /// Continues as the next owner, which restores the state from the journal.
  void TakeOver(Duration after) {
    now += after;
    worker.clock += after;
    table = TaskTable({.epoch = Epoch(2)});
    held_records.clear();
    (void)table.Restore("", journal, now);
    table.OnHostLeaseRenewed(now);
    Perform(table.Tick(now));
  }

  void Submit(const std::string& id, const TaskSpec& spec) {
    Perform(
        table.Submit({CustomerId("c"), TaskId(id)}, spec, "payload", {}, now)
            .actions);
    Perform(table.Tick(now));
  }

  void Report(AttemptReport report, bool complete = false) {
    Perform(table.OnReports(worker, {std::move(report)}, complete, now));
  }
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_TEST_OWNER_H_
