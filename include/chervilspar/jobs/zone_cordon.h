#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::jobs {

/// The availability zones in which operators allow no starts; active runs continue.
///
/// A process that was suspended, or is partitioned from the store, may still consider a zone open
/// that has been cordoned, and would start tasks there after operators were promised that none
/// starts. Therefore a start needs an open zone and recent proof that it is open.
class ZoneCordon {
 public:
  /// `bound`: the time after the storing of a cordon from which on nothing starts in its zone.
  /// Without a bound nothing is promised, and the last known state counts regardless of its age.
  explicit ZoneCordon(std::optional<Duration> bound) : bound(bound) {}

  /// `Add` and `Remove` return false if the zone was already in that state.
  bool Add(const ZoneId& zone) { return this->zones.insert(zone).second; }
  bool Remove(const ZoneId& zone) { return this->zones.erase(zone) > 0; }
  const std::set<ZoneId>& Zones() const { return this->zones; }
  /// Whether all zones of `all` are cordoned; false for an empty list, as the zones are unknown
  /// then.
  bool CoversAll(const std::vector<ZoneId>& all) const;
  /// Whether a start may be sent to the zone at `now`. `proof`: the time up to which everything
  /// stored is known to this process.
  bool MayStart(const ZoneId& zone, TimePoint now, std::optional<TimePoint> proof) const;

 private:
  const std::optional<Duration> bound;
  std::set<ZoneId> zones;
};

}  // namespace chervilspar::jobs
