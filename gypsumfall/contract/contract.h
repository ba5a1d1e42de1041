#ifndef GYPSUMFALL_CONTRACT_CONTRACT_H_
#define GYPSUMFALL_CONTRACT_CONTRACT_H_

/// @file
/// Customer contracts: the value type, the parser of the INI form, the
/// field-by-field diff, and the registry of contracts in force on an entry
/// host.
///
/// Example:
/// @code
///   Parsed<Contract> contract = ParseContract(text, "acme.ini");
///   if (!contract) return Refuse(DiagnosticsToString(contract.error()));
///   contract->version = ContractVersion(3);
///   registry.Apply(*std::move(contract));
///   auto caller = registry.Authenticate(CustomerId("acme"), key);
///   if (!caller) return Answer(caller.error());
///   const KindSpec* spec = (*caller)->FindKind(KindId("quick-check"));
/// @endcode

#include "gypsumfall/contract/internal/contract_registry.h"
#include "gypsumfall/contract/internal/contract_value.h"
#include "gypsumfall/contract/internal/diff.h"
#include "gypsumfall/contract/internal/exceeded_limits.h"
#include "gypsumfall/contract/internal/parse.h"

#endif  // GYPSUMFALL_CONTRACT_CONTRACT_H_
