#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/test_support.h"

namespace gypsumfall {
namespace {

using http_internal::RunUntil;

// Guards against responses delivered to another caller (invariant I4), and
// against calls that are lost between the server and the client pool.
TEST_CASE("a proxy returns to each caller the response to its own call") {
  boost::asio::io_context io(1);
  Server backend(io, {}, [](HttpRequest request, Responder respond) {
    respond({.body = std::move(request.body)});
  });
  const std::string backend_address = backend.Start().value();
  ClientPool backend_pool(io, {.max_connections_per_endpoint = 8});
  Server frontend(io, {}, [&](HttpRequest request, Responder respond) {
    backend_pool.Call(
        backend_address,
        {.path = request.path, .body = std::move(request.body)}, seconds(60),
        [respond = std::move(respond)](CallOutcome outcome) mutable {
          respond({.status = outcome.status, .body = std::move(outcome.body)});
        });
  });
  const std::string frontend_address = frontend.Start().value();
  ClientPool caller_pool(io, {.max_connections_per_endpoint = 32,
                              .max_queued_per_endpoint = 2000});
  int answered = 0;
  for (int i = 0; i < 2000; ++i) {
    // Every tenth body is larger than the socket buffers.
    std::string body(i % 10 == 0 ? 900'000 : 10,
                     static_cast<char>('a' + i % 26));
    body += std::to_string(i);
    caller_pool.Call(frontend_address, {.path = "/x", .body = body},
                     seconds(60), [&, body](const CallOutcome& outcome) {
                       REQUIRE(outcome.body == body);
                       ++answered;
                     });
  }
  RunUntil(io, [&] { return answered == 2000; });
  CHECK(frontend.open_requests() == 0);
  CHECK(backend.connections() <= 8);
}

}  // namespace
}  // namespace gypsumfall
