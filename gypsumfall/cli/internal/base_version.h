#ifndef GYPSUMFALL_CLI_INTERNAL_BASE_VERSION_H_
#define GYPSUMFALL_CLI_INTERNAL_BASE_VERSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumfall {

/// A contract text without its base version line, and the version that the line
/// named.
struct VersionedText {
  std::string text;
  std::optional<std::int64_t> base_version;
};

/// Formats the base version of a contract file as a comment line. The version
/// is kept in the file for optimistic concurrency control: an operator who
/// edits the file and puts it back does not overwrite a concurrent change of
/// another operator.
/// @return the comment line, including the newline.
std::string BaseVersionLine(std::int64_t version);

/// Removes the base version line from a text and parses it.
VersionedText SplitBaseVersion(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_BASE_VERSION_H_
