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
// Factor applied at each refusal; 35 refusals in a row halve the estimate.
constexpr double kRefusalDecay = 0.98;
// Contracts limit the number of kinds; this limits memory if contracts keep
// changing.
constexpr std::size_t kMaxKinds = 10'000;

}  // namespace

void RunTimes::Record(const Key& key, Duration run_time) {
  if (estimates_.size() >= kMaxKinds) estimates_.clear();
  const auto sample = static_cast<double>(run_time.count());
  const auto [it, is_new] = estimates_.try_emplace(key, sample);
  if (is_new) return;
  double& estimate = it->second;
  const double max_step = kStep * estimate;
  // A step never overshoots the sample: an estimate above every sample would
  // refuse requests that can meet their deadline.
  if (sample > estimate) {
    estimate = std::min(sample, estimate + max_step * kQuantile);
  } else {
    estimate = std::max(sample, estimate - max_step * (1 - kQuantile));
  }
  estimate = std::max(estimate, kMinimumUs);
}

bool RunTimes::CanMeet(const Key& key, Duration remaining) {
  if (remaining <= Duration::zero()) return false;
  const auto it = estimates_.find(key);
  if (it == estimates_.end()) return true;
  if (it->second <= static_cast<double>(remaining.count())) return true;
  it->second *= kRefusalDecay;
  return false;
}

Duration RunTimes::Estimate(const Key& key) const {
  const auto it = estimates_.find(key);
  if (it == estimates_.end()) return Duration::zero();
  return Duration(static_cast<Duration::rep>(it->second));
}

}  // namespace gypsumfall
