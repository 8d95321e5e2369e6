#include "chervilspar/idempotency/uuid_v7.h"

#include <cctype>
#include <cstdint>
#include <string>

namespace chervilspar::idempotency {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kTimeDigits = 12;
constexpr std::size_t kVersionAt = 14;
constexpr std::size_t kVariantAt = 19;
constexpr std::uint64_t kVariantBits = 0x8;
constexpr int kBitsPerDigit = 4;
constexpr int kDigitsPerWord = 16;

bool IsDashAt(std::size_t at) { return at == 8 || at == 13 || at == 18 || at == 23; }

Reason Malformed(const std::string& message) {
  return {ErrorCode::kInvalidArgument, "Idempotency-Key", message};
}

std::uint64_t DigitValue(char digit) {
  return static_cast<std::uint64_t>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

std::string Hex(std::uint64_t word, int digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (int at = digits - 1; at >= 0; --at) {
    text.push_back(kDigits[(word >> (at * kBitsPerDigit)) & 0xF]);
  }
  return text;
}

}  // namespace

Result<UuidV7> ParseUuidV7(std::string_view text) {
  if (text.size() != kTextLength) {
    return Malformed("not a UUID: 36 characters are expected");
  }
  UuidV7 uuid;
  std::uint64_t milliseconds = 0;
  std::size_t digits = 0;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const auto letter = static_cast<unsigned char>(text[at]);
    if (IsDashAt(at) ? letter != '-' : std::isxdigit(letter) == 0) {
      return Malformed("not a UUID: unexpected character at " + std::to_string(at));
    }
    const char lower = static_cast<char>(std::tolower(letter));
    uuid.id.text.push_back(lower);
    if (!IsDashAt(at) && digits++ < kTimeDigits) {
      milliseconds = (milliseconds << kBitsPerDigit) | DigitValue(lower);
    }
  }
  if (uuid.id.text[kVersionAt] != '7' || DigitValue(uuid.id.text[kVariantAt]) >> 2 != 2) {
    return Malformed("not a UUID of version 7, whose time tells how old a request is");
  }
  uuid.minted = WallTime(std::chrono::milliseconds(milliseconds));
  return uuid;
}

UuidV7 MakeUuidV7(WallTime now, Random& random) {
  const auto since_epoch = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
  const std::string time = Hex(static_cast<std::uint64_t>(since_epoch.count()), kTimeDigits);
  const std::string high = Hex(random.Next(), kDigitsPerWord);
  const std::string low = Hex(random.Next(), kDigitsPerWord);
  const std::string variant = Hex(kVariantBits | (random.Next() & 0x3), 1);
  UuidV7 uuid;
  uuid.id.text = time.substr(0, 8) + "-" + time.substr(8) + "-7" + high.substr(0, 3) + "-" +
                 variant + high.substr(3, 3) + "-" + low.substr(0, 12);
  uuid.minted = WallTime(since_epoch);
  return uuid;
}

}  // namespace chervilspar::idempotency
