#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/endpoint.h"
#include "gypsumfall/http/internal/server_core.h"

namespace gypsumfall {
namespace http_internal {
namespace {

using Tcp = boost::asio::ip::tcp;

// Maximum number of connections that linger until their client has read the
// response; beyond it, rejected connections are closed without a response.
constexpr int kMaxLingering = 64;

// Delay after a failed accept, which mostly means that the process has no free
// file descriptors.
constexpr Duration kAcceptRetryDelay = milliseconds(100);

}  // namespace

ServerCore::ServerCore(boost::asio::io_context& io, ServerOptions options,
                       Handler handler)
    : io_(io),
      options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(io),
      accept_retry_(io, [this] { Accept(); }),
      drain_deadline_(io, [this] { CloseIdle(); }),
      grace_deadline_(io, [this] { CloseAll(); }) {}

Result<std::string> ServerCore::Start() {
  const std::error_code error = Listen();
  if (error) {
    return Fail(
        ErrorKind::kInvalidSettings,
        "cannot listen on \"" + options_.listen + "\": " + error.message());
  }
  Accept();
  return FormatEndpoint(acceptor_.local_endpoint());
}

std::error_code ServerCore::Listen() {
  const auto endpoint = ParseEndpoint(options_.listen);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error)
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  return error;
}

void ServerCore::Accept() {
  if (stopping_) return;
  acceptor_.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  Tcp::socket socket) {
        self->OnAccept(error, std::move(socket));
      });
}

void ServerCore::OnAccept(const boost::system::error_code& error,
                          Tcp::socket socket) {
  if (stopping_) return;
  if (error) {
    accept_retry_.SetAfter(kAcceptRetryDelay, weak_from_this());
    return;
  }
  Admit(std::move(socket));
  Accept();
}

void ServerCore::Admit(Tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const bool full = connections_.size() >=
                    options_.max_connections +
                        static_cast<std::size_t>(lingering_connections_);
  if (full) ++refused_connections_;
  if (full && lingering_connections_ >= kMaxLingering) return;
  auto connection =
      std::make_shared<ServerConnection>(shared_from_this(), std::move(socket));
  connections_.insert(connection);
  if (full) {
    connection->Reject(ErrorKind::kOverLimit, "too many connections");
  } else {
    connection->Start();
  }
}

void ServerCore::Stop(Duration grace_period, UniqueFunction<std::size_t> done) {
  if (stopping_) return;
  stopping_ = true;
  on_stopped_ = std::move(done);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_.Cancel();
  grace_deadline_.SetAfter(grace_period, weak_from_this());
  if (options_.stop_drain_time > Duration::zero()) {
    drain_deadline_.SetAfter(options_.stop_drain_time, weak_from_this());
  } else {
    CloseIdle();
  }
  FinishStopIfDone();
}

void ServerCore::CloseIdle() {
  const std::vector<std::shared_ptr<ServerConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : all) connection->CloseIfIdle();
}

void ServerCore::CloseAll() {
  ReportStopped(open_requests_);
  const std::vector<std::shared_ptr<ServerConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : all) connection->Close();
}

void ServerCore::ShutdownNow() {
  stopping_ = true;
  on_stopped_ = {};
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  CloseAll();
  accept_retry_.Cancel();
  drain_deadline_.Cancel();
  grace_deadline_.Cancel();
}

void ServerCore::Remove(const std::shared_ptr<ServerConnection>& connection) {
  connections_.erase(connection);
  FinishStopIfDone();
}

void ServerCore::FinishStopIfDone() {
  if (!stopping_) return;
  if (connections_.size() > static_cast<std::size_t>(lingering_connections_))
    return;
  ReportStopped(0);
}

void ServerCore::ReportStopped(std::size_t aborted_requests) {
  grace_deadline_.Cancel();
  drain_deadline_.Cancel();
  if (!on_stopped_) return;
  boost::asio::post(
      io_, [done = std::exchange(on_stopped_, {}), aborted_requests]() mutable {
        done(aborted_requests);
      });
}

void ServerCore::Handle(HttpRequest request, Responder responder) {
  handler_(std::move(request), std::move(responder));
}

}  // namespace http_internal

Responder::Responder(
    std::shared_ptr<http_internal::ServerConnection> connection)
    : connection_(std::move(connection)) {}

Responder::Responder(Responder&& other) noexcept = default;

Responder& Responder::operator=(Responder&& other) noexcept {
  if (this == &other) return *this;
  if (connection_) connection_->OnResponderDropped();
  connection_ = std::move(other.connection_);
  return *this;
}

Responder::~Responder() {
  if (connection_) connection_->OnResponderDropped();
}

void Responder::operator()(const HttpResponse& response) {
  if (!connection_) return;
  std::exchange(connection_, nullptr)->Respond(response);
}

void Responder::Abort() {
  if (connection_) std::exchange(connection_, nullptr)->Close();
}

Server::Server(boost::asio::io_context& io, ServerOptions options,
               Handler handler)
    : core_(std::make_shared<http_internal::ServerCore>(io, std::move(options),
                                                        std::move(handler))) {}

Server::~Server() { core_->ShutdownNow(); }

Result<std::string> Server::Start() { return core_->Start(); }

void Server::Stop(Duration grace_period, UniqueFunction<std::size_t> done) {
  core_->Stop(grace_period, std::move(done));
}

std::size_t Server::open_requests() const { return core_->open_requests(); }

std::size_t Server::refused_connections() const {
  return core_->refused_connections();
}

std::size_t Server::connections() const { return core_->connections(); }

}  // namespace gypsumfall
