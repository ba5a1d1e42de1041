#ifndef GYPSUMFALL_STORE_CLIENT_INTERNAL_RETRY_BUDGET_H_
#define GYPSUMFALL_STORE_CLIENT_INTERNAL_RETRY_BUDGET_H_

#include <cstdint>
#include <random>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

struct RetryOptions {
  /// Retries allowed per call; an outage therefore adds little load.
  double share = 0.1;
  /// Retries that can be saved up.
  double burst = 10;
  /// Tries of one call, the first included.
  int max_tries = 3;
  /// Longest delay before the first retry; doubles with each.
  Duration first_delay = milliseconds(50);
  std::uint64_t seed = 1;
};

/// Limits retries to a share of the calls and spreads them by random delays.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options)
      : options_(options), left_(options.burst), random_(options.seed) {}

  /// Counts a new call.
  void OnCall();
  /// @param tries tries that the call has had.
  /// @return whether it may be tried again; uses up a retry.
  bool TryTake(int tries);
  /// @return a random delay before the next try.
  Duration Delay(int tries);

 private:
  RetryOptions options_;
  double left_;
  std::mt19937_64 random_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_STORE_CLIENT_INTERNAL_RETRY_BUDGET_H_
