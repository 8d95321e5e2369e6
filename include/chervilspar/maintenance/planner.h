#pragma once

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/observations.h"
#include "chervilspar/maintenance/plan.h"

namespace chervilspar::maintenance {

/// VMs that a wave keeps available above each pool's availability budget. A VM may fail while
/// others are drained; with one VM in reserve, a single failure breaks no budget. Users see this
/// reserve as the buffer cost.
inline constexpr std::uint32_t kFailureReserve = 1;

/// Additional VMs that must be available before steps begin in a second zone of the same pool. When
/// a zone is cut off, drains in another zone add to the loss. A pool that would delay the whole
/// wave may do without this reserve, since it still keeps its budget and the reserve for one
/// failure.
inline constexpr std::uint32_t kSecondZoneReserve = 1;

/// Settings of a planner that aren't part of the operators' rules.
struct PlannerOptions {
  /// Maximum ratio of a wave's planned duration to its lower bound; a longer wave needs a smaller
  /// buffer. A wave must end within 1.2 times the lower bound, and the difference covers rounding
  /// and steps that end late.
  double max_stretch = 1.1;

  friend bool operator==(const PlannerOptions&, const PlannerOptions&) = default;
};

/// Plans maintenance waves and moves. A plan is a pure function of the arguments: entries with the
/// same observations make the same plan, and an entry with fewer observations plans fewer steps.
///
/// The plan aims to minimize a weighted sum of four costs. Buffer cost is the maximum number of VMs
/// held at once. Roll-out time is the time until the last due step ends. Moves are changes of pool
/// beyond those that the operators request. Distance from share grows with the square of the
/// capacity that a pool lacks, since teams compete most in the pool with the largest shortage.
///
/// When a rack fails while the VM list lags, a wave could drain the VMs that the pool still depends
/// on and leave it below its budget for minutes. To prevent this, a VM without a recent observation
/// as live counts as unavailable, a wave keeps a reserve for one failure, and steps that have not
/// yet acted are withdrawn as soon as the reserve is used up.
class Planner {
 public:
  /// `self` is the entry that makes the plan; it becomes the executor of the claimed steps.
  explicit Planner(EntryId self, PlannerOptions options = {});

  /// Returns the next steps at `now`. Its running time grows almost linearly with the number of
  /// VMs.
  Plan MakePlan(const config_log::FleetState& state, const Observations& observations,
                WallTime now) const;

 private:
  EntryId self;
  PlannerOptions options;
};

/// Whether a step may begin its irreversible act, checked with fresh observations just before.
enum class ActVerdict { kAct, kWait, kWithdraw };

/// Returns `kAct` only if recent observations show that the step's pool keeps its budget without
/// the step's VM, `kWait` while the observations are too old, and `kWithdraw` if the pool is known
/// to be below its budget or the step no longer applies.
ActVerdict CheckBeforeActing(const config_log::FleetState& state, const Observations& observations,
                             const StepId& step);

}  // namespace chervilspar::maintenance
