#include "gypsumfall/scheduler/internal/acceptance_path.h"

#include <catch2/catch.hpp>

namespace gypsumfall::scheduler_internal {
namespace {

using Route = AcceptanceStep::Route;

constexpr Time kNow{seconds(100)};
RelayTarget Home() { return {ShardId(1), "home:1"}; }
RelayTarget Other() { return {ShardId(0), "other:1"}; }

// Returns the attempts of one request, in short form: "o" for the own store,
// otherwise the number of the shard that is called.
std::string Routes(AcceptancePath& path,
                   const std::vector<RelayTarget>& targets, Time now) {
  AcceptanceAttempts attempts;
  std::string routes;
  for (;;) {
    const AcceptanceStep step = path.NextStep(attempts, targets, now);
    if (step.route == Route::kNone) return routes;
    routes += step.route == Route::kOwnStore
                  ? "o"
                  : std::to_string(step.shard.value());
  }
}

// Guards against a path that is tried twice, or not at all, before a job is
// refused.
TEST_CASE("a request tries its own store, the home leader, then others") {
  AcceptancePath path;
  CHECK(Routes(path, {Home(), Other()}, kNow) == "o10");
  CHECK(Routes(path, {}, kNow) == "o");
  CHECK(Routes(path, {Home(), {ShardId(0), "home:1"}}, kNow) == "o1");
}

// Guards against each request waiting for a silent store, and against a host
// that never returns to its own store or sends all requests there at once.
TEST_CASE("a failing own store is avoided and probed by one request") {
  AcceptancePath path;
  path.OnOwnWrite(StoreOutcome::kUnknown, kNow);
  CHECK(Routes(path, {Home()}, kNow) == "1");
  // Without another host, a silent store is the only way.
  CHECK(Routes(path, {}, kNow) == "o");
  const Time probe = kNow + kFailingPathMemory;
  CHECK(Routes(path, {Home()}, probe - milliseconds(1)) == "1");
  CHECK(Routes(path, {Home()}, probe) == "o1");
  CHECK(Routes(path, {Home()}, probe) == "1");
  path.OnOwnWrite(StoreOutcome::kConflict, probe);
  CHECK(Routes(path, {Home()}, probe) == "o1");
}

// Guards against a job refused without a try of a store that may be back.
TEST_CASE("a store that answers with errors is the last resort") {
  AcceptancePath path;
  path.OnOwnWrite(StoreOutcome::kNotApplied, kNow);
  CHECK(Routes(path, {Home(), Other()}, kNow) == "10o");
}

// Guards against waiting for a lost leader with each job.
TEST_CASE("a host that has failed is asked last") {
  AcceptancePath path;
  path.OnRelayedWrite(Home().endpoint, StoreOutcome::kUnknown, kNow);
  CHECK(Routes(path, {Home(), Other()}, kNow) == "o01");
  CHECK(Routes(path, {Home(), Other()}, kNow + kFailingPathMemory) == "o10");
  path.OnRelayedWrite(Home().endpoint, StoreOutcome::kDone, kNow);
  CHECK(Routes(path, {Home(), Other()}, kNow) == "o10");
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
