#pragma once

#include <array>
#include <cstdint>
#include <list>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/time.h"
#include "chervilspar/scheduling/fair_queue.h"
#include "chervilspar/scheduling/team_share.h"

namespace chervilspar::scheduling {

/// A waiting ticket of a lane.
struct WaitingTicket {
  admission::Ticket ticket;
  /// Expected run time.
  Duration expected = Duration::zero();
  /// Order of arrival in the whole shard.
  std::uint64_t sequence = 0;
};

/// One lane of a team, in order of arrival.
struct LaneQueue {
  std::list<WaitingTicket> tickets;
  /// Total expected run time of the tickets.
  Duration cost = Duration::zero();
  /// Slot seconds charged to the lane, divided by its weight. The lanes alternate by this value
  /// rather than by the number of requests.
  double charged = 0.0;
};

/// Ratio of slot time between the short and the long lane while both have waiting requests. Callers
/// of short requests notice a delay of a second, and a fifth of the team's slot time still lets the
/// long ones progress.
inline constexpr int kShortLaneWeight = 4;

/// Whether a team has no waiting request (idle), may start one (ready) or is at its limit (parked).
enum class TeamState { kIdle, kReady, kParked };

/// The state that the fair queue keeps for a team.
struct TeamQueue {
  TeamShare share;
  double weight = 1.0;
  /// Virtual start time of the next request.
  double start = 0.0;
  std::array<LaneQueue, 3> lanes;
  /// Virtual time of the lanes: the charge of the last served lane before that start.
  double lane_virtual_time = 0.0;
  std::uint32_t running = 0;
  Duration used = Duration::zero();
  TeamState state = TeamState::kIdle;
  /// The key under which the team is in the ready set.
  double ready_key = 0.0;
  TimePoint parked_until;
  /// Whether the team was removed from the configuration. Its running tasks are still counted.
  bool is_removed = false;

  LaneQueue& At(Lane lane) { return this->lanes.at(static_cast<std::size_t>(lane)); }
  const LaneQueue& At(Lane lane) const { return this->lanes.at(static_cast<std::size_t>(lane)); }
  std::uint32_t WaitingCount() const;
  Duration WaitingCost() const;
};

/// A started ticket that has not finished.
struct FairQueue::Running {
  Index team = 0;
  WaitingTicket waiting;
  Lane lane = Lane::kShort;
  TimePoint started;
  Duration charged = Duration::zero();
};

/// The queue position of a waiting ticket.
struct FairQueue::Location {
  Index team = 0;
  Lane lane = Lane::kShort;
  std::list<WaitingTicket>::iterator position;
};

}  // namespace chervilspar::scheduling
