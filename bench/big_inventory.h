#pragma once

#include <cstdint>

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/inventory/inventory.h"

namespace chervilspar::bench {

/// Sizes of a made-up fleet; the defaults are those that the users plan for in two years.
struct FleetShape {
  std::uint32_t vms = 8800;
  std::uint32_t accelerators = 9100;
  /// One of them is the spare pool, and the smallest.
  std::uint32_t pools = 296;
  std::uint32_t teams = 560;
  std::uint32_t regions = 3;
  std::uint32_t zones = 6;
  std::uint32_t entries = 18;
  std::uint32_t vms_per_rack = 4;
  /// Share of each pool, in percent, that its availability budget keeps.
  std::uint32_t budget_percent = 80;

  friend bool operator==(const FleetShape&, const FleetShape&) = default;
};

/// The default shape with `vms` VMs, and pools, teams and accelerators in proportion. Zones,
/// regions and entries stay.
FleetShape ScaledShape(std::uint32_t vms);

/// An inventory of that shape; the same shape gives the same inventory. VMs of a pool are spread
/// over the zones of one region, each rack stands in one zone.
inventory::Inventory MakeBigInventory(const FleetShape& shape);

/// The folded state after that inventory was published and all its VMs were seen available.
config_log::FleetState MakeBigState(const FleetShape& shape);

}  // namespace chervilspar::bench
