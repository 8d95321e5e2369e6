#include "lender_selector.h"

#include <algorithm>

namespace chervilspar::quota {

namespace {

/// Avoids overflow; 2^10 times the first back-off exceeds every maximum.
constexpr std::uint32_t kMaxDoublings = 10;

}  // namespace

void LenderSelector::OnDeclined(const TeamId& team, const EntryId& lender, TimePoint now) {
  Decline& decline = this->declines[{team, lender}];
  decline.at = now;
  ++decline.count;
}

void LenderSelector::OnOffer(const TeamId& team, const EntryId& lender) {
  this->declines.erase({team, lender});
}

Duration LenderSelector::BackoffAfter(std::uint32_t count) const {
  const std::uint32_t doublings = std::min(count - 1, kMaxDoublings);
  return std::min(this->policy.max_decline_backoff,
                  this->policy.decline_backoff * (std::int64_t{1} << doublings));
}

const EntryId* LenderSelector::Next(const TeamId& team, const std::vector<EntryId>& lenders,
                                    TimePoint now) {
  std::size_t& start = this->next[team];
  for (std::size_t tried = 0; tried < lenders.size(); ++tried) {
    const std::size_t at = (start + tried) % lenders.size();
    const auto decline = this->declines.find({team, lenders[at]});
    const bool may_ask = decline == this->declines.end() ||
                         now - decline->second.at >= this->BackoffAfter(decline->second.count);
    if (may_ask) {
      // The same lender is asked until it declines; the back-off then skips to the next.
      start = at;
      return &lenders[at];
    }
  }
  return nullptr;
}

void LenderSelector::Clear() {
  this->declines.clear();
  this->next.clear();
}

}  // namespace chervilspar::quota
