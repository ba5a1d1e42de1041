#include "gypsumfall/leadership/leadership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
  host.OnHolderRefused("p1", kStart + milliseconds(200));
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(300)));
  host.OnHolderRefused("p1", kStart + milliseconds(300));
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
  host.OnHolderRefused("p1", kStart + milliseconds(200));
  host.OnHolderRefused("p1", kStart + milliseconds(300));
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

/// Makes the host claim a row that it reads at `now`.
void Elect(LeaderLease& host, const std::optional<LeaderRecord>& row,
           RowVersion version, Time now) {
  host.Observe(row, version, now);
  const auto claim = ClaimAt(host, now);
  REQUIRE(claim);
  host.OnStored(*claim, RowVersion(version.value() + 1),
                now + milliseconds(300));
}

// Guards against a successor that after each planned stop of a leader waits
// for orders that nobody can send, and starts no task meanwhile.
TEST_CASE("a planned release leaves no predecessor slack") {
  LeaderLease first = Host("a");
  Elect(first, std::nullopt, RowVersion(0), kStart);
  LeaderLease second = Host("b");
  const Time stopped = kStart + seconds(5);
  Elect(second, first.Release(stopped).record, RowVersion(5), stopped);
  CHECK(second.predecessor_slack() == Duration{0});
  LeaderLease restarted = Host("b", "p2");
  const Time renewed = kStart + seconds(7);
  Elect(restarted, second.Renewal(renewed).record, RowVersion(9), renewed);
  CHECK(restarted.predecessor_slack() == Duration{0});
}

// Guards against two leaders that both send orders, after a process at the
// address of the holder was taken for one that has replaced the holder.
TEST_CASE("a holder that seems to be replaced keeps the whole slack") {
  LeaderLease first = Host("a");
  Elect(first, std::nullopt, RowVersion(0), kStart);
  LeaderLease second = Host("b");
  const LeaderRecord held = first.Renewal(kStart + seconds(5)).record;
  second.Observe(held, RowVersion(5), kStart + seconds(5));
  second.OnHolderReplaced(held.process);
  Elect(second, held, RowVersion(5), kStart + seconds(5));
  CHECK(second.predecessor_slack() == seconds(3));
}

// Guards against a second leader beside one whose lease is valid, because an
// answer to a call that was sent to the holder before it arrives late.
TEST_CASE("an answer of an earlier holder does not allow a claim") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b", "p1"), RowVersion(5), kStart);
  const Time renewed = kStart + milliseconds(100);
  host.Observe(HeldBy("c", "p2"), RowVersion(6), renewed);
  SECTION("that no longer schedules") { host.OnHolderReplaced("p1"); }
  SECTION("whose address refuses connections") {
    host.OnHolderRefused("p1", renewed);
    host.OnHolderRefused("p1", renewed);
  }
  CHECK_FALSE(ClaimAt(host, renewed + milliseconds(100)));
  SECTION("and one of the present holder does") {
    host.OnHolderReplaced("p2");
    CHECK(ClaimAt(host, renewed + milliseconds(500)));
  }
}

// Guards against a slack that is forgotten with the leader that began it: the
// holder before it may only be cut off.
TEST_CASE("a release keeps the slack for an earlier holder that is cut off") {
  LeaderLease second = Host("b");
  second.Observe(HeldBy("a"), RowVersion(5), kStart);
  second.OnHolderRefused("p1", kStart);
  second.OnHolderRefused("p1", kStart);
  Elect(second, HeldBy("a"), RowVersion(5), kStart);
  REQUIRE(second.predecessor_slack() == seconds(3));
  LeaderLease third = Host("c");
  const Time released = kStart + seconds(1);
  Elect(third, second.Release(released).record, RowVersion(7), released);
  CHECK(third.predecessor_slack() >= seconds(2));
  CHECK(third.predecessor_slack() < seconds(3));
}

TEST_CASE("refused connections far apart do not add up") {
  LeaderLease host = Host("a");
  host.Observe(HeldBy("b"), RowVersion(5), kStart);
  host.OnHolderRefused("p1", kStart + milliseconds(100));
  host.OnHolderRefused("p1", kStart + milliseconds(1500));
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
  const LeaderClaim renewal = host.Renewal(kStart);
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

/// Hosts that compete for a row whose holder has failed, over a store with the
/// given latency. Reads are answered in parallel, writes one after another.
class Election {
 public:
  Election(int large_hosts, int small_hosts, Duration read_latency,
           Duration write_time)
      : read_latency_(read_latency), write_time_(write_time) {
    row_ = HeldBy("failed");
    row_.processors = MilliCores(500);
    for (int i = 0; i < large_hosts + small_hosts; ++i) {
      const double share = i < large_hosts ? 0.5 : 0.12;
      candidates_.push_back(std::make_unique<Candidate>(
          LeaderLease({.processor_share = share},
                      EntryHostId("h" + std::to_string(i)), "", "p1"),
          kStart + milliseconds(37 * i % 700)));
    }
  }

  /// Runs until a claim is stored.
  void Run() {
    for (now_ = kStart; !elected; now_ += milliseconds(1)) {
      REQUIRE(now_ < kStart + seconds(60));
      for (auto& candidate : candidates_) Tick(*candidate);
      CompleteWrites();
    }
    duration = now_ - kStart;
  }

  int claims = 0;
  std::optional<LeaderRecord> elected;
  Duration duration{0};

 private:
  struct Candidate {
    Candidate(LeaderLease candidate_lease, Time first_read)
        : lease(std::move(candidate_lease)), next_read(first_read) {}

    LeaderLease lease;
    ClaimGate gate;
    Time next_read;
    std::optional<Time> read_sent;
    Time last_read_sent{};
    bool claiming = false;
  };
  struct Write {
    LeaderClaim claim;
    Time completed;
  };

  void Tick(Candidate& candidate) {
    if (candidate.read_sent && now_ >= *candidate.read_sent + read_latency_) {
      candidate.last_read_sent = *candidate.read_sent;
      candidate.read_sent.reset();
      candidate.lease.Observe(row_, version_, now_, read_latency_);
    }
    if (!candidate.read_sent && now_ >= candidate.next_read) {
      candidate.read_sent = now_;
      candidate.next_read = now_ + milliseconds(700);
    }
    if (candidate.claiming) return;
    const std::optional<LeaderClaim> claim = candidate.lease.Claim(now_);
    if (candidate.gate.Allows(claim.has_value(), candidate.last_read_sent,
                              now_)) {
      candidate.claiming = true;
      ++claims;
      const Time begin =
          writes_.empty() ? now_ : std::max(now_, writes_.back().completed);
      writes_.push_back({*claim, begin + write_time_});
    } else if (claim) {
      candidate.next_read = now_;
    }
  }

  void CompleteWrites() {
    for (const Write& write : writes_) {
      if (write.completed != now_ || write.claim.expected != version_) continue;
      row_ = write.claim.record;
      version_ = RowVersion(version_.value() + 1);
      elected = row_;
    }
  }

  Duration read_latency_;
  Duration write_time_;
  LeaderRecord row_;
  RowVersion version_{1};
  std::vector<std::unique_ptr<Candidate>> candidates_;
  std::vector<Write> writes_;
  Time now_{};
};

// Guards against a herd of claims. The pattern: 97 hosts see the lease of a
// failed leader expire while the store needs 0.6 s for an answer. 485 claims
// were sent for 13 acquisitions, each of which delayed the renewals of other
// leaders.
TEST_CASE("few hosts claim at a time, and a large one succeeds") {
  const bool slow = GENERATE(false, true);
  Election election(18, 79, slow ? milliseconds(240) : milliseconds(6),
                    slow ? milliseconds(360) : milliseconds(6));
  election.Run();
  CHECK(election.claims <= 3);
  CHECK(election.elected->processors == MilliCores(500));
  // The lease of 3 s, and 4 s without a leader at most if the store is fast.
  if (!slow) CHECK(election.duration < seconds(4));
}

// Guards against claims of the row of a healthy leader whose renewals wait in a
// slow store.
TEST_CASE("a slow store extends the time before an unchanged row is claimed") {
  LeaderLease host = Host("a");
  const Duration latency = milliseconds(250);
  host.Observe(HeldBy("b"), RowVersion(5), kStart, latency);
  CHECK_FALSE(ClaimAt(host, kStart + milliseconds(3800)));
  host.Claim(kStart + milliseconds(6000));
  CHECK(host.Claim(kStart + milliseconds(12'000)));
}

// Guards against a small host that keeps leading: it was overloaded until the
// end of the day although 18 larger hosts were ready.
TEST_CASE("a larger host asks a smaller leader to hand over") {
  LeaderLease host = Host("a");
  LeaderRecord small = HeldBy("b");
  small.processors = MilliCores(120);
  host.Observe(small, RowVersion(1), kStart);
  CHECK_FALSE(host.WantsHandover(kStart + seconds(1)));
  CHECK(host.WantsHandover(kStart + seconds(5)));
  LeaderRecord equal = small;
  equal.process = "p2";
  equal.processors = MilliCores(1000);
  host.Observe(equal, RowVersion(2), kStart + seconds(6));
  CHECK_FALSE(host.WantsHandover(kStart + seconds(60)));
}

TEST_CASE("the successor of a handover claims before all other hosts") {
  LeaderRecord released = HeldBy("c");
  released.released = true;
  released.processors = MilliCores(120);
  released.successor = EntryHostId("b");
  LeaderLease successor = Host("b");
  LeaderLease other = Host("a");
  for (LeaderLease* host : {&successor, &other}) {
    host->Observe(released, RowVersion(4), kStart);
    host->Claim(kStart);
  }
  const auto claim = successor.Claim(kStart);
  REQUIRE(claim);
  CHECK(claim->record.successor.empty());
  CHECK_FALSE(other.Claim(kStart + milliseconds(700)));
  // The successor may have failed.
  CHECK(other.Claim(kStart + milliseconds(1200)));
}

}  // namespace
}  // namespace gypsumfall
