#pragma once

#include <map>
#include <optional>
#include <string>
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
  /// A pool with blocked tasks.
  struct PoolPlan {
    std::vector<TaskRef> blocked;
    BlockedRanks ranks;
    std::vector<EndpointState*> endpoints;
    /// Of each of `endpoints`.
    std::vector<EndpointRuns> runs;
    /// A run may be stopped within the allowance.
    bool has_candidates = false;
    /// By required label: positions of the endpoints with it, for steps that may run on all these.
    std::map<std::string, std::vector<std::size_t>> labelled;
  };

  /// Adds the part of the work since the last plan that may be discarded.
  void Accrue(Duration elapsed);
  /// Whether the task can be on time if it starts after a stop.
  bool IsUrgent(const TaskRef& ref) const;
  /// Adds the usable endpoints of the pool.
  void AddEndpoints(const ServiceId& service, PoolPlan& pool);
  /// Adds the runs that may be stopped and the capacity of those that end soon.
  void AddRuns(std::map<ServiceId, PoolPlan>& pools);
  void PlanPool(const ServiceId& service, PoolPlan& pool);
  BlockedStep Describe(const TaskRef& ref, PoolPlan& pool,
                       std::map<TeamId, Resources>& promised) const;
  /// Positions of the endpoints that may run the task.
  std::vector<std::size_t> EndpointsFor(const TaskRef& ref, PoolPlan& pool) const;
  double StopLimitMs() const;
  PreemptibleRun DescribeRun(const TaskRef& ref, std::uint32_t rank) const;
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
