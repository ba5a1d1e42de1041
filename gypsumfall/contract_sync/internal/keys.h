#ifndef GYPSUMFALL_CONTRACT_SYNC_INTERNAL_KEYS_H_
#define GYPSUMFALL_CONTRACT_SYNC_INTERNAL_KEYS_H_

#include <charconv>
#include <cstdint>
#include <string>

#include "gypsumfall/base/base.h"

namespace gypsumfall::contract_sync_internal {

inline constexpr char kRevisionKey[] = "contract_revision";

inline std::string ChangeKey(ContractRevision revision) {
  return "contract_change/" + std::to_string(revision.value());
}

/// The contract and version that one revision wrote.
struct ContractChange {
  CustomerId customer;
  ContractVersion version;
};

/// @return "<customer>/<version>"; customer ids contain no '/'.
inline std::string EncodeChange(const ContractChange& change) {
  return change.customer.str() + "/" + std::to_string(change.version.value());
}

/// @return the change, or one with an empty customer if the value has no '/'.
inline ContractChange DecodeChange(const std::string& value) {
  const std::size_t slash = value.find('/');
  if (slash == std::string::npos) return {};
  std::uint64_t version = 0;
  std::from_chars(value.data() + slash + 1, value.data() + value.size(),
                  version);
  return {CustomerId(value.substr(0, slash)), ContractVersion(version)};
}

/// @return the revision in the value of the revision row; 0 if it is empty.
inline ContractRevision ParseRevision(const std::string& value) {
  std::uint64_t number = 0;
  std::from_chars(value.data(), value.data() + value.size(), number);
  return ContractRevision(number);
}

}  // namespace gypsumfall::contract_sync_internal

#endif  // GYPSUMFALL_CONTRACT_SYNC_INTERNAL_KEYS_H_
