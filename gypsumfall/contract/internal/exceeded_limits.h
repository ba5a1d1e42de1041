#ifndef GYPSUMFALL_CONTRACT_INTERNAL_EXCEEDED_LIMITS_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_EXCEEDED_LIMITS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// What a customer runs of one kind.
struct KindUsage {
  KindId kind;
  std::int64_t running = 0;
};

/// What a customer uses over all entry hosts.
struct ContractUsage {
  Resources resources;
  std::int64_t concurrent_requests = 0;
  std::int64_t queued_tasks = 0;
  std::int64_t running_tasks = 0;
  std::vector<KindUsage> kinds;
};

/// One limit that present work exceeds.
struct Excess {
  /// Name of the field in the text form, such as "ceiling.cpu", or
  /// "kind NAME" for running work of a kind that is not allowed.
  std::string field;
  std::int64_t used = 0;
  std::int64_t allowed = 0;

  friend bool operator==(const Excess&, const Excess&) = default;
};

/// Shows what a new contract means for work that runs already.
/// @param contract the contract that would come into force.
/// @param usage what the customer uses now.
/// @return each limit that the usage exceeds, and each running kind that the
///     contract no longer allows.
std::vector<Excess> RunningExcess(const Contract& contract,
                                  const ContractUsage& usage);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_EXCEEDED_LIMITS_H_
