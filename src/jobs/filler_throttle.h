#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Keeps fillers from disturbing the tasks that serve users on the same endpoint.
///
/// What can go wrong: fillers take the caches and memory bandwidth that a serving task needs, its
/// response times go over their target and stay there, and the team's users wait. The figures that
/// endpoints give are rough and half a second old, so the pace is cut by a factor when a figure
/// comes near its target and given back in small steps.
class FillerThrottle {
 public:
  explicit FillerThrottle(SchedulerState& state) : state(state) {}

  /// Looks at the newest figures of an endpoint and orders another pace where needed.
  void Review(EndpointState& endpoint);
  /// An order that may not have been carried out is given again with the next look that asks for
  /// it.
  void OnAnswered(const ThrottleOrder& order, OrderOutcome outcome);

 private:
  double WorstLoad(const EndpointState& endpoint) const;
  /// `is_load_right`: the serving tasks are neither too near their targets nor far below.
  void Order(EndpointState& endpoint, bool is_load_right);

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
