#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/account_shares.h"

namespace chervilspar::jobs {

/// What one account uses and is due.
struct AccountUse {
  /// By batch tasks with a claim, in all pools. Always current.
  Resources in_use;
  /// Estimated work of these tasks, in thousandths of a core times milliseconds. Always current.
  double claimed_work = 0;
  /// Work that is claimed or waits and is on time, over all pools, at the last division; in the
  /// unit of `claimed_work`.
  double open_work = 0;
  /// As `AccountShare::due`; infinite while all demands fit.
  double due = std::numeric_limits<double>::infinity();
};

/// The last division of the capacity for batch work among accounts, and the use since then.
struct AccountDivision {
  /// True if the account now uses more than it is due.
  bool IsBeyond(const TeamId& team) const;

  AccountShares shares;
  std::unordered_map<TeamId, AccountUse> accounts;
  /// When `shares` was computed; empty if it must be computed in the next round.
  std::optional<TimePoint> computed;
  /// The number of jobs reported as waiting behind the share of their account.
  std::uint64_t jobs_behind = 0;
};

}  // namespace chervilspar::jobs
