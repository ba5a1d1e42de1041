#include "gypsumfall/kernel/kernel.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

struct ServiceLog {
  std::vector<std::string> events;
  std::vector<std::function<void()>> pending_stops;
};

class FakeService : public Service {
 public:
  FakeService(ServiceLog& log, std::string name,
              std::vector<std::string> dependency_names,
              bool start_fails = false)
      : log_(log),
        name_(std::move(name)),
        dependency_names_(std::move(dependency_names)),
        start_fails_(start_fails) {}
  std::vector<std::string> dependencies() const override {
    return dependency_names_;
  }
  Result<void> Start() override {
    if (start_fails_) return Fail(ErrorKind::kInternal, "port in use");
    log_.events.push_back("+" + name_);
    return {};
  }
  void Stop(std::function<void()> stopped) override {
    log_.events.push_back("-" + name_);
    log_.pending_stops.push_back(std::move(stopped));
  }
  std::string Dump() const override { return "state of " + name_; }

 private:
  ServiceLog& log_;
  std::string name_;
  std::vector<std::string> dependency_names_;
  bool start_fails_;
};

class DerivedService : public FakeService {
  using FakeService::FakeService;
};

void Register(Kernel& kernel, ServiceLog& log, const std::string& name,
              std::vector<std::string> dependency_names,
              bool start_fails = false) {
  auto service = std::make_unique<FakeService>(
      log, name, std::move(dependency_names), start_fails);
  const Result<void> registered = kernel.Register(name, std::move(service));
  REQUIRE(registered);
}

void CompletePendingStops(ServiceLog& log) {
  while (!log.pending_stops.empty()) {
    const auto stopped = std::move(log.pending_stops.back());
    log.pending_stops.pop_back();
    stopped();
    stopped();  // A repeated call must not stop the next service early.
  }
}

// Guards against a service that runs without its dependencies, and against a
// service being stopped while one that depends on it is still shutting down.
TEST_CASE("services start after their dependencies and stop in reverse") {
  ServiceLog log;
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
  CompletePendingStops(log);
  CHECK(log.events ==
        std::vector<std::string>{"-callers", "-fleet", "-journal"});
  CHECK(done == 2);
}

// Guards against a process that keeps running with only some of its services.
TEST_CASE("a failed start stops the services that were started") {
  ServiceLog log;
  Kernel kernel;
  Register(kernel, log, "first", {});
  Register(kernel, log, "second", {}, /*start_fails=*/true);
  Register(kernel, log, "third", {});
  const Result<void> started = kernel.Start();
  REQUIRE_FALSE(started);
  CHECK(started.error().detail == "service second: port in use");
  CompletePendingStops(log);
  CHECK(log.events == std::vector<std::string>{"+first", "-first"});
  CHECK(kernel.Dump() ==
        "== first (stopped)\nstate of first\n"
        "== second (failed)\nstate of second\n"
        "== third (registered)\nstate of third\n");
}

// Guards against starting any service when no valid start order exists.
TEST_CASE("invalid dependencies and duplicate names are rejected") {
  struct InvalidSetup {
    std::string fault;
    std::vector<std::string> dependencies_of_a;
    std::vector<std::string> dependencies_of_b;
  };
  const auto setup = GENERATE(values<InvalidSetup>({{"missing", {"none"}, {}},
                                                    {"cycle", {"b"}, {"a"}},
                                                    {"self", {"a"}, {}}}));
  INFO(setup.fault);
  ServiceLog log;
  Kernel kernel;
  Register(kernel, log, "b", setup.dependencies_of_b);
  Register(kernel, log, "a", setup.dependencies_of_a);
  CHECK_FALSE(kernel.Register(
      "a", std::make_unique<FakeService>(log, "a", setup.dependencies_of_a)));
  const Result<void> started = kernel.Start();
  REQUIRE_FALSE(started);
  CHECK(started.error().kind == ErrorKind::kInvalidSettings);
  CHECK(log.events.empty());
}

// Guards against a service being cast to a type that it does not have.
TEST_CASE("services are found by name and type") {
  ServiceLog log;
  Kernel kernel;
  Register(kernel, log, "a", {});
  CHECK(kernel.Find<FakeService>("a") != nullptr);
  CHECK(kernel.Find<DerivedService>("a") == nullptr);
  CHECK(kernel.Find<FakeService>("b") == nullptr);
  CHECK(kernel.Dump("a").value() == "state of a");
  CHECK(kernel.Dump("b").error().detail == "no service b; services are: a");
}

}  // namespace
}  // namespace gypsumfall
