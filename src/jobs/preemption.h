#pragma once

#include <map>
#include <optional>
#include <vector>

#include "chervilspar/jobs/preemption_plan.h"

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Stops runs for blocked tasks as `PreemptionPlan` selects them.
///
/// The capacity is reserved for the blocked task until the stops have taken effect, so that neither
/// the stopped task nor another one takes it. Nothing about a preemption is stored: a successor
/// finds the run active and keeps it, or finds its end at the endpoint.
class Preemption {
 public:
  explicit Preemption(SchedulerState& state) : state(state), placement(state) {}

  /// `blocked` are the tasks that found no free capacity in the round at `now`.
  void Run(const std::vector<TaskKey>& blocked, TimePoint now);
  /// Counts since the last call.
  PreemptionCounts TakeCounts();

 private:
  /// Adds the part of the work since the last plan that may be discarded.
  void Accrue(Duration elapsed);
  /// Whether the task can be on time if it starts after a stop.
  bool IsUrgent(const TaskRef& ref) const;
  void PlanPool(const ServiceId& service, const std::vector<TaskRef>& blocked);
  BlockedStep Describe(const TaskRef& ref, const std::vector<EndpointState*>& endpoints,
                       std::map<TeamId, Resources>& promised) const;
  EndpointRuns RunsOn(const EndpointState& endpoint) const;
  PreemptibleRun DescribeRun(const TaskRef& ref) const;
  /// Whether the task waits and no capacity is reserved for it.
  bool IsUnserved(const TaskRef& ref) const;
  /// Reserves capacity on the endpoint for a task of the step. Otherwise others could take what the
  /// stopped runs free one by one.
  void ReserveFor(const TaskRef& first, EndpointState& endpoint);
  void Stop(const PlannedStop& stop, const JobId& beneficiary);

  SchedulerState& state;
  Placement placement;
  /// The time of the current or last plan.
  std::optional<TimePoint> planned;
  /// In the unit of `PreemptionLimits::allowance`.
  std::map<ServiceId, double> allowances;
  PreemptionCounts counts;
};

}  // namespace chervilspar::jobs
