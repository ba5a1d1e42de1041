#ifndef GYPSUMFALL_REQUESTS_INTERNAL_RUN_TIME_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_RUN_TIME_H_

#include <map>
#include <utility>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Estimates per customer and kind how fast a request can be answered: a
/// decaying estimate of the 10th percentile of run times. With the low
/// percentile only requests that almost certainly miss their deadline are
/// refused.
class RunTimes {
 public:
  using Key = std::pair<CustomerId, KindId>;

  /// Records the time from sending to the answer.
  void Record(const Key& key, Duration run_time);
  /// @return whether a request of this kind can be answered in the remaining
  ///   time. Each refusal lowers the estimate, so that a wrong estimate
  ///   corrects itself.
  bool CanMeet(const Key& key, Duration remaining);
  /// @return the current estimate, zero if nothing was recorded.
  Duration Estimate(const Key& key) const;

 private:
  std::map<Key, double> estimates_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_RUN_TIME_H_
