#ifndef GYPSUMFALL_ENTRY_INTERNAL_TASK_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_TASK_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/contract/contract.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/task_partition.h"
#include "gypsumfall/journal/journal.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// Manages the task partitions that this host owns.
class TaskService : public Service {
 public:
  explicit TaskService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kOwnershipService, kWorkerService, kContractService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

  /// @return the partition of the task if it is owned and recovered here, else
  ///     null.
  TaskPartition* Find(const TaskKey& key);
  /// @return the partitions that are owned and recovered here.
  std::vector<TaskPartition*> Running();
  /// Stops the running attempt of a task at its last checkpoint and requeues
  /// the task.
  /// @return `kOwnerUnavailable` if the task is not owned here.
  Result<void> Evict(const TaskKey& key);

  /// Processes attempt reports from the entry host that owns the worker.
  void OnReports(int partition, const WorkerAttemptReports& reports);
  /// Applies the task limits of a contract.
  void SetLimits(const Contract& contract);
  /// @return the limits of a customer's tasks in one partition.
  TaskLimits LimitsOf(const CustomerId& customer) const;

 private:
  void OnGained(int partition, Epoch epoch, RowVersion version);
  void OnLost(int partition);
  /// Sets this host's share of the write budget, which live hosts share
  /// equally.
  void UpdateBudget();

  EntryContext context_;
  Logger log_;
  WriteBudget budget_;
  std::map<int, std::unique_ptr<TaskPartition>> partitions_;
  std::map<CustomerId, TaskLimits> limits_;
};

/// @return the task parameters that the contract sets for this kind.
TaskSpec SpecFor(const KindSpec& rule);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_TASK_SERVICE_H_
