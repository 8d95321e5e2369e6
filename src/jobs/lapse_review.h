#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Gives and takes back notices about silent endpoints; see `LapseNotice`.
class LapseReview {
 public:
  LapseReview(SchedulerState& state, TimePoint now) : state(state), now(now) {}

  void Run();
  /// What a predecessor's notices allow to assume, once its claims are adopted.
  void Restore(const std::vector<LapseNotice>& notices);

 private:
  bool IsLeftToLapse(const EndpointState& endpoint) const;

  SchedulerState& state;
  const TimePoint now;
};

}  // namespace chervilspar::jobs
