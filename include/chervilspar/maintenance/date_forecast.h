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
  /// No move is requested.
  kNoMove,
  kMet,
  /// The move can be finished, but not by its date.
  kTooEarly,
  /// Some pool can't release its VMs at all, whatever the date.
  kNever,
};
const char* ToString(DateVerdict verdict);

/// A pool whose availability budget leaves no free capacity for its due steps.
struct BlockedPool {
  PoolId pool;
  /// VMs that the pool needs in addition to carry out its steps one at a time.
  std::uint32_t missing_vms = 0;

  friend bool operator==(const BlockedPool&, const BlockedPool&) = default;
};

/// The minimum duration of the due steps, and whether the move's date can be met.
struct DateForecast {
  DateVerdict verdict = DateVerdict::kNoMove;
  /// The minimum duration of a wave: the maximum over all pools and racks of the number of steps
  /// divided by the concurrency that the budgets (with capacity for one failure) allow, times the
  /// duration of a step.
  Duration lower_bound = Duration::zero();
  /// When the wave is expected to end, at the width that follows from the weights.
  std::optional<WallTime> expected_end;
  /// The earliest date that the move can meet.
  std::optional<WallTime> earliest_date;
  std::vector<BlockedPool> blocked_pools;

  friend bool operator==(const DateForecast&, const DateForecast&) = default;
};

/// Forecasts the steps that are due in `state` at `now`. Needs no observations: `check` calls it on
/// an inventory that is not yet published, and all VMs count as available. `times` are the expected
/// durations of the parts of a step.
DateForecast ForecastDate(const config_log::FleetState& state, const StepTimes& times,
                          WallTime now);

}  // namespace chervilspar::maintenance
