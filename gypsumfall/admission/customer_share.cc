#include "gypsumfall/admission/internal/customer_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace gypsumfall {
namespace {

// Sums of many small refills miss a whole token by rounding.
constexpr double kTokenRounding = 1e-9;

}  // namespace

CustomerShare::CustomerShare(ContractVersion version,
                             const AdmissionLimits& limits, const Units& share,
                             bool starts_full, Time now)
    : refilled_(now) {
  round_.start = now;
  last_round_.start = now;
  SetLimits(version, limits, share, now);
  if (starts_full) tokens_ = static_cast<double>(Capacity());
}

void CustomerShare::SetLimits(ContractVersion version,
                              const AdmissionLimits& limits, const Units& share,
                              Time now) {
  Advance(now);
  version_ = version;
  limits_ = limits;
  share_ = share;
  constexpr double kUsPerSecond = 1e6;
  unit_rate_ = limits.burst <= 0 ? 0
                                 : limits.rate / kUsPerSecond /
                                       static_cast<double>(limits.burst);
  // The lender may already count by the new limits.
  borrowed_.Clear();
  Refill(now);
}

std::int64_t CustomerShare::Capacity() const {
  return std::max<std::int64_t>(
      0, share_.burst - lent_.total().burst + borrowed_.total().burst);
}

// Tokens are refilled piece by piece, because the capacity and the rate change
// when a loan ends.
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
  const std::int64_t own = share_.concurrent - lent_.total().concurrent;
  if (in_progress_ < own) return true;
  if (borrowed_.empty()) return false;
  return in_progress_ < own + borrowed_.ConcurrentUntil(until);
}

Verdict CustomerShare::Admit(Time until, bool may_use, Time now) {
  Advance(now);
  ++round_.attempts;
  const bool has_token = tokens_ >= 1 - kTokenRounding;
  const bool has_concurrency = HasConcurrency(until);
  if (!has_token) ++round_.over_rate;
  if (!has_concurrency) ++round_.over_concurrency;
  if (!may_use) return Verdict::kStarting;
  if (!has_token) return Verdict::kOverRate;
  if (!has_concurrency) return Verdict::kOverConcurrency;
  tokens_ = std::max(0.0, tokens_ - 1);
  ++in_progress_;
  round_.peak = std::max(round_.peak, in_progress_);
  return Verdict::kAdmitted;
}

void CustomerShare::Finish(Time now) {
  Advance(now);
  in_progress_ = std::max<std::int64_t>(0, in_progress_ - 1);
}

std::int64_t CustomerShare::NeededBurst(const Round& round,
                                        Duration length) const {
  if (round.attempts == 0) return 0;
  const auto us =
      static_cast<double>(std::max<Duration::rep>(1, length.count()));
  const double rate = static_cast<double>(round.attempts) / us;
  const auto all = static_cast<double>(limits_.burst);
  const double units = unit_rate_ <= 0 ? all : std::ceil(rate / unit_rate_);
  return static_cast<std::int64_t>(std::clamp(units, 1.0, std::max(1.0, all)));
}

Units CustomerShare::EndRound(Time now) {
  Advance(now);
  Units want;
  const std::int64_t own_burst = share_.burst - lent_.total().burst;
  if (round_.over_rate > 0 || borrowed_.total().burst > 0) {
    std::int64_t needed = NeededBurst(round_, now - round_.start);
    if (round_.over_rate > 0) needed = std::max(needed, Capacity() + 1);
    want.burst = std::min(needed, limits_.burst) - own_burst;
  }
  const std::int64_t demand = round_.peak + round_.over_concurrency;
  want.concurrent = std::min(demand, limits_.concurrent) -
                    (share_.concurrent - lent_.total().concurrent);
  want.burst = std::max<std::int64_t>(0, want.burst);
  want.concurrent = std::max<std::int64_t>(0, want.concurrent);
  last_round_ = round_;
  round_ = Round{};
  round_.start = now;
  round_.peak = in_progress_;
  return want;
}

std::int64_t CustomerShare::UnusedConcurrent(const Units& own) const {
  // A host that needs loans itself does not lend.
  if (borrowed_.total().concurrent > 0) return 0;
  const std::int64_t used =
      std::max(round_.peak, last_round_.peak) + round_.over_concurrency;
  const std::int64_t unused = own.concurrent - used;
  return used > 0 ? unused / 2 : unused;
}

std::int64_t CustomerShare::UnusedBurst(const Units& own, Time now) const {
  if (borrowed_.total().burst > 0) return 0;
  const std::int64_t used =
      std::max(NeededBurst(last_round_, round_.start - last_round_.start),
               NeededBurst(round_, now - last_round_.start));
  const std::int64_t unused = own.burst - used;
  return used > 0 ? unused / 2 : unused;
}

Units CustomerShare::Lend(const EntryHostId& peer, const Units& want,
                          Duration lease, Time now) {
  Advance(now);
  const Units others = lent_.TotalWithout(peer);
  const Units own{share_.burst - others.burst,
                  share_.concurrent - others.concurrent};
  Units lent;
  lent.burst = std::clamp<std::int64_t>(
      want.burst, 0, std::max<std::int64_t>(0, UnusedBurst(own, now)));
  lent.concurrent = std::clamp<std::int64_t>(
      want.concurrent, 0, std::max<std::int64_t>(0, UnusedConcurrent(own)));
  if (lent.empty()) return {};
  lent_.Add(peer, lent, now + lease);
  Refill(now);
  return lent;
}

void CustomerShare::Borrow(const EntryHostId& lender, const LoanId& id,
                           const Units& units, Time until, Time now) {
  Advance(now);
  const auto [last, is_first] = last_loans_.try_emplace(lender, id);
  if (!is_first && id <= last->second) return;
  last->second = id;
  if (until > now && !units.empty()) borrowed_.Add(lender, units, until);
}

AdmissionView CustomerShare::View(Time now) const {
  CustomerShare at_now = *this;
  at_now.Advance(now);
  AdmissionView view;
  view.version = version_;
  view.limits = limits_;
  view.share_concurrent = share_.concurrent;
  view.share_burst = share_.burst;
  view.lent_concurrent = at_now.lent_.total().concurrent;
  view.lent_burst = at_now.lent_.total().burst;
  view.borrowed_concurrent = at_now.borrowed_.total().concurrent;
  view.borrowed_burst = at_now.borrowed_.total().burst;
  view.in_progress = in_progress_;
  view.tokens = at_now.tokens_;
  return view;
}

}  // namespace gypsumfall
