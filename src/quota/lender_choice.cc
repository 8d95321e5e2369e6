#include "lender_choice.h"

#include <algorithm>

namespace chervilspar::quota {

namespace {

/// 2^10 pauses are above every maximum.
constexpr std::uint32_t kMaxDoublings = 10;

}  // namespace

void LenderChoice::OnDeclined(const TeamId& team, const EntryId& lender, TimePoint now) {
  Declined& known = this->declined[{team, lender}];
  known.at = now;
  ++known.times;
}

void LenderChoice::OnWilling(const TeamId& team, const EntryId& lender) {
  this->declined.erase({team, lender});
}

Duration LenderChoice::PauseAfter(std::uint32_t times) const {
  const std::uint32_t doublings = std::min(times - 1, kMaxDoublings);
  return std::min(this->policy.longest_pause,
                  this->policy.pause_after_decline * (std::int64_t{1} << doublings));
}

const EntryId* LenderChoice::Next(const TeamId& team, const std::vector<EntryId>& lenders,
                                  TimePoint now) {
  std::size_t& start = this->next[team];
  for (std::size_t tried = 0; tried < lenders.size(); ++tried) {
    const std::size_t at = (start + tried) % lenders.size();
    const auto known = this->declined.find({team, lenders[at]});
    const bool may_ask = known == this->declined.end() ||
                         now - known->second.at >= this->PauseAfter(known->second.times);
    if (may_ask) {
      // Stay with this lender while it lends; a decline moves on to the next.
      start = at;
      return &lenders[at];
    }
  }
  return nullptr;
}

void LenderChoice::Clear() {
  this->declined.clear();
  this->next.clear();
}

}  // namespace chervilspar::quota
