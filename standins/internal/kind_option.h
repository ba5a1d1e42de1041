#ifndef STANDINS_INTERNAL_KIND_OPTION_H_
#define STANDINS_INTERNAL_KIND_OPTION_H_

#include <string>

#include "standins/models.h"

namespace gypsumfall::standins {

/// Parses "NAME:run_ms[:checkpoint_ms[:use_permille]]" and adds the kind.
/// @return an error message, or an empty string on success.
std::string AddKind(const std::string& text, WorkerOptions& options);

/// Parses "KIND:NEIGHBOUR:permille" and adds the slowdown to an existing kind.
/// @return an error message, or an empty string on success.
std::string AddSlowdown(const std::string& text, WorkerOptions& options);

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_KIND_OPTION_H_
