#ifndef GYPSUMFALL_CONTRACT_INTERNAL_PARSE_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_PARSE_H_

#include <string_view>

#include "gypsumfall/contract/internal/contract_value.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// Parses a contract and checks its values against each other, for example that
/// neither a guarantee nor the resources of a kind exceed the ceiling.
/// @param text the INI text.
/// @param file file name that diagnostics refer to.
/// @return the contract, with version 0, or all diagnostics.
Parsed<Contract> ParseContract(std::string_view text,
                               std::string_view file = "contract");

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_PARSE_H_
