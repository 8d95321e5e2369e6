#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

/// What one entry tells the others of one team in one service. Teams without work are left out.
struct TeamLoad {
  TeamId team;
  /// Slots that the team's work at this entry could fill now: running plus waiting, the waiting
  /// part capped, so that a long queue does not count for more than the whole pool.
  std::uint32_t demand = 0;
  /// Slots that it holds now.
  std::uint32_t running = 0;

  friend bool operator==(const TeamLoad&, const TeamLoad&) = default;
};

/// Own tasks in flight at an endpoint; endpoints without any are left out.
struct EndpointLoad {
  VmId endpoint;
  std::uint32_t in_flight = 0;

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// One entry's view of one service, sent to the other entries that serve it. At today's size some
/// 120 bytes.
struct ShardReport {
  ServiceId service;
  std::vector<TeamLoad> teams;
  std::vector<EndpointLoad> endpoints;
  /// Endpoints that this entry has ejected.
  std::vector<VmId> ejected;
  /// Urgent tasks running.
  std::uint32_t urgent_running = 0;
  /// Urgent requests that wait and for which this entry has no task of its own to stop, and the age
  /// of the oldest.
  std::uint32_t urgent_waiting = 0;
  Duration urgent_age = Duration::zero();

  friend bool operator==(const ShardReport&, const ShardReport&) = default;
};

}  // namespace chervilspar::scheduling
