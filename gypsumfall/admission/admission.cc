#include "gypsumfall/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gypsumfall/admission/internal/customer_share.h"

namespace gypsumfall {
namespace {

// An unset burst defaults to one second of the rate.
AdmissionLimits WithDefaultBurst(AdmissionLimits limits) {
  if (limits.burst > 0 || limits.rate <= 0) return limits;
  limits.burst =
      std::max<std::int64_t>(1, static_cast<std::int64_t>(limits.rate));
  return limits;
}

std::int64_t CeilDivide(std::int64_t amount, std::int64_t parts) {
  return (amount + parts - 1) / parts;
}

}  // namespace

std::string_view AdmissionDecisionName(AdmissionDecision verdict) {
  switch (verdict) {
    case AdmissionDecision::kAdmitted:
      return "admitted";
    case AdmissionDecision::kOverRate:
      return "over_rate";
    case AdmissionDecision::kOverConcurrency:
      return "over_concurrency";
    case AdmissionDecision::kUnknownCustomer:
      return "unknown_customer";
    case AdmissionDecision::kStarting:
      return "starting";
  }
  return "unknown";
}

class Admission::Impl {
 public:
  Impl(AdmissionSettings settings, Time started)
      : settings_(std::move(settings)), ready_at_(started) {
    // Without peers there cannot be outstanding loans.
    if (settings_.hosts.size() > 1) {
      ready_at_ += settings_.loan_lease + settings_.loan_margin;
    }
  }

  Time ready_at() const { return ready_at_; }

  void SetLimits(const CustomerId& customer, ContractVersion version,
                 const AdmissionLimits& contract_limits, Time now) {
    const AdmissionLimits limits = WithDefaultBurst(contract_limits);
    const QuotaUnits share{ShareOf(limits.burst, customer),
                           ShareOf(limits.concurrent, customer)};
    const auto it = shares_.find(customer);
    if (it == shares_.end()) {
      shares_.try_emplace(customer, version, limits, share, now >= ready_at_,
                          now);
      return;
    }
    if (!it->second.removed() && version <= it->second.version()) return;
    it->second.SetRemoved(false);
    it->second.SetLimits(version, limits, share, now);
  }

  void Remove(const CustomerId& customer) {
    CustomerShare* share = Find(customer);
    if (share == nullptr) return;
    share->SetRemoved(true);
    EraseIfIdle(customer, *share);
  }

  AdmissionDecision Admit(const CustomerId& customer, Time until, Time now) {
    CustomerShare* share = Find(customer);
    if (share == nullptr || share->removed())
      return AdmissionDecision::kUnknownCustomer;
    return share->Admit(until, now >= ready_at_, now);
  }

  void Finish(const CustomerId& customer, Time now) {
    CustomerShare* share = Find(customer);
    if (share == nullptr) return;
    share->Finish(now);
    EraseIfIdle(customer, *share);
  }

  LoanDemands BuildLoanDemands(Time now) {
    LoanDemands report;
    const auto peers = static_cast<std::int64_t>(settings_.hosts.size()) - 1;
    for (auto& [customer, share] : shares_) {
      const QuotaUnits shortfall = share.CloseDemandWindow(now);
      if (peers <= 0 || shortfall.empty() || share.removed()) continue;
      report.demands.push_back({customer, share.version(),
                                CeilDivide(shortfall.burst, peers),
                                CeilDivide(shortfall.concurrent, peers)});
    }
    std::erase_if(shares_, [](const auto& entry) {
      return entry.second.removed() && entry.second.idle();
    });
    return report;
  }

  LoanGrants Grant(const EntryHostId& peer, const LoanDemands& report,
                   Time now) {
    LoanGrants grants;
    if (now < ready_at_ || !IsPeer(peer)) return grants;
    const Duration lease = settings_.loan_lease + settings_.loan_margin;
    for (const LoanDemand& want : report.demands) {
      CustomerShare* share = Find(want.customer);
      if (share == nullptr || share->removed()) continue;
      if (share->version() != want.version) continue;
      const QuotaUnits lent =
          share->Lend(peer, {want.burst, want.concurrent}, lease, now);
      if (lent.empty()) continue;
      grants.grants.push_back({{settings_.incarnation, ++last_loan_},
                               want.customer,
                               want.version,
                               lent.burst,
                               lent.concurrent});
    }
    return grants;
  }

  void OnLoanGrants(const EntryHostId& lender, const LoanGrants& grants,
                    Time sent_at, Time now) {
    if (!IsPeer(lender)) return;
    for (const LoanGrant& grant : grants.grants) {
      CustomerShare* share = Find(grant.customer);
      if (share == nullptr || share->version() != grant.version) continue;
      share->Borrow(lender, grant.id, {grant.burst, grant.concurrent},
                    sent_at + settings_.loan_lease, now);
    }
  }

  AdmissionView View(const CustomerId& customer, Time now) const {
    const auto it = shares_.find(customer);
    return it == shares_.end() ? AdmissionView{} : it->second.View(now);
  }

  std::string Dump(Time now) const;

 private:
  std::int64_t ShareOf(std::int64_t ceiling, const CustomerId& customer) const {
    return IntegerShare(ceiling, customer, settings_.self, settings_.hosts);
  }

  bool IsPeer(const EntryHostId& host) const {
    return host != settings_.self &&
           std::find(settings_.hosts.begin(), settings_.hosts.end(), host) !=
               settings_.hosts.end();
  }

  CustomerShare* Find(const CustomerId& customer) {
    const auto it = shares_.find(customer);
    return it == shares_.end() ? nullptr : &it->second;
  }

  void EraseIfIdle(const CustomerId& customer, const CustomerShare& share) {
    if (share.removed() && share.idle()) shares_.erase(customer);
  }

  AdmissionSettings settings_;
  Time ready_at_;
  std::uint64_t last_loan_ = 0;
  std::unordered_map<CustomerId, CustomerShare> shares_;
};

std::string Admission::Impl::Dump(Time now) const {
  constexpr std::size_t kMaxLines = 100;
  std::vector<CustomerId> customers;
  for (const auto& [customer, share] : shares_) customers.push_back(customer);
  std::sort(customers.begin(), customers.end());
  std::ostringstream out;
  out << "admission: " << customers.size() << " customers\n";
  if (customers.size() > kMaxLines) customers.resize(kMaxLines);
  for (const CustomerId& customer : customers) {
    const AdmissionView view = View(customer, now);
    out << customer << ": version " << view.version << ", in progress "
        << view.in_progress << ", concurrency share " << view.share_concurrent
        << " - " << view.lent_concurrent << " lent + "
        << view.borrowed_concurrent << " borrowed of " << view.limits.concurrent
        << ", burst share " << view.share_burst << " - " << view.lent_burst
        << " lent + " << view.borrowed_burst << " borrowed of "
        << view.limits.burst << " at " << view.limits.rate << "/s, tokens "
        << view.tokens << "\n";
  }
  return std::move(out).str();
}

Admission::Admission(AdmissionSettings settings, Time started)
    : impl_(std::make_unique<Impl>(std::move(settings), started)) {}
Admission::~Admission() = default;
Admission::Admission(Admission&&) noexcept = default;
Admission& Admission::operator=(Admission&&) noexcept = default;

Time Admission::ready_at() const { return impl_->ready_at(); }

void Admission::SetLimits(const CustomerId& customer, ContractVersion version,
                          const AdmissionLimits& limits, Time now) {
  impl_->SetLimits(customer, version, limits, now);
}

void Admission::Remove(const CustomerId& customer) { impl_->Remove(customer); }

AdmissionDecision Admission::Admit(const CustomerId& customer, Time until,
                                   Time now) {
  return impl_->Admit(customer, until, now);
}

void Admission::Finish(const CustomerId& customer, Time now) {
  impl_->Finish(customer, now);
}

LoanDemands Admission::BuildLoanDemands(Time now) {
  return impl_->BuildLoanDemands(now);
}

LoanGrants Admission::Grant(const EntryHostId& peer, const LoanDemands& report,
                            Time now) {
  return impl_->Grant(peer, report, now);
}

void Admission::OnLoanGrants(const EntryHostId& lender,
                             const LoanGrants& grants, Time sent_at, Time now) {
  impl_->OnLoanGrants(lender, grants, sent_at, now);
}

AdmissionView Admission::View(const CustomerId& customer, Time now) const {
  return impl_->View(customer, now);
}

std::string Admission::Dump(Time now) const { return impl_->Dump(now); }

}  // namespace gypsumfall
