#include <algorithm>
#include <cctype>
#include <numeric>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "gypsumfall/settings/settings.h"

namespace gypsumfall {
namespace {

// Longer names are never compared, which bounds the work on malicious input.
constexpr std::size_t kMaxComparedLength = 64;
constexpr std::size_t kMaxQuotedLength = 60;

char LowerCase(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

// Returns the Levenshtein distance, ignoring case.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const bool same = LowerCase(a[i]) == LowerCase(b[j]);
      const std::size_t replaced = diagonal + (same ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string Diagnostic::ToString() const {
  if (line == 0) return file + ": " + message;
  return file + ":" + std::to_string(line) + ": " + message;
}

void AddDiagnostic(std::vector<Diagnostic>& diagnostics, std::string file,
                   int line, std::string message) {
  if (diagnostics.size() > kMaxDiagnostics) return;
  if (diagnostics.size() == kMaxDiagnostics) {
    message = "there are more faults; correct these first";
    line = 0;
  }
  diagnostics.push_back({std::move(file), line, std::move(message)});
}

void SortDiagnostics(std::vector<Diagnostic>& diagnostics) {
  std::stable_sort(diagnostics.begin(), diagnostics.end(),
                   [](const Diagnostic& a, const Diagnostic& b) {
                     return std::make_tuple(a.line == 0, a.line) <
                            std::make_tuple(b.line == 0, b.line);
                   });
}

std::string DiagnosticsToString(const std::vector<Diagnostic>& diagnostics) {
  std::string text;
  for (const Diagnostic& diagnostic : diagnostics)
    text += diagnostic.ToString() + "\n";
  return text;
}

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& allowed) {
  if (name.size() > kMaxComparedLength) return {};
  std::string nearest;
  // A name that differs in more than a third of its letters is unlikely to be a
  // misspelling.
  std::size_t best_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : allowed) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance >= best_distance || distance >= candidate.size()) continue;
    best_distance = distance;
    nearest = candidate;
  }
  return nearest;
}

std::string Quote(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxQuotedLength)) {
    const auto byte = static_cast<unsigned char>(c);
    quoted.push_back(byte < ' ' || byte == 127 ? '?' : c);
  }
  return quoted + (text.size() > kMaxQuotedLength ? "...\"" : "\"");
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (i > 0) text += i + 1 == names.size() ? " and " : ", ";
    text += names[i];
  }
  return text;
}

}  // namespace gypsumfall
