#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::config_log {

const char* ToString(VmCondition condition) {
  switch (condition) {
    case VmCondition::kAvailable:
      return "available";
    case VmCondition::kFailed:
      return "failed";
    case VmCondition::kLeaving:
      return "leaving";
    case VmCondition::kUnseen:
      return "unseen";
  }
  return "unseen";
}

const char* ToString(StepAction action) {
  switch (action) {
    case StepAction::kReboot:
      return "reboot";
    case StepAction::kMove:
      return "move";
    case StepAction::kRetire:
      return "retire";
  }
  return "reboot";
}

const char* ToString(StepPhase phase) {
  switch (phase) {
    case StepPhase::kDraining:
      return "draining";
    case StepPhase::kActing:
      return "acting";
  }
  return "draining";
}

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
