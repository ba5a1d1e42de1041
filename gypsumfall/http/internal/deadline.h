#ifndef GYPSUMFALL_HTTP_INTERNAL_DEADLINE_H_
#define GYPSUMFALL_HTTP_INTERNAL_DEADLINE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "gypsumfall/base/base.h"

namespace gypsumfall::http_internal {

/// A deadline that is moved for each request. Moving it to a later time does
/// not touch the timer: the timer fires at the earlier time and is armed again
/// then, so a busy connection arms it about once per timeout.
class Deadline {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// @param io runs the callback.
  /// @param on_due called when the deadline passes; it is cleared before.
  Deadline(boost::asio::io_context& io, std::function<void()> on_due);

  /// Sets the deadline, replacing the former one.
  /// @param owner the object that holds this; nothing is called once it is
  /// destroyed.
  void Set(SteadyTime due, const std::weak_ptr<void>& owner);
  /// Sets the deadline to a time from now.
  void SetAfter(Duration delay, const std::weak_ptr<void>& owner);
  /// Removes the deadline.
  void Clear() { due_ = SteadyTime::max(); }
  /// Removes the deadline and cancels the timer, so that it keeps no
  /// io_context running.
  void Cancel();

 private:
  void Arm(const std::weak_ptr<void>& owner);
  void OnTimer(const std::weak_ptr<void>& owner);

  boost::asio::steady_timer timer_;
  std::function<void()> on_due_;
  SteadyTime due_ = SteadyTime::max();
  SteadyTime armed_ = SteadyTime::max();
};

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_DEADLINE_H_
