#pragma once

#include <compare>
#include <cstdint>

#include "chervilspar/base/time.h"

namespace chervilspar {

/// Stamp of a hybrid logical clock: close to the wall clock, and later than everything that the
/// stamping process had heard of. Orders events over all processes.
struct HybridTime {
  WallTime wall;
  /// Orders stamps with the same wall part.
  std::uint32_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

}  // namespace chervilspar
