#ifndef GYPSUMFALL_SETTINGS_INTERNAL_COMMON_SECTIONS_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_COMMON_SECTIONS_H_

#include <string_view>
#include <vector>

#include "gypsumfall/settings/internal/entry_settings.h"
#include "gypsumfall/settings/internal/fields.h"

namespace gypsumfall {

/// Binds the allowed range of a value to its parser.
/// @param parse function of a text and a range.
/// @return a parser of the text alone.
auto Within(auto parse, auto range) {
  return [parse, range](std::string_view text) { return parse(text, range); };
}

/// @return the fields of section [limits].
std::vector<Field> Fields(LimitSettings& limits);
/// @return the fields of section [logging].
std::vector<Field> Fields(LoggingSettings& logging);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_COMMON_SECTIONS_H_
