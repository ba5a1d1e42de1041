#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/test_support.h"

namespace gypsumfall {
namespace {

using http_internal::RawClient;
using http_internal::RunUntil;

// A server that answers "<customer>:<body>". It holds the responders of /late
// for the test to call, and destroys those of /dropped without an answer.
struct Fixture {
  explicit Fixture(ServerOptions options = {})
      : server(io, std::move(options),
               [this](const HttpRequest& request, Responder respond) {
                 ++handled;
                 if (request.path == "/late") {
                   held_responders.push_back(std::move(respond));
                 } else if (request.path != "/dropped") {
                   respond({.body = request.customer + ":" + request.body});
                 }
               }),
        address(server.Start().value()) {}

  boost::asio::io_context io;
  std::vector<Responder> held_responders;
  int handled = 0;
  Server server;
  std::string address;
};

constexpr char kGetRequest[] =
    "GET /x HTTP/1.1\r\nHost: h\r\nX-Customer: c\r\n\r\n";
constexpr char kLateRequest[] = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct BadInput {
  const char* name;
  std::string bytes;
  bool close_send;
  const char* answer;
};

// Guards against invalid input that crashes the process, reaches the handler,
// blocks its connection or affects other connections.
TEST_CASE("invalid input is answered with its error and not handled") {
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::vector<BadInput> table = {
      {"not HTTP", "hello\r\n\r\n", false, "bad_request"},
      {"truncated header", "POST /x HT", true, ""},
      {"truncated body", post + "Content-Length: 9\r\n\r\nabc", true, ""},
      {"header never finished", "POST /x HT", false, "not received in time"},
      {"body never finished", post + "Content-Length: 9\r\n\r\nabc", false,
       "not received in time"},
      {"declared body too large", post + "Content-Length: 2000\r\n\r\n", false,
       "too_large"},
      {"chunked body too large",
       post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2000, 'x') + "\r\n0\r\n\r\n",
       false, "too_large"},
      {"body length overflow",
       post + "Content-Length: 99999999999999999999\r\n\r\n", false,
       "bad_request"},
      {"two body lengths",
       post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", false,
       "bad_request"},
      {"header too large", post + "A: " + std::string(9000, 'a') + "\r\n\r\n",
       false, "too_large"},
      {"endless header", post + "A: " + std::string(9000, 'a'), false,
       "too_large"},
  };
  for (const BadInput& input : table) {
    INFO(input.name);
    const bool times_out = Contains(input.answer, "in time");
    Fixture fixture(
        {.max_body = 1000,
         .header_timeout = times_out ? milliseconds(50) : seconds(60)});
    RawClient invalid_client(fixture.io, fixture.address);
    invalid_client.Send(input.bytes);
    if (input.close_send) {
      RunUntil(fixture.io, [&] { return fixture.server.connections() == 1; });
      invalid_client.ShutdownSend();
    }
    RunUntil(fixture.io, [&] { return invalid_client.ended(); });
    CHECK(Contains(invalid_client.received(), input.answer));
    CHECK(invalid_client.received().empty() ==
          std::string(input.answer).empty());
    CHECK(fixture.handled == 0);
    RawClient valid_client(fixture.io, fixture.address);
    valid_client.Send(kGetRequest);
    RunUntil(fixture.io,
             [&] { return Contains(valid_client.received(), "c:"); });
  }
}

// Guards against responses in the wrong order on one connection.
TEST_CASE("pipelined requests are answered in order") {
  Fixture fixture;
  RawClient client(fixture.io, fixture.address);
  std::string bytes = kLateRequest;
  for (int i = 0; i < 1000; ++i) bytes += kGetRequest;
  client.Send(bytes);
  RunUntil(fixture.io, [&] { return !fixture.held_responders.empty(); });
  CHECK(fixture.handled == 1);
  fixture.held_responders[0]({.status = 201});
  fixture.held_responders[0]({.status = 500});
  RunUntil(fixture.io, [&] { return fixture.handled == 1001; });
  RunUntil(fixture.io,
           [&] { return client.received().ends_with("\r\n\r\nc:"); });
  CHECK(client.received().starts_with("HTTP/1.1 201 Created\r\n"));
  CHECK_FALSE(Contains(client.received(), "500"));
}

// Guards against a caller that waits forever because a handler lost its
// request.
TEST_CASE("a dropped responder answers internal") {
  Fixture fixture;
  RawClient client(fixture.io, fixture.address);
  client.Send("GET /dropped HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(fixture.io, [&] { return Contains(client.received(), "internal"); });
  CHECK(fixture.server.open_requests() == 0);
}

// Guards against a late response that accesses a destroyed connection.
TEST_CASE("responses after the client or server has closed are discarded") {
  Fixture fixture;
  std::optional<Server> second_server;
  std::vector<Responder> responders;
  second_server.emplace(fixture.io, ServerOptions{},
                        [&](const HttpRequest&, Responder respond) {
                          responders.push_back(std::move(respond));
                        });
  const std::string address = second_server->Start().value();
  RawClient disconnected(fixture.io, address);
  RawClient connected(fixture.io, address);
  disconnected.Send(kLateRequest);
  connected.Send(kLateRequest);
  RunUntil(fixture.io, [&] { return responders.size() == 2; });
  disconnected.Close();
  responders[0]({.status = 200});
  second_server.reset();
  responders[1]({.status = 200});
  responders.clear();
  RunUntil(fixture.io, [&] { return connected.ended(); });
  CHECK(connected.received().size() <= 300);
}

// Guards against many connections that exhaust the file descriptors.
TEST_CASE("connections beyond the limit are refused with the reason") {
  Fixture fixture({.max_connections = 1});
  RawClient first(fixture.io, fixture.address);
  first.Send(kGetRequest);
  RunUntil(fixture.io, [&] { return Contains(first.received(), "c:"); });
  RawClient second(fixture.io, fixture.address);
  second.Send(kGetRequest);
  RunUntil(fixture.io, [&] { return second.ended(); });
  CHECK(Contains(second.received(), "over_limit"));
  CHECK(fixture.server.refused_connections() == 1);
  first.Close();
  second.Close();
  RunUntil(fixture.io, [&] { return fixture.server.connections() == 0; });
  RawClient third(fixture.io, fixture.address);
  third.Send(kGetRequest);
  RunUntil(fixture.io, [&] { return Contains(third.received(), "c:"); });
}

// Guards against a graceful shutdown that aborts requests (invariant I8).
TEST_CASE("a graceful shutdown finishes open and arriving requests") {
  Fixture fixture({.stop_drain_time = seconds(20)});
  RawClient idle(fixture.io, fixture.address);
  RawClient busy(fixture.io, fixture.address);
  idle.Send(kGetRequest);
  busy.Send(kLateRequest);
  RunUntil(fixture.io, [&] {
    return fixture.held_responders.size() == 1 &&
           Contains(idle.received(), "c:");
  });
  std::optional<std::size_t> aborted_requests;
  fixture.server.Stop(seconds(25),
                      [&](std::size_t n) { aborted_requests = n; });
  idle.Send(kGetRequest);
  RunUntil(fixture.io, [&] { return idle.ended(); });
  CHECK(fixture.handled == 3);
  CHECK(Contains(idle.received(), "Connection: close"));
  CHECK_FALSE(aborted_requests);
  CHECK(fixture.server.open_requests() == 1);
  fixture.held_responders[0]({.status = 202});
  RunUntil(fixture.io, [&] { return aborted_requests.has_value(); });
  CHECK(aborted_requests == 0U);
  RunUntil(fixture.io, [&] { return busy.ended(); });
  CHECK(Contains(busy.received(), " 202 "));
}

// Guards against a shutdown that waits for idle clients or unanswered requests.
TEST_CASE(
    "a shutdown closes idle connections and ends after its grace period") {
  Fixture fixture({.stop_drain_time = Duration::zero()});
  RawClient idle(fixture.io, fixture.address);
  RawClient busy(fixture.io, fixture.address);
  idle.Send(kGetRequest);
  busy.Send(kLateRequest);
  RunUntil(fixture.io, [&] {
    return fixture.held_responders.size() == 1 &&
           Contains(idle.received(), "c:");
  });
  std::optional<std::size_t> aborted_requests;
  fixture.server.Stop(milliseconds(50),
                      [&](std::size_t n) { aborted_requests = n; });
  RunUntil(fixture.io, [&] { return idle.ended() && busy.ended(); });
  RunUntil(fixture.io, [&] { return aborted_requests.has_value(); });
  CHECK(aborted_requests == 1U);
}

// Guards against a start that succeeds without listening.
TEST_CASE("an address on which the server cannot listen is reported") {
  Fixture fixture;
  for (const std::string& listen :
       {fixture.address + "0000", std::string("localhost:1"),
        std::string("127.0.0.1"), std::string("192.0.2.1:80")}) {
    Server server(fixture.io, {.listen = listen}, nullptr);
    const Result<std::string> started = server.Start();
    REQUIRE_FALSE(started);
    CHECK(started.error().kind == ErrorKind::kInvalidSettings);
  }
}

}  // namespace
}  // namespace gypsumfall
