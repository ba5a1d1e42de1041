#ifndef GYPSUMFALL_ENTRY_INTERNAL_RUNTIME_H_
#define GYPSUMFALL_ENTRY_INTERNAL_RUNTIME_H_

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

  /// @return the reading of the steady clock.
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

#endif  // GYPSUMFALL_ENTRY_INTERNAL_RUNTIME_H_
