#ifndef GYPSUMFALL_CONTRACT_INTERNAL_VALIDATION_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_VALIDATION_H_

#include <string>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// A parsed contract whose values are not yet checked against each other, with
/// the INI sections that they come from.
struct ContractDraft {
  Contract contract;
  IniSection guaranteed;
  IniSection ceiling;
  /// One section per kind of `contract`, in the same order.
  std::vector<IniSection> kinds;
};

/// Checks the values of a contract against each other, such as a guarantee that
/// exceeds the ceiling.
/// @param draft the parsed contract.
/// @param file file name that diagnostics refer to.
/// @param diagnostics receives the diagnostics.
void ValidateCrossFieldConstraints(const ContractDraft& draft,
                                   const std::string& file,
                                   std::vector<Diagnostic>& diagnostics);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_VALIDATION_H_
