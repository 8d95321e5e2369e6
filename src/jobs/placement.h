#pragma once

#include "jobs/endpoint_filter.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// An endpoint with enough free capacity for the tasks of a step. Compares less if `Choose` prefers
/// it.
struct PricedEndpoint {
  std::int64_t cost = 0;
  /// Its position in the pool.
  std::size_t position = 0;
  EndpointState* endpoint = nullptr;

  friend auto operator<=>(const PricedEndpoint&, const PricedEndpoint&) = default;
};

/// Whether a task that fits nowhere now may find room without a change of the pool.
enum class Prospect {
  /// No usable endpoint is large enough.
  kNone,
  /// Those that are large enough have long-running tasks that leave too little.
  kLongRunningTasks,
  /// There will be room when batch tasks have ended.
  kRoom,
};

/// Chooses the endpoint for a task.
///
/// Batch tasks are placed by best fit, which keeps contiguous capacity for large tasks.
/// Long-running tasks that serve users are spread, so that they don't share an endpoint with
/// fillers and aren't lost together with their siblings.
class Placement {
 public:
  explicit Placement(SchedulerState& state) : state(state) {}

  /// Null if no endpoint that `filter` allows has enough free capacity now. The filter is asked
  /// only about endpoints that could run the task now.
  EndpointState* Choose(const TaskRef& ref, EndpointFilter& filter, TimePoint now) const;
  /// The endpoints that `Choose` considers for the task, unordered. Their costs are without
  /// `FailureCost` and therefore the same for all tasks of the step.
  std::vector<PricedEndpoint> ListForStep(const TaskRef& ref, TimePoint now) const;
  /// The part of `Cost` for an endpoint where the last run of the task failed.
  static std::int64_t FailureCost(const TaskRef& ref, const EndpointState& endpoint);
  /// True if the endpoint accepts new tasks at all.
  static bool IsUsable(const EndpointState& endpoint, TimePoint now);
  /// Whether the endpoint has the label that the task requires, if any.
  static bool HasLabelFor(const TaskRef& ref, const EndpointState& endpoint);
  /// Whether the task may run on the endpoint, regardless of its free capacity and of the adviser.
  bool IsEligible(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) const;
  /// As `IsEligible`, and the adviser allows it if the task's queue has one.
  bool MayRunOn(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) const;
  /// The cost of placing the task on the endpoint; of those that may run it, the one with the
  /// lowest cost is chosen.
  std::int64_t Cost(const TaskRef& ref, const EndpointState& endpoint) const;
  /// True if some endpoint could run the task but for a cordon.
  bool IsBlockedByCordon(const TaskRef& ref) const;
  Prospect ProspectOf(const TaskRef& ref, TimePoint now) const;
  /// The same for the whole gang of the task.
  Prospect ProspectOfGang(const TaskRef& ref, TimePoint now) const;
  /// Whether some rack could hold the whole gang of the task if all batch tasks there had ended.
  bool CouldHoldOnOneRack(const TaskRef& ref, TimePoint now) const;

 private:
  /// The cheapest endpoint so far.
  struct Choice {
    EndpointState* endpoint = nullptr;
    std::int64_t cost = 0;

    /// Whether an endpoint at this position of the pool, whose cost is at least `bound`, can be
    /// better. Of those with equal costs, the first of the pool is the best.
    bool CanBeImprovedBy(std::int64_t bound, std::size_t position) const;
  };

  /// Replaces the choice if the endpoint may run the task and is better.
  void Consider(const TaskRef& ref, EndpointState& endpoint, EndpointFilter& filter, TimePoint now,
                Choice& best) const;
  bool IsBelowLimitPerEndpoint(const TaskRef& ref, const EndpointState& endpoint) const;
  std::int64_t CostForStep(const TaskRef& ref, const EndpointState& endpoint) const;
  std::int64_t SharingCost(const TaskRef& ref, const EndpointState& endpoint) const;

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
