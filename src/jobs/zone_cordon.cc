#include "chervilspar/jobs/zone_cordon.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// The part of the bound that is reserved for the delivery of a start, at most half of it: a read
/// of the store may miss a record for 1 s, and an order that another entry forwards is abandoned
/// 0.65 s after it was sent.
constexpr Duration kMaxStartDelay = std::chrono::milliseconds(2000);

}  // namespace

bool ZoneCordon::CoversAll(const std::vector<ZoneId>& all) const {
  return !all.empty() && std::all_of(all.begin(), all.end(), [this](const ZoneId& zone) {
    return this->zones.contains(zone);
  });
}

bool ZoneCordon::MayStart(const ZoneId& zone, TimePoint now, std::optional<TimePoint> proof) const {
  if (this->zones.contains(zone)) {
    return false;
  }
  if (!this->bound) {
    return true;
  }
  const Duration delay = std::min<Duration>(kMaxStartDelay, *this->bound / 2);
  return proof && now - *proof < *this->bound - delay;
}

}  // namespace chervilspar::jobs
