#pragma once

#include <cstdint>

#include "chervilspar/base/random.h"
#include "chervilspar/inventory/inventory.h"

namespace chervilspar::bench {

/// The shape of a fleet for maintenance waves.
struct WaveFleetShape {
  std::uint32_t serving_pools = 5;
  std::uint32_t vms_per_pool = 10;
  std::uint32_t spare_vms = 4;
  std::uint32_t zones = 3;
  std::uint32_t vms_per_rack = 4;
  /// VMs of each serving pool that may be missing.
  std::uint32_t slack = 2;

  friend bool operator==(const WaveFleetShape&, const WaveFleetShape&) = default;
};

/// The deployments whose weights the users gave in words.
enum class Deployment { kFjallabunadur, kCostaAzul };
const char* ToString(Deployment deployment);

/// Weights for a deployment: three for the two measures that it weighs more, one for the others.
inventory::Weights WeightsOf(Deployment deployment);

/// A fleet whose VMs are all due for maintenance. Pools spread over all zones; racks hold VMs of
/// one zone and, as pools are filled one after the other, of neighbouring pools.
inventory::Inventory MakeWaveFleet(const WaveFleetShape& shape, const inventory::Weights& weights);

/// A fleet at the size of the brief: five services with 8 to 12 VMs each, drawn from `random`, two
/// or three of which may be missing, and a spare pool of four. All are due.
inventory::Inventory MakeDeploymentFleet(Deployment deployment, Random& random);

PoolId ServingPool(std::uint32_t number);
inline const PoolId kSparePool{"spare"};

}  // namespace chervilspar::bench
