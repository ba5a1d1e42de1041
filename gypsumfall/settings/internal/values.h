#ifndef GYPSUMFALL_SETTINGS_INTERNAL_VALUES_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_VALUES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Minimum length of a secret; shorter ones can be guessed.
inline constexpr std::size_t kMinKeyLength = 16;

/// A size in bytes.
using ByteCount = StrongNumber<struct ByteCountTag, std::int64_t>;

/// An IP address and a TCP port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;

  /// @return "ip:port", with an IPv6 address in brackets.
  std::string ToString() const;
};

/// A value, or a message that says what is wrong and what to write instead.
template <typename T>
using ParsedValue = tl::expected<T, std::string>;

/// Inclusive bounds of a value.
template <typename T>
struct Range {
  T min;
  T max;
};

/// @param text a whole number without a unit.
ParsedValue<std::int64_t> ParseInteger(std::string_view text,
                                       Range<std::int64_t> range);
/// @param text a decimal fraction such as "0.25".
ParsedValue<double> ParseFraction(std::string_view text, Range<double> range);
/// @param text a whole number with a unit: ms, s, min or h.
ParsedValue<Duration> ParseDuration(std::string_view text,
                                    Range<Duration> range);
/// @param text a whole number with a unit: B, KiB, MiB or GiB.
ParsedValue<ByteCount> ParseByteCount(std::string_view text,
                                      Range<ByteCount> range);
/// @param text a whole number with a unit: cores, core, or m for
///     thousandths of a core.
ParsedValue<MilliCores> ParseMilliCores(std::string_view text,
                                        Range<MilliCores> range);
/// @param text a whole number with a unit: MiB, GiB or TiB.
ParsedValue<MebiBytes> ParseMebiBytes(std::string_view text,
                                      Range<MebiBytes> range);
/// @param text "true" or "false" ("yes" and "no" are accepted too).
ParsedValue<bool> ParseBool(std::string_view text);
/// @param text "ip:port", for example "10.0.0.1:7000" or "[fd00::1]:7000".
ParsedValue<Endpoint> ParseEndpoint(std::string_view text);
/// @param text an id: 1 to 128 characters of A-Z a-z 0-9 . _ -
ParsedValue<std::string> ParseId(std::string_view text);

/// @param text a secret of `kMinKeyLength` or more visible characters. The
///     error message does not show it.
ParsedValue<Secret> ParseSecret(std::string_view text);

/// @return text such as "30s" that `ParseDuration` reads back; rounded down to
///     milliseconds.
std::string FormatDuration(Duration duration);
/// @return text such as "8KiB" that `ParseByteCount` reads back.
std::string FormatByteCount(ByteCount size);
/// @return text such as "1500m" or "2cores" that `ParseMilliCores` reads back.
std::string FormatMilliCores(MilliCores cpu);
/// @return text such as "512MiB" that `ParseMebiBytes` reads back.
std::string FormatMebiBytes(MebiBytes memory);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_VALUES_H_
