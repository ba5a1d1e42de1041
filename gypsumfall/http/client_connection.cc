#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <memory>
#include <utility>

#include "gypsumfall/http/internal/client_core.h"
#include "gypsumfall/http/internal/wire.h"

namespace gypsumfall::http_internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Sizes of reads in bytes: until the header is complete, and of a body.
constexpr std::size_t kInitialReadSize = std::size_t{4} << 10;
constexpr std::size_t kBodyReadSize = std::size_t{64} << 10;
// Buffers with a larger capacity are freed after a call.
constexpr std::size_t kMaxRetainedBufferBytes = std::size_t{64} << 10;
constexpr std::uint32_t kMaxResponseHeaderBytes = std::uint32_t{16} << 10U;

}  // namespace

ClientConnection::ClientConnection(std::shared_ptr<ClientEndpoint> endpoint)
    : endpoint_(std::move(endpoint)),
      socket_(endpoint_->io()),
      deadline_(endpoint_->io(), [this] { OnDeadline(); }) {}

void ClientConnection::Connect(PendingCall call) {
  call_ = std::move(call);
  const auto connect_deadline =
      std::chrono::steady_clock::now() + endpoint_->options().connect_timeout;
  deadline_.Set(std::min(connect_deadline, call_.deadline), weak_from_this());
  socket_.async_connect(endpoint_->address(),
                        [self = shared_from_this()](const error_code& error) {
                          self->OnConnected(error);
                        });
}

void ClientConnection::OnConnected(const error_code& error) {
  if (state_ != State::kConnecting) return;
  if (error) {
    Fail(CallFailure::kRefused, true);
    return;
  }
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  state_ = State::kBusy;
  deadline_.Set(call_.deadline, weak_from_this());
  Write();
  if (state_ == State::kBusy) Read();
}

void ClientConnection::Send(PendingCall call) {
  call_ = std::move(call);
  state_ = State::kBusy;
  reused_ = true;
  deadline_.Set(call_.deadline, weak_from_this());
  Write();
}

bool ClientConnection::IsUsable() {
  std::array<char, 1> byte;
  error_code error;
  socket_.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

void ClientConnection::Write() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(endpoint_->options().max_body);
  WriteRequest(call_.call, endpoint_->name(), output_);
  error_code error;
  bytes_written_ = socket_.write_some(asio::buffer(output_), error);
  if (error && error != asio::error::would_block) {
    OnWriteFailed();
  } else if (bytes_written_ < output_.size()) {
    ContinueWrite();
  }
}

void ClientConnection::ContinueWrite() {
  asio::async_write(
      socket_, asio::buffer(output_) + bytes_written_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        // After an error the response may still be read: a server may respond
        // and close before it has read the whole request. The deadline bounds
        // the wait.
        if (!error) self->bytes_written_ = self->output_.size();
      });
}

void ClientConnection::OnWriteFailed() {
  if (!reused_ || call_.resent) {
    Fail(CallFailure::kTransportError, true);
    return;
  }
  PendingCall call = std::move(call_);
  const auto endpoint = endpoint_;
  Close();
  endpoint->Resend(std::move(call));
}

void ClientConnection::Read() {
  const std::size_t size =
      parser_ && parser_->is_header_done() ? kBodyReadSize : kInitialReadSize;
  socket_.async_read_some(
      buffer_.prepare(size),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ClientConnection::OnRead(const error_code& error, std::size_t bytes) {
  if (state_ == State::kClosed) return;
  if (state_ == State::kIdle) {
    // The server closed the connection or sent bytes without a request; in
    // either case the connection cannot be reused.
    Close();
    return;
  }
  if (error) {
    OnReadFailed();
    return;
  }
  buffer_.commit(bytes);
  Parse();
}

void ClientConnection::Parse() {
  error_code error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error && error != http::error::need_more) {
    Fail(CallFailure::kTransportError, false);
  } else if (parser_->is_done()) {
    Finish();
  } else {
    Read();
  }
}

void ClientConnection::OnReadFailed() {
  error_code error;
  if (parser_->is_header_done() && parser_->need_eof()) {
    parser_->put_eof(error);
    if (!error) {
      Finish();
      return;
    }
  }
  Fail(CallFailure::kTransportError, false);
}

void ClientConnection::Finish() {
  auto& message = parser_->get();
  CallOutcome outcome{.status = static_cast<int>(message.result_int()),
                      .body = std::move(message.body())};
  // If the response arrived before the whole request was written, the
  // connection cannot be reused: the rest of the request would precede the next
  // one.
  const bool reusable = parser_->keep_alive() && buffer_.size() == 0 &&
                        bytes_written_ == output_.size();
  PendingCall call = std::move(call_);
  call_ = {};
  const auto self = shared_from_this();
  const auto endpoint = endpoint_;
  if (reusable) {
    if (output_.capacity() > kMaxRetainedBufferBytes) output_ = {};
    if (buffer_.capacity() > kMaxRetainedBufferBytes) buffer_.shrink_to_fit();
    parser_.reset();
    Read();
    endpoint->OnConnectionAvailable(self);
  } else {
    Close();
  }
  endpoint->ReportNow(std::move(call), std::move(outcome));
}

void ClientConnection::Fail(CallFailure failure, bool certainly_not_sent) {
  PendingCall call = std::move(call_);
  call_ = {};
  const auto endpoint = endpoint_;
  Close();
  endpoint->ReportLater(std::move(call),
                        CallOutcome{.failure = failure,
                                    .certainly_not_sent = certainly_not_sent,
                                    .body = {}});
}

void ClientConnection::MarkIdle() {
  state_ = State::kIdle;
  deadline_.SetAfter(endpoint_->options().idle_timeout, weak_from_this());
}

void ClientConnection::OnDeadline() {
  switch (state_) {
    case State::kConnecting:
      Fail(CallFailure::kTimedOut, true);
      break;
    case State::kBusy:
      Fail(CallFailure::kTimedOut, false);
      break;
    case State::kIdle:
      Close();
      break;
    case State::kClosed:
      break;
  }
}

void ClientConnection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  error_code ignored;
  socket_.close(ignored);
  deadline_.Cancel();
  endpoint_->OnConnectionClosed(shared_from_this());
}

}  // namespace gypsumfall::http_internal
