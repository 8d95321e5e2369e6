#pragma once

#include <cstdint>

#include "chervilspar/base/hybrid_time.h"
#include "chervilspar/base/time.h"

namespace chervilspar::telemetry {

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
///
/// If one VM's wall clock is an hour ahead, every process that hears from it would stamp its events
/// an hour ahead as well, for good. So a peer's stamp moves this clock no further than `max_ahead`
/// beyond the own wall clock; such stamps are counted.
class HybridClock {
 public:
  explicit HybridClock(Duration max_ahead) : max_ahead(max_ahead) {}

  /// A stamp for an event here, later than all stamps before it.
  HybridTime Stamp(WallTime wall_now);

  /// Takes in a peer's stamp. Returns the own stamp for the reception.
  HybridTime Observe(const HybridTime& remote, WallTime wall_now);

  /// How many stamps were further ahead than allowed.
  std::uint64_t RefusedStamps() const { return this->refused; }

 private:
  HybridTime Advance(const HybridTime& floor, WallTime wall_now);

  Duration max_ahead;
  HybridTime last;
  std::uint64_t refused = 0;
};

}  // namespace chervilspar::telemetry
