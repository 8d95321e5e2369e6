#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// The endpoints of one pool on which blocked tasks could run if they were free.
///
/// The blocked tasks of a round are many and alike. What one of them could run on is remembered, so
/// that the pool is walked again only for a task that may run on other endpoints than those before.
class WantedEndpoints {
 public:
  WantedEndpoints(SchedulerState& state, const Placement& placement, TimePoint now)
      : state(state), placement(placement), now(now) {}

  /// Starts over, for this pool.
  void Begin(const PoolState& pool);
  /// Adds the endpoints on which the blocked task, which is of this pool, could run.
  void Add(const TaskRef& ref);
  bool Contains(const EndpointState& endpoint) const { return this->is_wanted[endpoint.position]; }
  std::set<EndpointState*> All() const;
  /// The job of the first blocked task; nothing if none was added.
  const std::optional<JobId>& FirstHolder() const { return this->first_holder; }

 private:
  /// Blocked tasks whose endpoints were added.
  struct Added {
    std::string label;
    Resources need;
    /// Endpoints that suit them but for the limit of tasks per endpoint.
    std::vector<EndpointState*> missing;

    /// All endpoints on which the task could run are wanted or in `missing`.
    bool Covers(const TaskRef& ref, const Resources& need) const;
  };

  bool CouldRun(const TaskRef& ref, const Resources& need, EndpointState& endpoint) const;

  SchedulerState& state;
  const Placement& placement;
  const TimePoint now;
  const PoolState* pool = nullptr;
  /// By the position in the pool.
  std::vector<char> is_wanted;
  std::vector<Added> added;
  std::optional<JobId> first_holder;
};

}  // namespace chervilspar::jobs
