#include "gypsumfall/scheduler/internal/store_clock_estimate.h"

#include <catch2/catch.hpp>

#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Time kSent{seconds(100)};
constexpr StoreTime kReading{seconds(7000)};

TEST_CASE("a store clock without a reading converts nothing") {
  StoreClockEstimate clock;
  clock.Observe(std::nullopt, kSent, kSent);
  CHECK_FALSE(clock.LatestReadingAt(kSent));
  CHECK_FALSE(clock.TimeOfReading(kReading));
}

// Guards against a wait that is shortened by the time that a call took, which
// would let a task run twice.
TEST_CASE("conversions between two hosts err on the late side") {
  const Duration first_latency = milliseconds(GENERATE(0, 40, 900));
  const Duration second_latency = milliseconds(GENERATE(0, 40, 900));
  // The hosts' clocks differ by 50 s. The store reads its clock at the end of
  // the first call and at the beginning of the second.
  const Duration difference = seconds(50);
  StoreClockEstimate first;
  first.Observe(kReading, kSent, kSent + first_latency);
  StoreClockEstimate second;
  const StoreTime second_reading = kReading + seconds(2);
  const Time second_sent = kSent + difference + first_latency + seconds(2);
  second.Observe(second_reading, second_sent, second_sent + second_latency);

  const Time lease_end = kSent + seconds(5);
  const auto stored = first.LatestReadingAt(lease_end);
  REQUIRE(stored);
  const auto restored = second.TimeOfReading(*stored);
  REQUIRE(restored);
  CHECK(*restored >= lease_end + difference);
  CHECK(*restored <= lease_end + difference + first_latency + second_latency +
                         milliseconds(2));
}

TEST_CASE("the roster keeps the end of a lease on the clock of the store") {
  StoreClockEstimate clock;
  clock.Observe(kReading, kSent, kSent);
  const Time lease_end = kSent + seconds(5);
  RecordBatch batch;
  batch.roster_entries = {{WorkerId("a"), "a:1", lease_end},
                          {WorkerId("b"), "b:1", std::nullopt}};
  const RowTransaction rows =
      BatchTransaction(ShardScope(ShardId(0)), batch, clock);
  REQUIRE(rows.writes.size() == 2);
  std::vector<RosterEntry> roster;
  for (const RowWrite& write : rows.writes) {
    const Result<RosterEntry> entry = Decode<RosterEntry>(write.value);
    REQUIRE(entry);
    roster.push_back(*entry);
  }
  const std::vector<LeaseHolder> restored = LeaseHoldersOf(roster, clock);
  REQUIRE(restored.size() == 2);
  CHECK(restored[0].id == WorkerId("a"));
  REQUIRE(restored[0].lease_end);
  CHECK(*restored[0].lease_end >= lease_end);
  CHECK(*restored[0].lease_end <= lease_end + milliseconds(2));
  CHECK_FALSE(restored[1].lease_end);
  // Without a reading of the clock, a successor waits for the longest lease.
  CHECK_FALSE(LeaseHoldersOf(roster, StoreClockEstimate())[0].lease_end);
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
