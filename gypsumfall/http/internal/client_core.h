#ifndef GYPSUMFALL_HTTP_INTERNAL_CLIENT_CORE_H_
#define GYPSUMFALL_HTTP_INTERNAL_CLIENT_CORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/deadline.h"

namespace gypsumfall::http_internal {

class ClientConnection;

/// A call without an outcome so far.
struct PendingCall {
  HttpCall call = {};
  Deadline::SteadyTime deadline = {};
  CallCallback done = {};
  /// Whether the call was moved to a new connection because the server had
  /// closed the reused one. A call is moved at most once.
  bool resent = false;
};

/// Connection pool of one server: its connections and a queue of calls that
/// wait for one.
class ClientEndpoint : public std::enable_shared_from_this<ClientEndpoint> {
 public:
  ClientEndpoint(boost::asio::io_context& io, const ClientOptions& options,
                 std::string name, boost::asio::ip::tcp::endpoint address);

  /// Sends a call, or queues it if all connections are busy.
  void Submit(PendingCall call);
  /// Assigns the next queued call to a connection, or marks it idle.
  void OnConnectionAvailable(
      const std::shared_ptr<ClientConnection>& connection);
  /// Removes a closed connection.
  void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection);
  /// Retries a call on a new connection. No byte of the call may have been
  /// written.
  void Resend(PendingCall call);
  /// Posts the callback of a call to the io_context.
  void ReportLater(PendingCall call, CallOutcome outcome);
  /// Runs the callback of a call directly. Only for handlers of the io_context.
  void ReportNow(PendingCall call, CallOutcome outcome);
  void CloseIdle();
  /// Closes all connections; open calls receive no outcome.
  void ShutdownNow();

  boost::asio::io_context& io() { return io_; }
  const ClientOptions& options() const { return options_; }
  const std::string& name() const { return name_; }
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_calls() const { return open_calls_; }
  bool IsUnused() const { return connections_.empty() && open_calls_ == 0; }

 private:
  std::shared_ptr<ClientConnection> TakeIdle();
  void Connect(PendingCall call);
  void Enqueue(PendingCall call);
  void ConnectQueuedCalls();
  void ExpireQueuedCalls();

  boost::asio::io_context& io_;
  ClientOptions options_;
  std::string name_;
  boost::asio::ip::tcp::endpoint address_;
  std::unordered_set<std::shared_ptr<ClientConnection>> connections_;
  /// Stack of idle connections: the most recently used one is last and is
  /// reused first.
  std::vector<std::shared_ptr<ClientConnection>> idle_connections_;
  std::deque<PendingCall> queue_;
  Deadline queue_deadline_;
  std::size_t open_calls_ = 0;
  bool shut_down_ = false;
};

/// One client connection. Carries one call at a time, without pipelining.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(std::shared_ptr<ClientEndpoint> endpoint);

  /// Connects, then sends the call.
  void Connect(PendingCall call);
  /// Sends a call on an idle connection.
  void Send(PendingCall call);
  /// @return whether the connection is open and has no unread input.
  bool IsUsable();
  void MarkIdle();
  void Close();

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnected(const boost::system::error_code& error);
  void Write();
  void ContinueWrite();
  void OnWriteFailed();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  void OnReadFailed();
  void Finish();
  void Fail(CallFailure failure, bool certainly_not_sent);
  void OnDeadline();

  std::shared_ptr<ClientEndpoint> endpoint_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string output_;
  std::size_t bytes_written_ = 0;
  State state_ = State::kConnecting;
  bool reused_ = false;
  PendingCall call_;
  Deadline deadline_;
};

/// Connection pools by endpoint name.
class ClientCore {
 public:
  ClientCore(boost::asio::io_context& io, ClientOptions options);
  void Call(const std::string& name, PendingCall call);
  void CloseIdleConnections(const std::string& name);
  void ShutdownNow();
  std::size_t open_calls() const;
  std::size_t connections() const;

 private:
  void RemoveUnusedEndpoints();

  boost::asio::io_context& io_;
  ClientOptions options_;
  std::unordered_map<std::string, std::shared_ptr<ClientEndpoint>> endpoints_;
  std::size_t cleanup_threshold_ = 0;
};

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_CLIENT_CORE_H_
