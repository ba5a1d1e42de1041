#include "gypsumfall/leadership/leadership.h"

#include <catch2/catch.hpp>

namespace gypsumfall {
namespace {

constexpr Time kStart{seconds(100)};

LeaderLease Host(const std::string& name, const std::string& process = "p1") {
  return LeaderLease({}, EntryHostId(name), "127.0.0.1:7000", process);
}

/// Calls `Claim` twice, 300 ms apart, so that the staggered delay of candidates
/// has passed.
std::optional<LeaderClaim> ClaimAt(LeaderLease& host, Time now) {
  host.Claim(now);
  return host.Claim(now + milliseconds(300));
}

LeaderRecord HeldBy(const std::string& name,
                    const std::string& process = "p1") {
  return {.holder = EntryHostId(name),
          .endpoint = "127.0.0.1:7001",
          .process = process,
          .epoch = Epoch(7),
          .renewal = 3};
}

TEST_CASE("no host claims before it has read the row") {
  LeaderLease host = Host("a");
  CHECK_FALSE(ClaimAt(host, kStart + seconds(60)));
}

TEST_CASE("a missing or released row is claimed at once, in the next epoch") {
  LeaderLease host = Host("a");
  host.Observe(std::nullopt, RowVersion(0), kStart);
  const auto first = ClaimAt(host, kStart + milliseconds(200));
  REQUIRE(first);
  CHECK(first->record.epoch == Epoch(1));
  CHECK(first->expected == RowVersion(0));

  LeaderRecord released = HeldBy("b");
  released.released = true;
  LeaderLease other = Host("a");
  other.Observe(released, RowVersion(9), kStart);
  const auto next = ClaimAt(other, kStart + milliseconds(200));
  REQUIRE(next);
  CHECK(next->record.epoch == Epoch(8));
  CHECK(next->expected == RowVersion(9));
}

TEST_CASE("a row that is being renewed is not claimed") {
  LeaderLease host = Host("a");
  for (int i = 0; i < 10; ++i) {
    const Time now = kStart + seconds(2) * i;
    host.Observe(HeldBy("b"), RowVersion(static_cast<std::uint64_t>(i + 1)),
                 now);
    CHECK_FALSE(ClaimAt(host, now + milliseconds(1500)));
  }
}

TEST_CASE("a larger host claims before a smaller one") {
  LeaderLeaseSettings small;
  small.processor_share = 0.12;
  LeaderLeaseSettings large;
  large.processor_share = 0.5;
  LeaderLease first(large, EntryHostId("a"), "127.0.0.1:7000", "p1");
  LeaderLease second(small, EntryHostId("b"), "127.0.0.1:7001", "p2");
  for (LeaderLease* host : {&first, &second}) {
    LeaderRecord released = HeldBy("c");
    released.released = true;
    host->Observe(released, RowVersion(1), kStart);
    CHECK_FALSE(host->Claim(kStart));
  }
  CHECK(first.Claim(kStart + milliseconds(160)));
  CHECK_FALSE(second.Claim(kStart + milliseconds(160)));
  CHECK(second.Claim(kStart + milliseconds(300)));
}

// Hosts read the row at different times, so a smaller host often sees first
// that a large holder has failed. The smaller host could not carry the holder's
// load.
TEST_CASE("a host smaller than the last holder lets larger hosts claim first") {
  LeaderLeaseSettings small;
  small.processor_share = 0.12;
  LeaderLease host(small, EntryHostId("b"), "127.0.0.1:7001", "p2");
  LeaderRecord released = HeldBy("c");
  released.released = true;
  released.processors = MilliCores(500);
  host.Observe(released, RowVersion(1), kStart);
  CHECK_FALSE(host.Claim(kStart));
  CHECK_FALSE(host.Claim(kStart + milliseconds(1000)));
  const auto claim = host.Claim(kStart + milliseconds(1500));
  REQUIRE(claim);
  CHECK(claim->record.processors == MilliCores(120));
}

// Guards against claims by hosts whose reads the store rejects while the holder
// still renews. Such claims fail and add load to a busy store.
TEST_CASE("a row that cannot be read does not count as unchanged") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(4), kStart);
  host.OnReadFailed(kStart + seconds(1));
  CHECK_FALSE(ClaimAt(host, kStart + seconds(20)));
  host.Observe(HeldBy("b"), RowVersion(4), kStart + seconds(21));
  CHECK(ClaimAt(host, kStart + seconds(21)));
}

TEST_CASE("an unchanged row is claimed after a full lease, not before") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.Observe(HeldBy("b"), RowVersion(5), kStart + seconds(2));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(3000)));
  CHECK(ClaimAt(host, kStart + milliseconds(3500)));
}

TEST_CASE("after a store outage the holder may renew before others claim") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnReadFailed(kStart + seconds(9));
  host.Observe(HeldBy("b"), RowVersion(5), kStart + milliseconds(9100));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(9200)));
  CHECK(ClaimAt(host, kStart + milliseconds(9900)));
}

TEST_CASE("a restarted process of the holder claims at once") {
  LeaderLease host = Host("a", "p2");
  host.Observe(HeldBy("a", "p1"), RowVersion(5), kStart);
  CHECK(ClaimAt(host, kStart + milliseconds(200)));
}

TEST_CASE("repeated refused connections allow a claim with predecessor slack") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused(kStart + milliseconds(200));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(300)));
  host.OnHolderRefused(kStart + milliseconds(300));
  const auto claim = ClaimAt(host, kStart + milliseconds(400));
  REQUIRE(claim);
  host.OnStored(*claim, RowVersion(6), kStart + milliseconds(400));
  // A network partition also refuses connections while the holder continues.
  CHECK(host.predecessor_slack() == seconds(3));
}

// The row written by a claim may be read before the response to the claim
// arrives. The host must not take itself for the predecessor, because then it
// would not wait for the worker leases of the previous holder, which may only
// be partitioned from the network.
TEST_CASE(
    "a row that is read while the claim is pending keeps predecessor slack") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused(kStart + milliseconds(200));
  host.OnHolderRefused(kStart + milliseconds(300));
  const auto claim = ClaimAt(host, kStart + milliseconds(400));
  REQUIRE(claim);
  host.Observe(claim->record, RowVersion(6), kStart + milliseconds(410));
  host.OnStored(*claim, RowVersion(6), kStart + milliseconds(400));
  CHECK(host.predecessor_slack() == seconds(3));
}

TEST_CASE("only an unchanged full lease removes the predecessor slack") {
  LeaderLease waited = Host("a");
  waited.Observe(HeldBy("b"), RowVersion(5), kStart);
  const Time later = kStart + milliseconds(3500);
  waited.OnStored(*ClaimAt(waited, later), RowVersion(6), later);
  CHECK(waited.predecessor_slack() == Duration{0});

  LeaderLease own_row = Host("a", "p2");
  own_row.Observe(HeldBy("a", "p1"), RowVersion(5), kStart);
  const Time soon = kStart + milliseconds(200);
  own_row.OnStored(*ClaimAt(own_row, soon), RowVersion(6), soon);
  CHECK(own_row.predecessor_slack() == seconds(3));
}

TEST_CASE("refused connections far apart do not add up") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused(kStart + milliseconds(100));
  host.OnHolderRefused(kStart + milliseconds(1500));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(1600)));
}

TEST_CASE("the lease starts when the renewal is sent") {
  LeaderLease host = Host("a");
  host.Observe(std::nullopt, RowVersion(0), kStart);
  const auto claim = ClaimAt(host, kStart + seconds(1));
  host.OnStored(*claim, RowVersion(1), kStart + seconds(1));
  CHECK(host.IsHeld(kStart + milliseconds(3999)));
  CHECK_FALSE(host.IsHeld(kStart + milliseconds(4000)));
  CHECK(host.is_leader());
  const LeaderClaim renewal = host.Renewal();
  CHECK(renewal.record.epoch == claim->record.epoch);
  CHECK(renewal.record.renewal == 1);
  CHECK(renewal.expected == RowVersion(1));
  host.OnStored(renewal, RowVersion(2), kStart + seconds(5));
  CHECK(host.IsHeld(kStart + seconds(6)));
}

TEST_CASE("lost leadership is claimed again only after a read of the row") {
  LeaderLease host = Host("a");
  host.Observe(std::nullopt, RowVersion(0), kStart);
  host.OnStored(*ClaimAt(host, kStart + seconds(1)), RowVersion(1),
                kStart + seconds(1));
  host.OnLost();
  CHECK_FALSE(host.IsHeld(kStart + seconds(1)));
  CHECK_FALSE(ClaimAt(host, kStart + seconds(60)));
}

TEST_CASE("a late response does not restore an older row") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(8), kStart);
  LeaderRecord old = HeldBy("c");
  old.released = true;
  host.Observe(old, RowVersion(4), kStart + milliseconds(10));
  CHECK_FALSE(ClaimAt(host, kStart + seconds(1)));
}

}  // namespace
}  // namespace gypsumfall
