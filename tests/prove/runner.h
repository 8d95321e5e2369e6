#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "tests/prove/coverage.h"
#include "tests/prove/fault.h"
#include "tests/prove/guards.h"
#include "tests/prove/world.h"

namespace chervilspar::prove {

struct ProveOptions {
  std::uint64_t seed = 1;
  std::uint64_t runs = 1000;
  /// Most faults in one run.
  std::uint32_t steps = 12;
};

/// What some runs came to.
struct Tally {
  std::uint64_t passed = 0;
  std::uint64_t failed = 0;
  std::uint64_t faults = 0;
  std::uint64_t events = 0;
};

/// Runs cases with all guards; prints each failure with its seed, its shrunk case and time line.
Tally Prove(const ProveOptions& options, const GuardSet& guards, Coverage& coverage);

/// A seed whose run fails without a guard: `known`, or else the first of the options' seeds; none
/// when none of them does.
std::optional<std::uint64_t> FailingSeed(const ProveOptions& options, std::uint64_t known,
                                         const GuardSet& guards);

}  // namespace chervilspar::prove
