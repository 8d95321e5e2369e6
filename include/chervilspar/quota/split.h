#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "chervilspar/base/ids.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::quota {

/// The settings of an accepted configuration from which limits are computed.
struct Limits {
  config_log::ConfigVersion version = 0;
  std::set<EntryId> entries;
  /// Maximum number of tasks that a team may run at once across the fleet.
  std::map<TeamId, std::uint32_t> upper_limits;
  /// Maximum task lease given to an endpoint.
  Duration max_task_lease = std::chrono::seconds(60);
  /// How long a borrower may start tasks on a loan.
  Duration loan_lease = std::chrono::seconds(5);
  /// Assumed maximum difference between the wall clocks of two VMs.
  Duration max_clock_skew = std::chrono::milliseconds(500);

  friend bool operator==(const Limits&, const Limits&) = default;
};

Limits LimitsOf(const config_log::FleetState& state);

/// Splits one team's limit over the entries. The parts add up to the limit; every entry computes
/// the same split from the same configuration, without exchanging messages.
///
/// Parts differ by at most one unit. The remainder goes to the first entries by rendezvous hash of
/// (team, entry), so that small limits of different teams lie on different entries, and a change of
/// the list of entries moves few units.
std::map<EntryId, std::uint32_t> SplitLimit(const std::set<EntryId>& entries, const TeamId& team,
                                            std::uint32_t upper_limit);

}  // namespace chervilspar::quota
