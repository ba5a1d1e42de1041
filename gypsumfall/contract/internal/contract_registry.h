#ifndef GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_REGISTRY_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_REGISTRY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// A contract as it was when looked up; a later version does not change it.
using ContractPtr = std::shared_ptr<const Contract>;

/// The contracts in force on this entry host. A contract is replaced only by
/// a greater version, so a change never reverts, whatever the order in which
/// changes arrive (I9).
class ContractBook {
 public:
  /// Brings a contract into force if its version is greater than that held.
  /// @return whether it was applied.
  bool Apply(Contract contract);

  /// Notes that all changes up to a revision were applied. Lower revisions
  /// than the one noted are ignored.
  void AdvanceRevision(ContractRevision revision);

  /// @return the highest revision that was noted.
  ContractRevision revision() const { return revision_; }

  /// @return the contract in force, or null.
  ContractPtr Find(const CustomerId& customer) const;

  /// @return version of the contract in force, 0 if there is none.
  ContractVersion VersionOf(const CustomerId& customer) const;

  /// Finds the contract of a caller. Compares a digest also if the customer is
  /// not known, so that the time does not tell which customers exist.
  /// @param customer the customer that the caller claims to be.
  /// @param key the caller's key.
  /// @return the contract, or `kUnauthenticated`.
  Result<ContractPtr> Authenticate(const CustomerId& customer,
                                   std::string_view key) const;

  /// @return all contracts, by customer.
  std::vector<ContractPtr> All() const;

  /// @return number of customers.
  std::size_t size() const { return contracts_.size(); }

 private:
  std::map<CustomerId, ContractPtr> contracts_;
  ContractRevision revision_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_REGISTRY_H_
