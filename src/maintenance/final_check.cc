#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

namespace {

using config_log::FleetState;
using config_log::StepPhase;

/// The numbers of VMs of a pool that are certainly available and that are possibly available.
struct AvailabilityBounds {
  std::uint32_t certain = 0;
  std::uint32_t possible = 0;
};

bool IsKnownLost(const Observations& observations, const VmId& vm) {
  const auto seen = observations.vms.find(vm);
  return seen != observations.vms.end() && seen->second.listing != VmListing::kLive;
}

AvailabilityBounds CountAvailable(const FleetState& state, const Observations& observations,
                                  const PoolId& pool) {
  AvailabilityBounds bounds;
  for (const auto& [id, vm] : state.inventory.vms) {
    if (vm.pool != pool || !config_log::IsAvailable(state, id)) {
      continue;
    }
    bounds.certain += IsSeenLive(observations, id) ? 1 : 0;
    bounds.possible += IsKnownLost(observations, id) ? 0 : 1;
  }
  return bounds;
}

}  // namespace

ActVerdict CheckBeforeActing(const FleetState& state, const Observations& observations,
                             const StepId& step) {
  const auto found = state.steps.find(step);
  if (found == state.steps.end() || found->second.phase != StepPhase::kDraining) {
    return ActVerdict::kWithdraw;
  }
  if (observations.vm_list_age > kMaxViewAge) {
    return ActVerdict::kWait;
  }
  const auto pool = state.inventory.pools.find(found->second.from_pool);
  if (pool == state.inventory.pools.end() || IsKnownLost(observations, found->second.vm)) {
    return ActVerdict::kWithdraw;
  }
  // The step holds its own VM, so neither count includes it.
  const AvailabilityBounds bounds = CountAvailable(state, observations, pool->first);
  if (bounds.possible < pool->second.min_available) {
    return ActVerdict::kWithdraw;
  }
  return bounds.certain >= pool->second.min_available ? ActVerdict::kAct : ActVerdict::kWait;
}

}  // namespace chervilspar::maintenance
