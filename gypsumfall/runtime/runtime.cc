#include "gypsumfall/runtime/runtime.h"

#include <time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace gypsumfall {
namespace {

// Uses CLOCK_BOOTTIME, which also advances while the machine is suspended:
// otherwise a lease that ended during suspend would still appear to be valid.
Time ReadClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(seconds(now.tv_sec) + microseconds(now.tv_nsec / 1000));
}

}  // namespace

struct Runtime::PeriodicTimer {
  PeriodicTimer(boost::asio::io_context& io, Duration period,
                std::function<void()> work_function)
      : timer(io), interval(period), work(std::move(work_function)) {}

  boost::asio::steady_timer timer;
  Duration interval;
  std::function<void()> work;
};

Runtime::Runtime(boost::asio::io_context& io) : io_(io) {}

Runtime::~Runtime() {
  for (const auto& periodic_timer : periodic_timers_)
    periodic_timer->timer.cancel();
}

Time Runtime::Now() const { return ReadClock(); }

void Runtime::Post(std::function<void()> work) {
  boost::asio::post(io_, std::move(work));
}

void Runtime::RunEvery(Duration interval, std::function<void()> work) {
  periodic_timers_.push_back(
      std::make_shared<PeriodicTimer>(io_, interval, std::move(work)));
  ArmTimer(periodic_timers_.back());
}

void Runtime::ArmTimer(const std::shared_ptr<PeriodicTimer>& periodic_timer) {
  periodic_timer->timer.expires_after(periodic_timer->interval);
  periodic_timer->timer.async_wait(
      [this, periodic_timer](const boost::system::error_code& error) {
        if (error) return;
        periodic_timer->work();
        ArmTimer(periodic_timer);
      });
}

struct Timer::State {
  State(Runtime& runtime, std::function<void()> work_function)
      : timer(runtime.io()), work(std::move(work_function)) {}

  boost::asio::steady_timer timer;
  std::function<void()> work;
  Time due = Time::max();
};

Timer::Timer(Runtime& runtime, std::function<void()> work)
    : state_(std::make_shared<State>(runtime, std::move(work))) {}

Timer::~Timer() {
  state_->work = nullptr;
  state_->timer.cancel();
}

void Timer::ScheduleNoLaterThan(Time time) {
  if (time >= state_->due) return;
  state_->due = time;
  state_->timer.expires_after(time - ReadClock());
  state_->timer.async_wait(
      [state = state_](const boost::system::error_code& error) {
        if (error || state->work == nullptr) return;
        state->due = Time::max();
        state->work();
      });
}

}  // namespace gypsumfall
