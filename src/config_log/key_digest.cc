#include "chervilspar/config_log/key_digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace chervilspar::config_log {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kKeyPrefix = "cs_";
constexpr std::size_t kDigestHexLength = std::size_t{SHA256_DIGEST_LENGTH} * 2;

template <std::size_t Size>
std::string ToHex(const std::array<unsigned char, Size>& bytes) {
  std::string hex;
  hex.reserve(2 * Size);
  for (const unsigned char byte : bytes) {
    hex += kHexDigits[byte >> 4U];
    hex += kHexDigits[byte & 0xFU];
  }
  return hex;
}

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  const std::string_view hashed = key.substr(0, kMaxKeyLength);
  SHA256(reinterpret_cast<const unsigned char*>(hashed.data()), hashed.size(), digest.data());
  return KeyDigest{ToHex(digest)};
}

Result<KeyDigest> ParseKeyDigest(std::string_view hex) {
  const bool is_digest =
      hex.size() == kDigestHexLength && hex.find_first_not_of(kHexDigits) == std::string_view::npos;
  if (!is_digest) {
    return Reason{ErrorCode::kInvalidArgument, "digest",
                  "a key's digest is 64 lower-case hex digits, " + std::to_string(hex.size()) +
                      " characters were given"};
  }
  return KeyDigest{std::string(hex)};
}

bool EqualInConstantTime(const KeyDigest& left, const KeyDigest& right) {
  return left.hex.size() == right.hex.size() &&
         CRYPTO_memcmp(left.hex.data(), right.hex.data(), left.hex.size()) == 0;
}

Result<std::string> GenerateKey() {
  std::array<unsigned char, kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Reason{ErrorCode::kInternal, "", "the operating system gave no randomness for a key"};
  }
  std::string key = std::string(kKeyPrefix) + ToHex(bytes);
  OPENSSL_cleanse(bytes.data(), bytes.size());
  return key;
}

}  // namespace chervilspar::config_log
