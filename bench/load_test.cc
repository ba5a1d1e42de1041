#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bench/load_generator.h"
#include "bench/load_options.h"
#include "bench/load_protocol.h"
#include "gypsumfall/http/http.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall::load {
namespace {

constexpr Time kNow{seconds(1)};

LoadOptions Options(WorkMode work) {
  LoadOptions options;
  options.work = work;
  options.targets = {{"127.0.0.1", 1}};
  options.kind = "k";
  return options;
}

struct AnswerCase {
  std::string description;
  WorkMode work;
  HttpOutcome outcome;
  std::uint64_t mismatched;
  std::uint64_t malformed;
  std::uint64_t cut_off;
  bool expects_poll;
};

HttpOutcome Answered(std::string body, int status = 200) {
  return {HttpOutcome::Kind::kAnswered, status, std::move(body), false};
}

std::vector<AnswerCase> AnswerCases() {
  using enum WorkMode;
  const HttpOutcome cut_off{HttpOutcome::Kind::kCutOff, 0, {}, true};
  return {
      {"own result", kRequests,
       Answered(R"({"id":"load-1-7","was_run":"yes","status":"done",)"
                R"("result":"<load-1-7>..","host":"e1"})"),
       0, 0, 0, false},
      {"result of another call", kRequests,
       Answered(R"({"id":"load-1-7","was_run":"yes","status":"done",)"
                R"("result":"<load-1-8>..","host":"e1"})"),
       1, 0, 0, false},
      {"result of a call whose number has the same prefix", kRequests,
       Answered(R"({"id":"load-1-7","was_run":"yes","status":"done",)"
                R"("result":"<load-1-70>"})"),
       1, 0, 0, false},
      {"id of another call", kRequests,
       Answered(R"({"id":"load-1-8","was_run":"yes","status":"done",)"
                R"("result":"<load-1-7>"})"),
       1, 0, 0, false},
      {"error without an id", kRequests,
       Answered(R"({"was_run":"no","error":{"kind":"over_limit"}})", 429), 0, 0,
       0, false},
      {"error with the id of another call", kRequests,
       Answered(R"({"id":"load-1-8","was_run":"no",)"
                R"("error":{"kind":"over_limit"}})",
                429),
       1, 0, 0, false},
      {"not JSON", kRequests, Answered("busy"), 0, 1, 0, false},
      {"no answer", kRequests, cut_off, 0, 0, 1, false},
      {"task accepted", kTasks,
       Answered(R"({"id":"load-1-7","was_run":"no","status":"queued"})", 202),
       0, 0, 0, true},
      {"task refused", kTasks,
       Answered(R"({"was_run":"no","error":{"kind":"queue_full"}})", 429), 0, 0,
       0, false},
      {"task ended with another's result", kTasks,
       Answered(R"({"id":"load-1-7","was_run":"yes","status":"done",)"
                R"("result":"<load-1-9>"})"),
       1, 0, 0, false},
      {"direct", kDirect,
       Answered(
           Encode(RequestReply{ExchangeId("load-1-7"), ExchangeState::kFinished,
                               std::nullopt, "<load-1-7>"})),
       0, 0, 0, false},
      {"direct, another exchange", kDirect,
       Answered(
           Encode(RequestReply{ExchangeId("load-1-8"), ExchangeState::kFinished,
                               std::nullopt, "<load-1-7>"})),
       1, 0, 0, false},
  };
}

// Guards against a load run that does not detect answers that belong to other
// calls (I4) or calls that were cut off (I8).
TEST_CASE("each answer is checked against its own call") {
  for (const AnswerCase& answer_case : AnswerCases()) {
    INFO(answer_case.description);
    LoadProtocol protocol(Options(answer_case.work));
    LoadItem item;
    item.number = 7;
    const auto next = protocol.OnOutcome(item, answer_case.outcome, kNow);
    CHECK(next.has_value() == answer_case.expects_poll);
    CHECK(protocol.result().mismatched == answer_case.mismatched);
    CHECK(protocol.result().malformed == answer_case.malformed);
    CHECK(protocol.result().cut_off == answer_case.cut_off);
  }
}

// Guards against accepted tasks that are missing from the counters because a
// poll failed when a host crashed.
TEST_CASE("an accepted task is polled until it completes") {
  LoadProtocol protocol(Options(WorkMode::kTasks));
  LoadItem item;
  item.arrived = kNow;
  const auto running =
      Answered(R"({"id":"load-1-0","was_run":"no","status":"running"})", 202);
  CHECK(protocol.OnOutcome(item, running, kNow)->delay == Duration(0));
  const HttpOutcome unsent{HttpOutcome::Kind::kNotSent, 0, {}, false};
  CHECK(protocol.OnOutcome(item, unsent, kNow)->delay > Duration(0));
  CHECK(protocol.result().poll_failures == 1);
  CHECK(protocol.result().not_sent == 0);
  CHECK_FALSE(
      protocol.OnOutcome(item, running, kNow + seconds(60)).has_value());
  CHECK(protocol.result().unfinished_tasks == 1);
}

// Guards against load on other machines than this one and against unbounded
// runs.
TEST_CASE("invalid options are rejected") {
  const std::vector<std::vector<std::string>> invalid_args = {
      {"--kind=k"},
      {"--kind=k", "--targets=10.0.0.1:80"},
      {"--kind=k", "--targets=localhost:80"},
      {"--kind=k", "--targets=127.0.0.1"},
      {"--kind=k", "--targets=127.0.0.1:0"},
      {"--kind=k", "--targets=127.0.0.1:65536"},
      {"--targets=127.0.0.1:80"},
      {"--kind=k", "--targets=127.0.0.1:80", "--seconds=0"},
      {"--kind=k", "--targets=127.0.0.1:80", "--rate=0"},
      {"--kind=k", "--targets=127.0.0.1:80", "--loop=x"},
      {"--kind=k", "--targets=127.0.0.1:80", "--work=x"},
      {"--kind=k", "--targets=127.0.0.1:80", "--connections=0"},
      {"--kind=k", "--targets=127.0.0.1:80", "--nonsense=1"},
      {"--help"},
  };
  for (const auto& args : invalid_args) {
    INFO(args.back());
    CHECK_FALSE(ParseLoadOptions(args));
  }
  const auto options = ParseLoadOptions(
      {"--kind=k", "--targets=127.0.0.1:80,::1:81", "--connections=1"});
  REQUIRE(options);
  CHECK(options->targets[1].ip == "::1");
  CHECK(options->connections == 2);
}

/// An HTTP server on a loopback address that runs in its own thread.
class FakeHost {
 public:
  explicit FakeHost(Handler handler)
      : server_(io_, {}, std::move(handler)),
        address_(server_.Start().value()),
        thread_([this] { io_.run(); }) {}
  ~FakeHost() {
    io_.stop();
    thread_.join();
  }
  FakeHost(const FakeHost&) = delete;
  FakeHost& operator=(const FakeHost&) = delete;

  const std::string& address() const { return address_; }

 private:
  boost::asio::io_context io_;
  Server server_;
  std::string address_;
  std::thread thread_;
};

// Guards against calls that are lost, duplicated or miscounted when the open or
// closed loop hands them to the connections.
TEST_CASE("every call of a run is made and counted once") {
  const auto loop = GENERATE(LoopMode::kOpen, LoopMode::kClosed);
  FakeHost host([](const HttpRequest& request, Responder respond) {
    const auto call = boost::json::parse(request.body).as_object();
    respond({.body = boost::json::serialize(boost::json::object{
                 {"id", call.at("id")},
                 {"was_run", "yes"},
                 {"status", "done"},
                 {"result", call.at("payload")},
                 {"host", request.customer + request.bearer}})});
  });
  LoadOptions options = Options(WorkMode::kRequests);
  options.targets = ParseTargets(host.address()).value();
  options.loop = loop;
  options.rate = 100'000;
  options.count = 500;
  options.customer = "c";
  options.key = Secret("+key");
  LoadGenerator generator(options);
  const LoadResult& result = *generator.Run().value();
  CHECK(result.calls == 500);
  CHECK(result.answered == 500);
  CHECK(result.AllAnswersValid());
  CHECK(result.by_was_run.at("yes") == 500);
  CHECK(result.by_host.at("c+key") == 500);
  CHECK(result.latency.count() == 500);
  CHECK(result.unfinished == 0);
  CHECK(result.ToJson().find("\"mismatched\":0") != std::string::npos);
}

// Guards against counting a call as not sent when its connection is closed
// before the answer, and against a run that never stops when no server listens.
TEST_CASE("cut-off calls and calls that were not sent are counted separately") {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  LoadOptions options = Options(WorkMode::kRequests);
  options.targets = {{"127.0.0.1", acceptor.local_endpoint().port()}};
  options.connections = 1;
  options.count = 3;
  std::thread server([&acceptor, &io] {
    for (int i = 0; i < 3; ++i) {
      tcp::socket socket(io);
      acceptor.accept(socket);
      char byte = 0;
      socket.read_some(asio::buffer(&byte, 1));
    }
    acceptor.close();
  });
  LoadGenerator cut_off_run(options);
  CHECK(cut_off_run.Run().value()->cut_off == 3);
  server.join();
  LoadGenerator refused_run(options);
  CHECK(refused_run.Run().value()->not_sent == 3);
}

}  // namespace
}  // namespace gypsumfall::load
