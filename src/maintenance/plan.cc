#include "chervilspar/maintenance/plan.h"

#include "chervilspar/base/assert.h"

namespace chervilspar::maintenance {

const char* ToString(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNotDue:
      return "not-due";
    case WaitReason::kStepRunning:
      return "step-running";
    case WaitReason::kVmUnavailable:
      return "vm-unavailable";
    case WaitReason::kPoolBudget:
      return "pool-budget";
    case WaitReason::kRackLimit:
      return "rack-limit";
    case WaitReason::kOtherZone:
      return "other-zone";
    case WaitReason::kWaveWidth:
      return "wave-width";
    case WaitReason::kWaveStopped:
      return "wave-stopped";
    case WaitReason::kStaleView:
      return "stale-view";
    case WaitReason::kNoTarget:
      return "no-target";
  }
  CHERVILSPAR_ASSERT(false);
}

std::string Explain(const VmWait& wait) {
  const std::string vm = "VM " + wait.vm.text;
  const std::string pool = "pool " + wait.pool.text;
  switch (wait.reason) {
    case WaitReason::kNotDue:
      return vm + " is not due: no move and no routine maintenance asks for a step now.";
    case WaitReason::kStepRunning:
      return vm + " is held by a step that is under way.";
    case WaitReason::kVmUnavailable:
      return vm + " is failed, or not seen live in a fresh view, and must come back first.";
    case WaitReason::kPoolBudget:
      return vm + " waits: one VM less and one failure would break the budget of " + pool + ".";
    case WaitReason::kRackLimit:
      return vm + " waits: rack " + wait.rack.text + " holds as many steps as the rules allow.";
    case WaitReason::kOtherZone:
      return vm + " waits: the wave works in another zone of " + pool +
             ", which has no room for two zones.";
    case WaitReason::kWaveWidth:
      return vm + " waits for its turn: the wave is as wide as its weights make it.";
    case WaitReason::kWaveStopped:
      return vm + " waits: failures during the wave have stopped it.";
    case WaitReason::kStaleView:
      return vm + " waits: the VM list view is too old to plan on.";
    case WaitReason::kNoTarget:
      return vm + " waits: the pool that it is to join does not exist.";
  }
  CHERVILSPAR_ASSERT(false);
}

const char* ToString(WaveState state) {
  switch (state) {
    case WaveState::kIdle:
      return "idle";
    case WaveState::kRunning:
      return "running";
    case WaveState::kStopped:
      return "stopped";
  }
  CHERVILSPAR_ASSERT(false);
}

const char* ToString(DateVerdict verdict) {
  switch (verdict) {
    case DateVerdict::kNoMove:
      return "no-move";
    case DateVerdict::kMet:
      return "met";
    case DateVerdict::kTooEarly:
      return "too-early";
    case DateVerdict::kNever:
      return "never";
  }
  CHERVILSPAR_ASSERT(false);
}

}  // namespace chervilspar::maintenance
