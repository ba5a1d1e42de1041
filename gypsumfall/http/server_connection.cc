#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "gypsumfall/http/internal/server_core.h"
#include "gypsumfall/http/internal/wire.h"

namespace gypsumfall::http_internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Sizes of reads in bytes. Small requests fit in the first; after the header, a
// body is read with the second.
constexpr std::size_t kInitialReadSize = std::size_t{4} << 10;
constexpr std::size_t kBodyReadSize = std::size_t{64} << 10;

// Buffers with a larger capacity are freed after a response.
constexpr std::size_t kMaxRetainedBufferBytes = std::size_t{64} << 10;

// Limits of the input in bytes and of the time for which input is discarded
// after the last response. Closing a socket with unread input resets the
// connection, and the client may then lose the response.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{8} << 20;
constexpr Duration kLingerTimeout = seconds(2);

constexpr std::string_view kBearerPrefix = "Bearer ";

std::string BearerKey(std::string_view header) {
  if (!header.starts_with(kBearerPrefix)) return {};
  return std::string(header.substr(kBearerPrefix.size()));
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerCore> core,
                                   asio::ip::tcp::socket socket)
    : core_(std::move(core)),
      socket_(std::move(socket)),
      deadline_(core_->io(), [this] { OnDeadline(); }) {}

void ServerConnection::Start() { AwaitRequest(); }

void ServerConnection::AwaitRequest() {
  state_ = State::kIdle;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(
      static_cast<std::uint32_t>(core_->options().max_header));
  parser_->body_limit(core_->options().max_body);
  deadline_.SetAfter(core_->options().idle_timeout, weak_from_this());
  if (buffer_.size() == 0) {
    Read();
    return;
  }
  // A pipelined request is parsed in a new handler: parsing it here recurses,
  // and many pipelined requests would exhaust the stack.
  asio::post(core_->io(), [self = shared_from_this()] {
    if (self->state_ == State::kIdle) self->Parse();
  });
}

void ServerConnection::Read() {
  const std::size_t size =
      parser_->is_header_done() ? kBodyReadSize : kInitialReadSize;
  socket_.async_read_some(
      buffer_.prepare(size),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ServerConnection::OnRead(const error_code& error, std::size_t bytes) {
  if (state_ != State::kIdle && state_ != State::kReceiving) return;
  if (error) {
    Close();
    return;
  }
  buffer_.commit(bytes);
  Parse();
}

void ServerConnection::Parse() {
  error_code error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error == http::error::need_more) error = {};
  if (error) {
    OnMalformed(error);
  } else if (parser_->is_done()) {
    Dispatch();
  } else {
    if (state_ == State::kIdle) {
      state_ = State::kReceiving;
      deadline_.SetAfter(core_->options().header_timeout, weak_from_this());
    }
    Read();
  }
}

void ServerConnection::OnMalformed(const error_code& error) {
  if (error == http::error::body_limit) {
    Reject(ErrorKind::kTooLarge, "the body may have " +
                                     std::to_string(core_->options().max_body) +
                                     " bytes");
  } else if (error == http::error::header_limit) {
    Reject(ErrorKind::kTooLarge,
           "the header may have " +
               std::to_string(core_->options().max_header) + " bytes");
  } else {
    Reject(ErrorKind::kBadRequest, "not valid HTTP/1.1: " + error.message());
  }
}

void ServerConnection::Dispatch() {
  state_ = State::kHandling;
  deadline_.Clear();
  counted_open_ = true;
  core_->CountOpened();
  core_->Handle(TakeRequest(), Responder(shared_from_this()));
}

HttpRequest ServerConnection::TakeRequest() {
  auto& message = parser_->get();
  close_after_response_ = !message.keep_alive() || message.version() < 11;
  header_only_ = message.method() == http::verb::head;
  const std::string_view target = View(message.target());
  const std::size_t query_mark = target.find('?');
  HttpRequest request;
  request.method = ToHttpMethod(message.method());
  request.path = target.substr(0, query_mark);
  if (query_mark != std::string_view::npos)
    request.query = target.substr(query_mark + 1);
  request.bearer = BearerKey(View(message[http::field::authorization]));
  request.customer = View(message["X-Customer"]);
  request.host = View(message[http::field::host]);
  for (const auto& field : message) {
    const std::string_view name = View(field.name_string());
    if (!name.starts_with("X-") && !name.starts_with("x-")) continue;
    request.extensions.emplace_back(name, View(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

void ServerConnection::Reject(ErrorKind kind, std::string_view detail) {
  close_after_response_ = true;
  header_only_ = false;
  Write(ErrorResponse(kind, detail));
}

void ServerConnection::Respond(const HttpResponse& response) {
  if (state_ == State::kHandling) Write(response);
}

void ServerConnection::OnResponderDropped() {
  if (state_ != State::kHandling) return;
  Write(ErrorResponse(ErrorKind::kInternal, "the request was not answered"));
}

void ServerConnection::Write(const HttpResponse& response) {
  state_ = State::kWriting;
  close_after_response_ = close_after_response_ || core_->stopping();
  WriteResponse(response,
                {.close = close_after_response_, .header_only = header_only_},
                output_);
  bytes_written_ = 0;
  error_code error;
  bytes_written_ = socket_.write_some(asio::buffer(output_), error);
  if (error && error != asio::error::would_block) {
    Close();
  } else if (bytes_written_ == output_.size()) {
    OnWritten();
  } else {
    deadline_.SetAfter(core_->options().header_timeout, weak_from_this());
    ContinueWrite();
  }
}

void ServerConnection::ContinueWrite() {
  asio::async_write(
      socket_, asio::buffer(output_) + bytes_written_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->state_ != State::kWriting) return;
        if (error) {
          self->Close();
        } else {
          self->OnWritten();
        }
      });
}

void ServerConnection::OnWritten() {
  if (std::exchange(counted_open_, false)) core_->CountAnswered();
  if (output_.capacity() > kMaxRetainedBufferBytes) output_ = {};
  if (buffer_.capacity() > kMaxRetainedBufferBytes) buffer_.shrink_to_fit();
  if (close_after_response_) {
    Linger();
  } else {
    AwaitRequest();
  }
}

void ServerConnection::Linger() {
  state_ = State::kLingering;
  core_->AdjustLingering(1);
  error_code error;
  socket_.shutdown(asio::socket_base::shutdown_send, error);
  if (error) {
    Close();
    return;
  }
  deadline_.SetAfter(std::min(kLingerTimeout, core_->options().header_timeout),
                     weak_from_this());
  buffer_.clear();
  Discard();
  core_->OnLingering();
}

void ServerConnection::Discard() {
  socket_.async_read_some(
      buffer_.prepare(kInitialReadSize),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        if (self->state_ != State::kLingering) return;
        self->bytes_discarded_ += bytes;
        if (error || self->bytes_discarded_ > kMaxDiscardedBytes) {
          self->Close();
        } else {
          self->Discard();
        }
      });
}

void ServerConnection::OnDeadline() {
  if (state_ != State::kReceiving) {
    Close();
    return;
  }
  // Cancels the pending read, which must not write to the buffer that Discard()
  // reuses.
  error_code ignored;
  socket_.cancel(ignored);
  Reject(ErrorKind::kBadRequest, "the request was not received in time");
}

void ServerConnection::CloseIfIdle() {
  if (state_ != State::kIdle || buffer_.size() > 0) return;
  // A request that has already arrived is still handled.
  error_code error;
  if (socket_.available(error) == 0) Close();
}

void ServerConnection::Close() {
  if (state_ == State::kClosed) return;
  if (state_ == State::kLingering) core_->AdjustLingering(-1);
  state_ = State::kClosed;
  if (std::exchange(counted_open_, false)) core_->CountAnswered();
  error_code ignored;
  socket_.close(ignored);
  deadline_.Cancel();
  core_->Remove(shared_from_this());
}

}  // namespace gypsumfall::http_internal
