#ifndef GYPSUMFALL_FLEET_INTERNAL_PLACEMENT_POLICY_H_
#define GYPSUMFALL_FLEET_INTERNAL_PLACEMENT_POLICY_H_

#include <concepts>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// What is to be placed.
struct Work {
  CustomerId customer;
  KindId kind;
  Resources resources;
  /// Only idempotent work is used to probe an unhealthy worker.
  bool idempotent = true;
};

/// A worker that has room for the work, as a policy sees it.
struct Candidate {
  Resources capacity;
  /// Promised by the ledger, with attempts and requests of unknown outcome.
  Resources committed;
  /// Larger of the committed processors and of the processors last reported
  /// plus what was committed since that report.
  MilliCores load;
  int slots = 0;
  int spare_slots = 0;
  /// Whether its rack should rather be avoided.
  bool avoid_rack = false;
  bool urgent = false;
};

/// Chooses among workers that have room; the lowest score is taken.
template <typename P>
concept PlacementPolicy = requires(const P policy, const Candidate& candidate,
                                   const Work& work) {
  { policy.Score(candidate, work) } -> std::convertible_to<double>;
  { P::kSamples } -> std::convertible_to<int>;
};

/// Takes the first worker found with room.
struct FirstFit {
  static constexpr int kSamples = 1;
  double Score(const Candidate& candidate, const Work& work) const;
};

/// Takes the worker with the lowest load of its processors.
struct LeastLoaded {
  static constexpr int kSamples = 8;
  double Score(const Candidate& candidate, const Work& work) const;
};

/// Requests go to the least loaded worker. Attempts fill workers, but leave
/// room for requests, keep accelerators free of work that needs none, and
/// avoid racks that hold earlier attempts.
struct BestFitWithUrgentRoom {
  static constexpr int kSamples = 8;
  /// Share of the processors that attempts leave to requests while other
  /// workers have room.
  double urgent_share = 0.25;
  double Score(const Candidate& candidate, const Work& work) const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_PLACEMENT_POLICY_H_
