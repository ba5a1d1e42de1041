#include "gypsumfall/admission/internal/customer_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace gypsumfall {
namespace {

// Rounding errors of many small refills can leave the sum just below a whole
// token.
constexpr double kTokenEpsilon = 1e-9;

}  // namespace

CustomerShare::CustomerShare(ContractVersion version,
                             const AdmissionLimits& limits,
                             const QuotaUnits& share, bool starts_full,
                             Time now)
    : refilled_(now) {
  window_.start = now;
  previous_window_.start = now;
  SetLimits(version, limits, share, now);
  if (starts_full) tokens_ = static_cast<double>(Capacity());
}

void CustomerShare::SetLimits(ContractVersion version,
                              const AdmissionLimits& limits,
                              const QuotaUnits& share, Time now) {
  Advance(now);
  version_ = version;
  limits_ = limits;
  share_ = share;
  constexpr double kUsPerSecond = 1e6;
  unit_rate_ = limits.burst <= 0 ? 0
                                 : limits.rate / kUsPerSecond /
                                       static_cast<double>(limits.burst);
  // Lenders may already account by the new limits.
  borrowed_.Clear();
  Refill(now);
}

std::int64_t CustomerShare::Capacity() const {
  return std::max<std::int64_t>(
      0, share_.burst - lent_.total().burst + borrowed_.total().burst);
}

// Refills tokens separately for each interval between loan expiries, because
// the capacity and the rate change when a loan expires.
void CustomerShare::Advance(Time now) {
  for (;;) {
    const Time expiry = std::min(lent_.next_expiry(), borrowed_.next_expiry());
    if (expiry > now) break;
    Refill(expiry);
    lent_.Expire(expiry);
    borrowed_.Expire(expiry);
  }
  Refill(now);
}

void CustomerShare::Refill(Time to) {
  const auto capacity = static_cast<double>(Capacity());
  if (to > refilled_) {
    const auto elapsed = static_cast<double>((to - refilled_).count());
    tokens_ += elapsed * unit_rate_ * capacity;
    refilled_ = to;
  }
  tokens_ = std::min(tokens_, capacity);
}

bool CustomerShare::HasConcurrency(Time until) const {
  const std::int64_t retained = share_.concurrent - lent_.total().concurrent;
  if (in_progress_ < retained) return true;
  if (borrowed_.empty()) return false;
  return in_progress_ < retained + borrowed_.ConcurrentUntil(until);
}

AdmissionDecision CustomerShare::Admit(Time until, bool is_ready, Time now) {
  Advance(now);
  ++window_.arrivals;
  const bool has_token = tokens_ >= 1 - kTokenEpsilon;
  const bool has_concurrency = HasConcurrency(until);
  if (!has_token) ++window_.over_rate;
  if (!has_concurrency) ++window_.over_concurrency;
  if (!is_ready) return AdmissionDecision::kStarting;
  if (!has_token) return AdmissionDecision::kOverRate;
  if (!has_concurrency) return AdmissionDecision::kOverConcurrency;
  tokens_ = std::max(0.0, tokens_ - 1);
  ++in_progress_;
  window_.peak_in_progress = std::max(window_.peak_in_progress, in_progress_);
  return AdmissionDecision::kAdmitted;
}

void CustomerShare::Finish(Time now) {
  Advance(now);
  in_progress_ = std::max<std::int64_t>(0, in_progress_ - 1);
}

std::int64_t CustomerShare::NeededBurst(const DemandWindow& window,
                                        Duration length) const {
  if (window.arrivals == 0) return 0;
  const auto us =
      static_cast<double>(std::max<Duration::rep>(1, length.count()));
  const double rate = static_cast<double>(window.arrivals) / us;
  const auto full_burst = static_cast<double>(limits_.burst);
  const double units =
      unit_rate_ <= 0 ? full_burst : std::ceil(rate / unit_rate_);
  return static_cast<std::int64_t>(
      std::clamp(units, 1.0, std::max(1.0, full_burst)));
}

QuotaUnits CustomerShare::CloseDemandWindow(Time now) {
  Advance(now);
  QuotaUnits shortfall;
  const std::int64_t retained_burst = share_.burst - lent_.total().burst;
  if (window_.over_rate > 0 || borrowed_.total().burst > 0) {
    std::int64_t needed = NeededBurst(window_, now - window_.start);
    if (window_.over_rate > 0) needed = std::max(needed, Capacity() + 1);
    shortfall.burst = std::min(needed, limits_.burst) - retained_burst;
  }
  const std::int64_t demand =
      window_.peak_in_progress + window_.over_concurrency;
  shortfall.concurrent = std::min(demand, limits_.concurrent) -
                         (share_.concurrent - lent_.total().concurrent);
  shortfall.burst = std::max<std::int64_t>(0, shortfall.burst);
  shortfall.concurrent = std::max<std::int64_t>(0, shortfall.concurrent);
  previous_window_ = window_;
  window_ = DemandWindow{};
  window_.start = now;
  window_.peak_in_progress = in_progress_;
  return shortfall;
}

std::int64_t CustomerShare::UnusedConcurrent(const QuotaUnits& retained) const {
  // A host that borrows does not lend.
  if (borrowed_.total().concurrent > 0) return 0;
  const std::int64_t used =
      std::max(window_.peak_in_progress, previous_window_.peak_in_progress) +
      window_.over_concurrency;
  const std::int64_t unused = retained.concurrent - used;
  return used > 0 ? unused / 2 : unused;
}

std::int64_t CustomerShare::UnusedBurst(const QuotaUnits& retained,
                                        Time now) const {
  if (borrowed_.total().burst > 0) return 0;
  const std::int64_t used = std::max(
      NeededBurst(previous_window_, window_.start - previous_window_.start),
      NeededBurst(window_, now - previous_window_.start));
  const std::int64_t unused = retained.burst - used;
  return used > 0 ? unused / 2 : unused;
}

QuotaUnits CustomerShare::Lend(const EntryHostId& peer,
                               const QuotaUnits& requested, Duration lease,
                               Time now) {
  Advance(now);
  const QuotaUnits lent_to_others = lent_.TotalExcluding(peer);
  const QuotaUnits retained{share_.burst - lent_to_others.burst,
                            share_.concurrent - lent_to_others.concurrent};
  QuotaUnits lent;
  lent.burst = std::clamp<std::int64_t>(
      requested.burst, 0,
      std::max<std::int64_t>(0, UnusedBurst(retained, now)));
  lent.concurrent = std::clamp<std::int64_t>(
      requested.concurrent, 0,
      std::max<std::int64_t>(0, UnusedConcurrent(retained)));
  if (lent.empty()) return {};
  lent_.Add(peer, lent, now + lease);
  Refill(now);
  return lent;
}

void CustomerShare::Borrow(const EntryHostId& lender, const LoanId& id,
                           const QuotaUnits& units, Time until, Time now) {
  Advance(now);
  const auto [it, inserted] = last_loans_.try_emplace(lender, id);
  if (!inserted && id <= it->second) return;
  it->second = id;
  if (until > now && !units.empty()) borrowed_.Add(lender, units, until);
}

AdmissionView CustomerShare::View(Time now) const {
  CustomerShare advanced = *this;
  advanced.Advance(now);
  AdmissionView view;
  view.version = version_;
  view.limits = limits_;
  view.share_concurrent = share_.concurrent;
  view.share_burst = share_.burst;
  view.lent_concurrent = advanced.lent_.total().concurrent;
  view.lent_burst = advanced.lent_.total().burst;
  view.borrowed_concurrent = advanced.borrowed_.total().concurrent;
  view.borrowed_burst = advanced.borrowed_.total().burst;
  view.in_progress = in_progress_;
  view.tokens = advanced.tokens_;
  return view;
}

}  // namespace gypsumfall
