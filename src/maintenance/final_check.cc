#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

namespace {

using config_log::FleetState;
using config_log::StepPhase;

/// VMs of a pool that are certain to be available, and those that may be.
struct PoolEvidence {
  std::uint32_t certain = 0;
  std::uint32_t possible = 0;
};

bool IsKnownLost(const Observations& observations, const VmId& vm) {
  const auto seen = observations.vms.find(vm);
  return seen != observations.vms.end() && seen->second.listing != VmListing::kLive;
}

PoolEvidence CountEvidence(const FleetState& state, const Observations& observations,
                           const PoolId& pool) {
  PoolEvidence evidence;
  for (const auto& [id, vm] : state.inventory.vms) {
    if (vm.pool != pool || !config_log::IsAvailable(state, id)) {
      continue;
    }
    evidence.certain += IsSeenLive(observations, id) ? 1 : 0;
    evidence.possible += IsKnownLost(observations, id) ? 0 : 1;
  }
  return evidence;
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
  // The step's own VM is held and so is in neither count.
  const PoolEvidence evidence = CountEvidence(state, observations, pool->first);
  if (evidence.possible < pool->second.min_available) {
    return ActVerdict::kWithdraw;
  }
  return evidence.certain >= pool->second.min_available ? ActVerdict::kAct : ActVerdict::kWait;
}

}  // namespace chervilspar::maintenance
