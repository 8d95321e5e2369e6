#include "chervilspar/base/random.h"

#include "chervilspar/base/assert.h"
#include "chervilspar/base/hash.h"

namespace chervilspar {

namespace {
constexpr std::uint64_t kGoldenGamma = 0x9E3779B97F4A7C15ULL;
constexpr int kDoubleMantissaBits = 53;
}  // namespace

std::uint64_t Random::Below(std::uint64_t bound) {
  CHERVILSPAR_ASSERT(bound > 0);
  return this->Next() % bound;
}

double Random::Unit() {
  const std::uint64_t mantissa = this->Next() >> (64 - kDoubleMantissaBits);
  return static_cast<double>(mantissa) / static_cast<double>(1ULL << kDoubleMantissaBits);
}

std::uint64_t SeededRandom::Next() {
  this->state += kGoldenGamma;
  return MixBits(this->state);
}

}  // namespace chervilspar
