#ifndef GYPSUMFALL_BASE_INTERNAL_HASH_H_
#define GYPSUMFALL_BASE_INTERNAL_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumfall {

/// @param text the bytes to hash.
/// @return a 64-bit hash that is the same on every host and in every release.
std::uint64_t StableHash(std::string_view text);

/// @param secret a caller's key.
/// @return its SHA-256 digest as 64 lower-case hexadecimal digits.
std::string KeyDigest(std::string_view secret);

/// Compares in time that depends on the lengths only.
/// @return whether both texts are equal.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_HASH_H_
