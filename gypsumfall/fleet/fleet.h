#ifndef GYPSUMFALL_FLEET_FLEET_H_
#define GYPSUMFALL_FLEET_FLEET_H_

/// @file
/// Commands the workers that this entry host owns: attach, adoption, one
/// ledger per worker, placement of requests and attempts, and worker health.
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

/// The worker owner, with a policy that chooses among workers with room.
/// @tparam Policy scores candidates; the lowest score is chosen.
template <PlacementPolicy Policy>
class BasicFleet : public FleetState {
 public:
  explicit BasicFleet(FleetSettings settings, Policy policy = {})
      : FleetState(std::move(settings)), policy_(std::move(policy)) {}

  /// Takes room for a request on one worker until its outcome is known.
  /// @param exchange unique id of the request as sent.
  /// @param exclude workers and racks that must not, or better not, be used.
  /// @return where to send it and with which header; nullopt if no owned
  ///     worker was found with room.
  std::optional<Placement> PlaceRequest(const ExchangeId& exchange,
                                        const Work& work, const Avoid& exclude,
                                        Time now) {
    return TakeRequest(exchange, work, Choose(work, true, exclude, now), now);
  }

  /// Takes room for an attempt. The reservation lapses after 5 s if
  /// `StartAttempt` is not called. A repeated call returns the same worker.
  std::optional<Placement> ReserveAttempt(const AttemptId& attempt,
                                          const Work& work, const Avoid& avoid,
                                          Time now) {
    if (auto held = Reserved(attempt, now)) return held;
    return TakeAttempt(attempt, work, Choose(work, false, avoid, now), now);
  }

 private:
  WorkerIndex Choose(const Work& work, bool urgent, const Avoid& avoid,
                     Time now) {
    WorkerIndex best = kNoWorker;
    double best_score = 0;
    for (const WorkerIndex worker :
         Candidates(work, urgent, avoid, Policy::kSamples, now)) {
      const double score = policy_.Score(Describe(worker, avoid, urgent), work);
      if (best == kNoWorker || score < best_score) {
        best = worker;
        best_score = score;
      }
    }
    return best;
  }

  Policy policy_;
};

using Fleet = BasicFleet<BestFitWithUrgentRoom>;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_FLEET_H_
