#include "gypsumfall/settings/internal/overrides.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/settings/internal/fields.h"

namespace gypsumfall {
namespace {

constexpr std::string_view kSecretSection = "keys";

// Returns the section with the same header; adds it if the document has none.
IniSection& FindOrAddSection(IniDocument& document, const IniSection& wanted) {
  const auto found =
      std::find_if(document.sections.begin(), document.sections.end(),
                   [&](const IniSection& section) {
                     return section.Header() == wanted.Header();
                   });
  if (found != document.sections.end()) return *found;
  document.sections.push_back(wanted);
  return document.sections.back();
}

void ApplyOverride(std::string_view pair, IniDocument& document) {
  const auto report = [&](std::string message) {
    AddDiagnostic(document.diagnostics, kCommandLine, 0, std::move(message));
  };
  const std::size_t equals = std::min(pair.find('='), pair.size());
  const std::string_view path = pair.substr(0, equals);
  const std::size_t first = path.find('.');
  // A label may contain dots, so the key follows the last one.
  const std::size_t last = path.rfind('.');
  const bool well_formed = equals < pair.size() && first > 0 &&
                           last != std::string_view::npos &&
                           last + 1 < path.size();
  if (!well_formed) {
    report(
        "a setting on the command line must have the form section.key=value; "
        "write for example tasks.partitions=16");
    return;
  }
  IniSection wanted{std::string(path.substr(0, first)), {}, 0, {}};
  if (last > first) wanted.label = path.substr(first + 1, last - first - 1);
  if (wanted.name == kSecretSection) {
    report(
        "keys can not be set on the command line, where other users can read "
        "them; write them into the file below [keys]");
    return;
  }
  IniEntry entry{std::string(path.substr(last + 1)),
                 std::string(pair.substr(equals + 1)), 0};
  std::vector<IniEntry>& entries = FindOrAddSection(document, wanted).entries;
  const auto existing =
      std::find_if(entries.begin(), entries.end(),
                   [&](const IniEntry& e) { return e.key == entry.key; });
  if (existing == entries.end()) {
    entries.push_back(std::move(entry));
  } else {
    *existing = std::move(entry);
  }
}

}  // namespace

void ApplyOverrides(const std::vector<std::string>& overrides,
                    IniDocument& document) {
  for (const std::string& pair : overrides) ApplyOverride(pair, document);
}

}  // namespace gypsumfall
