#pragma once

#include <string>
#include <string_view>

#include "chervilspar/base/result.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::config_log {

/// Length of a key's random part in bytes: as strong as the digest that stands for it.
constexpr std::size_t kKeyBytes = 32;

/// Longest key text that is hashed; longer ones are no key of ours.
constexpr std::size_t kMaxKeyLength = 256;

/// SHA-256 of the key's text.
KeyDigest DigestOf(std::string_view key);

/// Reads 64 lower-case hex digits.
Result<KeyDigest> ParseKeyDigest(std::string_view hex);

/// Compares without telling by its duration how many characters agree.
bool EqualInConstantTime(const KeyDigest& left, const KeyDigest& right);

/// Makes a key from the operating system's randomness: "cs_" and 64 hex digits. The text is shown
/// once, to the operator, and kept nowhere.
Result<std::string> GenerateKey();

}  // namespace chervilspar::config_log
