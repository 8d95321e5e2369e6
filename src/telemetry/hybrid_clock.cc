#include "chervilspar/telemetry/hybrid_clock.h"

#include <algorithm>

namespace chervilspar::telemetry {

HybridTime HybridClock::Advance(const HybridTime& floor, WallTime wall_now) {
  const HybridTime latest = std::max(this->last, floor);
  if (wall_now > latest.wall) {
    this->last = HybridTime{wall_now, 0};
  } else {
    this->last = HybridTime{latest.wall, latest.logical + 1};
  }
  return this->last;
}

HybridTime HybridClock::Stamp(WallTime wall_now) { return this->Advance(this->last, wall_now); }

HybridTime HybridClock::Observe(const HybridTime& remote, WallTime wall_now) {
  if (remote.wall > wall_now + this->max_ahead) {
    ++this->refused;
    return this->Stamp(wall_now);
  }
  return this->Advance(remote, wall_now);
}

}  // namespace chervilspar::telemetry
