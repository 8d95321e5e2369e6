#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Collects the starts and stops that are due to be sent, or sent again.
class OrderRound {
 public:
  OrderRound(SchedulerState& state, TimePoint now) : state(state), now(now) {}

  void Gather(Orders& orders);
  /// Builds the start of a task whose placement is stored, and counts it as an attempt.
  StartOrder StartOf(const TaskRef& ref);
  /// What the start of the task takes of the owner's link, in bytes.
  static std::int64_t StartBytes(const TaskRef& ref);

 private:
  void GatherUnconfirmed(const TaskRef& ref, Orders& orders);
  bool MayBeServing(const TaskRef& ref) const;
  void GatherStop(const TaskRef& ref, Orders& orders);
  void GatherOrphanStops(EndpointState& endpoint, Orders& orders);

  SchedulerState& state;
  const TimePoint now;
};

}  // namespace chervilspar::jobs
