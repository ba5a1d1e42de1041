#include "gypsumfall/contract/internal/exceeded_limits.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/contract/internal/limit_table.h"

namespace gypsumfall {

std::vector<Excess> RunningExcess(const Contract& contract,
                                  const ContractUsage& usage) {
  std::vector<Excess> excess;
  const auto compare = [&](std::string field, std::int64_t used,
                           std::int64_t allowed) {
    if (used > allowed) excess.push_back({std::move(field), used, allowed});
  };
  const Limits& ceiling = contract.ceiling;
  for (const ResourceRow& row : ResourceRows()) {
    compare("ceiling." + std::string(row.key), row.value(usage.resources),
            row.value(ceiling.resources));
  }
  compare("ceiling.concurrent_requests", usage.concurrent_requests,
          ceiling.concurrent_requests);
  compare("ceiling.queued_tasks", usage.queued_tasks, ceiling.queued_tasks);
  compare("ceiling.running_tasks", usage.running_tasks, ceiling.running_tasks);
  for (const KindUsage& kind : usage.kinds) {
    if (contract.FindKind(kind.kind) != nullptr) continue;
    compare("kind " + kind.kind.str(), kind.running, 0);
  }
  return excess;
}

}  // namespace gypsumfall
