#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/admission/admission.h"

namespace gypsumfall {
namespace {

/// Faults injected around the hosts, which the checks must detect.
enum class InjectedFault { kNone, kLeaseFromReceipt, kNoWaitAfterRestart };

const CustomerId tested_customer("c");

/// Simulates hosts with drifting clocks that restart, and that lend to each
/// other through messages that are lost, delayed or duplicated.
class LendingSimulation {
 public:
  LendingSimulation(std::uint64_t seed, InjectedFault fault)
      : random_(seed), fault_(fault) {
    const int count = RandomBetween(2, 7);
    for (int i = 0; i < count; ++i) ids_.emplace_back("e" + std::to_string(i));
    limits_ = {.rate = static_cast<double>(RandomBetween(1, 60)),
               .burst = RandomBetween(1, 20),
               .concurrent = RandomBetween(1, 20)};
    tokens_ = static_cast<double>(limits_.burst);
    for (int i = 0; i < count; ++i) {
      Host& host = hosts_.emplace_back();
      host.offset = seconds(RandomBetween(0, 100'000));
      host.drift = RandomBetween(-10, 10) / 1000.0;
      Start(host, i);
      ScheduleAfter(RandomBetween(0, 999), [this, i] { SendHeartbeats(i); });
      if (RandomBetween(0, 2) == 0)
        ScheduleAfter(RandomBetween(3000, 9000), [this, i] { Restart(i); });
    }
    busiest_host_ = RandomBetween(0, count - 1);
  }

  /// @return the first violated limit, empty if there is none.
  std::string Run() {
    for (int i = 0; i < 600; ++i)
      ScheduleAfter(RandomBetween(0, 15'000), [this] { SendRequest(); });
    while (!events_.empty() && violation_.empty()) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return violation_;
  }

  int loans_granted() const { return loans_granted_; }

 private:
  struct Host {
    std::optional<Admission> admission;
    Duration offset{};
    double drift = 0;
    std::uint64_t incarnation = 0;
  };

  int RandomBetween(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  void ScheduleAfter(int ms, std::function<void()> event) {
    if (now_ + milliseconds(ms) > Time(seconds(20))) return;
    events_.emplace(now_ + milliseconds(ms), std::move(event));
  }
  Time LocalTime(const Host& host) const {
    const auto passed = static_cast<double>(now_.time_since_epoch().count());
    return Time(host.offset + Duration(static_cast<Duration::rep>(
                                  passed * (1 + host.drift))));
  }
  Host& host(int i) { return hosts_[static_cast<std::size_t>(i)]; }

  void Start(Host& host, int i) {
    const Duration wait = milliseconds(3100);
    const bool waits =
        fault_ != InjectedFault::kNoWaitAfterRestart || host.incarnation == 0;
    ++host.incarnation;
    const Time started = waits ? LocalTime(host) : LocalTime(host) - wait;
    host.admission.emplace(
        AdmissionSettings{.self = ids_[static_cast<std::size_t>(i)],
                          .incarnation = Incarnation(host.incarnation),
                          .hosts = ids_},
        started);
    host.admission->SetLimits(tested_customer, ContractVersion(1), limits_,
                              started);
  }

  // A restart ends the requests of the old process.
  void Restart(int i) {
    in_progress_ -= host(i)
                        .admission->View(tested_customer, LocalTime(host(i)))
                        .in_progress;
    Start(host(i), i);
  }

  void SendRequest() {
    const int i = RandomBetween(0, 3) > 0
                      ? busiest_host_
                      : RandomBetween(0, static_cast<int>(hosts_.size()) - 1);
    Host& called = host(i);
    const int duration_ms = RandomBetween(1, 2500);
    const Time until =
        LocalTime(called) + Duration(static_cast<Duration::rep>(
                                duration_ms * 1000 * (1 + called.drift) + 1));
    if (called.admission->Admit(tested_customer, until, LocalTime(called)) !=
        AdmissionDecision::kAdmitted) {
      return;
    }
    CountAdmission();
    const std::uint64_t incarnation = called.incarnation;
    events_.emplace(now_ + milliseconds(duration_ms), [this, i, incarnation] {
      if (host(i).incarnation != incarnation) return;
      host(i).admission->Finish(tested_customer, LocalTime(host(i)));
      --in_progress_;
    });
  }

  // Reference token bucket for all hosts together. Clocks run at
  // most 1% fast.
  void CountAdmission() {
    const double fastest_rate = limits_.rate * 1.01;
    const auto us = static_cast<double>((now_ - refilled_).count());
    tokens_ = std::min(static_cast<double>(limits_.burst),
                       tokens_ + us * fastest_rate / 1e6);
    refilled_ = now_;
    tokens_ -= 1;
    if (tokens_ < -1e-6) violation_ = "rate";
    if (++in_progress_ > limits_.concurrent) violation_ = "concurrency";
  }

  void SendHeartbeats(int i) {
    ScheduleAfter(1000, [this, i] { SendHeartbeats(i); });
    const Time sent_at = LocalTime(host(i));
    const LoanDemands report = host(i).admission->BuildLoanDemands(sent_at);
    const std::uint64_t incarnation = host(i).incarnation;
    for (int peer = 0; peer < static_cast<int>(hosts_.size()); ++peer) {
      if (peer == i || RandomBetween(0, 9) == 0) continue;
      ScheduleAfter(RandomBetween(0, 400), [this, i, peer, report, sent_at,
                                            incarnation] {
        const LoanGrants grants = host(peer).admission->Grant(
            ids_[static_cast<std::size_t>(i)], report, LocalTime(host(peer)));
        loans_granted_ += static_cast<int>(grants.grants.size());
        for (int copies = RandomBetween(0, 2); copies > 0; --copies) {
          const bool is_late = RandomBetween(0, 4) == 0;
          ScheduleAfter(
              is_late ? RandomBetween(0, 4000) : RandomBetween(0, 300),
              [this, i, peer, grants, sent_at, incarnation] {
                if (host(i).incarnation != incarnation) return;
                const Time now = LocalTime(host(i));
                host(i).admission->OnLoanGrants(
                    ids_[static_cast<std::size_t>(peer)], grants,
                    fault_ == InjectedFault::kLeaseFromReceipt ? now : sent_at,
                    now);
              });
        }
      });
    }
  }

  std::mt19937_64 random_;
  InjectedFault fault_;
  std::vector<EntryHostId> ids_;
  AdmissionLimits limits_;
  std::vector<Host> hosts_;
  int busiest_host_ = 0;
  Time now_{};
  std::multimap<Time, std::function<void()>> events_;
  std::int64_t in_progress_ = 0;
  double tokens_ = 0;
  Time refilled_{};
  int loans_granted_ = 0;
  std::string violation_;
};

// Guards against the hosts together exceeding a ceiling when loan messages are
// lost, delayed or duplicated, or when a host restarts.
TEST_CASE("the total over all hosts stays within the ceiling") {
  int loans_granted = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    INFO("seed " << seed);
    LendingSimulation simulation(seed, InjectedFault::kNone);
    REQUIRE(simulation.Run().empty());
    loans_granted += simulation.loans_granted();
  }
  CHECK(loans_granted > 1500);
}

// Guards against checks that also pass for incorrect lending.
TEST_CASE("the checks detect incorrect lending") {
  const auto fault = GENERATE(InjectedFault::kLeaseFromReceipt,
                              InjectedFault::kNoWaitAfterRestart);
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    found += LendingSimulation(seed, fault).Run().empty() ? 0 : 1;
  }
  CHECK(found > 0);
}

}  // namespace
}  // namespace gypsumfall
