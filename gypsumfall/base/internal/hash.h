#ifndef GYPSUMFALL_BASE_INTERNAL_HASH_H_
#define GYPSUMFALL_BASE_INTERNAL_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumfall {

/// @param text the bytes to hash.
/// @return a 64-bit hash that is equal on all hosts and in all releases.
std::uint64_t StableHash(std::string_view text);

/// @param secret a caller's key.
/// @return its SHA-256 digest as 64 lower-case hexadecimal digits.
std::string KeyDigest(std::string_view secret);

/// Compares two texts in time that depends on their lengths only, so that the
/// duration does not reveal how much of a key matches.
/// @return whether the texts are equal.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_HASH_H_
