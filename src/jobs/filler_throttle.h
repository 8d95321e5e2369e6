#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Throttles fillers that slow down the tasks that serve users on the same endpoint.
///
/// Fillers compete for the caches and the memory bandwidth that a serving task needs, so that its
/// response times would exceed their target and stay there. The reported response times are rough
/// and half a second old. Therefore the speed is decreased by a factor when a response time comes
/// near its target, and increased in small steps.
class FillerThrottle {
 public:
  explicit FillerThrottle(SchedulerState& state) : state(state) {}

  /// Evaluates the last reported response times of an endpoint and orders another speed if needed.
  void Review(EndpointState& endpoint);
  /// Marks the speed as unknown if the order may not have been executed, so that a later review
  /// repeats it.
  void OnAnswered(const ThrottleOrder& order, OrderOutcome outcome);

 private:
  /// The highest ratio of response time to target among the serving tasks.
  double WorstLoad(const EndpointState& endpoint) const;
  /// `is_steady`: the serving tasks are neither too near their targets nor far below.
  void Order(EndpointState& endpoint, bool is_steady);

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
