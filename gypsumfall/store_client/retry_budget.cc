#include <algorithm>
#include <random>

#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall {
namespace {

// Bounds the shift; delays are far from overflow at this count.
constexpr int kMaxDoublings = 10;

}  // namespace

void RetryBudget::OnCall() {
  left_ = std::min(options_.burst, left_ + options_.share);
}

bool RetryBudget::TryTake(int tries) {
  if (tries >= options_.max_tries || left_ < 1) return false;
  left_ -= 1;
  return true;
}

Duration RetryBudget::Delay(int tries) {
  const int doublings = std::clamp(tries - 1, 0, kMaxDoublings);
  const Duration longest = options_.first_delay * (1 << doublings);
  std::uniform_int_distribution<Duration::rep> delay(0, longest.count());
  return Duration(delay(random_));
}

}  // namespace gypsumfall
