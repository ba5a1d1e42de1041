#ifndef GYPSUMFALL_RUNTIME_RUNTIME_H_
#define GYPSUMFALL_RUNTIME_RUNTIME_H_

/// @file
/// The clock, the timers and the event queue of a process.
///
/// Example:
/// @code
///   boost::asio::io_context io(1);
///   Runtime runtime(io);
///   runtime.Every(seconds(1), [&] { core.Tick(runtime.Now()); });
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

/// The clock and the timers of a process. The only place where the present
/// time is read.
class Runtime {
 public:
  explicit Runtime(boost::asio::io_context& io);
  /// Cancels all timers.
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /// @return the reading of a steady clock that counts suspended time too.
  Time Now() const;
  /// Runs `work` once on the process's thread, after the present event.
  void Post(std::function<void()> work);
  /// Runs `work` every `interval`, first after one interval.
  void Every(Duration interval, std::function<void()> work);

  boost::asio::io_context& io() { return io_; }

 private:
  struct Periodic;
  void Schedule(const std::shared_ptr<Periodic>& periodic);

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<Periodic>> periodics_;
};

/// A timer that runs its work once, at the time set last.
class Timer {
 public:
  Timer(Runtime& runtime, std::function<void()> work);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Runs the work at `time`; does nothing if it is due earlier already.
  void NotAfter(Time time);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_RUNTIME_RUNTIME_H_
