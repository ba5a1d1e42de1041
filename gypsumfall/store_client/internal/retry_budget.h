#ifndef GYPSUMFALL_STORE_CLIENT_INTERNAL_RETRY_BUDGET_H_
#define GYPSUMFALL_STORE_CLIENT_INTERNAL_RETRY_BUDGET_H_

#include <cstdint>
#include <random>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

struct RetryOptions {
  /// Retries earned by each call. A low value limits the extra load on a
  /// service that is down.
  double retries_per_call = 0.1;
  /// Largest number of unused retries that accumulate.
  double burst = 10;
  /// Most attempts of one call, including the first.
  int max_attempts = 3;
  /// Upper bound of the random delay before the first retry; doubles with each
  /// further retry.
  Duration initial_backoff = milliseconds(50);
  std::uint64_t seed = 1;
};

/// Limits retries to a fraction of the calls, as a token bucket, and spreads
/// them by exponential backoff with full jitter.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options)
      : options_(options), tokens_(options.burst), random_(options.seed) {}

  /// Adds the tokens that a new call earns.
  void OnCall();
  /// Takes one token if the call may be retried.
  /// @param attempts number of attempts made so far.
  /// @return whether the call may be retried.
  bool TryAcquire(int attempts);
  /// @param attempts number of attempts made so far.
  /// @return a random delay before the next attempt.
  Duration Backoff(int attempts);

 private:
  RetryOptions options_;
  double tokens_;
  std::mt19937_64 random_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_STORE_CLIENT_INTERNAL_RETRY_BUDGET_H_
