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

// A server that answers "<customer>:<body>", or keeps the responders of /late.
struct Fixture {
  explicit Fixture(ServerOptions options = {})
      : server(io, std::move(options),
               [this](const HttpRequest& request, Responder respond) {
                 ++handled;
                 if (request.path == "/late") {
                   late.push_back(std::move(respond));
                 } else if (request.path != "/dropped") {
                   respond({.body = request.customer + ":" + request.body});
                 }
               }),
        address(server.Start().value()) {}

  boost::asio::io_context io;
  std::vector<Responder> late;
  int handled = 0;
  Server server;
  std::string address;
};

constexpr char kGet[] = "GET /x HTTP/1.1\r\nHost: h\r\nX-Customer: c\r\n\r\n";
constexpr char kLate[] = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct BadInput {
  const char* name;
  std::string bytes;
  bool close_send;
  const char* answer;
};

// Guards against bad input that ends the process, reaches the handler, hangs
// its connection, or stops the service of others.
TEST_CASE("bad input is answered by its kind and served no further") {
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
    const bool waits = Has(input.answer, "in time");
    Fixture fixture({.max_body = 1000,
                     .header_timeout = waits ? milliseconds(50) : seconds(60)});
    RawClient bad(fixture.io, fixture.address);
    bad.Send(input.bytes);
    if (input.close_send) {
      RunUntil(fixture.io, [&] { return fixture.server.connections() == 1; });
      bad.CloseSend();
    }
    RunUntil(fixture.io, [&] { return bad.ended(); });
    CHECK(Has(bad.received(), input.answer));
    CHECK(bad.received().empty() == std::string(input.answer).empty());
    CHECK(fixture.handled == 0);
    RawClient good(fixture.io, fixture.address);
    good.Send(kGet);
    RunUntil(fixture.io, [&] { return Has(good.received(), "c:"); });
  }
}

// Guards against answers that overtake each other on one connection.
TEST_CASE("pipelined requests are answered in order") {
  Fixture fixture;
  RawClient client(fixture.io, fixture.address);
  std::string bytes = kLate;
  for (int i = 0; i < 1000; ++i) bytes += kGet;
  client.Send(bytes);
  RunUntil(fixture.io, [&] { return !fixture.late.empty(); });
  CHECK(fixture.handled == 1);
  fixture.late[0]({.status = 201});
  fixture.late[0]({.status = 500});
  RunUntil(fixture.io, [&] { return fixture.handled == 1001; });
  RunUntil(fixture.io,
           [&] { return client.received().ends_with("\r\n\r\nc:"); });
  CHECK(client.received().starts_with("HTTP/1.1 201 Created\r\n"));
  CHECK_FALSE(Has(client.received(), "500"));
}

// Guards against a caller who waits forever for a request that was forgotten.
TEST_CASE("a dropped responder answers internal") {
  Fixture fixture;
  RawClient client(fixture.io, fixture.address);
  client.Send("GET /dropped HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(fixture.io, [&] { return Has(client.received(), "internal"); });
  CHECK(fixture.server.open_requests() == 0);
}

// Guards against a late answer that uses a connection that is gone.
TEST_CASE("answers after the client or the server is gone are dropped") {
  Fixture fixture;
  std::optional<Server> other;
  std::vector<Responder> kept;
  other.emplace(fixture.io, ServerOptions{},
                [&](const HttpRequest&, Responder respond) {
                  kept.push_back(std::move(respond));
                });
  const std::string address = other->Start().value();
  RawClient leaves(fixture.io, address);
  RawClient stays(fixture.io, address);
  leaves.Send(kLate);
  stays.Send(kLate);
  RunUntil(fixture.io, [&] { return kept.size() == 2; });
  leaves.Close();
  kept[0]({.status = 200});
  other.reset();
  kept[1]({.status = 200});
  kept.clear();
  RunUntil(fixture.io, [&] { return stays.ended(); });
  CHECK(stays.received().size() <= 300);
}

// Guards against a flood of connections that uses up the descriptors.
TEST_CASE("connections beyond the limit are refused with the reason") {
  Fixture fixture({.max_connections = 1});
  RawClient first(fixture.io, fixture.address);
  first.Send(kGet);
  RunUntil(fixture.io, [&] { return Has(first.received(), "c:"); });
  RawClient second(fixture.io, fixture.address);
  second.Send(kGet);
  RunUntil(fixture.io, [&] { return second.ended(); });
  CHECK(Has(second.received(), "over_limit"));
  CHECK(fixture.server.refused_connections() == 1);
  first.Close();
  second.Close();
  RunUntil(fixture.io, [&] { return fixture.server.connections() == 0; });
  RawClient third(fixture.io, fixture.address);
  third.Send(kGet);
  RunUntil(fixture.io, [&] { return Has(third.received(), "c:"); });
}

// Guards against a planned stop that cuts off requests (I8).
TEST_CASE("a stop lets open and arriving requests finish") {
  Fixture fixture({.stop_drain = seconds(20)});
  RawClient idle(fixture.io, fixture.address);
  RawClient busy(fixture.io, fixture.address);
  idle.Send(kGet);
  busy.Send(kLate);
  RunUntil(fixture.io, [&] {
    return fixture.late.size() == 1 && Has(idle.received(), "c:");
  });
  std::optional<std::size_t> cut_off;
  fixture.server.Stop(seconds(25), [&](std::size_t n) { cut_off = n; });
  idle.Send(kGet);
  RunUntil(fixture.io, [&] { return idle.ended(); });
  CHECK(fixture.handled == 3);
  CHECK(Has(idle.received(), "Connection: close"));
  CHECK_FALSE(cut_off);
  CHECK(fixture.server.open_requests() == 1);
  fixture.late[0]({.status = 202});
  RunUntil(fixture.io, [&] { return cut_off.has_value(); });
  CHECK(cut_off == 0U);
  RunUntil(fixture.io, [&] { return busy.ended(); });
  CHECK(Has(busy.received(), " 202 "));
}

// Guards against a stop that waits for idle clients or stuck requests.
TEST_CASE("a stop closes idle connections and ends after its grace") {
  Fixture fixture({.stop_drain = Duration::zero()});
  RawClient idle(fixture.io, fixture.address);
  RawClient busy(fixture.io, fixture.address);
  idle.Send(kGet);
  busy.Send(kLate);
  RunUntil(fixture.io, [&] {
    return fixture.late.size() == 1 && Has(idle.received(), "c:");
  });
  std::optional<std::size_t> cut_off;
  fixture.server.Stop(milliseconds(50), [&](std::size_t n) { cut_off = n; });
  RunUntil(fixture.io, [&] { return idle.ended() && busy.ended(); });
  RunUntil(fixture.io, [&] { return cut_off.has_value(); });
  CHECK(cut_off == 1U);
}

// Guards against start-up that seems to work without a listener.
TEST_CASE("an address that can not be listened on is reported") {
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
