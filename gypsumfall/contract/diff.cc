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

std::string BoolName(bool value) { return value ? "true" : "false"; }

std::string SortedDigests(const Contract& contract) {
  std::vector<std::string> digests = contract.key_digests;
  std::sort(digests.begin(), digests.end());
  std::string text;
  for (const std::string& digest : digests) {
    if (!text.empty()) text += ", ";
    text += digest;
  }
  return text;
}

void AddResources(const std::string& prefix, const Resources& resources,
                  std::vector<ContractField>& fields) {
  for (const ResourceRow& row : ResourceRows()) {
    fields.push_back(
        {prefix + std::string(row.key), row.format(row.value(resources))});
  }
}

void AddLimits(const std::string& prefix, const Limits& limits,
               std::vector<ContractField>& fields) {
  AddResources(prefix, limits.resources, fields);
  for (const LimitRow& row : kLimitRows) {
    fields.push_back(
        {prefix + std::string(row.key), std::to_string(limits.*row.member)});
  }
}

void AddKind(const KindRule& rule, std::vector<ContractField>& fields) {
  const std::string prefix = "kind " + rule.kind.str() + ".";
  fields.push_back({prefix + "shape", std::string(WorkShapeName(rule.shape))});
  fields.push_back({prefix + "idempotent", BoolName(rule.idempotent)});
  AddResources(prefix, rule.resources, fields);
  fields.push_back(
      {prefix + "urgency", std::string(UrgencyClassName(rule.urgency))});
  if (rule.shape == WorkShape::kRequest) {
    fields.push_back({prefix + "deadline", FormatDuration(rule.deadline)});
    return;
  }
  fields.push_back({prefix + "resumable", BoolName(rule.resumable)});
  fields.push_back({prefix + "run_without_contact",
                    FormatDuration(rule.run_without_contact)});
}

}  // namespace

std::vector<ContractField> ContractFields(const Contract& contract) {
  std::vector<ContractField> fields = {
      {"customer.id", contract.customer.str()},
      {"customer.key_digest", SortedDigests(contract)}};
  AddLimits("guaranteed.", contract.guaranteed, fields);
  AddLimits("ceiling.", contract.ceiling, fields);
  std::vector<KindRule> kinds = contract.kinds;
  std::sort(
      kinds.begin(), kinds.end(),
      [](const KindRule& a, const KindRule& b) { return a.kind < b.kind; });
  for (const KindRule& rule : kinds) AddKind(rule, fields);
  return fields;
}

std::vector<FieldChange> DiffContracts(const Contract& before,
                                       const Contract& after) {
  std::map<std::string, std::string> added;
  const std::vector<ContractField> new_fields = ContractFields(after);
  for (const ContractField& field : new_fields) {
    added.emplace(field.name, field.value);
  }
  std::vector<FieldChange> changes;
  for (ContractField& field : ContractFields(before)) {
    const auto match = added.extract(field.name);
    std::string value = match.empty() ? std::string() : match.mapped();
    if (!match.empty() && value == field.value) continue;
    changes.push_back(
        {std::move(field.name), std::move(field.value), std::move(value)});
  }
  for (const ContractField& field : new_fields) {
    if (!added.contains(field.name)) continue;
    changes.push_back({field.name, "", field.value});
  }
  return changes;
}

}  // namespace gypsumfall
