#include "gypsumfall/admission/internal/loan_ledger.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace gypsumfall {

void LoanLedger::Add(const EntryHostId& peer, const QuotaUnits& units,
                     Time until) {
  std::vector<Grant>& grants = grants_[peer];
  // A grant that is neither larger nor longer than the new one is redundant.
  std::erase_if(grants, [&](const Grant& old) {
    return old.until <= until && old.units.burst <= units.burst &&
           old.units.concurrent <= units.concurrent;
  });
  grants.push_back({units, until});
  UpdateTotals();
}

void LoanLedger::Expire(Time now) {
  if (next_expiry_ > now) return;
  for (auto& [peer, grants] : grants_) {
    std::erase_if(grants,
                  [now](const Grant& grant) { return grant.until <= now; });
  }
  std::erase_if(grants_,
                [](const auto& entry) { return entry.second.empty(); });
  UpdateTotals();
}

void LoanLedger::Clear() {
  grants_.clear();
  UpdateTotals();
}

QuotaUnits LoanLedger::TotalExcluding(const EntryHostId& peer) const {
  QuotaUnits units = total_;
  const auto it = grants_.find(peer);
  if (it == grants_.end()) return units;
  const QuotaUnits peer_units = Largest(it->second);
  units.burst -= peer_units.burst;
  units.concurrent -= peer_units.concurrent;
  return units;
}

std::int64_t LoanLedger::ConcurrentUntil(Time until) const {
  std::int64_t sum = 0;
  for (const auto& [peer, grants] : grants_) {
    std::int64_t largest = 0;
    for (const Grant& grant : grants) {
      if (grant.until < until) continue;
      largest = std::max(largest, grant.units.concurrent);
    }
    sum += largest;
  }
  return sum;
}

QuotaUnits LoanLedger::Largest(const std::vector<Grant>& grants) {
  QuotaUnits largest;
  for (const Grant& grant : grants) {
    largest.burst = std::max(largest.burst, grant.units.burst);
    largest.concurrent = std::max(largest.concurrent, grant.units.concurrent);
  }
  return largest;
}

void LoanLedger::UpdateTotals() {
  total_ = {};
  next_expiry_ = Time::max();
  for (const auto& [peer, grants] : grants_) {
    const QuotaUnits largest = Largest(grants);
    total_.burst += largest.burst;
    total_.concurrent += largest.concurrent;
    for (const Grant& grant : grants) {
      next_expiry_ = std::min(next_expiry_, grant.until);
    }
  }
}

}  // namespace gypsumfall
