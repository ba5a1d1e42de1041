#include "gypsumfall/cli/internal/base_version.h"

#include <algorithm>
#include <limits>
#include <string>
#include <string_view>

#include "gypsumfall/cli/internal/session.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {
namespace {

constexpr std::string_view kPrefix = "# base_version = ";

}  // namespace

std::string BaseVersionLine(std::int64_t version) {
  return std::string(kPrefix) + std::to_string(version) + "\n";
}

VersionedText SplitBaseVersion(std::string_view text) {
  VersionedText versioned;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size() - 1) + 1;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end);
    if (!line.starts_with(kPrefix)) {
      versioned.text += line;
      continue;
    }
    const auto version =
        ParseInteger(FirstLine(line.substr(kPrefix.size())),
                     {0, std::numeric_limits<std::int64_t>::max()});
    if (version) versioned.base_version = *version;
  }
  return versioned;
}

}  // namespace gypsumfall
