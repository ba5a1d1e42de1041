#include "gypsumfall/http/internal/deadline.h"

#include <memory>
#include <utility>

namespace gypsumfall::http_internal {

Deadline::Deadline(boost::asio::io_context& io, std::function<void()> on_due)
    : timer_(io), on_due_(std::move(on_due)) {}

void Deadline::Set(SteadyTime due, const std::weak_ptr<void>& owner) {
  due_ = due;
  if (armed_ > due_) Arm(owner);
}

void Deadline::SetAfter(Duration delay, const std::weak_ptr<void>& owner) {
  Set(std::chrono::steady_clock::now() + delay, owner);
}

void Deadline::Cancel() {
  Clear();
  armed_ = SteadyTime::max();
  timer_.cancel();
}

void Deadline::Arm(const std::weak_ptr<void>& owner) {
  armed_ = due_;
  timer_.expires_at(due_);
  timer_.async_wait([this, owner](const boost::system::error_code& error) {
    if (error) return;
    const std::shared_ptr<void> alive = owner.lock();
    if (alive) OnTimer(owner);
  });
}

void Deadline::OnTimer(const std::weak_ptr<void>& owner) {
  // A wait that was replaced may still complete without an error when both
  // happened in one turn of the io_context.
  if (armed_ > std::chrono::steady_clock::now()) return;
  armed_ = SteadyTime::max();
  if (due_ == SteadyTime::max()) return;
  if (due_ > std::chrono::steady_clock::now()) {
    Arm(owner);
    return;
  }
  Clear();
  on_due_();
}

}  // namespace gypsumfall::http_internal
