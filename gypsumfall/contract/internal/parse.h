#ifndef GYPSUMFALL_CONTRACT_INTERNAL_PARSE_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_PARSE_H_

#include <string_view>

#include "gypsumfall/contract/internal/contract_value.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// Parses a contract and checks it for contradictions, such as a guarantee
/// above the ceiling or a kind that is larger than the ceiling.
/// @param text the INI text.
/// @param file name that faults refer to.
/// @return the contract at version 0, or all faults.
Parsed<Contract> ParseContract(std::string_view text,
                               std::string_view file = "contract");

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_PARSE_H_
