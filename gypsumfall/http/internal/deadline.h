#ifndef GYPSUMFALL_HTTP_INTERNAL_DEADLINE_H_
#define GYPSUMFALL_HTTP_INTERNAL_DEADLINE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "gypsumfall/base/base.h"

namespace gypsumfall::http_internal {

/// A deadline that can be changed cheaply for each request. Extending it does
/// not change the timer: the timer expires at the earlier time and is only then
/// armed again, so that a busy connection arms it about once per timeout.
class Deadline {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// @param io runs the callback.
  /// @param on_deadline called when the deadline expires, after it was cleared.
  Deadline(boost::asio::io_context& io, std::function<void()> on_deadline);

  /// Sets or replaces the deadline.
  /// @param owner the object that contains this one. The callback is not run
  ///   after the owner is destroyed.
  void Set(SteadyTime deadline, const std::weak_ptr<void>& owner);
  /// Sets or replaces the deadline with the current time plus `delay`.
  void SetAfter(Duration delay, const std::weak_ptr<void>& owner);
  /// Removes the deadline.
  void Clear() { deadline_ = SteadyTime::max(); }
  /// Removes the deadline and cancels the timer, which would otherwise keep the
  /// io_context running.
  void Cancel();

 private:
  /// Starts the timer for the current deadline.
  void ArmTimer(const std::weak_ptr<void>& owner);
  void OnTimer(const std::weak_ptr<void>& owner);

  boost::asio::steady_timer timer_;
  std::function<void()> on_deadline_;
  SteadyTime deadline_ = SteadyTime::max();
  SteadyTime timer_expiry_ = SteadyTime::max();
};

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_DEADLINE_H_
