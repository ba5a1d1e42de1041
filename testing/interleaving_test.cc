#include "testing/interleaving.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace gypsumfall::testing {
namespace {

constexpr std::uint64_t kSteps = 300;

struct Totals {
  std::uint64_t faults = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t tasks = 0;
  std::uint64_t attempts = 0;
  std::uint64_t done = 0;
  // Violations by invariant.
  std::map<std::string, std::uint64_t> violations;
};

Totals RunSeeds(std::uint64_t seeds, const Safeguards& safeguards,
                bool print_failures) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const RunReport report = RunInterleaving(seed, safeguards, kSteps);
    totals.faults += report.faults;
    totals.takeovers += report.takeovers;
    totals.tasks += report.tasks;
    totals.attempts += report.attempts;
    totals.done += report.done;
    for (const Violation& violation : report.violations) {
      ++totals.violations[violation.invariant];
      if (!print_failures) continue;
      WARN("seed " << seed << ": " << violation.invariant << ": "
                   << violation.detail);
    }
  }
  return totals;
}

std::string Summary(const std::string& name, std::uint64_t seeds,
                    const Totals& totals) {
  std::string text = name + ": " + std::to_string(seeds) + " seeds x " +
                     std::to_string(kSteps) + " steps, " +
                     std::to_string(totals.faults) + " faults, " +
                     std::to_string(totals.takeovers) + " takeovers, " +
                     std::to_string(totals.tasks) + " tasks, " +
                     std::to_string(totals.attempts) + " starts sent, " +
                     std::to_string(totals.done) + " done";
  for (const auto& [invariant, count] : totals.violations) {
    text += ", " + invariant + ": " + std::to_string(count);
  }
  return text;
}

void CheckNoViolations(std::uint64_t seeds) {
  const Totals totals = RunSeeds(seeds, {}, true);
  WARN(Summary("all safeguards", seeds, totals));
  CHECK(totals.violations.empty());
  // Guards against a simulation without faults, takeovers or work.
  CHECK(totals.takeovers > seeds);
  CHECK(totals.faults > 10 * seeds);
  CHECK(totals.attempts > totals.tasks / 2);
  CHECK(totals.done > totals.tasks / 5);
}

// Guards against a sequence of faults that violates an invariant of the design.
TEST_CASE("the invariants hold under random faults") {
  CheckNoViolations(2000);
}

// The same check with more seeds, run before a release.
TEST_CASE("the invariants hold for many seeds", "[.long]") {
  CheckNoViolations(20000);
}

// Guards against a checker or a simulation that detects nothing: each run with
// one safeguard disabled must report violations.
TEST_CASE("a disabled safeguard causes violations") {
  struct Case {
    std::string name;
    Safeguards safeguards;
    std::string invariant;
  };
  const Case test_case = GENERATE(values<Case>({
      {"no fence on commits", {.fence = false}, "accepted task lost"},
      {"lost answer taken for a success",
       {.read_back = false},
       "accepted task lost"},
      {"no wait for the lease", {.wait_for_lease = false}, "I2"},
      {"acknowledgements by earlier owners",
       {.confirmed_owner_acknowledges = false},
       "I6"},
  }));
  constexpr std::uint64_t kSeeds = 100;
  const Totals totals = RunSeeds(kSeeds, test_case.safeguards, false);
  WARN(Summary(test_case.name, kSeeds, totals));
  CHECK(totals.violations.contains(test_case.invariant));
}

}  // namespace
}  // namespace gypsumfall::testing
