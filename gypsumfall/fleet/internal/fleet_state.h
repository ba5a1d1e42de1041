#ifndef GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_
#define GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/capacity_index.h"
#include "gypsumfall/fleet/internal/fleet_types.h"
#include "gypsumfall/fleet/internal/placement_policy.h"
#include "gypsumfall/fleet/internal/worker_record.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// The part of `BasicFleet` that does not depend on the placement policy:
/// ownership, ledgers and health of workers. Does no input or output itself:
/// returns the calls to send and receives their replies.
class FleetState {
 public:
  explicit FleetState(FleetSettings settings);
  FleetState(const FleetState&) = delete;
  FleetState& operator=(const FleetState&) = delete;

  /// Applies the platform's host list. Workers that are no longer listed get no
  /// new work, and are given up once they stop responding.
  FleetActions OnHostList(std::span<const ListedHost> hosts, Time now);
  /// Applies a change of the entry hosts: decides which workers this host
  /// attaches and which it leaves to other hosts.
  void SetHosts(FleetHosts hosts, Time now);
  /// @return the calls that are due: attaches, heartbeats and queries for
  ///     unknown outcomes.
  FleetActions Tick(Time now);

  /// @param reply the reply, or an error if the call failed or was lost.
  /// @param sent_at when the call was sent.
  FleetActions OnAttachAnswer(const WorkerId& worker, const AttachCall& call,
                              const Result<AttachReply>& reply, Time sent_at,
                              Time now);
  FleetActions OnHeartbeatAnswer(const WorkerId& worker,
                                 const WorkerHeartbeatCall& call,
                                 const Result<WorkerHeartbeatReply>& reply,
                                 Time sent_at, Time now);

  /// Applies the reply to a request. After an error, the capacity stays
  /// committed until the worker has reported the outcome of the exchange.
  void OnRequestAnswer(const WorkerId& worker, const ExchangeId& exchange,
                       const Result<RequestReply>& reply, Time now);
  /// Applies the reply to a `SendResolve` or to another cancel of the exchange.
  /// A refused cancel does not reveal the outcome of the exchange.
  void OnResolveAnswer(const WorkerId& worker, const ExchangeId& exchange,
                       const Result<RequestReply>& reply, Time now);
  /// Releases the capacity of a request that was placed but certainly not sent.
  void AbandonRequest(const WorkerId& worker, const ExchangeId& exchange);

  /// Converts a reservation into a start command that is about to be sent.
  /// @return where to send it and with which header, or `kNoCapacity` if the
  ///     reservation has expired or the worker accepts no new work now.
  Result<Placement> StartAttempt(const AttemptId& attempt, Time now);
  /// @param sent what `StartAttempt` returned for the call that is answered.
  void OnStartAnswer(const AttemptId& attempt, const Placement& sent,
                     const Result<StartAttemptReply>& reply, Time now);
  /// Cancels a reservation whose attempt was not started.
  void AbandonAttempt(const AttemptId& attempt);
  FleetActions OnStopAnswer(const AttemptId& attempt,
                            const Result<StopAttemptReply>& reply, Time now);

  /// Queues a lease renewal for the worker's next heartbeat.
  /// @return false if the attempt is not on an owned worker.
  bool Renew(const LeaseRenewal& renewal);
  /// Acknowledges an ended attempt with the worker's next heartbeat, so that
  /// the worker discards it.
  /// @return false if the attempt is not on an owned worker.
  bool Acknowledge(const AttemptId& attempt);

  /// For stop commands, which are allowed on leaving workers too.
  /// @return address and header of a command that is sent now; nullopt if the
  ///     worker is not owned.
  std::optional<Placement> Header(const WorkerId& worker, Time now) const;
  /// @return the owned worker that has the attempt or its reservation.
  std::optional<WorkerId> WorkerOf(const AttemptId& attempt) const;
  /// @return the earliest time that the worker's clock can show now.
  std::optional<WorkerTime> EarliestClock(const WorkerId& worker,
                                          Time now) const;

  /// Releases a rack on request of a peer, if the peer is the preferred owner.
  FleetActions OnRackReleaseRequested(const RackId& rack,
                                      const EntryHostId& by);
  /// Releases all workers and attaches no further ones (graceful shutdown).
  FleetActions ReleaseAll();
  /// Records that a peer has released a rack on request.
  void OnRackReleased(const RackId& rack, const EntryHostId& by, Time now);

  /// @return why the work does not fit on any listed host even if the host is
  ///     empty, or nullopt if it fits.
  std::optional<NeverFitsReason> NeverFits(const WorkSpec& work) const;
  /// @return spare slots for requests, summed over all usable owned workers.
  int SpareSlots() const;
  /// @return racks with at least one owned worker, sorted.
  std::vector<RackId> OwnedRacks() const;
  std::optional<WorkerSnapshot> Snapshot(const WorkerId& worker) const;

 protected:
  using WorkerIndex = std::uint32_t;
  static constexpr WorkerIndex kNoWorker = ~WorkerIndex{0};

  /// @return up to `samples` usable workers with sufficient capacity, chosen at
  ///     random; or one unhealthy worker whose probe is due.
  std::span<const WorkerIndex> Candidates(const WorkSpec& work, bool urgent,
                                          const PlacementExclusions& avoid,
                                          int samples, Time now);
  Candidate MakeCandidate(WorkerIndex worker, const PlacementExclusions& avoid,
                          bool urgent) const;
  std::optional<Placement> CommitRequest(const ExchangeId& exchange,
                                         const WorkSpec& work,
                                         WorkerIndex worker, Time now);
  std::optional<Placement> CommitReservation(const AttemptId& attempt,
                                             const WorkSpec& work,
                                             WorkerIndex worker, Time now);
  std::optional<Placement> FindReservation(const AttemptId& attempt, Time now);

 private:
  struct Reservation {
    Time expires_at;
    AttemptId attempt;
  };
  /// The fields of one worker that a placement reads. Kept apart from the
  /// record, so that candidates of a large fleet stay in the CPU caches.
  struct PlacementView {
    Resources capacity;
    Resources committed;
    MilliCores load;
    int slots = 0;
    int spare_request_slots = 0;
    int spare_attempt_slots = 0;
    /// The worker gets no new work from this time on.
    Time accepts_work_until;
  };
  struct AttemptHash {
    std::size_t operator()(const AttemptId& id) const noexcept;
  };
  /// A distinct capacity among the listed hosts, with a few of these hosts.
  struct HostType {
    Resources capacity;
    std::vector<WorkerId> hosts;
  };

  // Ownership (fleet_state.cc).
  void AddToRack(WorkerIndex index);
  void RefreshShouldOwn(Time now);
  void ChooseOwners(Time now);
  bool ShouldOwn(const RackId& id, RackRecord& rack, Time now) const;
  void TryAttach(WorkerIndex index, Time now, FleetActions& out);
  bool DeferToOwner(WorkerRecord& worker, Time now, FleetActions& out);
  void BackOff(WorkerRecord& worker, Time now) const;
  bool OwnerStillHolds(const WorkerRecord& worker, Time now) const;
  void MaintainOwned(WorkerIndex index, Time now, FleetActions& out);
  void SendHeartbeat(WorkerRecord& worker, Time now, FleetActions& out);
  void SendResolves(WorkerRecord& worker, Time now, FleetActions& out);
  void LoseOwnership(WorkerIndex index, OwnershipLossReason reason,
                     FleetActions& out);
  void ClearLedger(WorkerIndex index);
  void ExpireReservations(Time now);
  CommandHeader HeaderFor(const WorkerRecord& worker, Time now) const;
  Placement PlacementOn(const WorkerRecord& worker, Time now) const;

  // Replies of workers (fleet_replies.cc).
  void Adopt(WorkerIndex index, const AttachReply& reply, Time sent_at,
             Time now);
  void OnAttachRefused(WorkerRecord& worker, const AttachReply& reply,
                       Time now);
  void TakeAttempts(WorkerIndex index, const WorkerHeartbeatReply& reply,
                    Time sent_at, Time now, FleetActions& out);
  void ApplyAttemptReport(WorkerIndex index, const AttemptReport& report,
                          Time now, FleetActions& out);
  void RemoveUnreported(WorkerIndex index, const WorkerHeartbeatReply& reply,
                        Time sent_at, FleetActions& out);
  void OnWorkerRestarted(WorkerIndex index, Time now, FleetActions& out);
  void AddReportedAttempt(WorkerIndex index, const AttemptReport& report,
                          Time now);
  static void RequeueHeartbeat(WorkerRecord& worker,
                               const WorkerHeartbeatCall& call);
  static void ApplyUsage(WorkerRecord& worker,
                         const std::vector<UsageReport>& usage,
                         FleetActions& out);
  void EraseAttempt(WorkerIndex index, const AttemptId& attempt);

  // Placement and outcomes of work (fleet_placement.cc).
  bool AcceptsWork(const WorkerRecord& worker, Time now) const;
  bool Fits(WorkerIndex index, const WorkSpec& work, bool urgent,
            const PlacementExclusions& avoid, Time now) const;
  Time AcceptsWorkUntil(const WorkerRecord& worker) const;
  WorkerIndex FindDueProbe(const WorkSpec& work, bool urgent,
                           const PlacementExclusions& avoid, Time now) const;
  static WorkerTime EstimateClock(const WorkerRecord& worker, Time now);
  void RecordProbe(WorkerRecord& worker, Time now) const;
  void RecordOutcome(WorkerIndex index, const WorkSpec& work, bool failed,
                     Time now);
  void UpdateIndexes(WorkerIndex index);
  void EndExchange(WorkerIndex index, const ExchangeId& exchange,
                   ExchangeState state, Time now);
  void UpdateHostTypes();
  WorkerIndex IndexOf(const WorkerId& worker) const;
  std::size_t RandomBelow(std::size_t below);
  WorkerHealth::Limits HealthLimits() const;

  FleetSettings settings_;
  FleetHosts hosts_;
  /// Racks that present peers report to own.
  std::unordered_set<RackId> peer_racks_;
  bool stopping_ = false;
  std::vector<WorkerRecord> workers_;
  std::vector<PlacementView> placement_views_;
  std::unordered_map<WorkerId, WorkerIndex> index_by_id_;
  std::map<RackId, RackRecord> racks_;
  std::unordered_map<AttemptId, WorkerIndex, AttemptHash> worker_by_attempt_;
  std::deque<Reservation> reservations_;
  std::vector<WorkerIndex> unhealthy_;
  std::vector<HostType> host_types_;
  CapacityIndex request_index_;
  CapacityIndex attempt_index_;
  std::vector<WorkerIndex> candidates_;
  std::uint64_t random_state_;
  Time next_ownership_refresh_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_
