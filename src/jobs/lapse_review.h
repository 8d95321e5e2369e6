#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Makes and withdraws lapse notices about unresponsive endpoints; see `LapseNotice`.
class LapseReview {
 public:
  LapseReview(SchedulerState& state, TimePoint now) : state(state), now(now) {}

  void Run();
  /// Shortens the leases on adopted claims to what the predecessor's notices allow. Call it after
  /// the claims are adopted.
  void Restore(const std::vector<LapseNotice>& notices);

 private:
  bool IsLeftToLapse(const EndpointState& endpoint) const;

  SchedulerState& state;
  const TimePoint now;
};

}  // namespace chervilspar::jobs
