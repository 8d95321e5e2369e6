#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/inventory/inventory.h"

#include "bench/fleet/judge.h"

namespace chervilspar::scenario {

/// Counts the moments at which a system's own act (drain, reboot) left a pool with fewer available
/// VMs than its budget. Failures may push a pool below its budget; an act that comes on top of them
/// counts, the failure itself does not.
///
/// A VM of the move counts for its old pool until it first becomes unavailable and for its target
/// pool from its return on.
std::int64_t CountBelowBudget(const inventory::Inventory& inventory,
                              std::vector<AvailabilityChange> changes);

}  // namespace chervilspar::scenario
