#include "gypsumfall/entry/internal/ownership_service.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/store_service.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(100);
// A stop waits no longer than this for an unreachable table service; the rows
// then expire instead of being handed over.
constexpr Duration kHandOverTimeout = seconds(10);

TaskPartitionsSettings PartitionSettings(const EntrySettings& settings) {
  TaskPartitionsSettings result;
  result.self = settings.host.id;
  result.partitions = static_cast<int>(settings.tasks.partitions);
  return result;
}

}  // namespace

OwnershipService::OwnershipService(const EntryContext& context)
    : context_(context),
      log_("ownership"),
      lease_({context.self(), context.settings.host.data_centre,
              context.settings.host.listen.ToString()},
             {}),
      partitions_(PartitionSettings(context.settings)) {}

Result<void> OwnershipService::Start() {
  context_.runtime.RunEvery(kTick, [this] { Tick(); });
  Tick();
  return {};
}

void OwnershipService::Tick() {
  const Time now = context_.Now();
  Perform(lease_.Tick(now));
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  Perform(partitions_.Tick(members->membership().PreferredOwners(now), now));
  if (lease_.ConfirmedAt() != confirmed_at_) {
    confirmed_at_ = lease_.ConfirmedAt();
    if (confirmed_at_ && on_confirmed) on_confirmed(*confirmed_at_);
  }
  FinishStopIfDone();
}

void OwnershipService::Perform(std::vector<HostLeaseAction> actions) {
  const Time now = context_.Now();
  for (HostLeaseAction& action : actions) {
    if (auto* send = std::get_if<OwnershipTransact>(&action)) {
      Transact(send->call, true);
    } else if (auto* gained = std::get_if<LeaseGained>(&action)) {
      log_.Info("joined", {{"incarnation", gained->incarnation}});
      Perform(partitions_.OnLeaseGained(gained->incarnation, now));
    } else if (auto* lost = std::get_if<LeaseLost>(&action)) {
      log_.Warning("lost the host lease; rejoining",
                   {{"incarnation", lost->incarnation}});
      Perform(partitions_.OnLeaseLost(now));
    } else if (stopped_) {
      std::exchange(stopped_, nullptr)();
    }
  }
}

void OwnershipService::Transact(const TransactCall& call, bool is_lease) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Transact(call, [this, is_lease, token = call.token](
                                    PlatformResult<TransactReply> answer) {
    const Result<TransactReply> reply = ToResult(std::move(answer));
    const Time now = context_.Now();
    if (is_lease) {
      Perform(lease_.OnTransacted(token, reply, now));
    } else {
      Perform(partitions_.OnTransacted(token, reply, now));
    }
  });
}

void OwnershipService::Perform(PartitionActions actions) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  const auto on_rows = [this](const std::string& token) {
    return [this, token](PlatformResult<RowsReply> answer) {
      Perform(partitions_.OnRows(token, ToResult(std::move(answer)),
                                 context_.Now()));
    };
  };
  for (PartitionAction& action : actions) {
    if (auto* send = std::get_if<OwnershipTransact>(&action)) {
      Transact(send->call, false);
    } else if (auto* read = std::get_if<OwnershipRead>(&action)) {
      store->table().Read(read->call, on_rows(read->token));
    } else if (auto* scan = std::get_if<OwnershipScan>(&action)) {
      store->table().Scan(scan->call, on_rows(scan->token));
    } else if (auto* gained = std::get_if<OwnershipGained>(&action)) {
      on_gained(TaskPartitionNumber(gained->partition), gained->epoch,
                gained->version);
    } else if (auto* lost = std::get_if<OwnershipLost>(&action)) {
      on_lost(TaskPartitionNumber(lost->partition));
    } else if (auto* release = std::get_if<PrepareRelease>(&action)) {
      on_prepare_release(TaskPartitionNumber(release->partition));
    } else if (auto* expired = std::get_if<HostLeaseExpired>(&action)) {
      members->membership().OnHostLeaseExpired(
          expired->host, expired->incarnation, context_.Now());
    }
  }
}

std::vector<OwnedPartition> OwnershipService::OwnedPartitions() const {
  std::vector<OwnedPartition> owned;
  for (const PartitionId& id : partitions_.Owned()) {
    const std::optional<PartitionView> view = partitions_.Find(id);
    if (view) owned.push_back({TaskPartitionNumber(id), view->row.epoch});
  }
  return owned;
}

std::optional<EntryHostId> OwnershipService::OwnerOf(int partition) const {
  const auto view = partitions_.Find(TaskPartitionId(partition));
  if (!view) return std::nullopt;
  return view->row.owner;
}

void OwnershipService::OnPeerPartition(const OwnedPartition& partition,
                                       const EntryHostId& owner,
                                       Incarnation incarnation) {
  partitions_.OnPeerPartition(
      TaskPartitionId(static_cast<int>(partition.number)),
      {owner, incarnation, partition.epoch});
}

void OwnershipService::RefreshPartition(int partition) {
  partitions_.RefreshPartition(TaskPartitionId(partition));
}

void OwnershipService::ReadyToRelease(int partition) {
  partitions_.ReadyToRelease(TaskPartitionId(partition));
}

void OwnershipService::Stop(std::function<void()> stopped) {
  stopped_ = std::move(stopped);
  stop_deadline_ = context_.Now() + kHandOverTimeout;
  lease_.Leave();
  partitions_.Stop();
}

void OwnershipService::FinishStopIfDone() {
  if (!stopped_) return;
  if (partitions_.Stopped() && !host_row_ending_) {
    host_row_ending_ = true;
    lease_.Release();
  }
  if (context_.Now() < stop_deadline_) return;
  log_.Warning("the table service did not confirm the hand-over in time");
  std::exchange(stopped_, nullptr)();
}

std::string OwnershipService::Dump() const {
  std::string text = "incarnation " +
                     std::to_string(lease_.incarnation().value()) +
                     (lease_.joined() ? ", joined\n" : ", not joined\n");
  for (const OwnedPartition& partition : OwnedPartitions()) {
    text += "owns task partition " + std::to_string(partition.number) +
            " at epoch " + std::to_string(partition.epoch.value()) + "\n";
  }
  return text;
}

}  // namespace gypsumfall
