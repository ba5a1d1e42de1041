#include <algorithm>
#include <random>

#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall {
namespace {

// Bounds the shift below, so that the backoff does not overflow.
constexpr int kMaxDoublings = 10;

}  // namespace

void RetryBudget::OnCall() {
  tokens_ = std::min(options_.burst, tokens_ + options_.retries_per_call);
}

bool RetryBudget::TryAcquire(int attempts) {
  if (attempts >= options_.max_attempts || tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

Duration RetryBudget::Backoff(int attempts) {
  const int doublings = std::clamp(attempts - 1, 0, kMaxDoublings);
  const Duration max_backoff = options_.initial_backoff * (1 << doublings);
  std::uniform_int_distribution<Duration::rep> delay(0, max_backoff.count());
  return Duration(delay(random_));
}

}  // namespace gypsumfall
