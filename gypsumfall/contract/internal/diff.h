#ifndef GYPSUMFALL_CONTRACT_INTERNAL_DIFF_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_DIFF_H_

#include <string>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"

namespace gypsumfall {

/// A field of a contract: its name in the text form, such as "ceiling.cpu" or
/// "kind render.deadline", and its formatted value.
struct ContractField {
  std::string name;
  std::string value;
};

/// One field that differs between two contracts.
struct FieldChange {
  std::string field;
  /// Empty if the field is only in the new contract.
  std::string before;
  /// Empty if the field is only in the old contract.
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// @return all fields; sections in the order of the text form, kinds by name.
std::vector<ContractField> ContractFields(const Contract& contract);

/// @return the fields that differ. Does not compare versions.
std::vector<FieldChange> DiffContracts(const Contract& before,
                                       const Contract& after);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_DIFF_H_
