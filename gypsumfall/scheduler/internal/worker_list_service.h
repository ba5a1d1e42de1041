#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_WORKER_LIST_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_WORKER_LIST_SERVICE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/row_loader.h"

namespace gypsumfall::scheduler_internal {

/// Receives changes of the worker list.
class WorkerListObserver {
 public:
  virtual ~WorkerListObserver() = default;
  /// Called when a worker is listed, and again whenever its entry has changed.
  virtual void OnListed(const WorkerEntry& entry) = 0;
  /// Called when a worker is no longer listed.
  virtual void OnUnlisted(const WorkerId& id) = 0;
};

/// Reads the worker list and watches it for changes while this host schedules.
class WorkerListService : public Service {
 public:
  explicit WorkerListService(Context& context);

  Result<void> Start() override { return {}; }
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Reads the list and watches it until the last observer has unsubscribed. An
  /// observer that is not the first receives the listed workers immediately.
  void Subscribe(WorkerListObserver& observer);
  void Unsubscribe(WorkerListObserver& observer);
  /// Reports all listed workers to the observer again.
  void Replay(WorkerListObserver& observer) const;

 private:
  void ReadAll();
  void AwaitChange();
  void RetryLater(StoreOutcome outcome);
  void ApplyAll(const LoadedRows& loaded);
  void Apply(const StoredRow& row);
  void MarkMissing(const WorkerId& id);
  void RemoveMissing();

  Context& context_;
  Logger log_{"worker-list"};
  Timer retry_;
  Timer read_timer_;
  Timer removal_timer_;
  /// Incremented whenever watching starts or stops; responses to calls of an
  /// earlier generation are ignored.
  std::uint64_t generation_ = 0;
  std::set<WorkerListObserver*> observers_;
  RowVersion read_version_;
  int failures_ = 0;
  Time last_failure_{};
  std::map<WorkerId, WorkerEntry> listed_workers_;
  /// Listed workers whose entry is missing, and the time at which they are
  /// removed.
  std::map<WorkerId, Time> removal_times_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_WORKER_LIST_SERVICE_H_
