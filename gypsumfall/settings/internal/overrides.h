#ifndef GYPSUMFALL_SETTINGS_INTERNAL_OVERRIDES_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_OVERRIDES_H_

#include <string>
#include <vector>

#include "gypsumfall/settings/internal/ini.h"

namespace gypsumfall {

/// Replaces or adds values of a document.
/// @param overrides "section.key=value" or "section.label.key=value" pairs;
///     the last one for a key takes effect.
/// @param document the document; receives a diagnostic for each malformed pair.
void ApplyOverrides(const std::vector<std::string>& overrides,
                    IniDocument& document);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_OVERRIDES_H_
