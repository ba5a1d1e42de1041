#ifndef GYPSUMFALL_ADMISSION_INTERNAL_LOAN_LEDGER_H_
#define GYPSUMFALL_ADMISSION_INTERNAL_LOAN_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// An amount of quota: burst units, which carry their part of the rate, and
/// units of concurrency.
struct QuotaUnits {
  std::int64_t burst = 0;
  std::int64_t concurrent = 0;

  bool empty() const { return burst <= 0 && concurrent <= 0; }
};

/// Outstanding loans of one customer, either to or from the peers. Renewed
/// grants of one peer overlap; only the largest unexpired one counts.
class LoanLedger {
 public:
  void Add(const EntryHostId& peer, const QuotaUnits& units, Time until);
  /// Removes grants whose `until` is not after `now`.
  void Expire(Time now);
  void Clear();

  /// @return the units on loan with all peers.
  const QuotaUnits& total() const { return total_; }
  /// @return the units on loan with all peers but one.
  QuotaUnits TotalExcluding(const EntryHostId& peer) const;
  /// @return the concurrency of the grants that last at least until `until`.
  std::int64_t ConcurrentUntil(Time until) const;
  bool empty() const { return grants_.empty(); }
  /// @return the earliest expiry, or Time::max() if there are no grants.
  Time next_expiry() const { return next_expiry_; }

 private:
  struct Grant {
    QuotaUnits units;
    Time until;
  };

  static QuotaUnits Largest(const std::vector<Grant>& grants);
  void UpdateTotals();

  std::map<EntryHostId, std::vector<Grant>> grants_;
  QuotaUnits total_;
  Time next_expiry_ = Time::max();
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ADMISSION_INTERNAL_LOAN_LEDGER_H_
