#pragma once

#include <functional>
#include <map>
#include <queue>
#include <unordered_set>
#include <vector>

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Finds an endpoint of its own for each of many tasks, all at the same time `now`.
///
/// The result for each task is that of `Placement::Choose` without the endpoints that are reserved
/// or were found for earlier tasks. The endpoints of a pool are examined only once for each step:
/// during a maintenance wave, hundreds of tasks wait in pools of hundreds of endpoints.
class TargetSearch {
 public:
  /// The free capacity of the endpoints must not change during the search.
  TargetSearch(SchedulerState& state, TimePoint now);

  /// Null if there is none. The current endpoint of the task must be leaving.
  EndpointState* Find(const TaskRef& ref);

 private:
  /// The best one is on top.
  using Candidates =
      std::priority_queue<PricedEndpoint, std::vector<PricedEndpoint>, std::greater<>>;

  Candidates& CandidatesFor(const TaskRef& ref);

  const Placement placement;
  const TimePoint now;
  /// Endpoints that are reserved or were found for a task.
  std::unordered_set<const EndpointState*> taken;
  std::map<const StepState*, Candidates> candidates;
};

}  // namespace chervilspar::jobs
