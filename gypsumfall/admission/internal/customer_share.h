#ifndef GYPSUMFALL_ADMISSION_INTERNAL_CUSTOMER_SHARE_H_
#define GYPSUMFALL_ADMISSION_INTERNAL_CUSTOMER_SHARE_H_

#include <cstdint>
#include <map>

#include "gypsumfall/admission/admission.h"
#include "gypsumfall/admission/internal/loan_ledger.h"
#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// One customer's share on this host: tokens, requests in progress, loans.
/// The rate belongs to the burst units in equal parts, so that a loan of burst
/// units moves its part of the rate with it.
class CustomerShare {
 public:
  /// @param share this host's whole units of the limits.
  /// @param starts_full whether the bucket starts with all tokens.
  CustomerShare(ContractVersion version, const AdmissionLimits& limits,
                const Units& share, bool starts_full, Time now);

  void SetLimits(ContractVersion version, const AdmissionLimits& limits,
                 const Units& share, Time now);
  /// @param may_use false while the share must not be used yet; demand counts.
  Verdict Admit(Time until, bool may_use, Time now);
  void Finish(Time now);

  /// Ends the round of demand figures.
  /// @return the units wanted from all peers together.
  Units EndRound(Time now);
  /// Lends at most `want` of what is unused.
  Units Lend(const EntryHostId& peer, const Units& want, Duration lease,
             Time now);
  /// Takes a loan unless one with this or a later id came from the lender.
  void Borrow(const EntryHostId& lender, const LoanId& id, const Units& units,
              Time until, Time now);

  ContractVersion version() const { return version_; }
  AdmissionView View(Time now) const;
  /// A removed share is kept while requests or loans of it are under way.
  void SetRemoved(bool removed) { removed_ = removed; }
  bool removed() const { return removed_; }
  bool idle() const { return in_progress_ == 0 && lent_.empty(); }

 private:
  /// Demand in one round of heartbeats.
  struct Round {
    Time start;
    std::int64_t attempts = 0;
    std::int64_t over_rate = 0;
    std::int64_t over_concurrency = 0;
    std::int64_t peak = 0;
  };

  void Advance(Time now);
  void Refill(Time to);
  std::int64_t Capacity() const;
  bool HasConcurrency(Time until) const;
  /// @return burst units whose rate covers the attempts of a round.
  std::int64_t NeededBurst(const Round& round, Duration length) const;
  std::int64_t UnusedConcurrent(const Units& own) const;
  std::int64_t UnusedBurst(const Units& own, Time now) const;

  ContractVersion version_;
  AdmissionLimits limits_;
  Units share_;
  /// Tokens per microsecond of one burst unit.
  double unit_rate_ = 0;
  double tokens_ = 0;
  Time refilled_;
  std::int64_t in_progress_ = 0;
  LoanBook lent_;
  LoanBook borrowed_;
  std::map<EntryHostId, LoanId> last_loans_;
  Round round_;
  Round last_round_;
  bool removed_ = false;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ADMISSION_INTERNAL_CUSTOMER_SHARE_H_
