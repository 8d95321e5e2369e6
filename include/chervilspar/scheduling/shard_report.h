#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

/// The load of one team of one service at one entry, as reported to the other entries. Teams
/// without work are omitted.
struct TeamLoad {
  TeamId team;
  /// Slots that the team's work at this entry could fill now: running plus waiting requests. The
  /// waiting ones are capped, so that a long queue does not count for more than the whole pool.
  std::uint32_t demand = 0;
  /// Slots that the team uses now.
  std::uint32_t running = 0;

  friend bool operator==(const TeamLoad&, const TeamLoad&) = default;
};

/// The number of tasks that this entry has in flight at an endpoint. Endpoints without any are
/// omitted.
struct EndpointLoad {
  VmId endpoint;
  std::uint32_t in_flight = 0;

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// One entry's view of one service, sent to the other entries that serve it. It takes about 120
/// bytes.
struct ShardReport {
  ServiceId service;
  std::vector<TeamLoad> teams;
  std::vector<EndpointLoad> endpoints;
  /// Endpoints that this entry has ejected.
  std::vector<VmId> ejected;
  /// Number of running urgent tasks.
  std::uint32_t urgent_running = 0;
  /// Number of waiting urgent requests for which this entry has no task of its own to preempt, and
  /// the age of the oldest.
  std::uint32_t urgent_waiting = 0;
  Duration urgent_age = Duration::zero();

  friend bool operator==(const ShardReport&, const ShardReport&) = default;
};

}  // namespace chervilspar::scheduling
