#include "chervilspar/jobs/zone_cordon.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// The part of the bound that is left for a start's way, at most half of it: a read of the store
/// may miss a record for a second, and an order is given up 0.65 s after it has left, carried by
/// another entry.
constexpr Duration kWay = std::chrono::milliseconds(2000);

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
  const Duration way = std::min<Duration>(kWay, *this->bound / 2);
  return proof && now - *proof < *this->bound - way;
}

}  // namespace chervilspar::jobs
