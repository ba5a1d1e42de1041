#include "gypsumfall/contract/internal/diff.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/contract/internal/limit_table.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {
namespace {

std::string FormatBool(bool value) { return value ? "true" : "false"; }

std::string FormatDigests(const Contract& contract) {
  std::vector<std::string> digests = contract.key_digests;
  std::sort(digests.begin(), digests.end());
  std::string text;
  for (const std::string& digest : digests) {
    if (!text.empty()) text += ", ";
    text += digest;
  }
  return text;
}

void AddResourceFields(const std::string& prefix, const Resources& resources,
                       std::vector<ContractField>& fields) {
  for (const ResourceDescriptor& descriptor : ResourceDescriptors()) {
    fields.push_back({prefix + std::string(descriptor.key),
                      descriptor.format(descriptor.value(resources))});
  }
}

void AddLimitFields(const std::string& prefix, const Limits& limits,
                    std::vector<ContractField>& fields) {
  AddResourceFields(prefix, limits.resources, fields);
  for (const LimitDescriptor& descriptor : kLimitDescriptors) {
    fields.push_back({prefix + std::string(descriptor.key),
                      std::to_string(limits.*descriptor.member)});
  }
}

void AddKindFields(const KindSpec& spec, std::vector<ContractField>& fields) {
  const std::string prefix = "kind " + spec.kind.str() + ".";
  fields.push_back({prefix + "shape", std::string(WorkShapeName(spec.shape))});
  fields.push_back({prefix + "idempotent", FormatBool(spec.idempotent)});
  AddResourceFields(prefix, spec.resources, fields);
  fields.push_back(
      {prefix + "urgency", std::string(UrgencyClassName(spec.urgency))});
  if (spec.shape == WorkShape::kRequest) {
    fields.push_back({prefix + "deadline", FormatDuration(spec.deadline)});
    return;
  }
  fields.push_back({prefix + "resumable", FormatBool(spec.resumable)});
  fields.push_back({prefix + "run_without_contact",
                    FormatDuration(spec.run_without_contact)});
}

}  // namespace

std::vector<ContractField> ContractFields(const Contract& contract) {
  std::vector<ContractField> fields = {
      {"customer.id", contract.customer.str()},
      {"customer.key_digest", FormatDigests(contract)}};
  AddLimitFields("guaranteed.", contract.guaranteed, fields);
  AddLimitFields("ceiling.", contract.ceiling, fields);
  std::vector<KindSpec> kinds = contract.kinds;
  std::sort(
      kinds.begin(), kinds.end(),
      [](const KindSpec& a, const KindSpec& b) { return a.kind < b.kind; });
  for (const KindSpec& spec : kinds) AddKindFields(spec, fields);
  return fields;
}

std::vector<FieldChange> DiffContracts(const Contract& before,
                                       const Contract& after) {
  std::map<std::string, std::string> remaining;
  const std::vector<ContractField> new_fields = ContractFields(after);
  for (const ContractField& field : new_fields) {
    remaining.emplace(field.name, field.value);
  }
  std::vector<FieldChange> changes;
  for (ContractField& field : ContractFields(before)) {
    const auto found = remaining.extract(field.name);
    std::string value = found.empty() ? std::string() : found.mapped();
    if (!found.empty() && value == field.value) continue;
    changes.push_back(
        {std::move(field.name), std::move(field.value), std::move(value)});
  }
  for (const ContractField& field : new_fields) {
    if (!remaining.contains(field.name)) continue;
    changes.push_back({field.name, "", field.value});
  }
  return changes;
}

}  // namespace gypsumfall
