#pragma once

#include <cstdint>
#include <string_view>

namespace chervilspar {

/// A hash that is the same in every process and version (FNV-1a with a finalizer), for decisions
/// that all entries must make alike, such as rendezvous hashing.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// The SplitMix64 finalizer: spreads every input bit over the whole word.
std::uint64_t MixBits(std::uint64_t word);

}  // namespace chervilspar
