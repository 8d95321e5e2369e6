#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/quota.h"

namespace chervilspar::quota {

/// Chooses whom to ask for units of a team.
///
/// When a team is at its limit everywhere, every entry with a waiting request asks every other. At
/// a fixed pace, 9 entries and 560 such teams would send far more than the 13 KB a second that
/// control may take. So an entry that declined is asked again after twice as long each time; it
/// tells by itself when it has units to lend.
class LenderSelector {
 public:
  explicit LenderSelector(const LendingPolicy& policy) : policy(policy) {}

  void OnDeclined(const TeamId& team, const EntryId& lender, TimePoint now);
  /// The lender has lent, or says that it can.
  void OnOffer(const TeamId& team, const EntryId& lender);
  /// The entry to ask now; null when all have declined lately.
  const EntryId* Next(const TeamId& team, const std::vector<EntryId>& lenders, TimePoint now);
  void Clear();

 private:
  struct Decline {
    TimePoint at;
    std::uint32_t count = 0;
  };

  Duration BackoffAfter(std::uint32_t count) const;

  LendingPolicy policy;
  std::map<std::pair<TeamId, EntryId>, Decline> declines;
  std::map<TeamId, std::size_t> next;
};

}  // namespace chervilspar::quota
