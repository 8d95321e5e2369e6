#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "chervilspar/base/ids.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::quota {

/// The part of an accepted configuration that limits depend on.
struct Limits {
  config_log::ConfigVersion version = 0;
  std::set<EntryId> entries;
  /// Most tasks that a team may run at once across the fleet.
  std::map<TeamId, std::uint32_t> upper_limits;
  /// Longest task lease given to an endpoint.
  Duration max_task_lease = std::chrono::seconds(60);
  /// Longest that a borrower may start tasks on a loan.
  Duration loan_lease = std::chrono::seconds(5);
  /// Assumed bound on the difference of two VMs' wall clocks.
  Duration max_clock_skew = std::chrono::milliseconds(500);

  friend bool operator==(const Limits&, const Limits&) = default;
};

Limits LimitsOf(const config_log::FleetState& state);

/// Each entry's part of one team's limit. The parts add up to the limit; every entry computes the
/// same ones from the same configuration, without a word to the others.
///
/// Parts differ by at most one unit. Those that get the odd units are the first by rendezvous hash
/// of (team, entry), so that small limits are spread over different entries for different teams,
/// and a change of the list moves few units.
std::map<EntryId, std::uint32_t> SplitLimit(const std::set<EntryId>& entries, const TeamId& team,
                                            std::uint32_t upper_limit);

}  // namespace chervilspar::quota
