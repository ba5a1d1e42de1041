#ifndef GYPSUMFALL_SETTINGS_INTERNAL_FIELDS_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_FIELDS_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/settings/internal/diagnostic.h"
#include "gypsumfall/settings/internal/ini.h"
#include "gypsumfall/settings/internal/values.h"

namespace gypsumfall {

/// How often a key occurs in its section: at most once, exactly once, or at
/// least once.
enum class Presence { kOptional, kRequired, kRepeated };

/// One key of a section, with the function that parses and stores its value.
struct Field {
  std::string key;
  Presence presence = Presence::kOptional;
  std::function<ParsedValue<void>(std::string_view)> store;
  /// Valid value, shown in the diagnostic about a missing key.
  std::string example;
};

/// File name in diagnostics about values given on the command line.
inline constexpr const char* kCommandLine = "command line";

/// Parses and stores the entries of a section; reports unknown, duplicate,
/// missing and invalid keys.
/// @param section the section of the document.
/// @param fields the allowed keys.
/// @param file file name that diagnostics show.
/// @param diagnostics receives the diagnostics.
void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                const std::string& file, std::vector<Diagnostic>& diagnostics);

/// One section that a document may have.
struct SectionRule {
  std::string name;
  /// Whether the header has a label, as in "[peer NAME]". Such a section may
  /// occur any number of times with different labels, any other section once.
  bool labelled = false;
  /// Reads a section. Unless the section is labelled, it is also called if the
  /// section is absent, with line 0 and no entries.
  std::function<void(const IniSection&)> read;
};

/// Reads each section by its rule; reports unknown and duplicate sections and
/// invalid labels.
/// @param document the parsed INI document.
/// @param rules the allowed sections.
/// @param diagnostics receives the diagnostics.
void ReadSections(const IniDocument& document,
                  const std::vector<SectionRule>& rules,
                  std::vector<Diagnostic>& diagnostics);

/// Creates a field that stores the result of a parser.
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
