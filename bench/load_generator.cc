#include "bench/load_generator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "bench/load_client.h"
#include "bench/load_work.h"

namespace gypsumfall::load {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

Time Now() {
  return Time(
      std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

Clock::time_point ClockTime(Time time) {
  return Clock::time_point(time.time_since_epoch());
}

}  // namespace

class LoadGenerator::Impl {
 public:
  explicit Impl(const LoadOptions& options)
      : options_(options),
        work_(options),
        random_(options.seed),
        between_(options.rate),
        arrival_timer_(io_),
        stop_timer_(io_) {
    for (std::size_t i = 0; i < options.connections; ++i) {
      Slot& slot = slots_.emplace_back();
      slot.target = i % options.targets.size();
      slot.client = std::make_unique<LoadClient>(
          io_, options.targets[slot.target], options);
      slot.delay = std::make_unique<asio::steady_timer>(io_);
      idle_.push_back(&slot);
    }
  }

  Result<const LoadResult*> Run() {
    if (options_.work == WorkMode::kDirect) {
      const Result<void> attached = AttachAll();
      if (!attached) return tl::unexpected<Error>(attached.error());
    }
    start_ = Now();
    end_ = start_ + options_.duration;
    BoundRun();
    next_arrival_ = start_;
    if (options_.loop == LoopMode::kOpen) {
      WaitForArrival();
    } else {
      StartIdle();
    }
    StopWhenDone();
    io_.run();
    work_.result().unfinished = under_way_ + backlog_.size();
    work_.result().elapsed = last_end_ - start_;
    return &work_.result();
  }

 private:
  struct Slot {
    std::size_t target = 0;
    std::unique_ptr<LoadClient> client;
    std::unique_ptr<asio::steady_timer> delay;
    LoadItem item;
  };

  Result<void> AttachAll() {
    Result<void> all;
    for (std::size_t i = 0; i < options_.targets.size(); ++i) {
      slots_[i].client->Send(
          work_.AttachCallTo(), [this, i, &all](const HttpOutcome& outcome) {
            const Result<void> attached =
                work_.OnAttached(slots_[i].target, outcome, Now());
            if (!attached) all = attached;
          });
    }
    io_.run();
    io_.restart();
    return all;
  }

  // The whole run ends by itself even if a server never answers.
  void BoundRun() {
    Duration grace = options_.timeout + seconds(1);
    if (options_.work == WorkMode::kTasks) grace += options_.task_timeout;
    stop_timer_.expires_at(ClockTime(end_ + grace));
    stop_timer_.async_wait([this](const auto& error) {
      if (!error) io_.stop();
    });
  }

  bool MayStart() {
    return work_.result().calls < options_.count && Now() < end_;
  }

  LoadItem NextItem(Time arrived) {
    LoadItem item;
    item.number = work_.result().calls++;
    item.arrived = arrived;
    return item;
  }

  // Open loop: takes all arrivals that are due, then waits for the next.
  void WaitForArrival() {
    if (!MayStart()) {
      arrivals_ended_ = true;
      return;
    }
    arrival_timer_.expires_at(ClockTime(next_arrival_));
    arrival_timer_.async_wait([this](const auto& error) {
      if (error) return;
      while (next_arrival_ <= Now() && MayStart()) {
        Arrive(next_arrival_);
        constexpr double kUsPerSecond = 1e6;
        next_arrival_ += Duration(
            static_cast<Duration::rep>(between_(random_) * kUsPerSecond));
      }
      WaitForArrival();
      StopWhenDone();
    });
  }

  void Arrive(Time arrived) {
    if (backlog_.size() >= options_.backlog) {
      ++work_.result().calls;
      ++work_.result().dropped;
      return;
    }
    backlog_.push_back(NextItem(arrived));
    StartIdle();
  }

  void StartIdle() {
    while (!idle_.empty()) {
      Slot* slot = idle_.front();
      if (!backlog_.empty()) {
        slot->item = backlog_.front();
        backlog_.pop_front();
      } else if (options_.loop == LoopMode::kClosed && MayStart()) {
        slot->item = NextItem(Now());
      } else {
        return;
      }
      idle_.pop_front();
      ++under_way_;
      SendCall(slot, work_.Start(slot->item, slot->target, Now()));
    }
  }

  void SendCall(Slot* slot, const LoadCall& call) {
    slot->client->Send(call, [this, slot](const HttpOutcome& outcome) {
      OnOutcome(slot, outcome);
    });
  }

  void OnOutcome(Slot* slot, const HttpOutcome& outcome) {
    last_end_ = Now();
    auto next = work_.OnOutcome(slot->item, outcome, last_end_);
    if (!next) {
      --under_way_;
      PauseOrIdle(slot, outcome);
      return;
    }
    if (next->delay <= Duration::zero()) {
      SendCall(slot, next->call);
      return;
    }
    slot->delay->expires_after(next->delay);
    slot->delay->async_wait(
        [this, slot, call = std::move(next->call)](const auto& error) {
          if (!error) SendCall(slot, call);
        });
  }

  // A target that refuses connections is not tried in a tight loop.
  void PauseOrIdle(Slot* slot, const HttpOutcome& outcome) {
    if (outcome.kind == HttpOutcome::Kind::kNotSent) {
      constexpr Duration kReconnect = milliseconds(10);
      slot->delay->expires_after(kReconnect);
      slot->delay->async_wait([this, slot](const auto& error) {
        if (!error) BecomeIdle(slot);
      });
      return;
    }
    BecomeIdle(slot);
  }

  void BecomeIdle(Slot* slot) {
    idle_.push_back(slot);
    StartIdle();
    StopWhenDone();
  }

  void StopWhenDone() {
    const bool no_more =
        options_.loop == LoopMode::kOpen ? arrivals_ended_ : !MayStart();
    if (no_more && under_way_ == 0 && backlog_.empty()) stop_timer_.cancel();
  }

  LoadOptions options_;
  LoadWork work_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> between_;
  asio::io_context io_;
  asio::steady_timer arrival_timer_;
  asio::steady_timer stop_timer_;
  std::deque<Slot> slots_;
  std::deque<Slot*> idle_;
  std::deque<LoadItem> backlog_;
  std::size_t under_way_ = 0;
  bool arrivals_ended_ = false;
  Time start_;
  Time end_;
  Time last_end_;
  Time next_arrival_;
};

LoadGenerator::LoadGenerator(const LoadOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}
LoadGenerator::~LoadGenerator() = default;

Result<const LoadResult*> LoadGenerator::Run() { return impl_->Run(); }

}  // namespace gypsumfall::load
