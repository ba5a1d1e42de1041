#include <algorithm>
#include <boost/asio/post.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/client_core.h"
#include "gypsumfall/http/internal/endpoint.h"
#include "gypsumfall/http/internal/wire.h"

namespace gypsumfall {
namespace http_internal {
namespace {

// Endpoints that are kept before unused ones are looked for. Above the number
// of workers of the largest data centre.
constexpr std::size_t kMinEndpoints = 1024;

CallOutcome NotSent(CallFailure failure) {
  return CallOutcome{
      .failure = failure, .certainly_not_sent = true, .body = {}};
}

void PostOutcome(boost::asio::io_context& io, CallDone done,
                 CallOutcome outcome) {
  boost::asio::post(
      io, [done = std::move(done), outcome = std::move(outcome)]() mutable {
        done(std::move(outcome));
      });
}

}  // namespace

ClientEndpoint::ClientEndpoint(boost::asio::io_context& io,
                               const ClientOptions& options, std::string name,
                               boost::asio::ip::tcp::endpoint address)
    : io_(io),
      options_(options),
      name_(std::move(name)),
      address_(std::move(address)),
      queue_due_(io, [this] { ExpireQueued(); }) {}

void ClientEndpoint::Submit(PendingCall call) {
  ++open_calls_;
  if (const auto connection = TakeIdle()) {
    connection->Send(std::move(call));
  } else if (connections_.size() < options_.max_connections_per_endpoint) {
    Connect(std::move(call));
  } else {
    Enqueue(std::move(call));
  }
}

std::shared_ptr<ClientConnection> ClientEndpoint::TakeIdle() {
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->IsUsable()) return connection;
    connection->Close();
  }
  return nullptr;
}

void ClientEndpoint::Connect(PendingCall call) {
  auto connection = std::make_shared<ClientConnection>(shared_from_this());
  connections_.insert(connection);
  connection->Connect(std::move(call));
}

void ClientEndpoint::Enqueue(PendingCall call) {
  if (queue_.size() >= options_.max_queued_per_endpoint) {
    Report(std::move(call), NotSent(CallFailure::kPoolExhausted));
    return;
  }
  queue_due_.Set(call.due, weak_from_this());
  queue_.push_back(std::move(call));
}

void ClientEndpoint::ExpireQueued() {
  const auto now = std::chrono::steady_clock::now();
  std::deque<PendingCall> kept;
  auto next = Deadline::SteadyTime::max();
  for (PendingCall& call : queue_) {
    if (call.due <= now) {
      Report(std::move(call), NotSent(CallFailure::kTimedOut));
      continue;
    }
    next = std::min(next, call.due);
    kept.push_back(std::move(call));
  }
  queue_ = std::move(kept);
  queue_due_.Set(next, weak_from_this());
}

void ClientEndpoint::OnFree(
    const std::shared_ptr<ClientConnection>& connection) {
  if (queue_.empty()) {
    connection->BecomeIdle();
    idle_.push_back(connection);
    return;
  }
  if (!connection->IsUsable()) {
    connection->Close();
    return;
  }
  PendingCall call = std::move(queue_.front());
  queue_.pop_front();
  connection->Send(std::move(call));
}

void ClientEndpoint::OnClosed(
    const std::shared_ptr<ClientConnection>& connection) {
  connections_.erase(connection);
  std::erase(idle_, connection);
  ServeQueue();
}

void ClientEndpoint::ServeQueue() {
  while (!shut_ && !queue_.empty() &&
         connections_.size() < options_.max_connections_per_endpoint) {
    PendingCall call = std::move(queue_.front());
    queue_.pop_front();
    Connect(std::move(call));
  }
}

void ClientEndpoint::Resend(PendingCall call) {
  call.moved = true;
  if (connections_.size() < options_.max_connections_per_endpoint) {
    Connect(std::move(call));
  } else {
    queue_due_.Set(call.due, weak_from_this());
    queue_.push_front(std::move(call));
  }
}

void ClientEndpoint::Report(PendingCall call, CallOutcome outcome) {
  --open_calls_;
  PostOutcome(io_, std::move(call.done), std::move(outcome));
}

void ClientEndpoint::ReportNow(PendingCall call, CallOutcome outcome) {
  --open_calls_;
  if (!shut_) call.done(std::move(outcome));
}

void ClientEndpoint::CloseIdle() {
  const auto idle = std::exchange(idle_, {});
  for (const auto& connection : idle) connection->Close();
}

void ClientEndpoint::Shut() {
  shut_ = true;
  const auto dropped = std::exchange(queue_, {});
  queue_due_.Cancel();
  const std::vector<std::shared_ptr<ClientConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : all) connection->Close();
}

ClientCore::ClientCore(boost::asio::io_context& io, ClientOptions options)
    : io_(io), options_(options), drop_at_(kMinEndpoints) {}

void ClientCore::Call(const std::string& name, PendingCall call) {
  auto found = endpoints_.find(name);
  if (found == endpoints_.end()) {
    const auto address = ParseEndpoint(name);
    if (!address) {
      PostOutcome(io_, std::move(call.done), NotSent(CallFailure::kRefused));
      return;
    }
    DropUnused();
    auto endpoint =
        std::make_shared<ClientEndpoint>(io_, options_, name, *address);
    found = endpoints_.emplace(name, std::move(endpoint)).first;
  }
  if (!IsSendable(call.call)) {
    PostOutcome(io_, std::move(call.done), NotSent(CallFailure::kBroken));
    return;
  }
  found->second->Submit(std::move(call));
}

void ClientCore::DropUnused() {
  if (endpoints_.size() < drop_at_) return;
  std::erase_if(endpoints_,
                [](const auto& entry) { return entry.second->IsUnused(); });
  drop_at_ = std::max(kMinEndpoints, 2 * endpoints_.size());
}

void ClientCore::Forget(const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found != endpoints_.end()) found->second->CloseIdle();
}

void ClientCore::Shut() {
  for (const auto& [name, endpoint] : endpoints_) endpoint->Shut();
}

std::size_t ClientCore::open_calls() const {
  std::size_t sum = 0;
  for (const auto& [name, endpoint] : endpoints_) {
    sum += endpoint->open_calls();
  }
  return sum;
}

std::size_t ClientCore::connections() const {
  std::size_t sum = 0;
  for (const auto& [name, endpoint] : endpoints_) {
    sum += endpoint->connections();
  }
  return sum;
}

}  // namespace http_internal

std::string_view CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kRefused:
      return "refused";
    case CallFailure::kTimedOut:
      return "timed_out";
    case CallFailure::kBroken:
      return "broken";
    case CallFailure::kPoolExhausted:
      return "pool_exhausted";
  }
  return "broken";
}

ClientPool::ClientPool(boost::asio::io_context& io, ClientOptions options)
    : core_(std::make_shared<http_internal::ClientCore>(io, options)) {}

ClientPool::~ClientPool() { core_->Shut(); }

void ClientPool::Call(const std::string& endpoint, HttpCall call,
                      Duration timeout, CallDone done) {
  core_->Call(endpoint, {.call = std::move(call),
                         .due = std::chrono::steady_clock::now() + timeout,
                         .done = std::move(done)});
}

void ClientPool::Forget(const std::string& endpoint) {
  core_->Forget(endpoint);
}

std::size_t ClientPool::open_calls() const { return core_->open_calls(); }

std::size_t ClientPool::connections() const { return core_->connections(); }

}  // namespace gypsumfall
