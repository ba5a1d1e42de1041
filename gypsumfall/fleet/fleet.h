#ifndef GYPSUMFALL_FLEET_FLEET_H_
#define GYPSUMFALL_FLEET_FLEET_H_

/// @file
/// Manages the workers that this entry host owns: attaches them, keeps one
/// capacity ledger per worker, places requests and attempts, and tracks worker
/// health.
///
/// Example:
/// @code
///   Fleet fleet(settings);
///   fleet.OnHostList(hosts, now);
///   fleet.SetHosts({membership.PreferredHosts(now), present}, now);
///   for (const FleetAction& action : fleet.Tick(now)) Perform(action);
///   if (auto placed = fleet.PlaceRequest(exchange, work, {}, now)) {
///     Send(placed->address, RunRequestCall{placed->header, exchange, ...});
///   }
/// @endcode

#include <optional>

#include "gypsumfall/fleet/internal/fleet_state.h"
#include "gypsumfall/fleet/internal/placement_policy.h"

namespace gypsumfall {

/// Manages owned workers; a policy chooses among those with spare capacity.
/// @tparam Policy scores candidates; the candidate with the lowest score is
///     chosen.
template <PlacementPolicy Policy>
class BasicFleet : public FleetState {
 public:
  explicit BasicFleet(FleetSettings settings, Policy policy = {})
      : FleetState(std::move(settings)), policy_(std::move(policy)) {}

  /// Commits capacity of one worker to a request until its outcome is known.
  /// @param exchange unique id of the request as sent.
  /// @param exclude workers to exclude and racks to avoid.
  /// @return where to send the request and with which header; nullopt if no
  ///     owned worker with sufficient capacity was found.
  std::optional<Placement> PlaceRequest(const ExchangeId& exchange,
                                        const WorkSpec& work,
                                        const PlacementExclusions& exclude,
                                        Time now) {
    return CommitRequest(exchange, work, Choose(work, true, exclude, now), now);
  }

  /// Reserves capacity for an attempt. The reservation expires after
  /// `FleetSettings::reservation_timeout` (by default 5 s) if `StartAttempt` is
  /// not called. A repeated call returns the same worker.
  std::optional<Placement> ReserveAttempt(const AttemptId& attempt,
                                          const WorkSpec& work,
                                          const PlacementExclusions& avoid,
                                          Time now) {
    if (auto existing = FindReservation(attempt, now)) return existing;
    return CommitReservation(attempt, work, Choose(work, false, avoid, now),
                             now);
  }

 private:
  WorkerIndex Choose(const WorkSpec& work, bool urgent,
                     const PlacementExclusions& avoid, Time now) {
    WorkerIndex best = kNoWorker;
    double best_score = 0;
    for (const WorkerIndex worker :
         Candidates(work, urgent, avoid, Policy::kSamples, now)) {
      const double score =
          policy_.Score(MakeCandidate(worker, avoid, urgent), work);
      if (best == kNoWorker || score < best_score) {
        best = worker;
        best_score = score;
      }
    }
    return best;
  }

  Policy policy_;
};

using Fleet = BasicFleet<BestFitWithUrgentHeadroom>;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_FLEET_H_
