#pragma once

#include <array>
#include <cstdint>
#include <list>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/time.h"
#include "chervilspar/scheduling/fair_queue.h"
#include "chervilspar/scheduling/team_share.h"

namespace chervilspar::scheduling {

/// A ticket in its lane.
struct WaitingTicket {
  admission::Ticket ticket;
  Duration expected = Duration::zero();
  /// Order of arrival in the whole shard.
  std::uint64_t sequence = 0;
};

/// One lane of a team, in order of arrival.
struct LaneQueue {
  std::list<WaitingTicket> tickets;
  Duration cost = Duration::zero();
  /// Slot time charged to the lane, in seconds over its weight, to alternate lanes by time and not
  /// by count.
  double charged = 0.0;
};

/// Slot time that the short lane gets for each one of the long lane while both wait. Short requests
/// are the ones whose callers notice a second, and a fifth of the team's part still moves the long
/// ones on.
inline constexpr int kShortLaneWeight = 4;

/// Where the team's entry is kept.
enum class Filing { kIdle, kReady, kParked };

/// All that the fair queue keeps of a team.
struct TeamQueue {
  TeamShare share;
  double weight = 1.0;
  /// Virtual start time of its next request.
  double start = 0.0;
  std::array<LaneQueue, 3> lanes;
  /// Virtual time between the lanes: what the lane served last had been charged before.
  double lane_time = 0.0;
  std::uint32_t running = 0;
  Duration used = Duration::zero();
  Filing filing = Filing::kIdle;
  /// The key under which it is filed as ready.
  double filed_key = 0.0;
  TimePoint parked_until;
  /// No longer configured; kept while tasks run.
  bool gone = false;

  LaneQueue& At(Lane lane) { return this->lanes.at(static_cast<std::size_t>(lane)); }
  const LaneQueue& At(Lane lane) const { return this->lanes.at(static_cast<std::size_t>(lane)); }
  std::uint32_t WaitingCount() const;
  Duration WaitingCost() const;
};

/// A started ticket that has not ended.
struct FairQueue::Running {
  Index team = 0;
  WaitingTicket waiting;
  Lane lane = Lane::kShort;
  TimePoint started;
  Duration charged = Duration::zero();
};

/// Where a waiting ticket stands.
struct FairQueue::Place {
  Index team = 0;
  Lane lane = Lane::kShort;
  std::list<WaitingTicket>::iterator position;
};

}  // namespace chervilspar::scheduling
