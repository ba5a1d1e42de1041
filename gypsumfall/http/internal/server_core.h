#ifndef GYPSUMFALL_HTTP_INTERNAL_SERVER_CORE_H_
#define GYPSUMFALL_HTTP_INTERNAL_SERVER_CORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/deadline.h"

namespace gypsumfall::http_internal {

/// Implementation of Server: accepts connections, enforces their limit and
/// performs the graceful shutdown.
class ServerCore : public std::enable_shared_from_this<ServerCore> {
 public:
  ServerCore(boost::asio::io_context& io, ServerOptions options,
             Handler handler);

  Result<std::string> Start();
  void Stop(Duration grace_period, UniqueFunction<std::size_t> done);
  /// Closes all connections immediately and runs no callbacks.
  void ShutdownNow();

  /// Removes a closed connection.
  void Remove(const std::shared_ptr<ServerConnection>& connection);
  /// Called when a connection has sent its last response.
  void OnLingering() { FinishStopIfDone(); }
  /// Passes a request to the handler.
  void Handle(HttpRequest request, Responder responder);

  boost::asio::io_context& io() { return io_; }
  const ServerOptions& options() const { return options_; }
  bool stopping() const { return stopping_; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_requests() const { return open_requests_; }
  std::size_t refused_connections() const { return refused_connections_; }

  void CountOpened() { ++open_requests_; }
  void CountAnswered() { --open_requests_; }
  void AdjustLingering(int change) { lingering_connections_ += change; }

 private:
  std::error_code Listen();
  void Accept();
  void OnAccept(const boost::system::error_code& error,
                boost::asio::ip::tcp::socket socket);
  void Admit(boost::asio::ip::tcp::socket socket);
  void CloseIdle();
  void CloseAll();
  void FinishStopIfDone();
  void ReportStopped(std::size_t aborted_requests);

  boost::asio::io_context& io_;
  ServerOptions options_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::size_t open_requests_ = 0;
  std::size_t refused_connections_ = 0;
  int lingering_connections_ = 0;
  bool stopping_ = false;
  UniqueFunction<std::size_t> on_stopped_;
  Deadline accept_retry_;
  Deadline drain_deadline_;
  Deadline grace_deadline_;
};

/// One accepted connection. Reads a request, sends its response and then reads
/// the next one.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerCore> core,
                   boost::asio::ip::tcp::socket socket);

  /// Starts to read the first request.
  void Start();
  /// Responds with an error without handling a request, and closes.
  void Reject(ErrorKind kind, std::string_view detail);
  /// Sends the response to the request that is being handled.
  void Respond(const HttpResponse& response);
  /// Responds with `internal` because the responder was destroyed without being
  /// called.
  void OnResponderDropped();
  /// Closes the connection unless a request is being received or handled.
  void CloseIfIdle();
  void Close();

 private:
  enum class State {
    /// Waiting for the first byte of a request.
    kIdle,
    /// Has received a part of a request.
    kReceiving,
    kHandling,
    kWriting,
    /// Discarding input after the last response until the client closes.
    kLingering,
    kClosed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void AwaitRequest();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  void OnMalformed(const boost::system::error_code& error);
  void Dispatch();
  HttpRequest TakeRequest();
  void Write(const HttpResponse& response);
  void ContinueWrite();
  void OnWritten();
  void Linger();
  void Discard();
  void OnDeadline();

  std::shared_ptr<ServerCore> core_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string output_;
  std::size_t bytes_written_ = 0;
  std::size_t bytes_discarded_ = 0;
  State state_ = State::kIdle;
  bool close_after_response_ = false;
  bool header_only_ = false;
  bool counted_open_ = false;
  Deadline deadline_;
};

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_SERVER_CORE_H_
