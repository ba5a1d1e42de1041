#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/http/http.h"
#include "gypsumfall/http/internal/test_support.h"

namespace gypsumfall {
namespace {

using http_internal::RunUntil;
using http_internal::ScriptedServer;
using http_internal::ScriptStep;

// Ends a hung test; no outcome may depend on it.
constexpr Duration kLong = seconds(60);

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

CallOutcome CallOnce(boost::asio::io_context& io, ClientPool& pool,
                     const std::string& address, Duration timeout) {
  std::optional<CallOutcome> outcome;
  pool.Call(address, {.path = "/x"}, timeout,
            [&](CallOutcome o) { outcome = std::move(o); });
  CHECK_FALSE(outcome);
  RunUntil(io, [&] { return outcome.has_value(); });
  return *outcome;
}

struct Fault {
  const char* name;
  std::vector<ScriptStep> script;
};

// Guards against a claim that nothing was sent when bytes were written, and
// against sending a call twice.
TEST_CASE("server faults end the call once as possibly sent") {
  const std::vector<Fault> table = {
      {"closes after the request", {{.closes = true}}},
      {"closes in the header", {{.answer = "HTTP/1.1 20", .closes = true}}},
      {"closes in the body",
       {{.answer = std::string(kOk).substr(0, sizeof(kOk) - 2),
         .closes = true}}},
      {"not HTTP", {{.answer = "hello\r\n\r\n"}}},
      {"body too large",
       {{.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"}}},
  };
  for (const Fault& fault : table) {
    INFO(fault.name);
    boost::asio::io_context io;
    ScriptedServer server(io, fault.script);
    ClientPool pool(io, {.max_body = 1000});
    const CallOutcome outcome = CallOnce(io, pool, server.address(), kLong);
    CHECK(outcome.failure == CallFailure::kBroken);
    CHECK_FALSE(outcome.certainly_not_sent);
    CHECK(server.accepted() == 1);
    CHECK(server.requests_read() == 1);
    CHECK(pool.connections() == 0);
    CHECK(pool.open_calls() == 0);
  }
}

// Guards against a late answer that reaches the next call (I4), and against a
// call that is told as not sent when it was.
TEST_CASE("a call that times out takes its connection with it") {
  boost::asio::io_context io;
  std::vector<Responder> late;
  Server server(io, {}, [&](const HttpRequest& request, Responder respond) {
    if (request.path == "/late") {
      late.push_back(std::move(respond));
    } else {
      respond({.body = "prompt"});
    }
  });
  const std::string address = server.Start().value();
  ClientPool pool(io, {.max_connections_per_endpoint = 1});
  CHECK(CallOnce(io, pool, address, kLong).body == "prompt");
  // The connection exists, so the call is written before the wait begins.
  std::optional<CallOutcome> outcome;
  pool.Call(address, {.path = "/late"}, milliseconds(50),
            [&](CallOutcome o) { outcome = std::move(o); });
  RunUntil(io, [&] { return outcome.has_value() && late.size() == 1; });
  CHECK(outcome->failure == CallFailure::kTimedOut);
  CHECK_FALSE(outcome->certainly_not_sent);
  late[0]({.body = "late"});
  CHECK(CallOnce(io, pool, address, kLong).body == "prompt");
}

// Guards against refusals that are reported as an unknown outcome.
TEST_CASE("calls that never connect are certainly not sent") {
  boost::asio::io_context io;
  ClientPool pool(io, {});
  std::string closed;
  {
    ScriptedServer gone(io, {{}});
    closed = gone.address();
  }
  for (const std::string& address : {closed, std::string("nonsense")}) {
    const CallOutcome outcome = CallOnce(io, pool, address, kLong);
    CHECK(outcome.failure == CallFailure::kRefused);
    CHECK(outcome.certainly_not_sent);
  }
}

// Guards against header injection through a path or key.
TEST_CASE("calls that would break the header are not sent") {
  boost::asio::io_context io;
  ScriptedServer server(io, {{.answer = kOk}});
  ClientPool pool(io, {});
  const std::vector<HttpCall> table = {
      {.path = "/x y"},
      {.path = "x"},
      {.path = "/x\r\nA: b"},
      {.path = "/x", .bearer = "k\r\nA: b"},
      {.path = "/x", .customer = "c\n"},
  };
  std::size_t refused = 0;
  for (const HttpCall& call : table) {
    pool.Call(server.address(), call, kLong, [&](const CallOutcome& outcome) {
      CHECK(outcome.certainly_not_sent);
      ++refused;
    });
  }
  RunUntil(io, [&] { return refused == table.size(); });
  CHECK(server.accepted() == 0);
}

// Guards against a call that is lost because its kept connection had ended.
TEST_CASE("a call moves off a kept connection that the server closed") {
  boost::asio::io_context io;
  ScriptedServer server(io, {{.answer = kOk}});
  ClientPool pool(io, {});
  CHECK(CallOnce(io, pool, server.address(), kLong).body == "ok");
  CHECK(CallOnce(io, pool, server.address(), kLong).body == "ok");
  CHECK(server.accepted() == 1);
  // The pool has had no chance to see the end before the next call.
  server.CloseConnections();
  CHECK(CallOnce(io, pool, server.address(), kLong).body == "ok");
  CHECK(server.accepted() == 2);
}

// Guards against reuse of connections whose state is in doubt.
TEST_CASE("connections that may not be kept are closed") {
  const std::vector<std::string> table = {
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
      std::string(kOk) + "unasked",
  };
  for (const std::string& answer : table) {
    boost::asio::io_context io;
    ScriptedServer server(io, {{.answer = answer}});
    ClientPool pool(io, {});
    CHECK(CallOnce(io, pool, server.address(), kLong).body == "ok");
    CHECK(pool.connections() == 0);
  }
  boost::asio::io_context io;
  ScriptedServer server(
      io, {{.answer = "HTTP/1.1 200 OK\r\n\r\nuntil the end", .closes = true}});
  ClientPool pool(io, {});
  CHECK(CallOnce(io, pool, server.address(), kLong).body == "until the end");
}

// Guards against unbounded connections or queues, and against queued calls
// that outlive their timeout.
TEST_CASE("connections and queue are bounded") {
  boost::asio::io_context io;
  ScriptedServer server(io, {{}});
  ClientPool pool(
      io, {.max_connections_per_endpoint = 2, .max_queued_per_endpoint = 2});
  std::vector<CallOutcome> outcomes;
  for (int i = 0; i < 6; ++i) {
    pool.Call(server.address(), {.path = "/x"},
              i < 2 ? kLong : milliseconds(50),
              [&](CallOutcome o) { outcomes.push_back(std::move(o)); });
  }
  CHECK(pool.connections() == 2);
  CHECK(pool.open_calls() == 4);
  RunUntil(io, [&] { return outcomes.size() == 4; });
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(outcomes[i].failure ==
          (i < 2 ? CallFailure::kPoolExhausted : CallFailure::kTimedOut));
    CHECK(outcomes[i].certainly_not_sent);
  }
  RunUntil(io, [&] { return server.requests_read() == 2; });
  server.CloseConnections();
}

// Guards against queued calls that no freed or failed connection picks up.
TEST_CASE("queued calls use connections as they become free") {
  for (const bool closes : {false, true}) {
    boost::asio::io_context io;
    ScriptedServer server(io, {{.answer = kOk, .closes = closes}});
    ClientPool pool(io, {.max_connections_per_endpoint = 1});
    int answered = 0;
    for (int i = 0; i < 20; ++i) {
      pool.Call(
          server.address(), {.path = "/x"}, kLong,
          [&](const CallOutcome& o) { answered += o.status == 200 ? 1 : 0; });
    }
    RunUntil(io, [&] { return pool.open_calls() == 0; });
    CHECK(answered == 20);
    CHECK(server.accepted() == (closes ? 20 : 1));
  }
}

}  // namespace
}  // namespace gypsumfall
