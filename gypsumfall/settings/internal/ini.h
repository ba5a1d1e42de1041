#ifndef GYPSUMFALL_SETTINGS_INTERNAL_INI_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/settings/internal/diagnostic.h"

namespace gypsumfall {

/// One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;
  /// 0 if the entry comes from the command line.
  int line = 0;
};

/// One "[name]" or "[name label]" section.
struct IniSection {
  std::string name;
  /// Second word of the header, such as NAME in "[peer NAME]"; may be empty.
  std::string label;
  int line = 0;
  std::vector<IniEntry> entries;

  /// @return "[name]" or "[name label]".
  std::string Header() const;
  /// @return the line of a key, or that of the header if the key is absent.
  int LineOf(std::string_view key) const;
  /// @return whether the section has an entry with this key.
  bool Has(std::string_view key) const;
};

/// An INI document with line numbers, and the diagnostics of its syntax.
///
/// No library is used because the available ones lose information that
/// operators need: the config parser of Boost.Program_options has no line
/// numbers and stops at the first error, and libinih merges repeated sections
/// and reports only the first malformed line.
struct IniDocument {
  std::string file;
  std::vector<IniSection> sections;
  std::vector<Diagnostic> diagnostics;
};

/// Parses sections, keys and values. A line that starts with '#' or ';' is a
/// comment; elsewhere these characters are part of the value.
/// @param text the INI text.
/// @param file file name that diagnostics show.
/// @return the document, with a diagnostic for each malformed line.
IniDocument ParseIni(std::string_view text, std::string_view file);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_INI_H_
