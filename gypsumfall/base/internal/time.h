#ifndef GYPSUMFALL_BASE_INTERNAL_TIME_H_
#define GYPSUMFALL_BASE_INTERNAL_TIME_H_

#include <chrono>
#include <cstdint>
#include <ratio>

namespace gypsumfall {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock type of deciding code. It has no now(): the present time is always an
/// argument, so that tests and benches can advance it.
struct HostTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<HostTimeline>;
};

/// A reading of this process's steady clock.
using Time = HostTimeline::time_point;

/// A worker's own steady clock; not comparable with this process's clock.
struct WorkerTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<WorkerTimeline>;
};

/// A reading of a worker's steady clock.
using WorkerTime = WorkerTimeline::time_point;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_TIME_H_
