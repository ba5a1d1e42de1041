#ifndef GYPSUMFALL_CONTRACT_INTERNAL_LIMIT_TABLE_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_LIMIT_TABLE_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// Key, accessor and formatter of one resource dimension.
struct ResourceDescriptor {
  std::string_view key;
  std::int64_t (*value)(const Resources&);
  /// Formats a value as the text form has it.
  std::string (*format)(std::int64_t);
};

/// A key of [guaranteed] and [ceiling] that is not a resource dimension.
struct LimitDescriptor {
  std::string_view key;
  std::int64_t Limits::*member;
};

/// @return the descriptors of cpu, memory and accelerators.
std::span<const ResourceDescriptor> ResourceDescriptors();

inline constexpr std::array kLimitDescriptors = {
    LimitDescriptor{"requests_per_second", &Limits::requests_per_second},
    LimitDescriptor{"burst", &Limits::burst},
    LimitDescriptor{"concurrent_requests", &Limits::concurrent_requests},
    LimitDescriptor{"queued_tasks", &Limits::queued_tasks},
    LimitDescriptor{"running_tasks", &Limits::running_tasks},
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_LIMIT_TABLE_H_
