#ifndef GYPSUMFALL_RUNTIME_RUNTIME_H_
#define GYPSUMFALL_RUNTIME_RUNTIME_H_

/// @file
/// Clock, timers and event queue of a process.
///
/// Example:
/// @code
///   boost::asio::io_context io(1);
///   Runtime runtime(io);
///   runtime.RunEvery(seconds(1), [&] { core.Tick(runtime.Now()); });
///   io.run();
/// @endcode

#include <functional>
#include <memory>
#include <vector>

#include "gypsumfall/base/base.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall {

/// Clock, periodic timers and event queue of a process, on one io_context. The
/// current time is read only here and in Timer; other code takes it as an
/// argument.
class Runtime {
 public:
  explicit Runtime(boost::asio::io_context& io);
  /// Cancels all timers.
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /// @return the time on a steady clock that also advances during suspend.
  Time Now() const;
  /// Queues `work` to run once on the thread of the io_context, after the
  /// current handler.
  void Post(std::function<void()> work);
  /// Runs `work` periodically, for the first time after one interval. The
  /// interval starts when the previous run ends.
  void RunEvery(Duration interval, std::function<void()> work);

  boost::asio::io_context& io() { return io_; }

 private:
  struct PeriodicTimer;
  void ArmTimer(const std::shared_ptr<PeriodicTimer>& periodic_timer);

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<PeriodicTimer>> periodic_timers_;
};

/// A one-shot timer that can be set again. It runs `work` at the earliest of
/// the times that were set since the last run.
class Timer {
 public:
  Timer(Runtime& runtime, std::function<void()> work);
  /// Cancels the timer; `work` is not run any more.
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Runs `work` at `time`, unless the timer is already set to an earlier time.
  void ScheduleNoLaterThan(Time time);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_RUNTIME_RUNTIME_H_
