#include "gypsumfall/contract/internal/exceeded_limits.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/contract/internal/limit_table.h"

namespace gypsumfall {

std::vector<ExceededLimit> FindExceededLimits(const Contract& contract,
                                              const ContractUsage& usage) {
  std::vector<ExceededLimit> exceeded;
  const auto add_if_exceeded = [&](std::string field, std::int64_t used,
                                   std::int64_t allowed) {
    if (used > allowed) exceeded.push_back({std::move(field), used, allowed});
  };
  const Limits& ceiling = contract.ceiling;
  for (const ResourceDescriptor& descriptor : ResourceDescriptors()) {
    add_if_exceeded("ceiling." + std::string(descriptor.key),
                    descriptor.value(usage.resources),
                    descriptor.value(ceiling.resources));
  }
  add_if_exceeded("ceiling.concurrent_requests", usage.concurrent_requests,
                  ceiling.concurrent_requests);
  add_if_exceeded("ceiling.queued_tasks", usage.queued_tasks,
                  ceiling.queued_tasks);
  add_if_exceeded("ceiling.running_tasks", usage.running_tasks,
                  ceiling.running_tasks);
  for (const KindUsage& kind : usage.kinds) {
    if (contract.FindKind(kind.kind) != nullptr) continue;
    add_if_exceeded("kind " + kind.kind.str(), kind.running, 0);
  }
  return exceeded;
}

}  // namespace gypsumfall
