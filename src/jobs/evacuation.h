#pragma once

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
class Evacuation {
 public:
  Evacuation(SchedulerState& state, TimePoint now) : state(state), placement(state), now(now) {}

  void Run();

 private:
  void Review(const TaskRef& ref);
  bool MayEnd(const TaskRef& ref) const;

  SchedulerState& state;
  const Placement placement;
  const TimePoint now;
};

}  // namespace chervilspar::jobs
