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

/// A call that has no outcome yet.
struct PendingCall {
  HttpCall call = {};
  Deadline::SteadyTime due = {};
  CallDone done = {};
  /// Set once the call was moved off a reused connection that had closed.
  bool moved = false;
};

/// All connections to one server and the calls that wait for one.
class ClientEndpoint : public std::enable_shared_from_this<ClientEndpoint> {
 public:
  ClientEndpoint(boost::asio::io_context& io, const ClientOptions& options,
                 std::string name, boost::asio::ip::tcp::endpoint address);

  /// Sends or queues a call.
  void Submit(PendingCall call);
  /// Gives a connection its next call, or keeps it idle.
  void OnFree(const std::shared_ptr<ClientConnection>& connection);
  /// Removes a connection that has closed.
  void OnClosed(const std::shared_ptr<ClientConnection>& connection);
  /// Sends a call of which no byte was written on a new connection.
  void Resend(PendingCall call);
  /// Reports an outcome later on the io_context.
  void Report(PendingCall call, CallOutcome outcome);
  /// Reports an outcome at once; for use in handlers of the io_context.
  void ReportNow(PendingCall call, CallOutcome outcome);
  void CloseIdle();
  /// Closes everything; open calls get no outcome.
  void Shut();

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
  void ServeQueue();
  void ExpireQueued();

  boost::asio::io_context& io_;
  ClientOptions options_;
  std::string name_;
  boost::asio::ip::tcp::endpoint address_;
  std::unordered_set<std::shared_ptr<ClientConnection>> connections_;
  /// The most recently used connection is last, and is used first.
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  std::deque<PendingCall> queue_;
  Deadline queue_due_;
  std::size_t open_calls_ = 0;
  bool shut_ = false;
};

/// One connection; carries one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(std::shared_ptr<ClientEndpoint> endpoint);

  /// Connects, then sends the call.
  void Connect(PendingCall call);
  /// Sends a call on an idle connection.
  void Send(PendingCall call);
  /// @return whether the server has not closed the idle connection.
  bool IsUsable();
  void BecomeIdle();
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
  void OnEnd();
  void Finish();
  void Fail(CallFailure failure, bool certainly_not_sent);
  void OnDue();

  std::shared_ptr<ClientEndpoint> endpoint_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string out_;
  std::size_t written_ = 0;
  State state_ = State::kConnecting;
  bool reused_ = false;
  PendingCall call_;
  Deadline deadline_;
};

/// Endpoints by name.
class ClientCore {
 public:
  ClientCore(boost::asio::io_context& io, ClientOptions options);
  void Call(const std::string& name, PendingCall call);
  void Forget(const std::string& name);
  void Shut();
  std::size_t open_calls() const;
  std::size_t connections() const;

 private:
  void DropUnused();

  boost::asio::io_context& io_;
  ClientOptions options_;
  std::unordered_map<std::string, std::shared_ptr<ClientEndpoint>> endpoints_;
  std::size_t drop_at_ = 0;
};

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_CLIENT_CORE_H_
