#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::config_log {

/// Withdrawals that came from a peer or an operator ahead of the log, in force at once.
///
/// Keys can be withdrawn while the log is down. A withdrawal only ever grows the set of withdrawn
/// keys, so it may be applied in any order and before it is in the log; it is appended when the log
/// is back.
class KeyOverlay {
 public:
  /// Most withdrawals held; more than an operator hands over in any outage.
  static constexpr std::size_t kMaxWithdrawals = 65536;

  /// Applies a withdrawal; whether it is news.
  bool Withdraw(const KeyDigest& digest);

  /// Forgets what the folded state holds by now.
  void OnState(const FleetState& state);

  /// The withdrawals that are not yet in the log, for appending and for peers.
  const std::set<KeyDigest>& Pending() const { return this->withdrawn; }

  /// The team whose key this is, unless it is withdrawn here or in the state.
  std::optional<TeamId> Authenticate(const FleetState& state, const KeyDigest& digest) const;

 private:
  std::set<KeyDigest> withdrawn;
};

}  // namespace chervilspar::config_log
