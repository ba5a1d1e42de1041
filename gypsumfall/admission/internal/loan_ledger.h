#ifndef GYPSUMFALL_ADMISSION_INTERNAL_LOAN_LEDGER_H_
#define GYPSUMFALL_ADMISSION_INTERNAL_LOAN_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Whole units of a burst (with the part of the rate that belongs to them) and
/// of concurrency.
struct Units {
  std::int64_t burst = 0;
  std::int64_t concurrent = 0;

  bool empty() const { return burst <= 0 && concurrent <= 0; }
};

/// Loans to, or from, the peers for one customer. Grants to one peer overlap
/// when they are renewed; of the unexpired ones the largest counts.
class LoanBook {
 public:
  void Add(const EntryHostId& peer, const Units& units, Time until);
  /// Removes grants with `until` <= now.
  void Expire(Time now);
  void Clear();

  /// @return the units out to all peers.
  const Units& total() const { return total_; }
  /// @return the units out to all peers but one.
  Units TotalWithout(const EntryHostId& peer) const;
  /// @return concurrency of the grants that last until `until` or longer.
  std::int64_t ConcurrentUntil(Time until) const;
  bool empty() const { return grants_.empty(); }
  /// @return the first expiry; Time::max() if there are no grants.
  Time next_expiry() const { return next_expiry_; }

 private:
  struct Grant {
    Units units;
    Time until;
  };

  static Units Largest(const std::vector<Grant>& grants);
  void Recount();

  std::map<EntryHostId, std::vector<Grant>> grants_;
  Units total_;
  Time next_expiry_ = Time::max();
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ADMISSION_INTERNAL_LOAN_LEDGER_H_
