#include "gypsumfall/http/internal/deadline.h"

#include <memory>
#include <utility>

namespace gypsumfall::http_internal {

Deadline::Deadline(boost::asio::io_context& io,
                   std::function<void()> on_deadline)
    : timer_(io), on_deadline_(std::move(on_deadline)) {}

void Deadline::Set(SteadyTime deadline, const std::weak_ptr<void>& owner) {
  deadline_ = deadline;
  if (timer_expiry_ > deadline_) ArmTimer(owner);
}

void Deadline::SetAfter(Duration delay, const std::weak_ptr<void>& owner) {
  Set(std::chrono::steady_clock::now() + delay, owner);
}

void Deadline::Cancel() {
  Clear();
  timer_expiry_ = SteadyTime::max();
  timer_.cancel();
}

void Deadline::ArmTimer(const std::weak_ptr<void>& owner) {
  timer_expiry_ = deadline_;
  timer_.expires_at(deadline_);
  timer_.async_wait([this, owner](const boost::system::error_code& error) {
    if (error) return;
    const std::shared_ptr<void> alive = owner.lock();
    if (alive) OnTimer(owner);
  });
}

void Deadline::OnTimer(const std::weak_ptr<void>& owner) {
  // A replaced wait may still complete without an error if its handler was
  // already queued when the timer was set again.
  if (timer_expiry_ > std::chrono::steady_clock::now()) return;
  timer_expiry_ = SteadyTime::max();
  if (deadline_ == SteadyTime::max()) return;
  if (deadline_ > std::chrono::steady_clock::now()) {
    ArmTimer(owner);
    return;
  }
  Clear();
  on_deadline_();
}

}  // namespace gypsumfall::http_internal
