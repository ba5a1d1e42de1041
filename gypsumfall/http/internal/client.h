#ifndef GYPSUMFALL_HTTP_INTERNAL_CLIENT_H_
#define GYPSUMFALL_HTTP_INTERNAL_CLIENT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"
#include "gypsumfall/http/internal/messages.h"
#include "gypsumfall/http/internal/unique_function.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall {

/// @param text "ip:port" or "[ip]:port".
/// @return whether calls can be sent to this address.
bool IsEndpoint(std::string_view text);

/// Limits of a ClientPool.
struct ClientOptions {
  std::size_t max_connections_per_endpoint = 64;
  /// Maximum number of calls per endpoint that wait for a connection; further
  /// calls fail with `kPoolExhausted`.
  std::size_t max_queued_per_endpoint = 256;
  Duration connect_timeout = seconds(1);
  /// Time after which an unused connection is closed.
  Duration idle_timeout = seconds(30);
  /// Maximum size of a response body in bytes; a larger one fails the call.
  std::size_t max_body = std::size_t{16} << 20;
};

/// Reason for which a call has no response.
enum class CallFailure {
  /// The endpoint refused the connection or is unreachable.
  kRefused,
  /// The timeout of the call or of connecting has expired.
  kTimedOut,
  /// The connection was closed, the call or the response is not valid HTTP, or
  /// the response exceeds a size limit.
  kTransportError,
  /// Too many calls are waiting for a connection to the endpoint.
  kPoolExhausted,
};

/// @return the failure's name, such as "timed_out".
std::string_view CallFailureName(CallFailure failure);

/// Response to a call, or the reason why there is none.
struct CallOutcome {
  /// Unset if a response was received.
  std::optional<CallFailure> failure = {};
  /// True only if the call failed before any byte of it was written.
  bool certainly_not_sent = false;
  /// HTTP status and body of the response.
  int status = 0;
  std::string body = {};
};

/// Receives the outcome of a call.
using CallCallback = UniqueFunction<CallOutcome>;

namespace http_internal {
class ClientCore;
}  // namespace http_internal

/// Sends calls over a bounded number of persistent connections per endpoint. A
/// call is never sent twice: it is retried on another connection only if no
/// byte of it was written.
class ClientPool {
 public:
  ClientPool(boost::asio::io_context& io, ClientOptions options);
  /// Closes all connections and destroys the callbacks of open calls without
  /// calling them.
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /// Sends a call.
  /// @param endpoint "ip:port".
  /// @param timeout maximum time until the outcome, including time in the
  /// queue.
  /// @param done called exactly once with the outcome, on the io_context after
  ///   this call has returned.
  void Call(const std::string& endpoint, HttpCall call, Duration timeout,
            CallCallback done);

  /// Closes the idle connections to an endpoint, for example to one that has
  /// been removed.
  void CloseIdleConnections(const std::string& endpoint);

  /// @return the number of calls without an outcome so far.
  std::size_t open_calls() const;
  /// @return the number of connections, including idle ones.
  std::size_t connections() const;

 private:
  std::shared_ptr<http_internal::ClientCore> core_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_CLIENT_H_
