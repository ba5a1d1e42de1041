#ifndef GYPSUMFALL_REQUESTS_INTERNAL_RUN_TIME_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_RUN_TIME_H_

#include <map>
#include <utility>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Learns per customer and kind how fast a request can be answered: a decayed
/// estimate of the 10th percentile of run times. The low percentile refuses
/// only what almost certainly misses its deadline.
class RunTimes {
 public:
  using Key = std::pair<CustomerId, KindId>;

  /// Records the time from sending to the answer.
  void Record(const Key& key, Duration run_time);
  /// @return whether a request of this kind can be answered in `left`. Each
  ///   refusal lowers the estimate, so that a wrong one is tried again.
  bool CanMeet(const Key& key, Duration left);
  /// @return the present estimate, zero if nothing was recorded.
  Duration Estimate(const Key& key) const;

 private:
  std::map<Key, double> estimates_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_RUN_TIME_H_
