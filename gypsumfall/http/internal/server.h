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

struct ServerOptions {
  /// "ip:port" to listen on; port 0 takes a free one.
  std::string listen = "127.0.0.1:0";
  /// Largest body, in bytes; larger ones are answered `too_large`.
  std::size_t max_body = std::size_t{1} << 20;
  /// Largest request line and headers together, in bytes.
  std::size_t max_header = std::size_t{8} << 10;
  /// Connections beyond this are answered `over_limit` and closed.
  std::size_t max_connections = 4096;
  /// Longest time from the first byte of a request to its last, and for
  /// writing a response.
  Duration header_timeout = seconds(10);
  /// Longest time that a connection may wait for its next request.
  Duration idle_timeout = seconds(60);
  /// Time that a stop leaves idle connections open. A request that a client
  /// sends in this time is answered; its connection is then closed.
  Duration stop_drain = milliseconds(200);
};

namespace http_internal {
class ServerConnection;
class ServerCore;
}  // namespace http_internal

/// Answers one request. May be called later, once; the thread must be that of
/// the io_context. If it is destroyed without a call, the request is answered
/// `internal`. Outlives its server safely.
class Responder {
 public:
  /// Made by the server.
  explicit Responder(
      std::shared_ptr<http_internal::ServerConnection> connection);
  Responder(Responder&& other) noexcept;
  Responder& operator=(Responder&& other) noexcept;
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  ~Responder();

  /// Sends the response; later calls are ignored. If the client has
  /// disconnected, the response is dropped.
  void operator()(const HttpResponse& response);

  /// Closes the connection without an answer, as a failing server does.
  void Abandon();

 private:
  std::shared_ptr<http_internal::ServerConnection> connection_;
};

/// Decides on one request; called on the thread of the io_context.
using Handler = std::function<void(HttpRequest, Responder)>;

/// Accepts connections and answers their requests one after another.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerOptions options, Handler handler);
  /// Closes all connections at once; open requests are not answered.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to listen.
  /// @return the address as "ip:port" with the real port, or
  /// `kInvalidSettings` if it can not be listened on.
  Result<std::string> Start();

  /// Stops accepting, closes idle connections and lets open requests finish;
  /// each of their answers ends its connection.
  /// @param grace time after which the remaining connections are closed.
  /// @param done called once no request is open, with the number of requests
  /// that were cut off when the grace ended.
  void Stop(Duration grace, UniqueFunction<std::size_t> done);

  /// @return requests that were received and not yet fully answered.
  std::size_t open_requests() const;
  /// @return connections that were refused because of the limit.
  std::size_t refused_connections() const;
  /// @return open connections.
  std::size_t connections() const;

 private:
  std::shared_ptr<http_internal::ServerCore> core_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_SERVER_H_
