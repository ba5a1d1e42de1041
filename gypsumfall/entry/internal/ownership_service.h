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

/// Keeps this host's lease row and its task partitions.
class OwnershipService : public Service {
 public:
  explicit OwnershipService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService, kMembershipService};
  }
  Result<void> Start() override;
  /// Hands all partitions over and ends the host row.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return the incarnation of the host row, 0 before the first join.
  Incarnation incarnation() const { return lease_.incarnation(); }
  bool joined() const { return lease_.joined(); }
  std::vector<OwnedPartition> OwnedPartitions() const;
  /// @return the host that owns the partition as far as is known.
  std::optional<EntryHostId> OwnerOf(int partition) const;

  void OnPeerPartition(const OwnedPartition& partition,
                       const EntryHostId& owner, Incarnation incarnation);
  /// A commit of the partition failed its check.
  void SuspectPartition(int partition);
  /// The partition's journal has stopped, as `on_prepare_release` asked.
  void ReadyToRelease(int partition);

  std::function<void(int partition, Epoch epoch, RowVersion version)> on_gained;
  std::function<void(int partition)> on_lost;
  std::function<void(int partition)> on_prepare_release;
  /// The host row was certainly ours at `confirmed_at`.
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
  bool ending_ = false;
  Time stop_deadline_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_OWNERSHIP_SERVICE_H_
