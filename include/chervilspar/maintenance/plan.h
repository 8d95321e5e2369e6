#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/date_forecast.h"

namespace chervilspar::maintenance {

/// Why a VM that is due for a step has to wait, or why a step is withdrawn.
enum class WaitReason {
  /// Neither a move nor routine maintenance requires a step now.
  kNotDue,
  /// A step for the VM is already in progress.
  kStepRunning,
  /// The VM is failed or not listed as live in a recent observation.
  kVmUnavailable,
  /// The pool has no free capacity: one VM less, and one failure, would break its availability
  /// budget.
  kPoolBudget,
  /// The rack has as many steps in progress as the rules allow.
  kRackLimit,
  /// The wave has steps in another zone of this pool, and the pool's free capacity doesn't allow
  /// steps in two zones.
  kOtherZone,
  /// Other VMs come first, and the wave has reached the width that follows from its weights.
  kWaveWidth,
  /// Failures during the wave have stopped it; no further step begins.
  kWaveStopped,
  /// The last VM list is too old to plan with.
  kStaleView,
  /// The target pool of the move does not exist.
  kNoTarget,
};

/// A VM and the reason why it waits.
struct VmWait {
  VmId vm;
  WaitReason reason = WaitReason::kNotDue;
  PoolId pool;
  RackId rack;

  friend bool operator==(const VmWait&, const VmWait&) = default;
};

/// The stable name of a reason, for logs and the operators' JSON.
const char* ToString(WaitReason reason);
/// A sentence for operators that explains why the VM waits.
std::string Explain(const VmWait& wait);

/// A draining step to undo.
struct StepWithdrawal {
  StepId step;
  VmWait cause;

  friend bool operator==(const StepWithdrawal&, const StepWithdrawal&) = default;
};

/// A step whose executor is unreachable and that `new_executor` takes over.
struct StepTakeOver {
  StepId step;
  EntryId gone_executor;
  EntryId new_executor;

  friend bool operator==(const StepTakeOver&, const StepTakeOver&) = default;
};

/// The state of the maintenance wave.
enum class WaveState { kIdle, kRunning, kStopped };
const char* ToString(WaveState state);

/// What to do next, computed from one state and one set of observations. A plan is only a proposal
/// until the fold accepts its records.
struct Plan {
  WaveState wave = WaveState::kIdle;
  /// Whether this entry appends the claims. All entries make plans, but only one appends them, so
  /// that the log isn't filled with duplicates that the fold rejects.
  bool appends_claims = false;
  /// Steps to claim now, in order of priority.
  std::vector<config_log::Step> claims;
  std::vector<StepWithdrawal> withdrawals;
  std::vector<StepTakeOver> take_overs;
  /// VMs whose endpoints refuse tasks although no step holds the VM.
  std::vector<VmId> undrains;
  /// One entry for each VM with a due step that is not claimed, ordered by VM.
  std::vector<VmWait> waits;
  /// Steps still to finish, for moves and routine maintenance.
  std::uint32_t remaining_steps = 0;
  DateForecast forecast;

  friend bool operator==(const Plan&, const Plan&) = default;
};

}  // namespace chervilspar::maintenance
