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

struct ClientOptions {
  std::size_t max_connections_per_endpoint = 64;
  /// Calls that wait for a connection, per endpoint; more fail with
  /// `pool_exhausted`.
  std::size_t max_queued_per_endpoint = 256;
  Duration connect_timeout = seconds(1);
  /// A connection that was unused for this long is closed.
  Duration idle_timeout = seconds(30);
  /// Largest response body in bytes; a larger one breaks the call.
  std::size_t max_body = std::size_t{16} << 20;
};

/// Why a call has no response.
enum class CallFailure {
  /// The endpoint refused the connection or can not be reached.
  kRefused,
  /// The call's time or the time to connect is over.
  kTimedOut,
  /// The connection ended, or the response is not valid HTTP.
  kBroken,
  /// Too many calls wait for this endpoint.
  kPoolExhausted,
};

/// @return the failure's name, such as "timed_out".
std::string_view CallFailureName(CallFailure failure);

struct CallOutcome {
  /// Unset if a response was received.
  std::optional<CallFailure> failure = {};
  /// True only for a failed call of which no byte was written.
  bool certainly_not_sent = false;
  /// HTTP status and body of the response.
  int status = 0;
  std::string body = {};
};

using CallDone = UniqueFunction<CallOutcome>;

namespace http_internal {
class ClientCore;
}  // namespace http_internal

/// Sends calls over a bounded number of reused connections per endpoint. A
/// call is never sent twice: it is moved to another connection only if no byte
/// of it was written.
class ClientPool {
 public:
  ClientPool(boost::asio::io_context& io, ClientOptions options);
  /// Closes all connections and drops the callbacks of open calls.
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /// Sends a call.
  /// @param endpoint "ip:port".
  /// @param timeout longest time until the outcome, queueing included.
  /// @param done receives the outcome, exactly once, later on the io_context.
  void Call(const std::string& endpoint, HttpCall call, Duration timeout,
            CallDone done);

  /// Closes the idle connections to an endpoint that is gone.
  void Forget(const std::string& endpoint);

  /// @return calls that have no outcome yet.
  std::size_t open_calls() const;
  /// @return connections, idle ones included.
  std::size_t connections() const;

 private:
  std::shared_ptr<http_internal::ClientCore> core_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_CLIENT_H_
