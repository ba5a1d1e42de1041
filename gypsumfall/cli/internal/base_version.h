#ifndef GYPSUMFALL_CLI_INTERNAL_BASE_VERSION_H_
#define GYPSUMFALL_CLI_INTERNAL_BASE_VERSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumfall {

/// A contract text without its base version line.
struct BasedText {
  std::string text;
  std::optional<std::int64_t> base_version;
};

/// The version that a file was made from travels in the file as a comment, so
/// that an operator who edits and puts it back does not overwrite a change that
/// another operator made meanwhile.
/// @return the comment line, with its line end.
std::string BaseVersionLine(std::int64_t version);

/// Splits the comment line off a text.
BasedText SplitBaseVersion(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_BASE_VERSION_H_
