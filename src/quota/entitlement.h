#pragma once

#include <cstdint>
#include <map>

#include "chervilspar/membership/agreement.h"
#include "chervilspar/membership/guard.h"
#include "chervilspar/quota/split.h"

namespace chervilspar::quota {

/// Whether the entry may own any units; see `Membership::MayOwn`.
enum class Ownership { kNone, kMayOwn };

/// Computes how many units of each team's limit this entry owns while configurations change.
///
/// The joint rule: after a configuration change, an entry whose part grows uses only the smallest
/// part that it had since the last configuration in which all entries had settled. It may use its
/// new part once every entry that may still hold more than its own new part has settled. Without
/// the rule, when a unit moves from one entry to another, the new owner could start a task on it
/// while the old one, which is cut off and hasn't received the change, starts another. The team
/// would then run one task above its limit.
///
/// Counting for each entry the larger of the own units that it may use and those that it still
/// uses, the sum is at most the limit: an entry raises its part under version w only when every
/// other entry either settled in w or can't hold more than its part of w under any version that it
/// may have applied.
class Entitlement {
 public:
  Entitlement(EntryId self, membership::Guard joint_rule);

  void OnLimits(const Limits& limits);
  /// Allows the entry to own units. Discards what it knew of earlier parts, since other entries may
  /// act by configurations that this entry skipped while it caught up with the log.
  void OnMayOwn();
  void OnSettled(const membership::Agreement& settled);

  /// Units of the team that this entry may use now.
  std::uint32_t Owned(const TeamId& team) const;
  /// This entry's part of the team's limit under the current configuration.
  std::uint32_t OwnPart(const TeamId& team) const;
  /// Whether `Owned` is below `OwnPart` because of the joint rule.
  bool IsLimitedByJointRule(const TeamId& team) const;
  bool IsKnown(const TeamId& team) const;

 private:
  /// The parts of one team's limit since the last configuration in which all entries had settled.
  struct Window {
    std::uint32_t own_part = 0;
    std::uint32_t min_own_part = 0;
    /// Units that may be used now; updated on each change, since it is read on each request.
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
  /// Whether the windows begin with a configuration in which all entries had settled.
  bool has_settled_base = false;
  /// Whether a configuration since then was skipped, under which other entries may hold any part.
  bool has_gap = false;
  Limits limits;
  std::map<TeamId, Window> windows;
  /// Entries not known to have settled in the current configuration.
  membership::Agreement settled;
};

}  // namespace chervilspar::quota
