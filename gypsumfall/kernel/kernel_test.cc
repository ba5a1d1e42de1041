#include "gypsumfall/kernel/kernel.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

struct Log {
  std::vector<std::string> events;
  std::vector<std::function<void()>> pending_stops;
};

class FakeService : public Service {
 public:
  FakeService(Log& log, std::string name, std::vector<std::string> needs,
              bool fails = false)
      : log_(log),
        name_(std::move(name)),
        needs_(std::move(needs)),
        fails_(fails) {}
  std::vector<std::string> dependencies() const override { return needs_; }
  Result<void> Start() override {
    if (fails_) return Fail(ErrorKind::kInternal, "port in use");
    log_.events.push_back("+" + name_);
    return {};
  }
  void Stop(std::function<void()> stopped) override {
    log_.events.push_back("-" + name_);
    log_.pending_stops.push_back(std::move(stopped));
  }
  std::string Dump() const override { return "state of " + name_; }

 private:
  Log& log_;
  std::string name_;
  std::vector<std::string> needs_;
  bool fails_;
};

class OtherService : public FakeService {
  using FakeService::FakeService;
};

void Register(Kernel& kernel, Log& log, const std::string& name,
              std::vector<std::string> needs, bool fails = false) {
  auto service =
      std::make_unique<FakeService>(log, name, std::move(needs), fails);
  const Result<void> registered = kernel.Register(name, std::move(service));
  REQUIRE(registered);
}

void FinishStops(Log& log) {
  while (!log.pending_stops.empty()) {
    const auto stopped = std::move(log.pending_stops.back());
    log.pending_stops.pop_back();
    stopped();
    stopped();  // A second call must not stop the next service early.
  }
}

// Guards against a service that runs without what it needs, and against the
// next service being stopped while the previous one still drains.
TEST_CASE("services start after their dependencies and stop in reverse") {
  Log log;
  Kernel kernel;
  Register(kernel, log, "callers", {"fleet", "journal"});
  Register(kernel, log, "fleet", {"journal"});
  Register(kernel, log, "journal", {});
  REQUIRE(kernel.Start());
  CHECK(log.events ==
        std::vector<std::string>{"+journal", "+fleet", "+callers"});
  CHECK_FALSE(kernel.Register(
      "late",
      std::make_unique<FakeService>(log, "late", std::vector<std::string>{})));
  int done = 0;
  log.events.clear();
  kernel.Stop([&done] { ++done; });
  kernel.Stop([&done] { ++done; });
  CHECK(log.events == std::vector<std::string>{"-callers"});
  CHECK(kernel.Statuses().back().state == ServiceState::kStopping);
  FinishStops(log);
  CHECK(log.events ==
        std::vector<std::string>{"-callers", "-fleet", "-journal"});
  CHECK(done == 2);
}

// Guards against a half-started process that keeps running.
TEST_CASE("a failing start stops what was started") {
  Log log;
  Kernel kernel;
  Register(kernel, log, "first", {});
  Register(kernel, log, "second", {}, /*fails=*/true);
  Register(kernel, log, "third", {});
  const Result<void> started = kernel.Start();
  REQUIRE_FALSE(started);
  CHECK(started.error().detail == "service second: port in use");
  FinishStops(log);
  CHECK(log.events == std::vector<std::string>{"+first", "-first"});
  CHECK(kernel.Dump() ==
        "== first (stopped)\nstate of first\n"
        "== second (failed)\nstate of second\n"
        "== third (registered)\nstate of third\n");
}

// Guards against starting anything when the order can not be satisfied.
TEST_CASE("faulty registrations are refused") {
  struct Row {
    std::string fault;
    std::vector<std::string> needs_of_a;
    std::vector<std::string> needs_of_b;
  };
  const auto row = GENERATE(values<Row>({{"missing", {"none"}, {}},
                                         {"cycle", {"b"}, {"a"}},
                                         {"self", {"a"}, {}}}));
  INFO(row.fault);
  Log log;
  Kernel kernel;
  Register(kernel, log, "b", row.needs_of_b);
  Register(kernel, log, "a", row.needs_of_a);
  CHECK_FALSE(kernel.Register(
      "a", std::make_unique<FakeService>(log, "a", row.needs_of_a)));
  const Result<void> started = kernel.Start();
  REQUIRE_FALSE(started);
  CHECK(started.error().kind == ErrorKind::kInvalidSettings);
  CHECK(log.events.empty());
}

// Guards against a service being used as another type.
TEST_CASE("services are found by name and type") {
  Log log;
  Kernel kernel;
  Register(kernel, log, "a", {});
  CHECK(kernel.Find<FakeService>("a") != nullptr);
  CHECK(kernel.Find<OtherService>("a") == nullptr);
  CHECK(kernel.Find<FakeService>("b") == nullptr);
  CHECK(kernel.Dump("a").value() == "state of a");
  CHECK(kernel.Dump("b").error().detail == "no service b; services are: a");
}

}  // namespace
}  // namespace gypsumfall
