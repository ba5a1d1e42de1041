#ifndef GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_REGISTRY_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_REGISTRY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// An immutable contract version; a later version does not change it.
using ContractPtr = std::shared_ptr<const Contract>;

/// The contracts in force on this entry host. Only a higher version replaces a
/// contract, so a change is never reverted, in whatever order changes arrive
/// (I9).
class ContractRegistry {
 public:
  /// Puts a contract in force if its version is higher than the current one.
  /// @return whether it was applied.
  bool Apply(Contract contract);

  /// Records that all changes up to a revision were applied. Ignores revisions
  /// lower than the recorded one.
  void AdvanceRevision(ContractRevision revision);

  /// @return the highest recorded revision.
  ContractRevision revision() const { return revision_; }

  /// @return the contract in force, or null if there is none.
  ContractPtr Find(const CustomerId& customer) const;

  /// @return the version of the contract in force, 0 if there is none.
  ContractVersion VersionOf(const CustomerId& customer) const;

  /// Authenticates a caller and returns its contract. Compares digests even if
  /// the customer is unknown, so that timing does not reveal which customers
  /// exist.
  /// @param customer the customer id that the caller claims.
  /// @param key the key that the caller presents.
  /// @return the contract, or `kUnauthenticated`.
  Result<ContractPtr> Authenticate(const CustomerId& customer,
                                   std::string_view key) const;

  /// @return all contracts, ordered by customer id.
  std::vector<ContractPtr> All() const;

  /// @return the number of customers.
  std::size_t size() const { return contracts_.size(); }

 private:
  std::map<CustomerId, ContractPtr> contracts_;
  ContractRevision revision_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_REGISTRY_H_
