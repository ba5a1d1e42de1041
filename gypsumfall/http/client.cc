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

// Number of endpoints from which on unused ones are removed. Greater than the
// number of workers of the largest data centre.
constexpr std::size_t kMinCleanupThreshold = 1024;

CallOutcome NotSentOutcome(CallFailure failure) {
  return CallOutcome{
      .failure = failure, .certainly_not_sent = true, .body = {}};
}

void PostOutcome(boost::asio::io_context& io, CallCallback done,
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
      queue_deadline_(io, [this] { ExpireQueuedCalls(); }) {}

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
  while (!idle_connections_.empty()) {
    auto connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
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
    ReportLater(std::move(call), NotSentOutcome(CallFailure::kPoolExhausted));
    return;
  }
  queue_deadline_.Set(call.deadline, weak_from_this());
  queue_.push_back(std::move(call));
}

void ClientEndpoint::ExpireQueuedCalls() {
  const auto now = std::chrono::steady_clock::now();
  std::deque<PendingCall> remaining;
  auto next = Deadline::SteadyTime::max();
  for (PendingCall& call : queue_) {
    if (call.deadline <= now) {
      ReportLater(std::move(call), NotSentOutcome(CallFailure::kTimedOut));
      continue;
    }
    next = std::min(next, call.deadline);
    remaining.push_back(std::move(call));
  }
  queue_ = std::move(remaining);
  queue_deadline_.Set(next, weak_from_this());
}

void ClientEndpoint::OnConnectionAvailable(
    const std::shared_ptr<ClientConnection>& connection) {
  if (queue_.empty()) {
    connection->MarkIdle();
    idle_connections_.push_back(connection);
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

void ClientEndpoint::OnConnectionClosed(
    const std::shared_ptr<ClientConnection>& connection) {
  connections_.erase(connection);
  std::erase(idle_connections_, connection);
  ConnectQueuedCalls();
}

void ClientEndpoint::ConnectQueuedCalls() {
  while (!shut_down_ && !queue_.empty() &&
         connections_.size() < options_.max_connections_per_endpoint) {
    PendingCall call = std::move(queue_.front());
    queue_.pop_front();
    Connect(std::move(call));
  }
}

void ClientEndpoint::Resend(PendingCall call) {
  call.resent = true;
  if (connections_.size() < options_.max_connections_per_endpoint) {
    Connect(std::move(call));
  } else {
    queue_deadline_.Set(call.deadline, weak_from_this());
    queue_.push_front(std::move(call));
  }
}

void ClientEndpoint::ReportLater(PendingCall call, CallOutcome outcome) {
  --open_calls_;
  PostOutcome(io_, std::move(call.done), std::move(outcome));
}

void ClientEndpoint::ReportNow(PendingCall call, CallOutcome outcome) {
  --open_calls_;
  if (!shut_down_) call.done(std::move(outcome));
}

void ClientEndpoint::CloseIdle() {
  const auto idle = std::exchange(idle_connections_, {});
  for (const auto& connection : idle) connection->Close();
}

void ClientEndpoint::ShutdownNow() {
  shut_down_ = true;
  const auto dropped_calls = std::exchange(queue_, {});
  queue_deadline_.Cancel();
  const std::vector<std::shared_ptr<ClientConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : all) connection->Close();
}

ClientCore::ClientCore(boost::asio::io_context& io, ClientOptions options)
    : io_(io), options_(options), cleanup_threshold_(kMinCleanupThreshold) {}

void ClientCore::Call(const std::string& name, PendingCall call) {
  auto found = endpoints_.find(name);
  if (found == endpoints_.end()) {
    const auto address = ParseEndpoint(name);
    if (!address) {
      PostOutcome(io_, std::move(call.done),
                  NotSentOutcome(CallFailure::kRefused));
      return;
    }
    RemoveUnusedEndpoints();
    auto endpoint =
        std::make_shared<ClientEndpoint>(io_, options_, name, *address);
    found = endpoints_.emplace(name, std::move(endpoint)).first;
  }
  if (!IsSendable(call.call)) {
    PostOutcome(io_, std::move(call.done),
                NotSentOutcome(CallFailure::kTransportError));
    return;
  }
  found->second->Submit(std::move(call));
}

void ClientCore::RemoveUnusedEndpoints() {
  if (endpoints_.size() < cleanup_threshold_) return;
  std::erase_if(endpoints_,
                [](const auto& entry) { return entry.second->IsUnused(); });
  cleanup_threshold_ = std::max(kMinCleanupThreshold, 2 * endpoints_.size());
}

void ClientCore::CloseIdleConnections(const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found != endpoints_.end()) found->second->CloseIdle();
}

void ClientCore::ShutdownNow() {
  for (const auto& [name, endpoint] : endpoints_) endpoint->ShutdownNow();
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
    case CallFailure::kTransportError:
      return "broken";
    case CallFailure::kPoolExhausted:
      return "pool_exhausted";
  }
  return "broken";
}

ClientPool::ClientPool(boost::asio::io_context& io, ClientOptions options)
    : core_(std::make_shared<http_internal::ClientCore>(io, options)) {}

ClientPool::~ClientPool() { core_->ShutdownNow(); }

void ClientPool::Call(const std::string& endpoint, HttpCall call,
                      Duration timeout, CallCallback done) {
  core_->Call(endpoint, {.call = std::move(call),
                         .deadline = std::chrono::steady_clock::now() + timeout,
                         .done = std::move(done)});
}

void ClientPool::CloseIdleConnections(const std::string& endpoint) {
  core_->CloseIdleConnections(endpoint);
}

std::size_t ClientPool::open_calls() const { return core_->open_calls(); }

std::size_t ClientPool::connections() const { return core_->connections(); }

}  // namespace gypsumfall
