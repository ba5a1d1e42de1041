#ifndef GYPSUMFALL_SETTINGS_INTERNAL_OVERRIDES_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_OVERRIDES_H_

#include <string>
#include <vector>

#include "gypsumfall/settings/internal/ini.h"

namespace gypsumfall {

/// Replaces or adds values of a document.
/// @param overrides "section.key=value" or "section.label.key=value" pairs;
///     of two for the same key the later one counts.
/// @param document the document; malformed pairs are added to its faults.
void ApplyOverrides(const std::vector<std::string>& overrides,
                    IniDocument& document);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_OVERRIDES_H_
