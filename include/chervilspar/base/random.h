#pragma once

#include <cstdint>

namespace chervilspar {

/// Source of randomness, passed in wherever a decision needs some, so that the same seed gives the
/// same run.
class Random {
 public:
  virtual ~Random() = default;
  virtual std::uint64_t Next() = 0;

  /// Uniform in [0, bound); `bound` must be above zero.
  std::uint64_t Below(std::uint64_t bound);
  /// Uniform in [0, 1).
  double Unit();
};

/// SplitMix64 (Steele, Lea, Flood 2014): small state, good enough for jitter and simulation, not
/// for secrets.
class SeededRandom final : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : state(seed) {}
  std::uint64_t Next() override;

 private:
  std::uint64_t state;
};

}  // namespace chervilspar
