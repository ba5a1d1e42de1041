#ifndef GYPSUMFALL_SETTINGS_INTERNAL_DIAGNOSTIC_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_DIAGNOSTIC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace gypsumfall {

/// One error in a settings file or a contract.
struct Diagnostic {
  std::string file;
  /// Line number, counted from 1; 0 if the error belongs to no line.
  int line = 0;
  /// States what is wrong, what is allowed and what to write instead.
  std::string message;

  friend bool operator==(const Diagnostic&, const Diagnostic&) = default;

  /// @return "file:line: message", or "file: message" if there is no line.
  std::string ToString() const;
};

/// A parsed value, or all diagnostics of its text in line order.
template <typename T>
using Parsed = tl::expected<T, std::vector<Diagnostic>>;

/// Maximum diagnostics kept for one text; bounds the memory that a text without
/// any valid line needs.
inline constexpr std::size_t kMaxDiagnostics = 1000;

/// Appends a diagnostic. The one after `kMaxDiagnostics` states only that there
/// are more; further ones are dropped.
void AddDiagnostic(std::vector<Diagnostic>& diagnostics, std::string file,
                   int line, std::string message);

/// Sorts diagnostics by line; those without a line come last.
void SortDiagnostics(std::vector<Diagnostic>& diagnostics);

/// @return the diagnostics as text, one per line.
std::string DiagnosticsToString(const std::vector<Diagnostic>& diagnostics);

/// Finds the name that was probably meant.
/// @param name an unknown name.
/// @param allowed the known names.
/// @return the known name with the smallest edit distance, or an empty string
/// if
///     none is similar.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& allowed);

/// @return the text in double quotes, truncated, with control characters
///     replaced by "?".
std::string Quote(std::string_view text);

/// @return the names as "a, b and c".
std::string JoinNames(const std::vector<std::string>& names);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_DIAGNOSTIC_H_
