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
  /// Neither a move nor routine maintenance asks for a step now.
  kNotDue,
  /// A step already holds the VM.
  kStepRunning,
  /// The VM is failed or not seen live in a fresh view.
  kVmUnavailable,
  /// The pool has no room: one VM less, and one failure, would break its availability budget.
  kPoolBudget,
  /// The rack holds as many steps as the rules allow.
  kRackLimit,
  /// The wave works in another zone of this pool, and the pool has no room for two zones.
  kOtherZone,
  /// Another VM comes first; the wave is as wide as its weights make it.
  kWaveWidth,
  /// Failures during the wave; no further step begins.
  kWaveStopped,
  /// The VM list view is too old to plan on.
  kStaleView,
  /// The target pool of the move does not exist.
  kNoTarget,
};

/// One VM and the reason it waits for.
struct VmWait {
  VmId vm;
  WaitReason reason = WaitReason::kNotDue;
  PoolId pool;
  RackId rack;

  friend bool operator==(const VmWait&, const VmWait&) = default;
};

/// The stable name of a reason, for logs and the operators' JSON.
const char* ToString(WaitReason reason);
/// The reason as one sentence for an operator.
std::string Explain(const VmWait& wait);

/// A step still draining that is to be undone.
struct StepWithdrawal {
  StepId step;
  VmWait cause;

  friend bool operator==(const StepWithdrawal&, const StepWithdrawal&) = default;
};

/// A step whose executor is gone and which `new_executor` is to finish.
struct StepTakeOver {
  StepId step;
  EntryId gone_executor;
  EntryId new_executor;

  friend bool operator==(const StepTakeOver&, const StepTakeOver&) = default;
};

/// How the wave stands.
enum class WaveState { kIdle, kRunning, kStopped };
const char* ToString(WaveState state);

/// What to do next, computed from one state and one set of observations. Advice until the fold has
/// admitted it.
struct Plan {
  WaveState wave = WaveState::kIdle;
  /// Whether this entry appends the claims; the others only show the plan.
  /// All entries may plan; one that appends keeps the log free of duplicates that the fold would
  /// reject.
  bool appends_claims = false;
  /// Steps to claim now, most important first.
  std::vector<config_log::Step> claims;
  std::vector<StepWithdrawal> withdrawals;
  std::vector<StepTakeOver> take_overs;
  /// Endpoints that refuse tasks although no step holds their VM.
  std::vector<VmId> undrains;
  /// One for each VM with a due step that is not claimed, ordered by VM.
  std::vector<VmWait> waits;
  /// Steps, moves and routine maintenance alike, still to be done.
  std::uint32_t remaining_steps = 0;
  DateForecast forecast;

  friend bool operator==(const Plan&, const Plan&) = default;
};

}  // namespace chervilspar::maintenance
