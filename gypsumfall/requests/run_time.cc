#include "gypsumfall/requests/internal/run_time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace gypsumfall {
namespace {

constexpr double kQuantile = 0.1;
// One sample moves the estimate by at most 5% of its value; the weight of old
// samples halves after some tens of new ones.
constexpr double kStep = 0.05;
constexpr double kMinimumUs = 1;
// After a refusal, so that 35 refusals in a row halve the estimate.
constexpr double kRefusalDecay = 0.98;
// Contracts bound the kinds; this bounds memory if they change all the time.
constexpr std::size_t kMaxKinds = 10'000;

}  // namespace

void RunTimes::Record(const Key& key, Duration run_time) {
  if (estimates_.size() >= kMaxKinds) estimates_.clear();
  const auto sample = static_cast<double>(run_time.count());
  const auto [at, is_new] = estimates_.try_emplace(key, sample);
  if (is_new) return;
  double& estimate = at->second;
  const double move = kStep * estimate;
  // A step does not pass the sample: an estimate above every sample would
  // refuse requests that can meet their deadline.
  if (sample > estimate) {
    estimate = std::min(sample, estimate + move * kQuantile);
  } else {
    estimate = std::max(sample, estimate - move * (1 - kQuantile));
  }
  estimate = std::max(estimate, kMinimumUs);
}

bool RunTimes::CanMeet(const Key& key, Duration left) {
  if (left <= Duration::zero()) return false;
  const auto at = estimates_.find(key);
  if (at == estimates_.end()) return true;
  if (at->second <= static_cast<double>(left.count())) return true;
  at->second *= kRefusalDecay;
  return false;
}

Duration RunTimes::Estimate(const Key& key) const {
  const auto at = estimates_.find(key);
  if (at == estimates_.end()) return Duration::zero();
  return Duration(static_cast<Duration::rep>(at->second));
}

}  // namespace gypsumfall
