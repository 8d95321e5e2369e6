#pragma once

#include <compare>
#include <cstdint>

#include "chervilspar/base/time.h"

namespace chervilspar::membership {

/// Identifies one process start of an entry. A restarted or replaced entry keeps its `EntryId` and
/// gets a new incarnation, which distinguishes its messages from those of its predecessor.
///
/// The wall time orders the incarnations of one entry as far as the clocks of its VMs agree; the
/// nonce separates two starts in the same microsecond. No safety rule depends on the order, only on
/// equality.
struct Incarnation {
  WallTime started;
  std::uint64_t nonce = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

}  // namespace chervilspar::membership
