#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Gathers the starts and stops that have to be sent, or sent again, now.
class OrderRound {
 public:
  OrderRound(SchedulerState& state, TimePoint now) : state(state), now(now) {}

  void Gather(Orders& orders);
  /// The start of a task whose placement is stored.
  StartOrder StartOf(const TaskRef& ref);

 private:
  void GatherUnsure(const TaskRef& ref, Orders& orders);
  bool MayBeAtWork(const TaskRef& ref) const;
  void GatherStop(const TaskRef& ref, Orders& orders);
  void GatherStrays(EndpointState& endpoint, Orders& orders);

  SchedulerState& state;
  const TimePoint now;
};

}  // namespace chervilspar::jobs
