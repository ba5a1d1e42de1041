#include "gypsumfall/admission/internal/loan_ledger.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace gypsumfall {

void LoanBook::Add(const EntryHostId& peer, const Units& units, Time until) {
  std::vector<Grant>& grants = grants_[peer];
  // A grant that is neither larger nor longer than the new one has no effect.
  std::erase_if(grants, [&](const Grant& old) {
    return old.until <= until && old.units.burst <= units.burst &&
           old.units.concurrent <= units.concurrent;
  });
  grants.push_back({units, until});
  Recount();
}

void LoanBook::Expire(Time now) {
  if (next_expiry_ > now) return;
  for (auto& [peer, grants] : grants_) {
    std::erase_if(grants,
                  [now](const Grant& grant) { return grant.until <= now; });
  }
  std::erase_if(grants_,
                [](const auto& entry) { return entry.second.empty(); });
  Recount();
}

void LoanBook::Clear() {
  grants_.clear();
  Recount();
}

Units LoanBook::TotalWithout(const EntryHostId& peer) const {
  Units units = total_;
  const auto at = grants_.find(peer);
  if (at == grants_.end()) return units;
  const Units own = Largest(at->second);
  units.burst -= own.burst;
  units.concurrent -= own.concurrent;
  return units;
}

std::int64_t LoanBook::ConcurrentUntil(Time until) const {
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

Units LoanBook::Largest(const std::vector<Grant>& grants) {
  Units largest;
  for (const Grant& grant : grants) {
    largest.burst = std::max(largest.burst, grant.units.burst);
    largest.concurrent = std::max(largest.concurrent, grant.units.concurrent);
  }
  return largest;
}

void LoanBook::Recount() {
  total_ = {};
  next_expiry_ = Time::max();
  for (const auto& [peer, grants] : grants_) {
    const Units largest = Largest(grants);
    total_.burst += largest.burst;
    total_.concurrent += largest.concurrent;
    for (const Grant& grant : grants) {
      next_expiry_ = std::min(next_expiry_, grant.until);
    }
  }
}

}  // namespace gypsumfall
