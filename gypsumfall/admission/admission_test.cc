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
// From then on no loan of an earlier process is in use.
constexpr Time kReady = kStart + milliseconds(3100);

std::vector<EntryHostId> Hosts(int count) {
  std::vector<EntryHostId> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) hosts.emplace_back("e" + std::to_string(i));
  return hosts;
}

Admission MakeAdmission(int self, int hosts, const AdmissionLimits& limits,
                        Time now = kReady) {
  Admission admission({.self = Hosts(hosts).at(static_cast<std::size_t>(self)),
                       .incarnation = Incarnation(1),
                       .hosts = Hosts(hosts)},
                      kStart);
  admission.SetLimits(tested_customer, ContractVersion(1), limits, now);
  return admission;
}

int CountAdmitted(Admission& admission, Time until, Time now, int tries = 100) {
  int admitted = 0;
  for (int i = 0; i < tries; ++i) {
    if (admission.Admit(tested_customer, until, now) ==
        AdmissionDecision::kAdmitted) {
      ++admitted;
    }
  }
  return admitted;
}

// Guards against shares that exceed a small ceiling in total, or give one host
// the remainder of every customer.
TEST_CASE("integer shares sum to exactly the ceiling") {
  for (int hosts = 1; hosts <= 9; ++hosts) {
    for (std::int64_t ceiling = 0; ceiling <= 40; ++ceiling) {
      std::int64_t sum = 0;
      for (const EntryHostId& host : Hosts(hosts)) {
        const auto share =
            IntegerShare(ceiling, tested_customer, host, Hosts(hosts));
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
      if (IntegerShare(1, customer, host, Hosts(7)) == 1) holders.insert(host);
    }
  }
  CHECK(holders.size() == 7);
  CHECK(IntegerShare(7, tested_customer, EntryHostId("other"), Hosts(7)) == 0);
}

// Guards against limits that are off by one request or one microsecond.
TEST_CASE("rate, burst and concurrency are exact on one host") {
  Admission admission =
      MakeAdmission(0, 1, {.rate = 10, .burst = 3, .concurrent = 5});
  const Time until = Time::max();
  CHECK(CountAdmitted(admission, until, kReady) == 3);
  const Time next = kReady + milliseconds(100);
  CHECK(admission.Admit(tested_customer, until, next - Duration(1)) ==
        AdmissionDecision::kOverRate);
  CHECK(admission.Admit(tested_customer, until, next) ==
        AdmissionDecision::kAdmitted);
  const Time later = kReady + seconds(10);
  CHECK(CountAdmitted(admission, until, later) == 1);
  CHECK(admission.Admit(tested_customer, until, later) ==
        AdmissionDecision::kOverConcurrency);
  admission.Finish(tested_customer, later);
  CHECK(CountAdmitted(admission, until, later) == 1);
  CHECK(admission.View(tested_customer, later).in_progress == 5);
}

// Guards against contract changes that apply late, are reverted by an older
// version or refill the token bucket.
TEST_CASE("limits apply immediately and are never reverted") {
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
  Admission admission =
      MakeAdmission(0, 1, {.rate = 1, .burst = 10, .concurrent = 5});
  CHECK(CountAdmitted(admission, Time::max(), kReady, 4) == 4);
  admission.SetLimits(tested_customer, ContractVersion(row.version), row.limits,
                      kReady);
  CHECK(CountAdmitted(admission, Time::max(), kReady) == row.admitted);
}

// Guards against one customer using up another customer's share.
TEST_CASE("one customer's overload does not affect another's share") {
  Admission admission =
      MakeAdmission(0, 1, {.rate = 1, .burst = 5, .concurrent = 5});
  const CustomerId other("other");
  admission.SetLimits(other, ContractVersion(1),
                      {.rate = 1, .burst = 2, .concurrent = 2}, kReady);
  CHECK(CountAdmitted(admission, Time::max(), kReady, 100'000) == 5);
  CHECK(admission.Admit(other, Time::max(), kReady) ==
        AdmissionDecision::kAdmitted);
  CHECK(admission.Admit(CustomerId("x"), Time::max(), kReady) ==
        AdmissionDecision::kUnknownCustomer);
  admission.Remove(tested_customer);
  CHECK(admission.Admit(tested_customer, Time::max(), kReady) ==
        AdmissionDecision::kUnknownCustomer);
  // Requests in progress still count when the contract is added again.
  admission.SetLimits(tested_customer, ContractVersion(1),
                      {.rate = 10, .burst = 10, .concurrent = 6}, kReady);
  CHECK(CountAdmitted(admission, Time::max(), kReady + seconds(5)) == 1);
}

// Guards against a restarted lender that uses units which it lent before.
TEST_CASE("a share is unusable until loans of an earlier process expire") {
  Admission admission = MakeAdmission(
      0, 2, {.rate = 100, .burst = 100, .concurrent = 20}, kStart);
  const Time ready = admission.ready_at();
  CHECK(ready == kReady);
  CHECK(admission.Admit(tested_customer, Time::max(), ready - Duration(1)) ==
        AdmissionDecision::kStarting);
  CHECK(admission.Admit(tested_customer, Time::max(), ready) ==
        AdmissionDecision::kAdmitted);
}

struct LendingPair {
  explicit LendingPair(const AdmissionLimits& limits)
      : idle(MakeAdmission(0, 2, limits)), busy(MakeAdmission(1, 2, limits)) {}

  /// The busy host sends a heartbeat and gets the reply `delay` later.
  LoanGrants ExchangeHeartbeat(Time sent_at, Duration delay = Duration(0)) {
    const LoanDemands report = busy.BuildLoanDemands(sent_at);
    LoanGrants grants = idle.Grant(Hosts(2)[1], report, sent_at);
    busy.OnLoanGrants(Hosts(2)[0], grants, sent_at, sent_at + delay);
    return grants;
  }

  Admission idle;
  Admission busy;
};

// Guards against shares that stay unused while a peer refuses requests.
TEST_CASE("an idle host lends its share for the duration of the lease") {
  LendingPair pair({.rate = 1000, .burst = 1000, .concurrent = 20});
  const Time until = kReady + seconds(2);
  CHECK(CountAdmitted(pair.busy, until, kReady) == 10);
  const LoanGrants grants = pair.ExchangeHeartbeat(kReady);
  REQUIRE(grants.grants.size() == 1);
  CHECK(grants.grants[0].concurrent == 10);
  // The lease does not cover a request that ends later.
  const Time end = kReady + seconds(3);
  CHECK(CountAdmitted(pair.busy, end + Duration(1), kReady) == 0);
  CHECK(CountAdmitted(pair.busy, end, kReady) == 10);
  CHECK(CountAdmitted(pair.idle, until, kReady) == 0);
  for (int i = 0; i < 20; ++i) pair.busy.Finish(tested_customer, end);
  CHECK(CountAdmitted(pair.busy, end + seconds(1), end - Duration(1)) == 10);
  CHECK(CountAdmitted(pair.idle, end + seconds(1), end) == 0);
  CHECK(CountAdmitted(pair.idle, end + seconds(1), end + milliseconds(100)) ==
        10);
}

// Guards against a ceiling below the number of hosts of which only the hosts
// with a share of at least one can make use.
TEST_CASE("a ceiling of one is lent to the host that needs it") {
  const AdmissionLimits one{.rate = 1, .burst = 1, .concurrent = 1};
  const std::vector<EntryHostId> hosts = Hosts(2);
  const int lender_index =
      IntegerShare(1, tested_customer, hosts[0], hosts) == 1 ? 0 : 1;
  const int borrower_index = 1 - lender_index;
  Admission lender = MakeAdmission(lender_index, 2, one);
  Admission borrower = MakeAdmission(borrower_index, 2, one);
  CHECK(CountAdmitted(borrower, kReady + seconds(1), kReady) == 0);
  const LoanGrants grants =
      lender.Grant(hosts[static_cast<std::size_t>(borrower_index)],
                   borrower.BuildLoanDemands(kReady), kReady);
  borrower.OnLoanGrants(hosts[static_cast<std::size_t>(lender_index)], grants,
                        kReady, kReady);
  const Time now = kReady + seconds(1);
  CHECK(CountAdmitted(borrower, now + seconds(1), now) == 1);
  CHECK(CountAdmitted(lender, now + seconds(1), now) == 0);
}

// Guards against invalid loans that are counted; one row per fault.
TEST_CASE("invalid loans are ignored") {
  struct Row {
    std::string fault;
    std::string lender;
    std::uint64_t version;
    std::uint64_t number;
    Time sent_at;
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
      MakeAdmission(1, 2, {.rate = 100, .burst = 100, .concurrent = 10});
  const auto grant = [](std::uint64_t version, std::uint64_t number,
                        std::int64_t concurrent) {
    return LoanGrants{{{{Incarnation(1), number},
                        tested_customer,
                        ContractVersion(version),
                        0,
                        concurrent}}};
  };
  admission.OnLoanGrants(Hosts(2)[0], grant(1, 5, 1), kReady, kReady);
  admission.OnLoanGrants(EntryHostId(row.lender),
                         grant(row.version, row.number, 4), row.sent_at,
                         kReady);
  CHECK(admission.View(tested_customer, kReady).borrowed_concurrent == 1);
}

}  // namespace
}  // namespace gypsumfall
