#include "chervilspar/quota/split.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "chervilspar/base/hash.h"

namespace chervilspar::quota {

Limits LimitsOf(const config_log::FleetState& state) {
  Limits limits;
  limits.version = state.version;
  for (const auto& [id, entry] : state.inventory.entries) {
    limits.entries.insert(id);
  }
  for (const auto& [id, team] : state.inventory.teams) {
    limits.upper_limits.emplace(id, team.upper_limit);
  }
  const inventory::ServiceRules& rules = state.inventory.service_rules;
  limits.max_task_lease = rules.max_task_lease;
  limits.loan_lease = rules.loan_lease;
  limits.max_clock_skew = rules.max_clock_skew;
  return limits;
}

std::map<EntryId, std::uint32_t> SplitLimit(const std::set<EntryId>& entries, const TeamId& team,
                                            std::uint32_t upper_limit) {
  std::map<EntryId, std::uint32_t> split;
  if (entries.empty()) {
    return split;
  }
  const std::uint64_t team_hash = StableHash(team.text);
  std::vector<std::pair<std::uint64_t, EntryId>> ranked;
  ranked.reserve(entries.size());
  for (const EntryId& entry : entries) {
    ranked.emplace_back(StableHash(entry.text, team_hash), entry);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto count = static_cast<std::uint32_t>(entries.size());
  std::uint32_t odd_units = upper_limit % count;
  for (const auto& [hash, entry] : ranked) {
    split[entry] = upper_limit / count + (odd_units > 0 ? 1 : 0);
    odd_units -= odd_units > 0 ? 1 : 0;
  }
  return split;
}

}  // namespace chervilspar::quota
