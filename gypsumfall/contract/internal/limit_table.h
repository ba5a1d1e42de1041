#ifndef GYPSUMFALL_CONTRACT_INTERNAL_LIMIT_TABLE_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_LIMIT_TABLE_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// One dimension of resources by its key in the text.
struct ResourceRow {
  std::string_view key;
  std::int64_t (*value)(const Resources&);
  /// Writes a value as in the text.
  std::string (*format)(std::int64_t);
};

/// One key of [guaranteed] and [ceiling] besides the resources.
struct LimitRow {
  std::string_view key;
  std::int64_t Limits::*member;
};

/// @return cpu, memory and accelerators.
std::span<const ResourceRow> ResourceRows();

inline constexpr std::array kLimitRows = {
    LimitRow{"requests_per_second", &Limits::requests_per_second},
    LimitRow{"burst", &Limits::burst},
    LimitRow{"concurrent_requests", &Limits::concurrent_requests},
    LimitRow{"queued_tasks", &Limits::queued_tasks},
    LimitRow{"running_tasks", &Limits::running_tasks},
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_LIMIT_TABLE_H_
