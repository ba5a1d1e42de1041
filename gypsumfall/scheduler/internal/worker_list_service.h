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

/// Learns of changes of the worker list.
class WorkerListFollower {
 public:
  virtual ~WorkerListFollower() = default;
  /// The worker is listed; again whenever its entry has changed.
  virtual void OnListed(const WorkerEntry& entry) = 0;
  virtual void OnUnlisted(const WorkerId& id) = 0;
};

/// Follows the worker list while this host schedules.
class WorkerListService : public Service {
 public:
  explicit WorkerListService(Context& context);

  Result<void> Start() override { return {}; }
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Reads the list and follows it until the last follower has left. A
  /// follower that is not the first learns at once what is listed.
  void Follow(WorkerListFollower& follower);
  void Unfollow(WorkerListFollower& follower);
  /// Tells the follower again what is listed.
  void Replay(WorkerListFollower& follower) const;

 private:
  void ReadAll();
  void AwaitChange();
  void RetryLater(StoreOutcome outcome);
  void ApplyAll(const LoadedRows& loaded);
  void Apply(const StoredRow& row);
  void MissLater(const WorkerId& id);
  void DropMissing();

  Context& context_;
  Logger log_{"worker-list"};
  Timer retry_;
  Timer next_read_;
  Timer drop_;
  /// Grows with each start and end of following; answers of an earlier turn
  /// are ignored.
  std::uint64_t turn_ = 0;
  std::set<WorkerListFollower*> followers_;
  RowVersion followed_;
  int failures_ = 0;
  Time last_failure_{};
  std::map<WorkerId, WorkerEntry> listed_;
  /// Workers whose entry is missing, and when that is taken as final.
  std::map<WorkerId, Time> missing_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_WORKER_LIST_SERVICE_H_
