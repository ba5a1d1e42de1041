#ifndef GYPSUMFALL_FLEET_INTERNAL_PLACEMENT_POLICY_H_
#define GYPSUMFALL_FLEET_INTERNAL_PLACEMENT_POLICY_H_

#include <concepts>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// A request or attempt to place.
struct WorkSpec {
  CustomerId customer;
  KindId kind;
  Resources resources;
  /// Only idempotent work is used as a probe of an unhealthy worker.
  bool idempotent = true;
};

/// A worker with sufficient capacity for the work, as input of a policy.
struct Candidate {
  Resources capacity;
  /// Committed by the ledger, including work of unknown outcome.
  Resources committed;
  /// CPU load: the larger of the committed CPU, and of the last reported CPU
  /// usage plus the CPU that was committed since that report.
  MilliCores load;
  int slots = 0;
  int spare_slots = 0;
  /// Whether the worker's rack should be avoided.
  bool avoid_rack = false;
  /// Whether the work is a request.
  bool urgent = false;
};

/// Scores workers with sufficient capacity; the lowest score wins. `kSamples`
/// is the number of candidates to score per placement.
template <typename P>
concept PlacementPolicy = requires(const P policy, const Candidate& candidate,
                                   const WorkSpec& work) {
  { policy.Score(candidate, work) } -> std::convertible_to<double>;
  { P::kSamples } -> std::convertible_to<int>;
};

/// Chooses the first worker found with sufficient capacity.
struct FirstFit {
  static constexpr int kSamples = 1;
  double Score(const Candidate& candidate, const WorkSpec& work) const;
};

/// Chooses the worker with the lowest CPU load.
struct LeastLoaded {
  static constexpr int kSamples = 8;
  double Score(const Candidate& candidate, const WorkSpec& work) const;
};

/// Places requests on the least loaded worker. Packs attempts onto the fullest
/// worker (best fit), but leaves headroom for requests, keeps workers with
/// accelerators free of work that needs none, and avoids the given racks.
struct BestFitWithUrgentHeadroom {
  static constexpr int kSamples = 8;
  /// Fraction of a worker's CPU that attempts leave to requests as long as
  /// other workers have capacity.
  double urgent_share = 0.25;
  double Score(const Candidate& candidate, const WorkSpec& work) const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_INTERNAL_PLACEMENT_POLICY_H_
