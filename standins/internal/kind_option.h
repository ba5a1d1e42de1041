#ifndef STANDINS_INTERNAL_KIND_OPTION_H_
#define STANDINS_INTERNAL_KIND_OPTION_H_

#include <string>

#include "standins/models.h"

namespace gypsumfall::standins {

/// Adds a kind from "NAME:run_ms[:checkpoint_ms[:use_permille]]".
/// @return what is wrong, or nothing.
std::string AddKind(const std::string& text, WorkerOptions& options);

/// Adds a slowdown from "KIND:NEIGHBOUR:permille".
/// @return what is wrong, or nothing.
std::string AddSlowdown(const std::string& text, WorkerOptions& options);

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_KIND_OPTION_H_
