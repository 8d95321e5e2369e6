#pragma once

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/observations.h"
#include "chervilspar/maintenance/plan.h"

namespace chervilspar::maintenance {

/// VMs of room that a wave leaves above each pool's availability budget. Grounds: no one can stop a
/// VM from failing while others are drained; with one to spare, a single failure breaks no budget.
/// This is the buffer cost that the users measure.
inline constexpr std::uint32_t kFailureReserve = 1;

/// Further room for steps in a second zone of the same pool. Grounds: a zone cut takes the VMs of
/// one zone away; drains in the other zone then add to it. A pool that would make the whole wave
/// late may do without it, since its budget and the room for one failure hold all the same.
inline constexpr std::uint32_t kSecondZoneRoom = 1;

/// Settings of a planner that are no rules of the operators.
struct PlannerOptions {
  /// The most that a wave may be stretched beyond its lower bound to save buffer. Grounds: a wave
  /// is to end within 1.2 times the lower bound; the rest is left for rounding and for tails.
  double max_stretch = 1.1;

  friend bool operator==(const PlannerOptions&, const PlannerOptions&) = default;
};

/// Plans maintenance waves and moves. A pure function of its arguments: every entry that sees the
/// same gets the same plan, and an entry that sees less only plans less.
///
/// The plan keeps a weighted sum of four costs small. Buffer cost is the largest number of VMs held
/// at once. Roll-out time is the time until the last due step. Moves are changes of pool beyond
/// those that the operators ask for. Distance from share grows with the square of the capacity that
/// a pool is short of, since teams crowd each other in the pool that is shortest.
///
/// What can go wrong: the wave is planned on a lagging VM list while a rack fails, and drains the
/// VMs that would have carried the pool. One would notice a pool below its budget for minutes. So a
/// VM without a fresh live view counts as unavailable, a wave leaves room for one failure, and
/// steps that have not acted are withdrawn as soon as the room is gone.
class Planner {
 public:
  /// `self` is the entry that plans; it becomes the executor of the claims.
  explicit Planner(EntryId self, PlannerOptions options = {});

  /// The next steps at `now`. Time grows near linearly with VMs.
  Plan MakePlan(const config_log::FleetState& state, const Observations& observations,
                WallTime now) const;

 private:
  EntryId self;
  PlannerOptions options;
};

/// Whether a step may go over to its irreversible act, checked with fresh observations just before.
enum class ActVerdict { kAct, kWait, kWithdraw };

/// Answers `kAct` only if, with the step's VM gone and by fresh views alone, every touched pool
/// keeps its budget; `kWait` while views are stale; `kWithdraw` once the budget is known to be
/// short.
ActVerdict CheckBeforeActing(const config_log::FleetState& state, const Observations& observations,
                             const StepId& step);

}  // namespace chervilspar::maintenance
