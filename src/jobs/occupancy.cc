#include "jobs/occupancy.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// The endpoint has answered a request that was sent after its evacuation began and after the
/// outcome of the last start was known.
bool IsReportCurrent(const EndpointState& endpoint) {
  const TimePoint last_change = std::max(endpoint.evacuating_since, endpoint.last_start_settled);
  return endpoint.is_evacuating && endpoint.clock_ms && !endpoint.is_silent &&
         endpoint.pending_starts == 0 && endpoint.last_answered_request > last_change;
}

/// The time after which no lease that a predecessor granted holds any more.
TimePoint FormerLeaseEnd(const SchedulerState& state) {
  const SchedulerOptions& options = state.options;
  return state.term_start + options.predecessor_grace + options.TimeToLapse(options.lease_limit);
}

}  // namespace

const char* ToString(Occupancy occupancy) {
  switch (occupancy) {
    case Occupancy::kOccupied:
      return "occupied";
    case Occupancy::kUnconfirmed:
      return "unconfirmed";
    case Occupancy::kEmpty:
      return "empty";
  }
  return "unknown";
}

Occupancy OccupancyOf(SchedulerState& state, const std::string& id, TimePoint now) {
  TimePoint last_lease_end = FormerLeaseEnd(state);
  if (const auto forgotten = state.forgotten_endpoints.find(id);
      forgotten != state.forgotten_endpoints.end()) {
    last_lease_end = std::max(last_lease_end, forgotten->second.lease_end);
  }
  if (const EndpointState* endpoint = state.FindEndpoint(id)) {
    if (!endpoint->claims.empty() || !endpoint->orphaned_runs.empty()) {
      return Occupancy::kOccupied;
    }
    if (IsReportCurrent(*endpoint)) {
      return Occupancy::kEmpty;
    }
    if (endpoint->is_registered && !endpoint->is_silent) {
      return Occupancy::kUnconfirmed;
    }
    last_lease_end = std::max({last_lease_end, endpoint->lease_end, endpoint->long_lease_end});
  }
  return now > last_lease_end ? Occupancy::kEmpty : Occupancy::kUnconfirmed;
}

}  // namespace chervilspar::jobs
