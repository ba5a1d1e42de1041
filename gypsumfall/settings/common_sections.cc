#include "gypsumfall/settings/internal/common_sections.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumfall {
namespace {

using std::chrono::minutes;
using enum Presence;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

constexpr Range<ByteCount> kBodyRange{ByteCount(1 << 10), ByteCount(64 << 20)};
constexpr Range<ByteCount> kHeaderRange{ByteCount(1 << 10),
                                        ByteCount(64 << 10)};
constexpr Range<std::int64_t> kConnectionRange{8, 100'000};
constexpr Range<Duration> kHeaderTimeoutRange{milliseconds(100), minutes(1)};
constexpr Range<std::int64_t> kUrgentSlotRange{0, 8};
constexpr Range<std::int64_t> kLinesPerSecondRange{1, 100'000};

ParsedValue<LogLevel> ParseLevel(std::string_view text) {
  const auto name = std::find(kLevelNames.begin(), kLevelNames.end(), text);
  if (name != kLevelNames.end()) {
    return static_cast<LogLevel>(name - kLevelNames.begin());
  }
  return tl::unexpected(Quote(text) +
                        " is not a level; write debug, info, warning or error");
}

}  // namespace

std::vector<Field> Fields(LimitSettings& limits) {
  return {MakeField("max_body", kOptional, limits.max_body,
                    Within(ParseByteCount, kBodyRange)),
          MakeField("max_header", kOptional, limits.max_header,
                    Within(ParseByteCount, kHeaderRange)),
          MakeField("max_connections", kOptional, limits.max_connections,
                    Within(ParseInteger, kConnectionRange)),
          MakeField("header_timeout", kOptional, limits.header_timeout,
                    Within(ParseDuration, kHeaderTimeoutRange)),
          MakeField("urgent_slots", kOptional, limits.urgent_slots,
                    Within(ParseInteger, kUrgentSlotRange))};
}

std::vector<Field> Fields(LoggingSettings& logging) {
  return {
      MakeField("level", kOptional, logging.level, ParseLevel),
      MakeField("max_lines_per_second", kOptional, logging.max_lines_per_second,
                Within(ParseInteger, kLinesPerSecondRange))};
}

}  // namespace gypsumfall
