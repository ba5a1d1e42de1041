#include "gypsumfall/entry/internal/task_service.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/contract_service.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/ownership_service.h"
#include "gypsumfall/entry/internal/worker_service.h"
#include "gypsumfall/ownership/ownership.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kBudgetInterval = seconds(1);

int UrgencyOf(UrgencyClass urgency) { return static_cast<int>(urgency); }

}  // namespace

TaskSpec SpecFor(const KindSpec& rule) {
  TaskSpec spec{.kind = rule.kind,
                .resources = rule.resources,
                .idempotent = rule.idempotent,
                .resumable = rule.resumable,
                .urgency = UrgencyOf(rule.urgency)};
  if (rule.shape == WorkShape::kTask) {
    spec.run_without_contact = rule.run_without_contact;
  }
  return spec;
}

TaskService::TaskService(const EntryContext& context)
    : context_(context),
      log_("tasks"),
      budget_(static_cast<double>(context.settings.tasks.write_budget)) {}

Result<void> TaskService::Start() {
  auto* ownership = context_.kernel.Find<OwnershipService>(kOwnershipService);
  ownership->on_gained = [this](int partition, Epoch epoch,
                                RowVersion version) {
    OnGained(partition, epoch, version);
  };
  ownership->on_lost = [this](int partition) { OnLost(partition); };
  ownership->on_prepare_release = [this, ownership](int partition) {
    const auto found = partitions_.find(partition);
    if (found == partitions_.end()) {
      ownership->ReadyToRelease(partition);
      return;
    }
    found->second->Quiesce(
        [ownership, partition] { ownership->ReadyToRelease(partition); });
  };
  ownership->on_confirmed = [this](Time confirmed_at) {
    for (const auto& [number, partition] : partitions_) {
      partition->OnHostLeaseRenewed(confirmed_at);
    }
  };
  context_.runtime.RunEvery(kTick, [this] {
    for (TaskPartition* partition : Running()) partition->Tick();
  });
  context_.runtime.RunEvery(kBudgetInterval, [this] { UpdateBudget(); });
  return {};
}

void TaskService::UpdateBudget() {
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  const auto live_hosts =
      members->membership().PreferredOwners(context_.Now()).size();
  const double rate =
      static_cast<double>(context_.settings.tasks.write_budget) /
      static_cast<double>(std::max<std::size_t>(live_hosts, 1));
  budget_.SetRate(rate);
}

void TaskService::OnGained(int partition, Epoch epoch, RowVersion version) {
  auto* ownership = context_.kernel.Find<OwnershipService>(kOwnershipService);
  OnLost(partition);
  log_.Info("task partition gained",
            {{"partition", partition}, {"epoch", epoch}});
  auto owned = std::make_unique<TaskPartition>(
      context_,
      TaskPartition::Options{.number = partition,
                             .epoch = epoch,
                             .row_version = version,
                             .incarnation = ownership->incarnation(),
                             .taken_over_at = context_.Now()},
      budget_);
  owned->Recover();
  partitions_[partition] = std::move(owned);
}

void TaskService::OnLost(int partition) {
  const auto found = partitions_.find(partition);
  if (found == partitions_.end()) return;
  log_.Info("task partition lost", {{"partition", partition}});
  // Destroyed from the event loop, because a callback of the partition may be
  // running now.
  std::shared_ptr<TaskPartition> lost = std::move(found->second);
  partitions_.erase(found);
  lost->Abandon();
  context_.runtime.Post([lost] {});
}

TaskPartition* TaskService::Find(const TaskKey& key) {
  const int number = PartitionOf(key.customer, context_.settings);
  const auto found = partitions_.find(number);
  const bool usable = found != partitions_.end() && found->second->running();
  return usable ? found->second.get() : nullptr;
}

std::vector<TaskPartition*> TaskService::Running() {
  std::vector<TaskPartition*> running;
  for (const auto& [number, partition] : partitions_) {
    if (partition->running()) running.push_back(partition.get());
  }
  return running;
}

Result<void> TaskService::Evict(const TaskKey& key) {
  TaskPartition* partition = Find(key);
  if (partition == nullptr) {
    return Fail(ErrorKind::kOwnerUnavailable, "the task is owned elsewhere");
  }
  return partition->Evict(key);
}

void TaskService::OnReports(int partition,
                            const WorkerAttemptReports& reports) {
  const auto found = partitions_.find(partition);
  if (found != partitions_.end() && found->second->running()) {
    found->second->OnReports(reports);
  }
}

void TaskService::SetLimits(const Contract& contract) {
  const TaskLimits limits{
      static_cast<std::size_t>(contract.ceiling.queued_tasks),
      static_cast<std::size_t>(contract.ceiling.running_tasks)};
  limits_[contract.customer] = limits;
  for (TaskPartition* partition : Running()) {
    partition->SetLimits(contract.customer, limits);
  }
}

TaskLimits TaskService::LimitsOf(const CustomerId& customer) const {
  const auto found = limits_.find(customer);
  return found == limits_.end() ? TaskLimits{.queued = 0, .running = 0}
                                : found->second;
}

std::string TaskService::Dump() const {
  std::string text;
  for (const auto& [number, partition] : partitions_) {
    text += "task partition " + std::to_string(number) + " epoch " +
            std::to_string(partition->epoch().value());
    if (!partition->running()) {
      text += ": recovering\n";
      continue;
    }
    const TaskCounts counts = partition->counts();
    text += ": tasks " + std::to_string(counts.tasks) + ", active " +
            std::to_string(counts.active) + ", results accepted " +
            std::to_string(counts.results_accepted) + ", records waiting " +
            std::to_string(partition->queued_records()) + "\n";
  }
  return text;
}

}  // namespace gypsumfall
