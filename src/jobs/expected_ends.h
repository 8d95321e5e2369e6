#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// When the batch tasks of a pool are expected to end, by their estimates. A task that has run for
/// longer than its estimate may end at any moment.
class ExpectedEnds {
 public:
  ExpectedEnds(SchedulerState& state, TimePoint now) : state(state), now(now) {}

  /// Starts over, for this pool.
  void Begin(const PoolState& pool);
  /// When the endpoint, which is of this pool, is expected to have `need` free. Nothing if its
  /// long-running tasks leave too little, as nobody knows when they end.
  std::optional<TimePoint> RoomFor(const Resources& need, const EndpointState& endpoint);

 private:
  struct End {
    TimePoint at{};
    Resources capacity;
  };
  /// The batch tasks of an endpoint, by their ends.
  struct EndpointEnds {
    /// The number of tasks on the endpoint when this was computed.
    std::size_t claims = 0;
    std::vector<End> ends;
  };

  const std::vector<End>& EndsOn(const EndpointState& endpoint);

  SchedulerState& state;
  const TimePoint now;
  /// By the position in the pool.
  std::vector<std::optional<EndpointEnds>> known;
};

}  // namespace chervilspar::jobs
