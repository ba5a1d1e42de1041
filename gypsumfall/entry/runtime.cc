#include "gypsumfall/entry/internal/runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace gypsumfall {
namespace {

std::chrono::steady_clock::time_point ToSteady(Time time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
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

Time Runtime::Now() const {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

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
  state_->timer.expires_at(ToSteady(time));
  state_->timer.async_wait(
      [state = state_](const boost::system::error_code& failed) {
        if (failed || state->work == nullptr) return;
        state->due = Time::max();
        state->work();
      });
}

}  // namespace gypsumfall
