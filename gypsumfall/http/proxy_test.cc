#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/test_support.h"

namespace gypsumfall {
namespace {

using http_internal::RunUntil;

// Guards against answers that reach another caller (I4), and against calls
// that are lost between the server and the pool.
TEST_CASE("a proxy returns each caller's own answer") {
  boost::asio::io_context io(1);
  Server back(io, {}, [](HttpRequest request, Responder respond) {
    respond({.body = std::move(request.body)});
  });
  const std::string back_address = back.Start().value();
  ClientPool to_back(io, {.max_connections_per_endpoint = 8});
  Server front(io, {}, [&](HttpRequest request, Responder respond) {
    to_back.Call(
        back_address, {.path = request.path, .body = std::move(request.body)},
        seconds(60),
        [respond = std::move(respond)](CallOutcome outcome) mutable {
          respond({.status = outcome.status, .body = std::move(outcome.body)});
        });
  });
  const std::string front_address = front.Start().value();
  ClientPool callers(io, {.max_connections_per_endpoint = 32,
                          .max_queued_per_endpoint = 2000});
  int answered = 0;
  for (int i = 0; i < 2000; ++i) {
    // Every tenth body is larger than the socket buffers.
    std::string body(i % 10 == 0 ? 900'000 : 10,
                     static_cast<char>('a' + i % 26));
    body += std::to_string(i);
    callers.Call(front_address, {.path = "/x", .body = body}, seconds(60),
                 [&, body](const CallOutcome& outcome) {
                   REQUIRE(outcome.body == body);
                   ++answered;
                 });
  }
  RunUntil(io, [&] { return answered == 2000; });
  CHECK(front.open_requests() == 0);
  CHECK(back.connections() <= 8);
}

}  // namespace
}  // namespace gypsumfall
