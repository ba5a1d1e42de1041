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

/// Faults put around the hosts, which the checks must find.
enum class Broken { kNothing, kLeaseFromReceipt, kNoWaitAfterRestart };

const CustomerId tested_customer("c");

/// Hosts with clocks of their own that lend to each other by messages that are
/// lost, late or duplicated, and that restart.
class World {
 public:
  World(std::uint64_t seed, Broken broken) : random_(seed), broken_(broken) {
    const int count = Upto(2, 7);
    for (int i = 0; i < count; ++i) ids_.emplace_back("e" + std::to_string(i));
    limits_ = {.rate = static_cast<double>(Upto(1, 60)),
               .burst = Upto(1, 20),
               .concurrent = Upto(1, 20)};
    tokens_ = static_cast<double>(limits_.burst);
    for (int i = 0; i < count; ++i) {
      Host& host = hosts_.emplace_back();
      host.offset = seconds(Upto(0, 100'000));
      host.drift = Upto(-10, 10) / 1000.0;
      Start(host, i);
      At(Upto(0, 999), [this, i] { Beat(i); });
      if (Upto(0, 2) == 0) At(Upto(3000, 9000), [this, i] { Restart(i); });
    }
    busiest_ = Upto(0, count - 1);
  }

  /// @return the first broken limit, empty if none.
  std::string Run() {
    for (int i = 0; i < 600; ++i) At(Upto(0, 15'000), [this] { Call(); });
    while (!events_.empty() && violation_.empty()) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return violation_;
  }

  int lent() const { return lent_; }

 private:
  struct Host {
    std::optional<Admission> admission;
    Duration offset{};
    double drift = 0;
    std::uint64_t incarnation = 0;
  };

  int Upto(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  void At(int ms, std::function<void()> event) {
    if (now_ + milliseconds(ms) > Time(seconds(20))) return;
    events_.emplace(now_ + milliseconds(ms), std::move(event));
  }
  Time Local(const Host& host) const {
    const auto passed = static_cast<double>(now_.time_since_epoch().count());
    return Time(host.offset + Duration(static_cast<Duration::rep>(
                                  passed * (1 + host.drift))));
  }
  Host& host(int i) { return hosts_[static_cast<std::size_t>(i)]; }

  void Start(Host& host, int i) {
    const Duration wait = milliseconds(3100);
    const bool waits =
        broken_ != Broken::kNoWaitAfterRestart || host.incarnation == 0;
    ++host.incarnation;
    const Time started = waits ? Local(host) : Local(host) - wait;
    host.admission.emplace(
        AdmissionSettings{.self = ids_[static_cast<std::size_t>(i)],
                          .incarnation = Incarnation(host.incarnation),
                          .hosts = ids_},
        started);
    host.admission->SetLimits(tested_customer, ContractVersion(1), limits_,
                              started);
  }

  // The requests of the old process end with it.
  void Restart(int i) {
    in_progress_ -=
        host(i).admission->View(tested_customer, Local(host(i))).in_progress;
    Start(host(i), i);
  }

  void Call() {
    const int i = Upto(0, 3) > 0 ? busiest_
                                 : Upto(0, static_cast<int>(hosts_.size()) - 1);
    Host& called = host(i);
    const int length = Upto(1, 2500);
    const Time until =
        Local(called) + Duration(static_cast<Duration::rep>(
                            length * 1000 * (1 + called.drift) + 1));
    if (called.admission->Admit(tested_customer, until, Local(called)) !=
        Verdict::kAdmitted) {
      return;
    }
    CountAdmission();
    const std::uint64_t incarnation = called.incarnation;
    events_.emplace(now_ + milliseconds(length), [this, i, incarnation] {
      if (host(i).incarnation != incarnation) return;
      host(i).admission->Finish(tested_customer, Local(host(i)));
      --in_progress_;
    });
  }

  // A bucket over all hosts. Clocks run at most 1% fast.
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

  void Beat(int i) {
    At(1000, [this, i] { Beat(i); });
    const Time asked = Local(host(i));
    const LoanReport report = host(i).admission->Report(asked);
    const std::uint64_t incarnation = host(i).incarnation;
    for (int peer = 0; peer < static_cast<int>(hosts_.size()); ++peer) {
      if (peer == i || Upto(0, 9) == 0) continue;
      At(Upto(0, 400), [this, i, peer, report, asked, incarnation] {
        const LoanGrants grants = host(peer).admission->Grant(
            ids_[static_cast<std::size_t>(i)], report, Local(host(peer)));
        lent_ += static_cast<int>(grants.grants.size());
        for (int copies = Upto(0, 2); copies > 0; --copies) {
          const bool is_late = Upto(0, 4) == 0;
          At(is_late ? Upto(0, 4000) : Upto(0, 300),
             [this, i, peer, grants, asked, incarnation] {
               if (host(i).incarnation != incarnation) return;
               const Time now = Local(host(i));
               host(i).admission->OnLoan(
                   ids_[static_cast<std::size_t>(peer)], grants,
                   broken_ == Broken::kLeaseFromReceipt ? now : asked, now);
             });
        }
      });
    }
  }

  std::mt19937_64 random_;
  Broken broken_;
  std::vector<EntryHostId> ids_;
  AdmissionLimits limits_;
  std::vector<Host> hosts_;
  int busiest_ = 0;
  Time now_{};
  std::multimap<Time, std::function<void()>> events_;
  std::int64_t in_progress_ = 0;
  double tokens_ = 0;
  Time refilled_{};
  int lent_ = 0;
  std::string violation_;
};

// Guards against ceilings that are exceeded over all hosts together when loan
// messages are lost, late or duplicated, or a host restarts.
TEST_CASE("the sum over hosts stays within the ceiling") {
  int lent = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    INFO("seed " << seed);
    World world(seed, Broken::kNothing);
    REQUIRE(world.Run().empty());
    lent += world.lent();
  }
  CHECK(lent > 1500);
}

// Guards against checks that hold for any kind of lending.
TEST_CASE("the checks find broken lending") {
  const auto broken =
      GENERATE(Broken::kLeaseFromReceipt, Broken::kNoWaitAfterRestart);
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    found += World(seed, broken).Run().empty() ? 0 : 1;
  }
  CHECK(found > 0);
}

}  // namespace
}  // namespace gypsumfall
