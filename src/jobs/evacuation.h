#pragma once

#include <vector>

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Empties endpoints whose VMs are to be rebooted or moved: batch work runs to its end,
/// long-running tasks are moved one after the other.
///
/// What can go wrong: a step loses more tasks at once than its team allows, and those that use it
/// meet an outage although every VM was handled with care. So a task at work is ended only while
/// enough of its siblings are at work, and when another endpoint has room for it, which is kept:
/// ended first, it would wait for seconds for what others take meanwhile.
///
/// The load that it answers: a wave empties a quarter of a pool whose tasks must stand apart and
/// move one at a time. If the place for each were looked for when its turn comes, the pool would
/// get its VM only then, and the wave would take seconds longer for each task. So places are looked
/// for all at once.
class Evacuation {
 public:
  Evacuation(SchedulerState& state, TimePoint now) : state(state), placement(state), now(now) {}

  void Run();

 private:
  void Review(const TaskRef& ref);
  /// Notes for which of the waiting tasks there is no place.
  void LookAhead();
  bool MayEnd(const TaskRef& ref) const;

  SchedulerState& state;
  const Placement placement;
  const TimePoint now;
  /// Tasks that are to move and may not yet.
  std::vector<TaskRef> waiting;
};

}  // namespace chervilspar::jobs
