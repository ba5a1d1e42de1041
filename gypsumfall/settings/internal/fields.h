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

/// How often a key may be given in its section: at most once, once, or at
/// least once.
enum class Presence { kOptional, kRequired, kRepeated };

/// One key of a section, with the function that parses and stores its value.
struct Field {
  std::string key;
  Presence presence = Presence::kOptional;
  std::function<ParsedValue<void>(std::string_view)> store;
  /// Valid value that a message about a missing key shows.
  std::string example;
};

/// File name of faults in values that were given on the command line.
inline constexpr const char* kCommandLine = "command line";

/// Reads the entries of a section by a list of fields; reports unknown,
/// duplicate, missing and invalid keys.
/// @param section the section as read.
/// @param fields the keys that it may have.
/// @param file name that faults refer to.
/// @param faults receives the faults.
void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                const std::string& file, std::vector<Fault>& faults);

/// One section that a text may have.
struct SectionRule {
  std::string name;
  /// Whether the header has a label, as in "[peer NAME]". Such a section may
  /// be given any number of times with different labels; others once.
  bool labelled = false;
  /// Reads a section. It is called for an absent section too, with line 0 and
  /// no entries, unless the section is labelled.
  std::function<void(const IniSection&)> read;
};

/// Calls the rule of each section; reports unknown and duplicate sections and
/// wrong labels.
/// @param document the document as read.
/// @param rules the sections that it may have.
/// @param faults receives the faults.
void ReadSections(const IniDocument& document,
                  const std::vector<SectionRule>& rules,
                  std::vector<Fault>& faults);

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
    target = static_cast<T>(*std::move(value));
    return {};
  };
  return {std::move(key), presence, std::move(store), std::move(example)};
}

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_FIELDS_H_
