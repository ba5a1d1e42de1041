#include "gypsumfall/admission/admission.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gypsumfall {
namespace {

const CustomerId tested_customer("c");
constexpr Time kStart{seconds(1000)};
// Loans of an earlier process are over.
constexpr Time kReady = kStart + milliseconds(3100);

std::vector<EntryHostId> Hosts(int count) {
  std::vector<EntryHostId> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) hosts.emplace_back("e" + std::to_string(i));
  return hosts;
}

Admission Make(int self, int hosts, const AdmissionLimits& limits,
               Time now = kReady) {
  Admission admission({.self = Hosts(hosts).at(static_cast<std::size_t>(self)),
                       .incarnation = Incarnation(1),
                       .hosts = Hosts(hosts)},
                      kStart);
  admission.SetLimits(tested_customer, ContractVersion(1), limits, now);
  return admission;
}

int AdmitAll(Admission& admission, Time until, Time now, int tries = 100) {
  int admitted = 0;
  for (int i = 0; i < tries; ++i) {
    if (admission.Admit(tested_customer, until, now) == Verdict::kAdmitted) {
      ++admitted;
    }
  }
  return admitted;
}

// Guards against shares that exceed a small ceiling, or give one host the
// remainder of every customer.
TEST_CASE("whole shares sum to exactly the ceiling") {
  for (int hosts = 1; hosts <= 9; ++hosts) {
    for (std::int64_t ceiling = 0; ceiling <= 40; ++ceiling) {
      std::int64_t sum = 0;
      for (const EntryHostId& host : Hosts(hosts)) {
        const auto share =
            WholeShare(ceiling, tested_customer, host, Hosts(hosts));
        CHECK(share >= ceiling / hosts);
        sum += share;
      }
      REQUIRE(sum == ceiling);
    }
  }
  std::set<EntryHostId> holders;
  for (int i = 0; i < 50; ++i) {
    for (const EntryHostId& host : Hosts(7)) {
      const CustomerId customer("c" + std::to_string(i));
      if (WholeShare(1, customer, host, Hosts(7)) == 1) holders.insert(host);
    }
  }
  CHECK(holders.size() == 7);
  CHECK(WholeShare(7, tested_customer, EntryHostId("other"), Hosts(7)) == 0);
}

// Guards against limits that are off by one request or one microsecond.
TEST_CASE("rate, burst and concurrency are exact on one host") {
  Admission admission = Make(0, 1, {.rate = 10, .burst = 3, .concurrent = 5});
  const Time until = Time::max();
  CHECK(AdmitAll(admission, until, kReady) == 3);
  const Time next = kReady + milliseconds(100);
  CHECK(admission.Admit(tested_customer, until, next - Duration(1)) ==
        Verdict::kOverRate);
  CHECK(admission.Admit(tested_customer, until, next) == Verdict::kAdmitted);
  const Time later = kReady + seconds(10);
  CHECK(AdmitAll(admission, until, later) == 1);
  CHECK(admission.Admit(tested_customer, until, later) ==
        Verdict::kOverConcurrency);
  admission.Finish(tested_customer, later);
  CHECK(AdmitAll(admission, until, later) == 1);
  CHECK(admission.View(tested_customer, later).in_progress == 5);
}

// Guards against contract changes that wait, revert or refill the bucket.
TEST_CASE("limits change at once and never revert") {
  struct Row {
    std::string change;
    std::uint64_t version;
    AdmissionLimits limits;
    int admitted;
  };
  const auto row = GENERATE(values<Row>({
      {"raised", 2, {.rate = 1, .burst = 10, .concurrent = 20}, 6},
      {"lowered", 2, {.rate = 1, .burst = 10, .concurrent = 3}, 0},
      {"lowered burst", 2, {.rate = 1, .burst = 2, .concurrent = 20}, 2},
      {"the same again", 1, {.rate = 1, .burst = 10, .concurrent = 20}, 1},
      {"older", 0, {.rate = 1, .burst = 10, .concurrent = 20}, 1},
      {"burst unset", 2, {.rate = 4, .burst = 0, .concurrent = 20}, 4},
  }));
  INFO(row.change);
  Admission admission = Make(0, 1, {.rate = 1, .burst = 10, .concurrent = 5});
  CHECK(AdmitAll(admission, Time::max(), kReady, 4) == 4);
  admission.SetLimits(tested_customer, ContractVersion(row.version), row.limits,
                      kReady);
  CHECK(AdmitAll(admission, Time::max(), kReady) == row.admitted);
}

// Guards against one customer using up what belongs to another.
TEST_CASE("a flood of one customer leaves another's share alone") {
  Admission admission = Make(0, 1, {.rate = 1, .burst = 5, .concurrent = 5});
  const CustomerId other("other");
  admission.SetLimits(other, ContractVersion(1),
                      {.rate = 1, .burst = 2, .concurrent = 2}, kReady);
  CHECK(AdmitAll(admission, Time::max(), kReady, 100'000) == 5);
  CHECK(admission.Admit(other, Time::max(), kReady) == Verdict::kAdmitted);
  CHECK(admission.Admit(CustomerId("x"), Time::max(), kReady) ==
        Verdict::kUnknownCustomer);
  admission.Remove(tested_customer);
  CHECK(admission.Admit(tested_customer, Time::max(), kReady) ==
        Verdict::kUnknownCustomer);
  // Requests in progress still count when the contract comes back.
  admission.SetLimits(tested_customer, ContractVersion(1),
                      {.rate = 10, .burst = 10, .concurrent = 6}, kReady);
  CHECK(AdmitAll(admission, Time::max(), kReady + seconds(5)) == 1);
}

// Guards against a restarted lender that uses what it had lent.
TEST_CASE("a share is used only when earlier loans are over") {
  Admission admission =
      Make(0, 2, {.rate = 100, .burst = 100, .concurrent = 20}, kStart);
  const Time ready = admission.ready_at();
  CHECK(ready == kReady);
  CHECK(admission.Admit(tested_customer, Time::max(), ready - Duration(1)) ==
        Verdict::kStarting);
  CHECK(admission.Admit(tested_customer, Time::max(), ready) ==
        Verdict::kAdmitted);
}

struct Pair {
  explicit Pair(const AdmissionLimits& limits)
      : idle(Make(0, 2, limits)), busy(Make(1, 2, limits)) {}

  /// The busy host asks and gets its answer `delay` later.
  LoanGrants Beat(Time asked, Duration delay = Duration(0)) {
    const LoanReport report = busy.Report(asked);
    LoanGrants grants = idle.Grant(Hosts(2)[1], report, asked);
    busy.OnLoan(Hosts(2)[0], grants, asked, asked + delay);
    return grants;
  }

  Admission idle;
  Admission busy;
};

// Guards against unused shares that lie idle while a peer refuses work.
TEST_CASE("an idle host lends its share for the time of the lease") {
  Pair pair({.rate = 1000, .burst = 1000, .concurrent = 20});
  const Time until = kReady + seconds(2);
  CHECK(AdmitAll(pair.busy, until, kReady) == 10);
  const LoanGrants grants = pair.Beat(kReady);
  REQUIRE(grants.grants.size() == 1);
  CHECK(grants.grants[0].concurrent == 10);
  // The lease does not cover a request that ends later.
  const Time end = kReady + seconds(3);
  CHECK(AdmitAll(pair.busy, end + Duration(1), kReady) == 0);
  CHECK(AdmitAll(pair.busy, end, kReady) == 10);
  CHECK(AdmitAll(pair.idle, until, kReady) == 0);
  for (int i = 0; i < 20; ++i) pair.busy.Finish(tested_customer, end);
  CHECK(AdmitAll(pair.busy, end + seconds(1), end - Duration(1)) == 10);
  CHECK(AdmitAll(pair.idle, end + seconds(1), end) == 0);
  CHECK(AdmitAll(pair.idle, end + seconds(1), end + milliseconds(100)) == 10);
}

// Guards against a ceiling below the number of hosts that serves on one only.
TEST_CASE("a ceiling of one moves to the host that needs it") {
  const AdmissionLimits one{.rate = 1, .burst = 1, .concurrent = 1};
  const std::vector<EntryHostId> hosts = Hosts(2);
  const int holder =
      WholeShare(1, tested_customer, hosts[0], hosts) == 1 ? 0 : 1;
  const int asker = 1 - holder;
  Admission lender = Make(holder, 2, one);
  Admission borrower = Make(asker, 2, one);
  CHECK(AdmitAll(borrower, kReady + seconds(1), kReady) == 0);
  const LoanGrants grants = lender.Grant(hosts[static_cast<std::size_t>(asker)],
                                         borrower.Report(kReady), kReady);
  borrower.OnLoan(hosts[static_cast<std::size_t>(holder)], grants, kReady,
                  kReady);
  const Time now = kReady + seconds(1);
  CHECK(AdmitAll(borrower, now + seconds(1), now) == 1);
  CHECK(AdmitAll(lender, now + seconds(1), now) == 0);
}

// Guards against loans that count although they must not; one row per fault.
TEST_CASE("faulty loans are ignored") {
  struct Row {
    std::string fault;
    std::string lender;
    std::uint64_t version;
    std::uint64_t number;
    Time asked;
  };
  const auto row = GENERATE(values<Row>({
      {"answer later than the lease", "e0", 1, 9, kReady - seconds(3)},
      {"other contract version", "e0", 2, 9, kReady},
      {"not newer than the last", "e0", 1, 5, kReady},
      {"not a configured host", "e7", 1, 9, kReady},
      {"from this host itself", "e1", 1, 9, kReady},
  }));
  INFO(row.fault);
  Admission admission =
      Make(1, 2, {.rate = 100, .burst = 100, .concurrent = 10});
  const auto grant = [](std::uint64_t version, std::uint64_t number,
                        std::int64_t concurrent) {
    return LoanGrants{{{{Incarnation(1), number},
                        tested_customer,
                        ContractVersion(version),
                        0,
                        concurrent}}};
  };
  admission.OnLoan(Hosts(2)[0], grant(1, 5, 1), kReady, kReady);
  admission.OnLoan(EntryHostId(row.lender), grant(row.version, row.number, 4),
                   row.asked, kReady);
  CHECK(admission.View(tested_customer, kReady).borrowed_concurrent == 1);
}

}  // namespace
}  // namespace gypsumfall
