#include "gypsumfall/duty/duty.h"

#include <catch2/catch.hpp>

namespace gypsumfall {
namespace {

constexpr Time kStart{seconds(100)};

DutyLease Host(const std::string& name, const std::string& process = "p1") {
  return DutyLease({}, EntryHostId(name), "127.0.0.1:7000", process);
}

/// Asks twice, as a host that looks often does, so that the order among
/// candidates has passed by `now`.
std::optional<DutyClaim> ClaimAt(DutyLease& host, Time now) {
  host.Claim(now);
  return host.Claim(now + milliseconds(300));
}

DutyRecord HeldBy(const std::string& name, const std::string& process = "p1") {
  return {.holder = EntryHostId(name),
          .endpoint = "127.0.0.1:7001",
          .process = process,
          .epoch = Epoch(7),
          .renewal = 3};
}

TEST_CASE("nobody claims before the row was read") {
  DutyLease host = Host("a");
  CHECK_FALSE(ClaimAt(host, kStart + seconds(60)));
}

TEST_CASE("a missing or released duty is claimed at once, in the next epoch") {
  DutyLease host = Host("a");
  host.Observe(std::nullopt, RowVersion(0), kStart);
  const auto first = ClaimAt(host, kStart + milliseconds(200));
  REQUIRE(first);
  CHECK(first->record.epoch == Epoch(1));
  CHECK(first->expected == RowVersion(0));

  DutyRecord released = HeldBy("b");
  released.released = true;
  DutyLease other = Host("a");
  other.Observe(released, RowVersion(9), kStart);
  const auto next = ClaimAt(other, kStart + milliseconds(200));
  REQUIRE(next);
  CHECK(next->record.epoch == Epoch(8));
  CHECK(next->expected == RowVersion(9));
}

TEST_CASE("a duty that is renewed is left alone") {
  DutyLease host = Host("a");
  for (int i = 0; i < 10; ++i) {
    const Time now = kStart + seconds(2) * i;
    host.Observe(HeldBy("b"), RowVersion(static_cast<std::uint64_t>(i + 1)),
                 now);
    CHECK_FALSE(ClaimAt(host, now + milliseconds(1500)));
  }
}

TEST_CASE("a larger host claims before a smaller one") {
  DutySettings small;
  small.processor_share = 0.12;
  DutySettings large;
  large.processor_share = 0.5;
  DutyLease first(large, EntryHostId("a"), "127.0.0.1:7000", "p1");
  DutyLease second(small, EntryHostId("b"), "127.0.0.1:7001", "p2");
  for (DutyLease* host : {&first, &second}) {
    DutyRecord released = HeldBy("c");
    released.released = true;
    host->Observe(released, RowVersion(1), kStart);
    CHECK_FALSE(host->Claim(kStart));
  }
  CHECK(first.Claim(kStart + milliseconds(160)));
  CHECK_FALSE(second.Claim(kStart + milliseconds(160)));
  CHECK(second.Claim(kStart + milliseconds(300)));
}

// Hosts read the row at different times, so that a smaller one often sees first
// that a large holder is gone. It could not carry the holder's load.
TEST_CASE("a host smaller than the last holder lets the others read first") {
  DutySettings small;
  small.processor_share = 0.12;
  DutyLease host(small, EntryHostId("b"), "127.0.0.1:7001", "p2");
  DutyRecord released = HeldBy("c");
  released.released = true;
  released.processors = MilliCores(500);
  host.Observe(released, RowVersion(1), kStart);
  CHECK_FALSE(host.Claim(kStart));
  CHECK_FALSE(host.Claim(kStart + milliseconds(1000)));
  const auto claim = host.Claim(kStart + milliseconds(1500));
  REQUIRE(claim);
  CHECK(claim->record.processors == MilliCores(120));
}

// Hosts that the store turned away claimed duties that were renewed meanwhile;
// the claims failed, and cost the store calls when it was busy.
TEST_CASE("a duty that can not be read is not taken for unchanged") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(4), kStart);
  host.OnReadFailed(kStart + seconds(1));
  CHECK_FALSE(ClaimAt(host, kStart + seconds(20)));
  host.Observe(HeldBy("b"), RowVersion(4), kStart + seconds(21));
  CHECK(ClaimAt(host, kStart + seconds(21)));
}

TEST_CASE("an unchanged duty is claimed after a whole lease, not before") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.Observe(HeldBy("b"), RowVersion(5), kStart + seconds(2));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(3000)));
  CHECK(ClaimAt(host, kStart + milliseconds(3500)));
}

TEST_CASE("after an outage of the store the holder renews first") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnReadFailed(kStart + seconds(9));
  host.Observe(HeldBy("b"), RowVersion(5), kStart + milliseconds(9100));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(9200)));
  CHECK(ClaimAt(host, kStart + milliseconds(9900)));
}

TEST_CASE("a restart of the holder's own process claims at once") {
  DutyLease host = Host("a", "p2");
  host.Observe(HeldBy("a", "p1"), RowVersion(5), kStart);
  CHECK(ClaimAt(host, kStart + milliseconds(200)));
}

TEST_CASE("repeated refusals let a host claim, and bound what came before") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused(kStart + milliseconds(200));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(300)));
  host.OnHolderRefused(kStart + milliseconds(300));
  const auto claim = ClaimAt(host, kStart + milliseconds(400));
  REQUIRE(claim);
  host.OnStored(*claim, RowVersion(6), kStart + milliseconds(400));
  // A cut can refuse connections too while the holder goes on.
  CHECK(host.predecessor_slack() == seconds(3));
}

// The claim's own row may be read before the answer to the claim. The host then
// took itself for the predecessor and did not wait for the leases of the one
// before, which was only cut off.
TEST_CASE(
    "a row that is read while the claim is open does not shorten the wait") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused(kStart + milliseconds(200));
  host.OnHolderRefused(kStart + milliseconds(300));
  const auto claim = ClaimAt(host, kStart + milliseconds(400));
  REQUIRE(claim);
  host.Observe(claim->record, RowVersion(6), kStart + milliseconds(410));
  host.OnStored(*claim, RowVersion(6), kStart + milliseconds(400));
  CHECK(host.predecessor_slack() == seconds(3));
}

TEST_CASE("only a whole lease without change shows that nobody acts any more") {
  DutyLease waited = Host("a");
  waited.Observe(HeldBy("b"), RowVersion(5), kStart);
  const Time later = kStart + milliseconds(3500);
  waited.OnStored(*ClaimAt(waited, later), RowVersion(6), later);
  CHECK(waited.predecessor_slack() == Duration{0});

  DutyLease own_row = Host("a", "p2");
  own_row.Observe(HeldBy("a", "p1"), RowVersion(5), kStart);
  const Time soon = kStart + milliseconds(200);
  own_row.OnStored(*ClaimAt(own_row, soon), RowVersion(6), soon);
  CHECK(own_row.predecessor_slack() == seconds(3));
}

TEST_CASE("refusals far apart do not add up") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused(kStart + milliseconds(100));
  host.OnHolderRefused(kStart + milliseconds(1500));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(1600)));
}

TEST_CASE("the lease counts from the sending of the renewal") {
  DutyLease host = Host("a");
  host.Observe(std::nullopt, RowVersion(0), kStart);
  const auto claim = ClaimAt(host, kStart + seconds(1));
  host.OnStored(*claim, RowVersion(1), kStart + seconds(1));
  CHECK(host.IsHeld(kStart + milliseconds(3999)));
  CHECK_FALSE(host.IsHeld(kStart + milliseconds(4000)));
  CHECK(host.has_duty());
  const DutyClaim renewal = host.Renewal();
  CHECK(renewal.record.epoch == claim->record.epoch);
  CHECK(renewal.record.renewal == 1);
  CHECK(renewal.expected == RowVersion(1));
  host.OnStored(renewal, RowVersion(2), kStart + seconds(5));
  CHECK(host.IsHeld(kStart + seconds(6)));
}

TEST_CASE("a lost duty is claimed again only after it was read") {
  DutyLease host = Host("a");
  host.Observe(std::nullopt, RowVersion(0), kStart);
  host.OnStored(*ClaimAt(host, kStart + seconds(1)), RowVersion(1),
                kStart + seconds(1));
  host.OnLost();
  CHECK_FALSE(host.IsHeld(kStart + seconds(1)));
  CHECK_FALSE(ClaimAt(host, kStart + seconds(60)));
}

TEST_CASE("a late answer does not bring back an older row") {
  DutyLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(8), kStart);
  DutyRecord old = HeldBy("c");
  old.released = true;
  host.Observe(old, RowVersion(4), kStart + milliseconds(10));
  CHECK_FALSE(ClaimAt(host, kStart + seconds(1)));
}

}  // namespace
}  // namespace gypsumfall
