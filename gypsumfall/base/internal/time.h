#ifndef GYPSUMFALL_BASE_INTERNAL_TIME_H_
#define GYPSUMFALL_BASE_INTERNAL_TIME_H_

#include <chrono>
#include <cstdint>
#include <ratio>

namespace gypsumfall {

/// A time span in microseconds.
using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The steady clock of this process. It has no now(): the current time is
/// always passed as an argument, so that tests and benchmarks can control it.
struct HostClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<HostClock>;
};

/// A time point on the steady clock of this process.
using Time = HostClock::time_point;

/// The steady clock of a worker; not comparable with that of this process.
struct WorkerClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<WorkerClock>;
};

/// A time point on a worker's steady clock.
using WorkerTime = WorkerClock::time_point;

/// The steady clock of the table service, which all hosts can read.
struct StoreClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<StoreClock>;
};

/// A time point on the steady clock of the table service.
using StoreTime = StoreClock::time_point;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_TIME_H_
