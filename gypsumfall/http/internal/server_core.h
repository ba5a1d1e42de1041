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

/// Accepts connections, counts them and carries out a stop.
class ServerCore : public std::enable_shared_from_this<ServerCore> {
 public:
  ServerCore(boost::asio::io_context& io, ServerOptions options,
             Handler handler);

  Result<std::string> Start();
  void Stop(Duration grace, UniqueFunction<std::size_t> done);
  /// Closes everything at once and calls nothing back.
  void Shut();

  /// Removes a connection that has closed.
  void Remove(const std::shared_ptr<ServerConnection>& connection);
  /// Called when a connection has sent its last answer.
  void OnLingering() { FinishStopIfDone(); }
  /// Hands a request to the handler.
  void Handle(HttpRequest request, Responder responder);

  boost::asio::io_context& io() { return io_; }
  const ServerOptions& options() const { return options_; }
  bool stopping() const { return stopping_; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_requests() const { return open_requests_; }
  std::size_t refused_connections() const { return refused_connections_; }

  void CountOpened() { ++open_requests_; }
  void CountAnswered() { --open_requests_; }
  void CountLingering(int change) { lingering_ += change; }

 private:
  std::error_code Listen();
  void Accept();
  void OnAccept(const boost::system::error_code& error,
                boost::asio::ip::tcp::socket socket);
  void Admit(boost::asio::ip::tcp::socket socket);
  void CloseIdle();
  void CloseAll();
  void FinishStopIfDone();
  void ReportStopped(std::size_t cut_off);

  boost::asio::io_context& io_;
  ServerOptions options_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::size_t open_requests_ = 0;
  std::size_t refused_connections_ = 0;
  int lingering_ = 0;
  bool stopping_ = false;
  UniqueFunction<std::size_t> stopped_;
  Deadline accept_retry_;
  Deadline drain_;
  Deadline grace_;
};

/// One accepted connection; reads a request, answers it, reads the next.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerCore> core,
                   boost::asio::ip::tcp::socket socket);

  /// Reads the first request.
  void Start();
  /// Answers an error without reading a request, and closes.
  void Reject(ErrorKind kind, std::string_view detail);
  /// Answers the request that is being handled.
  void Respond(const HttpResponse& response);
  /// Answers `internal` for a responder that was dropped.
  void RespondDropped();
  /// Closes unless a request is being received or handled.
  void CloseIfIdle();
  void Close();

 private:
  enum class State {
    /// Waits for the first byte of a request.
    kIdle,
    /// Has a part of a request.
    kReceiving,
    kHandling,
    kWriting,
    /// Discards input until the client has read the last answer and closes.
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
  void OnDue();

  std::shared_ptr<ServerCore> core_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string out_;
  std::size_t written_ = 0;
  std::size_t discarded_ = 0;
  State state_ = State::kIdle;
  bool close_after_ = false;
  bool header_only_ = false;
  bool counted_open_ = false;
  Deadline deadline_;
};

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_SERVER_CORE_H_
