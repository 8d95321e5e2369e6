#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Chooses the endpoint for a task.
///
/// Batch work goes where least room is left over, so that large tasks still find room in one
/// piece; long-running work that serves users is spread, so that it neither shares its endpoint
/// with fillers nor is lost together with its siblings.
class Placement {
 public:
  explicit Placement(SchedulerState& state) : state(state) {}

  /// Null when no endpoint has room now. `reserved`: kept free for a task that waits longer.
  EndpointState* Choose(const TaskRef& ref, const std::set<EndpointState*>& reserved,
                        TimePoint now) const;
  /// True when the endpoint may get new work at all.
  static bool IsUsable(const EndpointState& endpoint, TimePoint now);
  /// True when only cordons keep the task from some endpoint.
  bool IsHeldByCordon(const TaskRef& ref) const;
  /// The endpoint that will soonest have room for a task that fits nowhere now; null for none.
  EndpointState* ChooseToKeepFree(const TaskRef& ref, TimePoint now) const;

 private:
  bool MayRunOn(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) const;
  bool IsBelowLimitPerEndpoint(const TaskRef& ref, const EndpointState& endpoint) const;
  std::int64_t Cost(const TaskRef& ref, const EndpointState& endpoint) const;
  std::int64_t SharingCost(const TaskRef& ref, const EndpointState& endpoint) const;

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
