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

constexpr std::size_t kFirstRead = std::size_t{4} << 10;
constexpr std::size_t kBodyRead = std::size_t{64} << 10;
// Buffers above this size are given back after a call.
constexpr std::size_t kKeptBuffer = std::size_t{64} << 10;
constexpr std::uint32_t kMaxHeader = std::uint32_t{16} << 10U;

}  // namespace

ClientConnection::ClientConnection(std::shared_ptr<ClientEndpoint> endpoint)
    : endpoint_(std::move(endpoint)),
      socket_(endpoint_->io()),
      deadline_(endpoint_->io(), [this] { OnDue(); }) {}

void ClientConnection::Connect(PendingCall call) {
  call_ = std::move(call);
  const auto latest =
      std::chrono::steady_clock::now() + endpoint_->options().connect_timeout;
  deadline_.Set(std::min(latest, call_.due), weak_from_this());
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
  deadline_.Set(call_.due, weak_from_this());
  Write();
  if (state_ == State::kBusy) Read();
}

void ClientConnection::Send(PendingCall call) {
  call_ = std::move(call);
  state_ = State::kBusy;
  reused_ = true;
  deadline_.Set(call_.due, weak_from_this());
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
  parser_->header_limit(kMaxHeader);
  parser_->body_limit(endpoint_->options().max_body);
  WriteRequest(call_.call, endpoint_->name(), out_);
  error_code error;
  written_ = socket_.write_some(asio::buffer(out_), error);
  if (error && error != asio::error::would_block) {
    OnWriteFailed();
  } else if (written_ < out_.size()) {
    ContinueWrite();
  }
}

void ClientConnection::ContinueWrite() {
  asio::async_write(
      socket_, asio::buffer(out_) + written_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        // After an error the answer may still be read: a server may answer
        // and close before it has read all. The deadline bounds the wait.
        if (!error) self->written_ = self->out_.size();
      });
}

void ClientConnection::OnWriteFailed() {
  if (!reused_ || call_.moved) {
    Fail(CallFailure::kBroken, true);
    return;
  }
  PendingCall call = std::move(call_);
  const auto endpoint = endpoint_;
  Close();
  endpoint->Resend(std::move(call));
}

void ClientConnection::Read() {
  const std::size_t size =
      parser_ && parser_->is_header_done() ? kBodyRead : kFirstRead;
  socket_.async_read_some(
      buffer_.prepare(size),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ClientConnection::OnRead(const error_code& error, std::size_t bytes) {
  if (state_ == State::kClosed) return;
  if (state_ == State::kIdle) {
    // Neither the end of the connection nor unasked bytes allow another call.
    Close();
    return;
  }
  if (error) {
    OnEnd();
    return;
  }
  buffer_.commit(bytes);
  Parse();
}

void ClientConnection::Parse() {
  error_code error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error && error != http::error::need_more) {
    Fail(CallFailure::kBroken, false);
  } else if (parser_->is_done()) {
    Finish();
  } else {
    Read();
  }
}

void ClientConnection::OnEnd() {
  error_code error;
  if (parser_->is_header_done() && parser_->need_eof()) {
    parser_->put_eof(error);
    if (!error) {
      Finish();
      return;
    }
  }
  Fail(CallFailure::kBroken, false);
}

void ClientConnection::Finish() {
  auto& message = parser_->get();
  CallOutcome outcome{.status = static_cast<int>(message.result_int()),
                      .body = std::move(message.body())};
  // A response that came before the whole request was written ends the use of
  // the connection, because the rest of the request would follow.
  const bool reusable =
      parser_->keep_alive() && buffer_.size() == 0 && written_ == out_.size();
  PendingCall call = std::move(call_);
  call_ = {};
  const auto self = shared_from_this();
  const auto endpoint = endpoint_;
  if (reusable) {
    if (out_.capacity() > kKeptBuffer) out_ = {};
    if (buffer_.capacity() > kKeptBuffer) buffer_.shrink_to_fit();
    parser_.reset();
    Read();
    endpoint->OnFree(self);
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
  endpoint->Report(std::move(call),
                   CallOutcome{.failure = failure,
                               .certainly_not_sent = certainly_not_sent,
                               .body = {}});
}

void ClientConnection::BecomeIdle() {
  state_ = State::kIdle;
  deadline_.SetAfter(endpoint_->options().idle_timeout, weak_from_this());
}

void ClientConnection::OnDue() {
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
  endpoint_->OnClosed(shared_from_this());
}

}  // namespace gypsumfall::http_internal
