#ifndef GYPSUMFALL_SETTINGS_INTERNAL_FAULT_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_FAULT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace gypsumfall {

/// One fault of a settings file or a contract.
struct Fault {
  std::string file;
  /// Line from 1; 0 if the fault belongs to no line.
  int line = 0;
  /// What is wrong, what is allowed and what to write instead.
  std::string message;

  friend bool operator==(const Fault&, const Fault&) = default;

  /// @return "file:line: message", without the line if there is none.
  std::string ToString() const;
};

/// A parsed value, or every fault of its text in line order.
template <typename T>
using Parsed = tl::expected<T, std::vector<Fault>>;

/// Most faults that are kept of one text, which bounds the memory that a text
/// without any valid line takes.
inline constexpr std::size_t kMaxFaults = 1000;

/// Appends a fault; beyond `kMaxFaults` it notes only that there are more.
void AddFault(std::vector<Fault>& faults, std::string file, int line,
              std::string message);

/// Sorts faults by line; those without a line come last.
void SortFaults(std::vector<Fault>& faults);

/// @return the faults as lines of text.
std::string FaultsToString(const std::vector<Fault>& faults);

/// @param name a name that is not known.
/// @param allowed the known names.
/// @return the known name with the smallest edit distance, or an empty text if
///     none is similar.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& allowed);

/// @return text in double quotes, shortened, with control characters replaced.
std::string Quote(std::string_view text);

/// @return the names as "a, b and c".
std::string JoinNames(const std::vector<std::string>& names);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_FAULT_H_
