#pragma once

#include <optional>
#include <vector>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// When the batch tasks on endpoints are expected to end, by their estimates. A task that has run
/// for longer than its estimate may end at any moment.
class ExpectedEnds {
 public:
  ExpectedEnds(SchedulerState& state, TimePoint now) : state(state), now(now) {}

  /// When the endpoint is expected to have `need` free. Nothing if its long-running tasks leave too
  /// little, as nobody knows when they end.
  std::optional<TimePoint> RoomFor(const Resources& need, EndpointState& endpoint);

 private:
  /// By time. Kept until the claims on the endpoint change: a run that is confirmed meanwhile ends
  /// later by less than estimates are off.
  const std::vector<ExpectedEnd>& EndsOn(EndpointState& endpoint);

  SchedulerState& state;
  const TimePoint now;
};

}  // namespace chervilspar::jobs
