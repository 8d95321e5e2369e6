#pragma once

#include <cstdint>
#include <map>

#include "chervilspar/membership/agreement.h"
#include "chervilspar/membership/guard.h"
#include "chervilspar/quota/split.h"

namespace chervilspar::quota {

/// Whether the entry may own units at all; see `Membership::MayOwn`.
enum class Ownership { kNone, kMayOwn };

/// What this entry owns of each team's limit while configurations change.
///
/// The joint rule: after a change an entry that gains uses the smallest part it had since the last
/// configuration that all entries had settled in, until every entry that may still hold more than
/// its new part has settled. What goes wrong otherwise: a unit moves from one entry to another, the
/// new holder starts a task on it, and the old one, which is cut off and knows nothing of the
/// change, starts another; the team runs one task above its limit.
///
/// The sum over all entries of what this returns, taken with what each still uses, is at most the
/// limit: an entry raises its part under version w only when every other entry either settled in w
/// or can't hold more than its part of w under any version that it may be at.
class Entitlement {
 public:
  Entitlement(EntryId self, membership::Guard joint_rule);

  void OnLimits(const Limits& limits);
  /// From here on the entry may own units. What it knew before does not count: configurations that
  /// it skipped while it caught up may be in force elsewhere.
  void OnMayOwn();
  void OnSettled(const membership::Agreement& settled);

  /// Units of the team that this entry may use now.
  std::uint32_t Owned(const TeamId& team) const;
  /// This entry's part under the current configuration.
  std::uint32_t OwnPart(const TeamId& team) const;
  /// Whether `Owned` is below `OwnPart` because of the joint rule.
  bool IsLimitedByJointRule(const TeamId& team) const;
  bool IsKnown(const TeamId& team) const;

 private:
  /// One team over the configurations since the last that all had settled in.
  struct Window {
    std::uint32_t own_part = 0;
    std::uint32_t min_own_part = 0;
    /// What may be used now; worked out on each change, and read on each request.
    std::uint32_t owned = 0;
    std::map<EntryId, std::uint32_t> parts;
    std::map<EntryId, std::uint32_t> max_parts;
  };

  void StartFromSettled();
  void RestartWindows();
  void ExtendWindow(const TeamId& team, std::uint32_t upper_limit);
  void UpdateOwned();
  std::uint32_t OwnedOf(const Window& window) const;
  bool MayOthersHoldMore(const Window& window) const;

  EntryId self;
  membership::Guard joint_rule;
  Ownership ownership = Ownership::kNone;
  /// Whether the windows reach back to a configuration that all entries had settled in.
  bool has_settled_base = false;
  /// Whether a configuration since then was skipped. Other entries may hold any part under it.
  bool has_gap = false;
  Limits limits;
  std::map<TeamId, Window> windows;
  /// Who has not settled in the current configuration, as far as known.
  membership::Agreement settled;
};

}  // namespace chervilspar::quota
