#ifndef GYPSUMFALL_ADMISSION_ADMISSION_H_
#define GYPSUMFALL_ADMISSION_ADMISSION_H_

/// @file
/// Rate and concurrency limits of customers over all entry hosts together.
///
/// Each host holds a fixed share of each ceiling; the shares are whole units
/// and sum to exactly the ceiling. Unused units are lent to peers by lease in
/// the peer heartbeats. A lender counts a loan as out for longer than the
/// borrower may use it, so the sum stays within the ceiling when messages are
/// lost, late or duplicated.
///
/// Example:
/// @code
///   Admission admission({.self = self, .hosts = configured}, started);
///   admission.SetLimits(customer, version, {.rate = 70, .burst = 70,
///                                           .concurrent = 21}, now);
///   if (admission.Admit(customer, deadline, now) == Verdict::kAdmitted) {
///     ...
///     admission.Finish(customer, now);  // when the caller is answered
///   }
///   // Heartbeat to a peer, sent at `asked`:
///   LoanReport report = admission.Report(asked);
///   // at the peer: LoanGrants grants = admission.Grant(from, report, now);
///   admission.OnLoan(peer, grants, asked, now);
/// @endcode

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Ceilings of one customer over all entry hosts together.
struct AdmissionLimits {
  /// Requests per second.
  double rate = 0;
  /// Requests that may arrive at once; 0 means one second of the rate.
  std::int64_t burst = 0;
  /// Requests in progress.
  std::int64_t concurrent = 0;

  friend bool operator==(const AdmissionLimits&,
                         const AdmissionLimits&) = default;
};

struct AdmissionSettings {
  EntryHostId self{};
  /// Distinguishes loans of this process from those of an earlier one.
  Incarnation incarnation{};
  /// All configured entry hosts, with this one, live or not.
  std::vector<EntryHostId> hosts{};
  /// How long a loan can be used, from the time the borrower asked.
  Duration loan_lease = seconds(3);
  /// Added by the lender, for clocks that run at slightly different rates.
  Duration loan_margin = milliseconds(100);
};

enum class Verdict {
  kAdmitted,
  kOverRate,
  kOverConcurrency,
  kUnknownCustomer,
  /// Loans of an earlier process of this host may still be in use.
  kStarting,
};

/// @return a fixed readable name such as "over_rate".
std::string_view VerdictName(Verdict verdict);

/// Use of one customer's share on this host.
struct AdmissionView {
  ContractVersion version;
  AdmissionLimits limits;
  std::int64_t share_concurrent = 0;
  std::int64_t share_burst = 0;
  std::int64_t lent_concurrent = 0;
  std::int64_t lent_burst = 0;
  std::int64_t borrowed_concurrent = 0;
  std::int64_t borrowed_burst = 0;
  std::int64_t in_progress = 0;
  double tokens = 0;
};

/// Splits whole units so that the shares of all hosts sum to the ceiling. The
/// remainder goes to hosts in an order hashed from the customer's id.
/// @return the share of `host`, 0 if it is not one of `hosts`.
std::int64_t WholeShare(std::int64_t ceiling, const CustomerId& customer,
                        const EntryHostId& host,
                        const std::vector<EntryHostId>& hosts);

/// Limits of all customers on one entry host. Not thread-safe.
class Admission {
 public:
  /// @param started when the process started; the share can be used from
  ///   ready_at() on, since loans of an earlier process may be out until then.
  Admission(AdmissionSettings settings, Time started);
  ~Admission();
  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;

  /// @return when this host may use its share.
  Time ready_at() const;

  /// Puts limits in force at once. An older version is ignored. Borrowed units
  /// of another version are dropped.
  void SetLimits(const CustomerId& customer, ContractVersion version,
                 const AdmissionLimits& limits, Time now);
  /// Forgets a customer; requests in progress may still finish.
  void Remove(const CustomerId& customer);

  /// Admits one request or refuses it in constant time.
  /// @param until the caller is answered and Finish called by this time; a
  ///   borrowed unit is used only if its lease covers it.
  Verdict Admit(const CustomerId& customer, Time until, Time now);
  /// An admitted request was answered.
  void Finish(const CustomerId& customer, Time now);

  /// @return what to ask of each peer in the heartbeats sent now. Call once
  ///   per heartbeat round.
  LoanReport Report(Time now);
  /// Lends unused units.
  /// @param report as received from `peer`.
  LoanGrants Grant(const EntryHostId& peer, const LoanReport& report, Time now);
  /// Takes the loans in a peer's answer.
  /// @param asked when this host sent the heartbeat that is answered.
  void OnLoan(const EntryHostId& lender, const LoanGrants& grants, Time asked,
              Time now);

  /// @return the use of a customer's share; all zero if unknown.
  AdmissionView View(const CustomerId& customer, Time now) const;
  /// @return readable text, one line per customer, at most 100 lines.
  std::string Dump(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ADMISSION_ADMISSION_H_
