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

// Reads CLOCK_BOOTTIME, which also counts the time that the machine was
// suspended: a lease must not seem valid after the machine has slept through
// its end.
Time ReadClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(seconds(now.tv_sec) + microseconds(now.tv_nsec / 1000));
}

}  // namespace

struct Runtime::Periodic {
  Periodic(boost::asio::io_context& io, Duration every,
           std::function<void()> what)
      : timer(io), interval(every), work(std::move(what)) {}

  boost::asio::steady_timer timer;
  Duration interval;
  std::function<void()> work;
};

Runtime::Runtime(boost::asio::io_context& io) : io_(io) {}

Runtime::~Runtime() {
  for (const auto& periodic : periodics_) periodic->timer.cancel();
}

Time Runtime::Now() const { return ReadClock(); }

void Runtime::Post(std::function<void()> work) {
  boost::asio::post(io_, std::move(work));
}

void Runtime::Every(Duration interval, std::function<void()> work) {
  periodics_.push_back(
      std::make_shared<Periodic>(io_, interval, std::move(work)));
  Schedule(periodics_.back());
}

void Runtime::Schedule(const std::shared_ptr<Periodic>& periodic) {
  periodic->timer.expires_after(periodic->interval);
  periodic->timer.async_wait(
      [this, periodic](const boost::system::error_code& failed) {
        if (failed) return;
        periodic->work();
        Schedule(periodic);
      });
}

struct Timer::State {
  State(Runtime& runtime, std::function<void()> what)
      : timer(runtime.io()), work(std::move(what)) {}

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

void Timer::NotAfter(Time time) {
  if (time >= state_->due) return;
  state_->due = time;
  state_->timer.expires_after(time - ReadClock());
  state_->timer.async_wait(
      [state = state_](const boost::system::error_code& failed) {
        if (failed || state->work == nullptr) return;
        state->due = Time::max();
        state->work();
      });
}

}  // namespace gypsumfall
