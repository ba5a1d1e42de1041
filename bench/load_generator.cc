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
#include "bench/load_protocol.h"

namespace gypsumfall::load {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

Time Now() {
  return Time(
      std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

Clock::time_point ToClockTime(Time time) {
  return Clock::time_point(time.time_since_epoch());
}

}  // namespace

class LoadGenerator::Impl {
 public:
  explicit Impl(const LoadOptions& options)
      : options_(options),
        protocol_(options),
        random_(options.seed),
        interarrival_(options.rate),
        arrival_timer_(io_),
        stop_timer_(io_) {
    for (std::size_t i = 0; i < options.connections; ++i) {
      Connection& connection = connections_.emplace_back();
      connection.target = i % options.targets.size();
      connection.client = std::make_unique<LoadClient>(
          io_, options.targets[connection.target], options);
      connection.delay_timer = std::make_unique<asio::steady_timer>(io_);
      idle_connections_.push_back(&connection);
    }
  }

  Result<const LoadResult*> Run() {
    if (options_.work == WorkMode::kDirect) {
      const Result<void> attached = AttachToWorkers();
      if (!attached) return tl::unexpected<Error>(attached.error());
    }
    start_time_ = Now();
    end_time_ = start_time_ + options_.duration;
    ArmStopTimer();
    next_arrival_ = start_time_;
    if (options_.loop == LoopMode::kOpen) {
      WaitForArrival();
    } else {
      StartOnIdleConnections();
    }
    StopWhenDone();
    io_.run();
    protocol_.result().unfinished = in_flight_ + backlog_.size();
    protocol_.result().elapsed = last_outcome_time_ - start_time_;
    return &protocol_.result();
  }

 private:
  struct Connection {
    std::size_t target = 0;
    std::unique_ptr<LoadClient> client;
    std::unique_ptr<asio::steady_timer> delay_timer;
    LoadItem item;
  };

  Result<void> AttachToWorkers() {
    Result<void> attach_result;
    for (std::size_t i = 0; i < options_.targets.size(); ++i) {
      connections_[i].client->Send(
          protocol_.MakeAttachCall(),
          [this, i, &attach_result](const HttpOutcome& outcome) {
            const Result<void> attached =
                protocol_.OnAttached(connections_[i].target, outcome, Now());
            if (!attached) attach_result = attached;
          });
    }
    io_.run();
    io_.restart();
    return attach_result;
  }

  // Stops the run after its maximum time even if a server never answers.
  void ArmStopTimer() {
    Duration grace = options_.timeout + seconds(1);
    if (options_.work == WorkMode::kTasks) grace += options_.task_timeout;
    stop_timer_.expires_at(ToClockTime(end_time_ + grace));
    stop_timer_.async_wait([this](const auto& error) {
      if (!error) io_.stop();
    });
  }

  bool MayStartItem() {
    return protocol_.result().calls < options_.count && Now() < end_time_;
  }

  LoadItem NextItem(Time arrived) {
    LoadItem item;
    item.number = protocol_.result().calls++;
    item.arrived = arrived;
    return item;
  }

  // Open loop: enqueues all arrivals that are due, then waits for the next one.
  void WaitForArrival() {
    if (!MayStartItem()) {
      arrivals_exhausted_ = true;
      return;
    }
    arrival_timer_.expires_at(ToClockTime(next_arrival_));
    arrival_timer_.async_wait([this](const auto& error) {
      if (error) return;
      while (next_arrival_ <= Now() && MayStartItem()) {
        EnqueueArrival(next_arrival_);
        constexpr double kUsPerSecond = 1e6;
        next_arrival_ += Duration(
            static_cast<Duration::rep>(interarrival_(random_) * kUsPerSecond));
      }
      WaitForArrival();
      StopWhenDone();
    });
  }

  void EnqueueArrival(Time arrived) {
    if (backlog_.size() >= options_.backlog) {
      ++protocol_.result().calls;
      ++protocol_.result().dropped;
      return;
    }
    backlog_.push_back(NextItem(arrived));
    StartOnIdleConnections();
  }

  void StartOnIdleConnections() {
    while (!idle_connections_.empty()) {
      Connection* connection = idle_connections_.front();
      if (!backlog_.empty()) {
        connection->item = backlog_.front();
        backlog_.pop_front();
      } else if (options_.loop == LoopMode::kClosed && MayStartItem()) {
        connection->item = NextItem(Now());
      } else {
        return;
      }
      idle_connections_.pop_front();
      ++in_flight_;
      SendCall(connection,
               protocol_.Start(connection->item, connection->target, Now()));
    }
  }

  void SendCall(Connection* connection, const LoadCall& call) {
    connection->client->Send(call,
                             [this, connection](const HttpOutcome& outcome) {
                               OnOutcome(connection, outcome);
                             });
  }

  void OnOutcome(Connection* connection, const HttpOutcome& outcome) {
    last_outcome_time_ = Now();
    auto next =
        protocol_.OnOutcome(connection->item, outcome, last_outcome_time_);
    if (!next) {
      --in_flight_;
      ReleaseConnection(connection, outcome);
      return;
    }
    if (next->delay <= Duration::zero()) {
      SendCall(connection, next->call);
      return;
    }
    connection->delay_timer->expires_after(next->delay);
    connection->delay_timer->async_wait(
        [this, connection, call = std::move(next->call)](const auto& error) {
          if (!error) SendCall(connection, call);
        });
  }

  // Delays the reuse of a connection whose target refuses connections, so that
  // it is not retried in a tight loop.
  void ReleaseConnection(Connection* connection, const HttpOutcome& outcome) {
    if (outcome.kind == HttpOutcome::Kind::kNotSent) {
      constexpr Duration kReconnect = milliseconds(10);
      connection->delay_timer->expires_after(kReconnect);
      connection->delay_timer->async_wait(
          [this, connection](const auto& error) {
            if (!error) MarkIdle(connection);
          });
      return;
    }
    MarkIdle(connection);
  }

  void MarkIdle(Connection* connection) {
    idle_connections_.push_back(connection);
    StartOnIdleConnections();
    StopWhenDone();
  }

  void StopWhenDone() {
    const bool is_exhausted = options_.loop == LoopMode::kOpen
                                  ? arrivals_exhausted_
                                  : !MayStartItem();
    if (is_exhausted && in_flight_ == 0 && backlog_.empty())
      stop_timer_.cancel();
  }

  LoadOptions options_;
  LoadProtocol protocol_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> interarrival_;
  asio::io_context io_;
  asio::steady_timer arrival_timer_;
  asio::steady_timer stop_timer_;
  std::deque<Connection> connections_;
  std::deque<Connection*> idle_connections_;
  std::deque<LoadItem> backlog_;
  std::size_t in_flight_ = 0;
  bool arrivals_exhausted_ = false;
  Time start_time_;
  Time end_time_;
  Time last_outcome_time_;
  Time next_arrival_;
};

LoadGenerator::LoadGenerator(const LoadOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}
LoadGenerator::~LoadGenerator() = default;

Result<const LoadResult*> LoadGenerator::Run() { return impl_->Run(); }

}  // namespace gypsumfall::load
