#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/http/http.h"
#include "standins/internal/kind_option.h"
#include "standins/internal/platform_service.h"
#include "standins/internal/worker_fleet.h"

namespace gypsumfall::standins {
namespace {

FleetOptions TwoWorkers() {
  FleetOptions options;
  options.count = 2;
  options.key = "secret";
  CHECK(AddKind("short:1", options.worker).empty());
  CHECK(AddKind("long:60000:1000:2000", options.worker).empty());
  return options;
}

struct Fixture {
  explicit Fixture(const FleetOptions& options = TwoWorkers())
      : fleet(io, options), control(fleet.Start().value()) {}

  // The timeout only fails a test that hangs.
  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      io.restart();
      if (io.run_one_for(std::chrono::seconds(30)) == 0) FAIL("hung");
    }
  }
  CallOutcome Call(const std::string& address, HttpCall call) {
    call.bearer = "secret";
    std::optional<CallOutcome> outcome;
    pool.Call(address, std::move(call), seconds(30),
              [&](CallOutcome o) { outcome = std::move(o); });
    RunUntil([&] { return outcome.has_value(); });
    return *std::move(outcome);
  }
  CallOutcome InjectFault(const std::string& path) {
    return Call(control, {.path = path});
  }
  template <typename Reply, typename Message>
  Reply Send(const std::string& path, const Message& message) {
    const CallOutcome outcome =
        Call(Address(), {.path = path, .body = Encode(message)});
    return Decode<Reply>(outcome.body).value();
  }
  AttachReply Attach(std::uint64_t epoch) {
    return Send<AttachReply>("/v1/attach",
                             AttachCall{EntryHostId("e1"), Epoch(epoch)});
  }
  CommandHeader Header(const AttachReply& attached) const {
    return {attached.owner, attached.highest_epoch, attached.incarnation,
            attached.clock + seconds(60)};
  }
  std::string Address() const { return fleet.hosts().hosts[0].address; }

  boost::asio::io_context io;
  ClientPool pool{io, {}};
  WorkerFleet fleet;
  std::string control;
};

const Resources small{MilliCores(1), MebiBytes(1), {}};

// Guards against a service whose protocol differs from its model.
TEST_CASE("a worker is commanded over HTTP") {
  Fixture f;
  const CommandHeader header = f.Header(f.Attach(3));
  const RunRequestCall request{header, ExchangeId("x1"), KindId("short"), small,
                               "pay"};
  CHECK(f.Send<RequestReply>("/v1/requests", request).state ==
        ExchangeState::kFinished);
  CHECK(f.Send<RequestReply>("/v1/requests/cancel",
                             CancelRequestCall{header, ExchangeId("x2")})
            .state == ExchangeState::kNeverStarted);
  const AttemptId id{CustomerId("c"), TaskId("t"), AttemptNumber(1)};
  CHECK_FALSE(f.Send<StartAttemptReply>(
                   "/v1/tasks/start",
                   StartAttemptCall{header, id, KindId("long"), small, "", "",
                                    Epoch(1), header.valid_until})
                  .refused);
  const auto beat = f.Send<WorkerHeartbeatReply>(
      "/v1/heartbeat", WorkerHeartbeatCall{header, {}, {}});
  CHECK(beat.attempts.at(0).id == id);
  CHECK(f.Send<StopAttemptReply>("/v1/tasks/stop", StopAttemptCall{header, id})
            .report.state == AttemptState::kStopped);
  CHECK(
      f.Call(f.control, {.method = HttpMethod::kGet, .path = "/stats"})
          .body.starts_with(R"({"requests_started":1,"attempts_started":1,)"));
}

// Guards against a crashed worker that still answers, or that answers with its
// previous incarnation.
TEST_CASE("a crashed worker refuses connections and loses its requests") {
  Fixture f;
  const RunRequestCall request{f.Header(f.Attach(3)), ExchangeId("x1"),
                               KindId("long"), small, ""};
  std::optional<CallOutcome> running;
  f.pool.Call(
      f.Address(),
      {.path = "/v1/requests", .bearer = "secret", .body = Encode(request)},
      seconds(30), [&](CallOutcome o) { running = std::move(o); });
  const auto started = [&] {
    return f.Call(f.control, {.method = HttpMethod::kGet, .path = "/stats"})
        .body.starts_with(R"({"requests_started":1,)");
  };
  int tries = 0;
  while (!started()) REQUIRE(++tries < 10'000);
  CHECK(f.InjectFault("/workers/0/die").status == 200);
  f.RunUntil([&] { return running.has_value(); });
  CHECK(running->failure == CallFailure::kTransportError);
  CHECK_FALSE(running->certainly_not_sent);
  CHECK(f.Call(f.Address(), {.path = "/v1/attach"}).failure ==
        CallFailure::kRefused);
  CHECK(f.InjectFault("/workers/0/restart").status == 200);
  CHECK(f.Attach(1).incarnation == Incarnation(2));
}

// Guards against a paused worker that answers during the pause.
TEST_CASE("a paused worker answers after its pause") {
  Fixture f;
  f.Attach(3);
  CHECK(f.InjectFault("/workers/0/pause?ms=50").status == 200);
  const AttachReply reply = f.Attach(4);
  CHECK(reply.accepted);
  CHECK(f.InjectFault("/workers/0/leave").status == 200);
  CHECK(f.Attach(4).leaving);
  CHECK(f.fleet.hosts().hosts[0].leaving);
  CHECK_FALSE(f.fleet.hosts().hosts[1].leaving);
}

TEST_CASE("wrong keys, paths, faults and options are refused") {
  Fixture f;
  std::optional<CallOutcome> outcome;
  f.pool.Call(f.Address(), {.path = "/v1/attach", .bearer = "wrong"},
              seconds(30), [&](CallOutcome o) { outcome = std::move(o); });
  f.RunUntil([&] { return outcome.has_value(); });
  CHECK(outcome->status == 401);
  CHECK(f.Call(f.Address(), {.path = "/v1/other"}).status == 404);
  CHECK(f.Call(f.Address(), {.path = "/v1/attach", .body = "{"}).status == 400);
  CHECK(f.InjectFault("/workers/0/vanish").status == 400);
  CHECK(f.InjectFault("/workers/9/die").status == 400);
  WorkerOptions options;
  for (const char* bad : {"", "a", ":1", "a:x", "a:-1", "a:1:2:3:4"}) {
    CHECK_FALSE(AddKind(bad, options).empty());
  }
  CHECK_FALSE(AddSlowdown("a:b:500", options).empty());
  AddKind("a:1", options);
  CHECK(AddSlowdown("a:b:500", options).empty());
}

// Guards against workers that are missing from the host list.
TEST_CASE("workers register with the platform") {
  boost::asio::io_context io;
  PlatformService platform(io, {.host_list_lag = Duration::zero()});
  FleetOptions options = TwoWorkers();
  options.platform = platform.Start().value();
  options.workers_per_rack = 1;
  options.data_centres = {"d1", "d2"};
  WorkerFleet fleet(io, options);
  REQUIRE(fleet.Start());
  std::vector<ListedHost> hosts;
  while (hosts.empty()) {
    REQUIRE(io.run_one_for(std::chrono::seconds(30)) > 0);
    hosts = platform.hosts().View(Time::max()).reply->hosts;
  }
  REQUIRE(hosts.size() == 2);
  CHECK(hosts[1].data_centre == DataCentreId("d2"));
  CHECK(hosts[1].rack == RackId("rack1"));
}

// Guards against a check of I2 that detects no violation.
TEST_CASE("a task that runs on two workers is reported") {
  RunLog log;
  const AttemptId first{CustomerId("c"), TaskId("t"), AttemptNumber(1)};
  AttemptId second = first;
  second.number = AttemptNumber(2);
  log.Record(WorkerId("w1"), {{Time(), true, first, {}}});
  log.Record(WorkerId("w1"), {{Time(), false, first, {}}});
  log.Record(WorkerId("w2"), {{Time(), true, second, {}}});
  CHECK(log.violations().empty());
  log.Record(WorkerId("w1"), {{Time(), true, second, {}}});
  CHECK(log.violations().size() == 1);
}

}  // namespace
}  // namespace gypsumfall::standins
