#pragma once

#include <cstdint>
#include <map>

#include "bench/wave_world.h"

namespace chervilspar::bench {

/// Demand of the pools in a wave: each pool in turn asks five times its mean for ten seconds, more
/// than it holds, and a twentieth of its mean in between.
class RollingBursts {
 public:
  explicit RollingBursts(const inventory::Inventory& inventory);

  /// Slots that the pool could use at `now`.
  double DemandAt(const PoolId& pool, TimePoint now) const;

 private:
  std::map<PoolId, std::uint32_t> turn_of;
  std::map<PoolId, double> mean_of;
};

/// Watches a world second by second and works out what the wave cost.
class WaveMeter {
 public:
  explicit WaveMeter(const WaveWorld& world);

  void Watch();

  /// The largest part of a pool's work that went unserved for want of VMs in any ten seconds, in
  /// percent. Teams that work in that pool are this far below their shares.
  double WorstShareLoss() const { return 100.0 * this->worst_loss; }
  /// The same over the whole wave and fleet.
  double MeanShareLoss() const;

 private:
  struct Window {
    double wanted = 0;
    double served = 0;
  };

  const WaveWorld& world;
  RollingBursts demand;
  std::map<PoolId, double> full_slots;
  std::map<PoolId, Window> windows;
  Window total;
  TimePoint window_end;
  double worst_loss = 0;
};

/// No wave can take less time: for each pool its VMs' drains and reboots, one after the other, over
/// the VMs that its budget lets it miss (with room for one failure); for each rack over its limit;
/// and the longest single step. Uses the lengths that the world itself will take.
Duration RollOutLowerBound(const inventory::Inventory& inventory, WaveWorld& world);

}  // namespace chervilspar::bench
