#ifndef GYPSUMFALL_ENTRY_INTERNAL_OWNERSHIP_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_OWNERSHIP_SERVICE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/ownership/ownership.h"

namespace gypsumfall {

/// Maintains this host's lease row in the table service and the ownership of
/// its task partitions.
class OwnershipService : public Service {
 public:
  explicit OwnershipService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService, kMembershipService};
  }
  Result<void> Start() override;
  /// Hands over all partitions, then ends the host row.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return the incarnation in the host row, 0 before this host first joins.
  Incarnation incarnation() const { return lease_.incarnation(); }
  bool joined() const { return lease_.joined(); }
  std::vector<OwnedPartition> OwnedPartitions() const;
  /// @return the last known owner of the partition, or nullopt if none is
  /// known.
  std::optional<EntryHostId> OwnerOf(int partition) const;

  void OnPeerPartition(const OwnedPartition& partition,
                       const EntryHostId& owner, Incarnation incarnation);
  /// Reports that a commit of the partition failed its version check, so that
  /// another host may have taken the partition over.
  void RefreshPartition(int partition);
  /// Reports that the partition's journal has stopped, as requested by
  /// `on_prepare_release`.
  void ReadyToRelease(int partition);

  std::function<void(int partition, Epoch epoch, RowVersion version)> on_gained;
  std::function<void(int partition)> on_lost;
  std::function<void(int partition)> on_prepare_release;
  /// Called when the table service has confirmed that this host held its host
  /// row at `confirmed_at`.
  std::function<void(Time confirmed_at)> on_confirmed;

 private:
  void Tick();
  void Perform(std::vector<HostLeaseAction> actions);
  void Perform(PartitionActions actions);
  void Transact(const TransactCall& call, bool is_lease);
  void FinishStopIfDone();

  EntryContext context_;
  Logger log_;
  HostLease lease_;
  TaskPartitions partitions_;
  std::optional<Time> confirmed_at_;
  std::function<void()> stopped_;
  bool host_row_ending_ = false;
  Time stop_deadline_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_OWNERSHIP_SERVICE_H_
