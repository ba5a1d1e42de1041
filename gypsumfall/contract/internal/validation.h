#ifndef GYPSUMFALL_CONTRACT_INTERNAL_VALIDATION_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_VALIDATION_H_

#include <string>
#include <vector>

#include "gypsumfall/contract/internal/contract_value.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// A contract whose values were all read, with the sections they come from.
struct ContractDraft {
  Contract contract;
  IniSection guaranteed;
  IniSection ceiling;
  /// One for each kind of the contract, in the same order.
  std::vector<IniSection> kinds;
};

/// Checks values of a contract against each other.
/// @param draft the contract as read.
/// @param file name that faults refer to.
/// @param faults receives the faults.
void FindContradictions(const ContractDraft& draft, const std::string& file,
                        std::vector<Fault>& faults);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_VALIDATION_H_
