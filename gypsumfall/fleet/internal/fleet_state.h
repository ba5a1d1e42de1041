#ifndef GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_
#define GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_

#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/fleet/internal/fleet_types.h"
#include "gypsumfall/fleet/internal/placement_policy.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Everything about owned workers that does not depend on the policy.
class FleetState {
 public:
  explicit FleetState(FleetSettings settings);
  FleetState(const FleetState&) = delete;
  FleetState& operator=(const FleetState&) = delete;
  ~FleetState();

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

  /// Takes the answer to a request or to a `SendResolve`. An error keeps the
  /// room until the worker has said what became of the exchange.
  FleetActions OnRequestAnswer(const WorkerId& worker,
                               const ExchangeId& exchange,
                               const Result<RequestReply>& reply, Time now);
  /// The request was placed but certainly not sent.
  void AbandonRequest(const WorkerId& worker, const ExchangeId& exchange);

  /// Turns a reservation into a start that is about to be sent.
  /// @return where and how, or `kNoCapacity` if the reservation has lapsed or
  ///     the worker may not get work now.
  Result<Placement> StartAttempt(const AttemptId& attempt, Time now);
  FleetActions OnStartAnswer(const AttemptId& attempt,
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
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_FLEET_STATE_H_
