#ifndef GYPSUMFALL_ADMISSION_ADMISSION_H_
#define GYPSUMFALL_ADMISSION_ADMISSION_H_

/// @file
/// Rate and concurrency limits of customers over all entry hosts together.
///
/// Each host holds a fixed share of each ceiling. Shares are integers and sum
/// to exactly the ceiling. Hosts lend unused units to peers through peer
/// heartbeats, under a lease. A lender counts a loan as outstanding for longer
/// than the borrower may use it, so the total stays within the ceiling even if
/// messages are lost, delayed or duplicated.
///
/// Example:
/// @code
///   Admission admission({.self = self, .hosts = configured}, started);
///   admission.SetLimits(customer, version, {.rate = 70, .burst = 70,
///                                           .concurrent = 21}, now);
///   if (admission.Admit(customer, deadline, now) ==
///       AdmissionDecision::kAdmitted) {
///     ...
///     admission.Finish(customer, now);  // once the caller is answered
///   }
///   // Heartbeat to a peer, sent at `sent_at`:
///   LoanDemands demands = admission.BuildLoanDemands(sent_at);
///   // On the peer: LoanGrants grants = admission.Grant(from, demands, now);
///   admission.OnLoanGrants(peer, grants, sent_at, now);
/// @endcode

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Ceilings of one customer, for all entry hosts together.
struct AdmissionLimits {
  /// Requests per second.
  double rate = 0;
  /// Token bucket size in requests; 0 means one second of the rate.
  std::int64_t burst = 0;
  /// Requests in progress.
  std::int64_t concurrent = 0;

  friend bool operator==(const AdmissionLimits&,
                         const AdmissionLimits&) = default;
};

/// Configuration of this host's admission control.
struct AdmissionSettings {
  EntryHostId self{};
  /// Distinguishes loans of this process from those of an earlier process.
  Incarnation incarnation{};
  /// All configured entry hosts including this one, whether live or not.
  std::vector<EntryHostId> hosts{};
  /// How long the borrower may use a loan, counted from the time when it sent
  /// the heartbeat that requested it.
  Duration loan_lease = seconds(3);
  /// Added to the lease by the lender, to tolerate drift between the clocks.
  Duration loan_margin = milliseconds(100);
};

/// Whether a request is admitted and, if not, why.
enum class AdmissionDecision {
  kAdmitted,
  kOverRate,
  kOverConcurrency,
  kUnknownCustomer,
  /// Loans that an earlier process of this host made may still be in use.
  kStarting,
};

/// @return a fixed readable name such as "over_rate".
std::string_view AdmissionDecisionName(AdmissionDecision verdict);

/// Limits and current usage of one customer's share on this host.
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

/// Splits a ceiling into integer shares that sum to exactly the ceiling. The
/// remainder is distributed over the hosts in an order that is hashed from the
/// customer id, so that no host gets the remainder of every customer.
/// @return the share of `host`, 0 if it is not one of `hosts`.
std::int64_t IntegerShare(std::int64_t ceiling, const CustomerId& customer,
                          const EntryHostId& host,
                          const std::vector<EntryHostId>& hosts);

/// Enforces the limits of all customers on one entry host. Not thread-safe.
class Admission {
 public:
  /// @param started when the process started. Shares cannot be used before
  ///   ready_at(), because loans that an earlier process made may be
  ///   outstanding until then.
  Admission(AdmissionSettings settings, Time started);
  ~Admission();
  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;

  /// @return the time from which this host may use its shares.
  Time ready_at() const;

  /// Applies limits immediately. Ignores a version that is not newer than the
  /// current one. Drops units that were borrowed under another version.
  void SetLimits(const CustomerId& customer, ContractVersion version,
                 const AdmissionLimits& limits, Time now);
  /// Removes a customer; requests in progress may still finish.
  void Remove(const CustomerId& customer);

  /// Admits or refuses one request in constant time.
  /// @param until time by which the caller is answered and Finish is called. A
  ///   borrowed unit is used only if its lease lasts until then.
  AdmissionDecision Admit(const CustomerId& customer, Time until, Time now);
  /// Releases the concurrency of an admitted request that was answered.
  void Finish(const CustomerId& customer, Time now);

  /// Call once per round of heartbeats.
  /// @return the units to request from each peer in the heartbeats sent now.
  LoanDemands BuildLoanDemands(Time now);
  /// Lends unused units to a peer.
  /// @param report the loan demands received from `peer`.
  LoanGrants Grant(const EntryHostId& peer, const LoanDemands& report,
                   Time now);
  /// Applies the loans in a peer's heartbeat reply.
  /// @param sent_at when this host sent the heartbeat that is answered.
  void OnLoanGrants(const EntryHostId& lender, const LoanGrants& grants,
                    Time sent_at, Time now);

  /// @return usage of the customer's share; all zero for unknown customers.
  AdmissionView View(const CustomerId& customer, Time now) const;
  /// @return human-readable text, one line per customer, at most 100 customers.
  std::string Dump(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ADMISSION_ADMISSION_H_
