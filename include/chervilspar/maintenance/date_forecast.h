#pragma once

#include <optional>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/observations.h"

namespace chervilspar::maintenance {

/// Whether the move's date can be met.
enum class DateVerdict {
  /// No move is asked for.
  kNoMove,
  kMet,
  /// The move can be finished, but not by its date.
  kTooEarly,
  /// Some pool can't give up its VMs at all; no date would do.
  kNever,
};
const char* ToString(DateVerdict verdict);

/// A pool whose availability budget leaves no room for the steps asked of it.
struct BlockedPool {
  PoolId pool;
  /// VMs that the pool lacks for the steps to be possible one at a time.
  std::uint32_t missing_vms = 0;

  friend bool operator==(const BlockedPool&, const BlockedPool&) = default;
};

/// How long the due steps take at least, and what that means for the move's date.
struct DateForecast {
  DateVerdict verdict = DateVerdict::kNoMove;
  /// No wave can be faster: over every pool and rack, steps over the concurrency that the
  /// budgets (with room for one failure) allow, times the length of a step.
  Duration lower_bound = Duration::zero();
  /// When the wave is expected to end, at the width that the weights choose.
  std::optional<WallTime> expected_end;
  /// The earliest date that would do for the move.
  std::optional<WallTime> earliest_date;
  std::vector<BlockedPool> blocked_pools;

  friend bool operator==(const DateForecast&, const DateForecast&) = default;
};

/// Forecasts the steps that the state asks for at `now`. Needs no observation: `check` calls it on
/// an inventory that is not yet published, with all VMs taken for available.
/// `times` are the expected lengths of the parts of a step.
DateForecast ForecastDate(const config_log::FleetState& state, const StepTimes& times,
                          WallTime now);

}  // namespace chervilspar::maintenance
