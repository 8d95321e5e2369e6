#pragma once

#include <compare>
#include <cstdint>

#include "chervilspar/base/time.h"

namespace chervilspar::membership {

/// One life of an entry. A restarted or replaced entry keeps its `EntryId` and gets a new
/// incarnation, so that messages meant for, or sent by, its predecessor can be told apart.
///
/// The wall time orders the lives of one entry as long as its VMs' clocks do; the nonce separates
/// two starts in the same microsecond. No safety rule depends on the order, only on equality.
struct Incarnation {
  WallTime started;
  std::uint64_t nonce = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

}  // namespace chervilspar::membership
