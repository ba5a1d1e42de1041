#ifndef GYPSUMFALL_CONTRACT_INTERNAL_EXCEEDED_LIMITS_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_EXCEEDED_LIMITS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// Running work of one kind.
struct KindUsage {
  KindId kind;
  std::int64_t running = 0;
};

/// Current usage of a customer, summed over all entry hosts.
struct ContractUsage {
  Resources resources;
  std::int64_t concurrent_requests = 0;
  std::int64_t queued_tasks = 0;
  std::int64_t running_tasks = 0;
  std::vector<KindUsage> kinds;
};

/// A limit that the current usage exceeds.
struct ExceededLimit {
  /// Name of the field in the text form, such as "ceiling.cpu", or
  /// "kind NAME" for running work of a kind that is not allowed.
  std::string field;
  std::int64_t used = 0;
  std::int64_t allowed = 0;

  friend bool operator==(const ExceededLimit&, const ExceededLimit&) = default;
};

/// Finds the limits of a new contract that work in progress already exceeds.
/// @param contract the contract that would come into force.
/// @param usage the customer's current usage.
/// @return the exceeded limits, and the running kinds that the contract does
/// not
///     allow.
std::vector<ExceededLimit> FindExceededLimits(const Contract& contract,
                                              const ContractUsage& usage);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_EXCEEDED_LIMITS_H_
