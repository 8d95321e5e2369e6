#pragma once

#include <string>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// What is known of the runs on an endpoint, which may be unknown.
Occupancy OccupancyOf(SchedulerState& state, const std::string& endpoint, TimePoint now);

}  // namespace chervilspar::jobs
