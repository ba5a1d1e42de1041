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

/// Everything about owned workers that does not depend on the policy.
class FleetState {
 public:
  explicit FleetState(FleetSettings settings);
  FleetState(const FleetState&) = delete;
  FleetState& operator=(const FleetState&) = delete;

  /// Takes the platform's list; workers that are no longer listed are lost.
  FleetActions OnHostList(std::span<const ListedHost> hosts, Time now);
  /// Takes the entry hosts after a change; decides which workers to attach and
  /// which to leave to others.
  void SetHosts(FleetHosts hosts, Time now);
  /// @return calls that are due: attaches, heartbeats, look-ups.
  FleetActions Tick(Time now);

  /// @param reply the answer, or an error if the call failed or was lost.
  /// @param sent_at when the call was sent.
  FleetActions OnAttachAnswer(const WorkerId& worker, const AttachCall& call,
                              const Result<AttachReply>& reply, Time sent_at,
                              Time now);
  FleetActions OnHeartbeatAnswer(const WorkerId& worker,
                                 const WorkerHeartbeatCall& call,
                                 const Result<WorkerHeartbeatReply>& reply,
                                 Time sent_at, Time now);

  /// Takes the answer to a request. An error keeps the room until the worker
  /// has said what became of the exchange.
  void OnRequestAnswer(const WorkerId& worker, const ExchangeId& exchange,
                       const Result<RequestReply>& reply, Time now);
  /// Takes the answer to a `SendResolve` or to another cancel of the exchange.
  /// A refused cancel says nothing about the exchange.
  void OnResolveAnswer(const WorkerId& worker, const ExchangeId& exchange,
                       const Result<RequestReply>& reply, Time now);
  /// The request was placed but certainly not sent.
  void AbandonRequest(const WorkerId& worker, const ExchangeId& exchange);

  /// Turns a reservation into a start that is about to be sent.
  /// @return where and how, or `kNoCapacity` if the reservation has lapsed or
  ///     the worker may not get work now.
  Result<Placement> StartAttempt(const AttemptId& attempt, Time now);
  /// @param sent what `StartAttempt` returned for the answered call.
  void OnStartAnswer(const AttemptId& attempt, const Placement& sent,
                     const Result<StartAttemptReply>& reply, Time now);
  /// Gives up a reservation that was not started.
  void AbandonAttempt(const AttemptId& attempt);
  FleetActions OnStopAnswer(const AttemptId& attempt,
                            const Result<StopAttemptReply>& reply, Time now);

  /// Sends the renewal with the worker's next heartbeat.
  /// @return false if the attempt is not on an owned worker.
  bool Renew(const LeaseRenewal& renewal);
  /// Tells the worker with its next heartbeat to forget an ended attempt.
  bool Acknowledge(const AttemptId& attempt);

  /// @return the header of a command that is sent now; nullopt if the worker
  ///     is not owned. For stops, which are allowed on leaving workers.
  std::optional<Placement> Header(const WorkerId& worker, Time now) const;
  /// @return the owned worker that holds the attempt or its reservation.
  std::optional<WorkerId> WorkerOf(const AttemptId& attempt) const;
  /// @return the earliest reading that the worker's clock can have now.
  std::optional<WorkerTime> EarliestClock(const WorkerId& worker,
                                          Time now) const;

  /// A peer that believes to be the preferred owner asks for the rack.
  FleetActions OnReleaseAsked(const RackId& rack, const EntryHostId& by);
  /// Gives up all workers and attaches none any more (planned stop).
  FleetActions ReleaseAll();
  /// The owner that was asked has released the rack.
  void OnRackReleased(const RackId& rack, const EntryHostId& by, Time now);

  /// @return why the work fits no listed host even when empty, or nullopt.
  std::optional<NeverFitsReason> NeverFits(const Work& work) const;
  /// @return spare slots for requests over all usable owned workers.
  int SpareSlots() const;
  /// @return racks with at least one owned worker, sorted.
  std::vector<RackId> OwnedRacks() const;
  std::optional<WorkerSnapshot> Snapshot(const WorkerId& worker) const;

 protected:
  using WorkerIndex = std::uint32_t;
  static constexpr WorkerIndex kNoWorker = ~WorkerIndex{0};

  /// @return up to `samples` usable workers with room, chosen at random.
  std::span<const WorkerIndex> Candidates(const Work& work, bool urgent,
                                          const Avoid& avoid, int samples,
                                          Time now);
  Candidate Describe(WorkerIndex worker, const Avoid& avoid, bool urgent) const;
  std::optional<Placement> TakeRequest(const ExchangeId& exchange,
                                       const Work& work, WorkerIndex worker,
                                       Time now);
  std::optional<Placement> TakeAttempt(const AttemptId& attempt,
                                       const Work& work, WorkerIndex worker,
                                       Time now);
  std::optional<Placement> Reserved(const AttemptId& attempt, Time now);

 private:
  struct Reservation {
    Time lapses_at;
    AttemptId attempt;
  };
  /// What a placement decision reads of one worker, apart from the record, so
  /// that candidates of a large fleet stay in the processor's caches.
  struct PlacementView {
    Resources capacity;
    Resources committed;
    MilliCores load;
    int slots = 0;
    int request_slots = 0;
    int attempt_slots = 0;
    /// From then on the worker gets no new work.
    Time receives_until;
  };
  struct AttemptHash {
    std::size_t operator()(const AttemptId& id) const noexcept;
  };
  /// A capacity that hosts of the list have, with a few of them.
  struct Shape {
    Resources capacity;
    std::vector<WorkerId> hosts;
  };

  // Ownership (fleet_state.cc).
  void AddToRack(WorkerIndex index);
  void RefreshWanted(Time now);
  void ChooseOwners(Time now);
  bool ShouldOwn(const RackId& id, RackRecord& rack, Time now) const;
  void StepAttach(WorkerIndex index, Time now, FleetActions& out);
  bool WaitForOwner(WorkerRecord& worker, Time now, FleetActions& out);
  void BackOff(WorkerRecord& worker, Time now) const;
  bool OwnerStillHolds(const WorkerRecord& worker, Time now) const;
  void StepOwned(WorkerIndex index, Time now, FleetActions& out);
  void SendHeartbeat(WorkerRecord& worker, Time now, FleetActions& out);
  void SendResolves(WorkerRecord& worker, Time now, FleetActions& out);
  void Lose(WorkerIndex index, WorkerLossReason reason, FleetActions& out);
  void ClearLedger(WorkerIndex index);
  void LapseReservations(Time now);
  CommandHeader HeaderFor(const WorkerRecord& worker, Time now) const;
  Placement PlacementOn(const WorkerRecord& worker, Time now) const;

  // Answers (fleet_replies.cc).
  void Adopt(WorkerIndex index, const AttachReply& reply, Time sent_at,
             Time now);
  void OnAttachRefused(WorkerRecord& worker, const AttachReply& reply,
                       Time now);
  void TakeAttempts(WorkerIndex index, const WorkerHeartbeatReply& reply,
                    Time sent_at, Time now, FleetActions& out);
  void TakeReport(WorkerIndex index, const AttemptReport& report, Time now,
                  FleetActions& out);
  void DropAbsent(WorkerIndex index, const WorkerHeartbeatReply& reply,
                  Time sent_at, FleetActions& out);
  void Restarted(WorkerIndex index, Time now, FleetActions& out);
  void AddReported(WorkerIndex index, const AttemptReport& report, Time now);
  static void SendAgain(WorkerRecord& worker, const WorkerHeartbeatCall& call);
  static void TakeUsage(WorkerRecord& worker,
                        const std::vector<UsageReport>& usage,
                        FleetActions& out);
  void Forget(WorkerIndex index, const AttemptId& attempt);

  // Work (fleet_placement.cc).
  bool MayReceive(const WorkerRecord& worker, Time now) const;
  bool Fits(WorkerIndex index, const Work& work, bool urgent,
            const Avoid& avoid, Time now) const;
  Time ReceivesUntil(const WorkerRecord& worker) const;
  WorkerIndex DueProbe(const Work& work, bool urgent, const Avoid& avoid,
                       Time now) const;
  static WorkerTime ClockOf(const WorkerRecord& worker, Time now);
  void NoteProbe(WorkerRecord& worker, Time now) const;
  void RecordOutcome(WorkerIndex index, const Work& work, bool failed,
                     Time now);
  void Reindex(WorkerIndex index);
  void EndExchange(WorkerIndex index, const ExchangeId& exchange,
                   ExchangeState state, Time now);
  void UpdateShapes();
  WorkerIndex IndexOf(const WorkerId& worker) const;
  std::size_t Random(std::size_t below);
  WorkerHealth::Limits HealthLimits() const;

  FleetSettings settings_;
  FleetHosts hosts_;
  /// Racks that present hosts list as theirs.
  std::unordered_set<RackId> held_racks_;
  bool stopping_ = false;
  std::vector<WorkerRecord> workers_;
  std::vector<PlacementView> views_;
  std::unordered_map<WorkerId, WorkerIndex> by_id_;
  std::map<RackId, RackRecord> racks_;
  std::unordered_map<AttemptId, WorkerIndex, AttemptHash> attempts_;
  std::deque<Reservation> reservations_;
  std::vector<WorkerIndex> unhealthy_;
  std::vector<Shape> shapes_;
  CapacityIndex request_index_;
  CapacityIndex attempt_index_;
  std::vector<WorkerIndex> candidates_;
  std::uint64_t random_;
  Time next_wanted_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_
