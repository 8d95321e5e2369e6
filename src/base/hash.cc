#include "chervilspar/base/hash.h"

namespace chervilspar {

namespace {
constexpr std::uint64_t kFnvOffset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;
}  // namespace

std::uint64_t MixBits(std::uint64_t word) {
  word = (word ^ (word >> 30)) * 0xBF58476D1CE4E5B9ULL;
  word = (word ^ (word >> 27)) * 0x94D049BB133111EBULL;
  return word ^ (word >> 31);
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = kFnvOffset ^ MixBits(seed);
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return MixBits(hash);
}

}  // namespace chervilspar
