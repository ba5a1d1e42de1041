#include "gypsumfall/settings/internal/values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "gypsumfall/settings/internal/diagnostic.h"

namespace gypsumfall {
namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxKeyLength = 256;
constexpr std::int64_t kMaxPort = 65535;

// A unit and its size in base units. Tables of units list the largest first.
struct Unit {
  std::string_view name;
  std::int64_t factor;
};

constexpr std::array kDurationUnits = {Unit{"h", 3'600'000'000},
                                       Unit{"min", 60'000'000},
                                       Unit{"s", 1'000'000}, Unit{"ms", 1'000}};
constexpr std::array kByteUnits = {Unit{"GiB", 1 << 30}, Unit{"MiB", 1 << 20},
                                   Unit{"KiB", 1 << 10}, Unit{"B", 1}};
constexpr std::array kCpuUnits = {Unit{"cores", 1000}, Unit{"core", 1000},
                                  Unit{"m", 1}};
constexpr std::array kMemoryUnits = {Unit{"TiB", 1 << 20}, Unit{"GiB", 1 << 10},
                                     Unit{"MiB", 1}};

std::string FormatQuantity(std::int64_t value, std::span<const Unit> units) {
  for (const Unit& unit : units) {
    if (value % unit.factor != 0 ||
        (value == 0 && unit.name != units.back().name)) {
      continue;
    }
    return std::to_string(value / unit.factor) + std::string(unit.name);
  }
  const Unit& smallest = units.back();
  return std::to_string(value / smallest.factor) + std::string(smallest.name);
}

tl::unexpected<std::string> OutOfRange(std::string_view text,
                                       const std::string& min,
                                       const std::string& max) {
  return tl::unexpected(Quote(text) + " is out of range; write " + min +
                        " to " + max);
}

std::string UnitNames(std::span<const Unit> units) {
  std::vector<std::string> names;
  for (const Unit& unit : units) names.emplace_back(unit.name);
  return JoinNames(names);
}

// Parses a number with a unit, such as "30 s", and returns it in base units.
ParsedValue<std::int64_t> ParseQuantity(std::string_view text,
                                        std::span<const Unit> units,
                                        Range<std::int64_t> range) {
  const std::string example =
      "; write for example " + FormatQuantity(range.max, units);
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error == std::errc::invalid_argument) {
    return tl::unexpected(Quote(text) +
                          " is not a whole number with a unit; units are " +
                          UnitNames(units) + example);
  }
  std::string_view name(rest, static_cast<std::size_t>(end - rest));
  name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
  const auto unit = std::find_if(units.begin(), units.end(),
                                 [&](const Unit& u) { return u.name == name; });
  if (unit == units.end()) {
    const std::string problem =
        name.empty() ? " has no unit" : " has the unknown unit " + Quote(name);
    return tl::unexpected(Quote(text) + problem + "; units are " +
                          UnitNames(units) + example);
  }
  // The division keeps the scaled number from overflowing.
  const bool valid = error == std::errc() && number >= 0 &&
                     number <= range.max / unit->factor &&
                     number * unit->factor >= range.min;
  if (!valid) {
    return OutOfRange(text, FormatQuantity(range.min, units),
                      FormatQuantity(range.max, units));
  }
  return number * unit->factor;
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

// Accepts no address of all zeros: it means "every address", which other hosts
// cannot connect to.
bool IsUsableIp(const std::string& ip, int family) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(family, ip.c_str(), bytes.data()) != 1) return false;
  return std::any_of(bytes.begin(), bytes.end(),
                     [](unsigned char byte) { return byte != 0; });
}

}  // namespace

std::string Endpoint::ToString() const {
  const bool v6 = ip.find(':') != std::string::npos;
  return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

ParsedValue<std::int64_t> ParseInteger(std::string_view text,
                                       Range<std::int64_t> range) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error == std::errc::invalid_argument || rest != end) {
    return tl::unexpected(
        Quote(text) + " is not a whole number without a unit; write " +
        std::to_string(range.min) + " to " + std::to_string(range.max));
  }
  if (error != std::errc() || number < range.min || number > range.max) {
    return OutOfRange(text, std::to_string(range.min),
                      std::to_string(range.max));
  }
  return number;
}

ParsedValue<double> ParseFraction(std::string_view text, Range<double> range) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  // The comparison is false for "nan", which from_chars accepts.
  const bool valid = error == std::errc() && rest == end &&
                     number >= range.min && number <= range.max;
  if (valid) return number;
  const auto bound_text = [](double bound) {
    std::array<char, 32> digits{};
    const auto result =
        std::to_chars(digits.data(), digits.data() + digits.size(), bound);
    return std::string(digits.data(), result.ptr);
  };
  return tl::unexpected(Quote(text) + " is not a number from " +
                        bound_text(range.min) + " to " + bound_text(range.max) +
                        "; write for example 0.5");
}

ParsedValue<Duration> ParseDuration(std::string_view text,
                                    Range<Duration> range) {
  return ParseQuantity(text, kDurationUnits,
                       {range.min.count(), range.max.count()})
      .map([](std::int64_t count) { return Duration(count); });
}

ParsedValue<ByteCount> ParseByteCount(std::string_view text,
                                      Range<ByteCount> range) {
  return ParseQuantity(text, kByteUnits, {range.min.value(), range.max.value()})
      .map([](std::int64_t count) { return ByteCount(count); });
}

ParsedValue<MilliCores> ParseMilliCores(std::string_view text,
                                        Range<MilliCores> range) {
  return ParseQuantity(text, kCpuUnits, {range.min.value(), range.max.value()})
      .map([](std::int64_t count) { return MilliCores(count); });
}

ParsedValue<MebiBytes> ParseMebiBytes(std::string_view text,
                                      Range<MebiBytes> range) {
  return ParseQuantity(text, kMemoryUnits,
                       {range.min.value(), range.max.value()})
      .map([](std::int64_t count) { return MebiBytes(count); });
}

ParsedValue<bool> ParseBool(std::string_view text) {
  if (text == "true" || text == "yes") return true;
  if (text == "false" || text == "no") return false;
  return tl::unexpected(Quote(text) +
                        " is neither true nor false; write true or false");
}

ParsedValue<Endpoint> ParseEndpoint(std::string_view text) {
  const std::string problem =
      Quote(text) +
      " is not an IP address and a port that other hosts can reach; write for "
      "example 10.0.0.1:7000 or [fd00::1]:7000";
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return tl::unexpected(problem);
  const auto port = ParseInteger(text.substr(colon + 1), {1, kMaxPort});
  if (!port) return tl::unexpected(problem);
  std::string ip(text.substr(0, colon));
  const bool v6 = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (v6) ip = ip.substr(1, ip.size() - 2);
  // inet_pton stops at a NUL character, so it would accept such a text with a
  // different value.
  if (ip.find('\0') != std::string::npos) return tl::unexpected(problem);
  if (!IsUsableIp(ip, v6 ? AF_INET6 : AF_INET)) return tl::unexpected(problem);
  return Endpoint{ip, static_cast<std::uint16_t>(*port)};
}

ParsedValue<std::string> ParseId(std::string_view text) {
  const bool valid = !text.empty() && text.size() <= kMaxIdLength &&
                     std::all_of(text.begin(), text.end(), IsIdCharacter);
  if (valid) return std::string(text);
  return tl::unexpected(Quote(text) + " is not a valid name; write 1 to " +
                        std::to_string(kMaxIdLength) +
                        " characters of A-Z, a-z, 0-9, \".\", \"_\" and \"-\"");
}

ParsedValue<Secret> ParseSecret(std::string_view text) {
  const bool visible = std::all_of(text.begin(), text.end(),
                                   [](char c) { return c > ' ' && c < 127; });
  if (text.size() >= kMinKeyLength && text.size() <= kMaxKeyLength && visible) {
    return Secret(std::string(text));
  }
  return tl::unexpected("the key has " + std::to_string(text.size()) +
                        " characters; write " + std::to_string(kMinKeyLength) +
                        " to " + std::to_string(kMaxKeyLength) +
                        " visible ASCII characters without blanks");
}

std::string FormatDuration(Duration duration) {
  return FormatQuantity(duration.count(), kDurationUnits);
}

std::string FormatByteCount(ByteCount size) {
  return FormatQuantity(size.value(), kByteUnits);
}

std::string FormatMilliCores(MilliCores cpu) {
  return FormatQuantity(cpu.value(), kCpuUnits);
}

std::string FormatMebiBytes(MebiBytes memory) {
  return FormatQuantity(memory.value(), kMemoryUnits);
}

}  // namespace gypsumfall
