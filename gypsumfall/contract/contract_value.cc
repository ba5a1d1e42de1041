#include "gypsumfall/contract/internal/contract_value.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "gypsumfall/contract/internal/limit_table.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {
namespace {

constexpr std::array kResourceDescriptors = {
    ResourceDescriptor{
        "cpu", [](const Resources& r) { return r.cpu.value(); },
        [](std::int64_t v) { return FormatMilliCores(MilliCores(v)); }},
    ResourceDescriptor{
        "memory", [](const Resources& r) { return r.memory.value(); },
        [](std::int64_t v) { return FormatMebiBytes(MebiBytes(v)); }},
    ResourceDescriptor{
        "accelerators",
        [](const Resources& r) { return r.accelerators.value(); },
        [](std::int64_t v) { return std::to_string(v); }},
};

}  // namespace

std::span<const ResourceDescriptor> ResourceDescriptors() {
  return kResourceDescriptors;
}

std::string_view WorkShapeName(WorkShape shape) {
  return shape == WorkShape::kTask ? "task" : "request";
}

std::string_view UrgencyClassName(UrgencyClass urgency) {
  switch (urgency) {
    case UrgencyClass::kUrgent:
      return "urgent";
    case UrgencyClass::kNormal:
      return "normal";
    case UrgencyClass::kPatient:
      return "patient";
  }
  return "normal";
}

const KindSpec* Contract::FindKind(const KindId& kind) const {
  const auto spec = std::find_if(
      kinds.begin(), kinds.end(),
      [&](const KindSpec& candidate) { return candidate.kind == kind; });
  return spec == kinds.end() ? nullptr : &*spec;
}

}  // namespace gypsumfall
