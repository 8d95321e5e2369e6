#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/quota.h"

namespace chervilspar::quota {

/// Selects the entry to ask for units of a team.
///
/// When a team is at its limit everywhere, every entry with a waiting request asks every other. At
/// a fixed rate, 9 entries and 560 such teams would exceed the 13 KB a second that control messages
/// may use. The wait before an entry is asked again therefore doubles with each decline; the lender
/// sends a notice when it has units to lend.
class LenderSelector {
 public:
  explicit LenderSelector(const LendingPolicy& policy) : policy(policy) {}

  void OnDeclined(const TeamId& team, const EntryId& lender, TimePoint now);
  /// Call when the lender has granted a loan or sent a notice that it has units to lend.
  void OnOffer(const TeamId& team, const EntryId& lender);
  /// The entry to ask now; null while the back-off of every lender lasts.
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
