#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

std::uint64_t StableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::string KeyDigest(std::string_view secret) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  std::string bytes(secret);
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace gypsumfall
