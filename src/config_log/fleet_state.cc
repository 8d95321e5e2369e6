#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::config_log {

bool IsAvailable(const FleetState& state, const VmId& vm) {
  const auto found = state.vm_status.find(vm);
  if (found == state.vm_status.end()) {
    return false;
  }
  const VmStatus& status = found->second;
  return status.condition == VmCondition::kAvailable && !status.step && !status.retired;
}

std::uint32_t AvailableCount(const FleetState& state, const PoolId& pool) {
  std::uint32_t count = 0;
  for (const auto& [id, vm] : state.inventory.vms) {
    if (vm.pool == pool && IsAvailable(state, id)) {
      ++count;
    }
  }
  return count;
}

}  // namespace chervilspar::config_log
