#pragma once

#include <optional>
#include <string>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// A start order that waits to be sent.
///
/// A few orders are sent to an endpoint at a time. If it doesn't answer, those behind them wait for
/// seconds. Meanwhile, the run may have become pointless, or may no longer be started there.
class QueuedStart {
 public:
  QueuedStart(SchedulerState& state, const StartOrder& order);

  /// Returns why the order must not be sent any more; nothing if it may be sent.
  std::optional<std::string> FindObstacle(TimePoint now) const;

 private:
  bool IsWanted() const;
  bool IsAcceptedByEndpoint() const;
  /// The endpoint has restarted, or is about to be found restarted, since the task was placed.
  bool HasEndpointRestarted() const;

  const SchedulerState& state;
  const StartOrder& order;
  const EndpointState* endpoint;
  TaskRef ref;
};

}  // namespace chervilspar::jobs
