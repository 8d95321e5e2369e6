#pragma once

#include <cstdint>
#include <memory>

#include "bench/wave_fleet.h"
#include "bench/wave_world.h"

namespace chervilspar::bench {

enum class WaveTrouble {
  kNone,
  /// A rack of four fails in the middle of the wave, for ten minutes.
  kRackFailure,
};

/// What one wave cost.
struct WaveRunOutcome {
  double roll_out_minutes = 0;
  /// Roll-out time over the lower bound of the same run.
  double over_lower_bound = 0;
  /// Most VMs held by steps at once: what a firm must own beyond its demand for the wave to run.
  double buffer_vms = 0;
  /// Changes of pool.
  double moves = 0;
  double worst_share_loss = 0;
  double mean_share_loss = 0;
  double below_budget_seconds = 0;
  double weighted_cost = 0;
};

/// Runs a wave over a deployment's fleet until each VM was rebooted once.
WaveRunOutcome RunWave(Deployment deployment, WaveTrouble trouble,
                       const std::shared_ptr<WaveStrategy>& strategy, std::uint64_t seed);

/// The same with other weights than the deployment's.
WaveRunOutcome RunWave(const inventory::Inventory& inventory, WaveTrouble trouble,
                       const std::shared_ptr<WaveStrategy>& strategy, std::uint64_t seed);

/// The weighted sum of the four measures: buffer in tenths of the fleet, time in lower bounds,
/// moves as a part of the drains that the wave takes anyhow, and the worst share loss of ten
/// seconds in tenths of a pool's work. The units are this bench's own; the users gave weights in
/// words only.
double WeightedCost(const inventory::Weights& weights, const WaveRunOutcome& outcome,
                    std::size_t vms);

}  // namespace chervilspar::bench
