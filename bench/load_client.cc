#include "bench/load_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <utility>

namespace gypsumfall::load {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

}  // namespace

class LoadClient::Impl {
 public:
  Impl(asio::io_context& io, const Target& target, const LoadOptions& options)
      : endpoint_(asio::ip::make_address(target.ip), target.port),
        customer_(options.customer),
        bearer_("Bearer " + options.key.Reveal()),
        timeout_(options.timeout),
        stream_(io) {}

  void Send(const LoadCall& call, DoneCallback done) {
    done_ = std::move(done);
    MakeRequest(call);
    stream_.expires_after(timeout_);
    is_reused_ = IsOpen();
    if (is_reused_) {
      Write();
      return;
    }
    Close();
    stream_.expires_after(timeout_);
    stream_.async_connect(endpoint_, [this](beast::error_code error) {
      if (error) {
        Finish(HttpOutcome::Kind::kNotSent);
        return;
      }
      beast::error_code ignored;
      stream_.socket().set_option(tcp::no_delay(true), ignored);
      Write();
    });
  }

 private:
  void MakeRequest(const LoadCall& call) {
    request_ = {};
    request_.version(11);
    request_.method(call.is_post ? http::verb::post : http::verb::get);
    request_.target(call.path);
    request_.set(http::field::host, endpoint_.address().to_string());
    request_.set(http::field::authorization, bearer_);
    if (!customer_.empty()) request_.set("X-Customer", customer_);
    if (call.is_post) {
      request_.set(http::field::content_type, "application/json");
    }
    request_.body() = call.body;
    request_.prepare_payload();
  }

  // Peeks at the socket, so that a connection that the server has closed in the
  // meantime is not reused.
  bool IsOpen() {
    tcp::socket& socket = stream_.socket();
    if (!socket.is_open()) return false;
    beast::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void Close() {
    beast::error_code ignored;
    stream_.socket().close(ignored);
    buffer_.clear();
  }

  void Write() {
    http::async_write(stream_, request_,
                      [this](beast::error_code error, std::size_t) {
                        if (error) {
                          Fail(error);
                          return;
                        }
                        Read();
                      });
  }

  void Read() {
    response_ = {};
    received_ = 0;
    http::async_read(stream_, buffer_, response_,
                     [this](beast::error_code error, std::size_t received) {
                       received_ = received;
                       if (error) {
                         Fail(error);
                         return;
                       }
                       if (!response_.keep_alive()) Close();
                       Finish(HttpOutcome::Kind::kAnswered);
                     });
  }

  void Fail(beast::error_code error) {
    Close();
    Finish(error == beast::error::timeout ? HttpOutcome::Kind::kTimedOut
                                          : HttpOutcome::Kind::kCutOff);
  }

  void Finish(HttpOutcome::Kind kind) {
    HttpOutcome outcome;
    outcome.kind = kind;
    if (kind == HttpOutcome::Kind::kNotSent) Close();
    if (kind == HttpOutcome::Kind::kAnswered) {
      outcome.status = static_cast<int>(response_.result_int());
      outcome.body = std::move(response_.body());
    }
    outcome.no_bytes_on_reuse = is_reused_ && received_ == 0;
    std::exchange(done_, nullptr)(std::move(outcome));
  }

  tcp::endpoint endpoint_;
  std::string customer_;
  std::string bearer_;
  Duration timeout_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  std::size_t received_ = 0;
  bool is_reused_ = false;
  DoneCallback done_;
};

LoadClient::LoadClient(asio::io_context& io, const Target& target,
                       const LoadOptions& options)
    : impl_(std::make_unique<Impl>(io, target, options)) {}
LoadClient::~LoadClient() = default;
LoadClient::LoadClient(LoadClient&&) noexcept = default;

void LoadClient::Send(const LoadCall& call, DoneCallback done) {
  impl_->Send(call, std::move(done));
}

}  // namespace gypsumfall::load
