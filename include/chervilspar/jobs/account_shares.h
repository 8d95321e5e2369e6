#pragma once

#include <map>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// What one account uses and requests.
struct AccountDemand {
  TeamId team;
  /// Zero, negative or not finite: the smallest valid weight of the demands counts instead.
  double weight = 1.0;
  /// By running batch tasks, over all pools.
  Resources in_use;
  /// `in_use` plus what its on-time batch tasks wait for.
  Resources requested;

  friend bool operator==(const AccountDemand&, const AccountDemand&) = default;
};

/// What one account is due. Amounts are fractions of the capacity in the account's dominant
/// resource: the one of cpu and memory of which it requests the larger fraction.
struct AccountShare {
  double due = 0;
  double used = 0;
  double requested = 0;
  /// The weight that counted.
  double weight = 1.0;

  /// `used` divided by `due`; 0 if nothing is used.
  double Ratio() const;
  /// The account uses more than it is due. Never true while the demands fit the capacity.
  bool IsBeyond() const;

  friend bool operator==(const AccountShare&, const AccountShare&) = default;
};

/// Divides the capacity for batch work among accounts by weighted max-min fairness of their
/// dominant resources.
///
/// Load: more work than the VMs can do, most of it from one or two accounts. Served by deadline
/// alone, the work of such an account makes the jobs of all others late. Capacity that an account
/// doesn't request goes to the others by weight, so a single account may use everything.
class AccountShares {
 public:
  AccountShares() = default;
  /// Each team has at most one demand. A capacity of 0 counts as one unit.
  AccountShares(const std::vector<AccountDemand>& demands, const Resources& capacity);

  /// The demands exceed the capacity.
  bool IsFull() const { return this->is_full; }
  /// Null if the team has no demand.
  const AccountShare* Find(const TeamId& team) const;
  const std::map<TeamId, AccountShare>& All() const { return this->shares; }
  /// The larger of the fractions of the capacity's cpu and memory.
  double DominantFraction(const Resources& amount) const;

 private:
  std::map<TeamId, AccountShare> shares;
  Resources capacity;
  bool is_full = false;
};

}  // namespace chervilspar::jobs
