#include "gypsumfall/contract/internal/contract_registry.h"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

// Compares against every digest so that timing does not reveal which one
// matched.
bool MatchesAny(const std::vector<std::string>& digests,
                const std::string& digest) {
  bool matches = false;
  for (const std::string& candidate : digests) {
    const bool equal = ConstantTimeEquals(candidate, digest);
    matches = matches || equal;
  }
  return matches;
}

}  // namespace

bool ContractRegistry::Apply(Contract contract) {
  if (contract.version <= VersionOf(contract.customer)) return false;
  const CustomerId customer = contract.customer;
  contracts_[customer] = std::make_shared<const Contract>(std::move(contract));
  return true;
}

void ContractRegistry::AdvanceRevision(ContractRevision revision) {
  revision_ = std::max(revision_, revision);
}

ContractPtr ContractRegistry::Find(const CustomerId& customer) const {
  const auto found = contracts_.find(customer);
  return found == contracts_.end() ? nullptr : found->second;
}

ContractVersion ContractRegistry::VersionOf(const CustomerId& customer) const {
  const ContractPtr contract = Find(customer);
  return contract == nullptr ? ContractVersion() : contract->version;
}

Result<ContractPtr> ContractRegistry::Authenticate(const CustomerId& customer,
                                                   std::string_view key) const {
  // Compared for unknown customers. Matches no key, because a digest only
  // contains the digits 0-9 and a-f.
  static const std::vector<std::string> dummy_digests = {std::string(64, 'x')};
  const std::string digest = KeyDigest(key);
  ContractPtr contract = Find(customer);
  const bool matches = MatchesAny(
      contract == nullptr ? dummy_digests : contract->key_digests, digest);
  if (contract == nullptr || !matches) {
    return Fail(ErrorKind::kUnauthenticated,
                "the customer is not known or the key is not one of its keys; "
                "check the headers X-Customer and Authorization");
  }
  return contract;
}

std::vector<ContractPtr> ContractRegistry::All() const {
  std::vector<ContractPtr> all;
  all.reserve(contracts_.size());
  for (const auto& [customer, contract] : contracts_) all.push_back(contract);
  return all;
}

}  // namespace gypsumfall
