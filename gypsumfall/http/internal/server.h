#ifndef GYPSUMFALL_HTTP_INTERNAL_SERVER_H_
#define GYPSUMFALL_HTTP_INTERNAL_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/http/internal/messages.h"
#include "gypsumfall/http/internal/unique_function.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall {

/// Address and limits of a Server.
struct ServerOptions {
  /// "ip:port" to listen on; port 0 selects a free port.
  std::string listen = "127.0.0.1:0";
  /// Maximum size of a request body in bytes; a larger one is answered with
  /// `too_large`.
  std::size_t max_body = std::size_t{1} << 20;
  /// Maximum size of the request line and headers together, in bytes.
  std::size_t max_header = std::size_t{8} << 10;
  /// Maximum number of connections; further ones are answered with `over_limit`
  /// and closed.
  std::size_t max_connections = 4096;
  /// Maximum time from the first to the last byte of a request, and for writing
  /// a response.
  Duration header_timeout = seconds(10);
  /// Maximum time that a connection waits for its next request.
  Duration idle_timeout = seconds(60);
  /// Time for which a shutdown keeps idle connections open. A request that
  /// arrives in this time is answered, and its connection is then closed.
  Duration stop_drain_time = milliseconds(200);
};

namespace http_internal {
class ServerConnection;
class ServerCore;
}  // namespace http_internal

/// Sends the response to one request. May be called after the handler has
/// returned, once, on the thread of the io_context. If it is destroyed without
/// being called, the request is answered with `internal`. It may outlive the
/// server.
class Responder {
 public:
  /// Used by the server only.
  explicit Responder(
      std::shared_ptr<http_internal::ServerConnection> connection);
  Responder(Responder&& other) noexcept;
  Responder& operator=(Responder&& other) noexcept;
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  ~Responder();

  /// Sends the response; further calls are ignored. If the client has
  /// disconnected, the response is discarded.
  void operator()(const HttpResponse& response);

  /// Closes the connection without a response, to simulate a failing server.
  void Abort();

 private:
  std::shared_ptr<http_internal::ServerConnection> connection_;
};

/// Handles one request. Called on the thread of the io_context.
using Handler = std::function<void(HttpRequest, Responder)>;

/// HTTP server. Handles the requests of each connection one after another.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerOptions options, Handler handler);
  /// Closes all connections immediately; open requests are not answered.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to listen.
  /// @return the address as "ip:port" with the actual port, or
  ///   `kInvalidSettings` if the server cannot listen on it.
  Result<std::string> Start();

  /// Shuts down gracefully: stops accepting connections, closes idle ones and
  /// lets open requests finish. Connections are closed after their response.
  /// @param grace_period time after which the remaining connections are closed.
  /// @param done called once no request is open, with the number of requests
  ///   that were aborted at the end of the grace period.
  void Stop(Duration grace_period, UniqueFunction<std::size_t> done);

  /// @return the number of requests that were received and whose response is
  ///   not completely sent.
  std::size_t open_requests() const;
  /// @return the number of connections that were refused because of the limit.
  std::size_t refused_connections() const;
  /// @return the number of open connections.
  std::size_t connections() const;

 private:
  std::shared_ptr<http_internal::ServerCore> core_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_SERVER_H_
