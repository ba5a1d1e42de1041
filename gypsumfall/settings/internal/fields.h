#ifndef GYPSUMFALL_SETTINGS_INTERNAL_FIELDS_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_FIELDS_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/settings/internal/fault.h"
#include "gypsumfall/settings/internal/ini.h"
#include "gypsumfall/settings/internal/values.h"

namespace gypsumfall {

/// How often a key may be given in its section.
enum class Presence { kOptional, kRequired, kRepeated };

/// One key of a section, with the function that parses and stores its value.
struct Field {
  std::string key;
  Presence presence = Presence::kOptional;
  std::function<ParsedValue<void>(std::string_view)> store;
  /// Valid value that a message about a missing key shows.
  std::string example;
};

/// Reads the entries of a section by a list of fields; reports unknown,
/// duplicate, missing and invalid keys.
/// @param section the section as read.
/// @param fields the keys that it may have.
/// @param file name that faults refer to.
/// @param faults receives the faults.
void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                const std::string& file, std::vector<Fault>& faults);

/// Makes a field that stores what a parser returns.
/// @param parse function from text to `ParsedValue<T>`.
/// @param target where a valid value is stored; must outlive the field.
template <typename T, typename Parse>
Field MakeField(std::string key, Presence presence, T& target, Parse parse,
                std::string example = {}) {
  auto store = [&target, parse = std::move(parse)](
                   std::string_view text) -> ParsedValue<void> {
    auto value = parse(text);
    if (!value) return tl::unexpected(std::move(value.error()));
    target = T(*std::move(value));
    return {};
  };
  return {std::move(key), presence, std::move(store), std::move(example)};
}

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_FIELDS_H_
