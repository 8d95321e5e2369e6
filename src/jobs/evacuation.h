#pragma once

#include <set>
#include <vector>

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Evacuates endpoints whose VMs are to be rebooted or moved: batch tasks run to completion, and
/// long-running tasks are moved one after the other.
///
/// If a step lost more tasks at once than its team allows, its users would see an outage even
/// though each VM is drained correctly. Therefore a ready task is stopped only while enough of its
/// siblings are ready and another endpoint has free capacity for it. That capacity is reserved;
/// otherwise other tasks could claim it, and the stopped task would wait for seconds.
///
/// A maintenance wave may evacuate a quarter of a pool whose tasks are spread over endpoints and
/// move one at a time. If the target of each task were searched only when its turn comes, the pool
/// would get a missing VM only then, and each task would delay the wave by seconds. Therefore the
/// targets of all tasks are searched at the same time.
class Evacuation {
 public:
  Evacuation(SchedulerState& state, TimePoint now) : state(state), placement(state), now(now) {}

  void Run();

 private:
  void Review(const TaskRef& ref);
  /// Sets `lacks_target` of the waiting tasks.
  void FindTargets();
  /// Null if no endpoint has free capacity for the task.
  EndpointState* ChooseTarget(const TaskRef& ref);
  bool MayStop(const TaskRef& ref) const;

  SchedulerState& state;
  const Placement placement;
  const TimePoint now;
  /// Tasks that have to move but may not be stopped yet.
  std::vector<TaskRef> waiting;
  /// Steps for whose tasks no endpoint had free capacity since the last reservation.
  std::set<const StepState*> without_target;
};

}  // namespace chervilspar::jobs
