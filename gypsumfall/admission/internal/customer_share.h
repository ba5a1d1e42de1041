#ifndef GYPSUMFALL_ADMISSION_INTERNAL_CUSTOMER_SHARE_H_
#define GYPSUMFALL_ADMISSION_INTERNAL_CUSTOMER_SHARE_H_

#include <cstdint>
#include <map>

#include "gypsumfall/admission/admission.h"
#include "gypsumfall/admission/internal/loan_ledger.h"
#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// One customer's share on this host: token bucket, requests in progress and
/// loans. Each burst unit carries an equal part of the rate, so a loan of burst
/// units transfers the corresponding part of the rate.
class CustomerShare {
 public:
  /// @param share this host's integer share of the limits.
  /// @param starts_full whether the token bucket starts full.
  CustomerShare(ContractVersion version, const AdmissionLimits& limits,
                const QuotaUnits& share, bool starts_full, Time now);

  void SetLimits(ContractVersion version, const AdmissionLimits& limits,
                 const QuotaUnits& share, Time now);
  /// @param is_ready false while the share must not be used yet; the request
  ///   then only counts as demand.
  AdmissionDecision Admit(Time until, bool is_ready, Time now);
  void Finish(Time now);

  /// Closes the current demand window and opens the next one.
  /// @return the units that the share lacks, to be borrowed from all peers
  ///   together.
  QuotaUnits CloseDemandWindow(Time now);
  /// Lends unused units, at most `requested`.
  QuotaUnits Lend(const EntryHostId& peer, const QuotaUnits& requested,
                  Duration lease, Time now);
  /// Records a loan, unless this or a later one of the same lender was
  /// recorded.
  void Borrow(const EntryHostId& lender, const LoanId& id,
              const QuotaUnits& units, Time until, Time now);

  ContractVersion version() const { return version_; }
  AdmissionView View(Time now) const;
  /// A removed share is kept until its requests and loans have ended.
  void SetRemoved(bool removed) { removed_ = removed; }
  bool removed() const { return removed_; }
  bool idle() const { return in_progress_ == 0 && lent_.empty(); }

 private:
  /// Demand between two rounds of heartbeats.
  struct DemandWindow {
    Time start;
    std::int64_t arrivals = 0;
    std::int64_t over_rate = 0;
    std::int64_t over_concurrency = 0;
    std::int64_t peak_in_progress = 0;
  };

  /// Expires loans and refills tokens up to `now`.
  void Advance(Time now);
  void Refill(Time to);
  std::int64_t Capacity() const;
  bool HasConcurrency(Time until) const;
  /// @return the burst units whose part of the rate covers the arrivals of a
  ///   window.
  std::int64_t NeededBurst(const DemandWindow& window, Duration length) const;
  /// @param retained the share without the units that are lent to others.
  std::int64_t UnusedConcurrent(const QuotaUnits& retained) const;
  std::int64_t UnusedBurst(const QuotaUnits& retained, Time now) const;

  ContractVersion version_;
  AdmissionLimits limits_;
  QuotaUnits share_;
  /// Tokens per microsecond that one burst unit carries.
  double unit_rate_ = 0;
  double tokens_ = 0;
  Time refilled_;
  std::int64_t in_progress_ = 0;
  LoanLedger lent_;
  LoanLedger borrowed_;
  std::map<EntryHostId, LoanId> last_loans_;
  DemandWindow window_;
  DemandWindow previous_window_;
  bool removed_ = false;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ADMISSION_INTERNAL_CUSTOMER_SHARE_H_
