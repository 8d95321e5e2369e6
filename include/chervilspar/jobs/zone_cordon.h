#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::jobs {

/// The availability zones in which operators want nothing started; what runs there runs on.
///
/// What can go wrong: a process that was frozen, or is cut off from the store, takes a zone for
/// open that was cordoned meanwhile, and starts tasks there after operators were promised that none
/// starts. So a start needs not only an open zone but young proof of it.
class ZoneCordon {
 public:
  /// `bound`: so long after a cordon was stored, nothing may start in its zone. Without a bound
  /// nothing is promised, and what was known last counts however old it is.
  explicit ZoneCordon(std::optional<Duration> bound) : bound(bound) {}

  /// False when that changes nothing.
  bool Add(const ZoneId& zone) { return this->zones.insert(zone).second; }
  bool Remove(const ZoneId& zone) { return this->zones.erase(zone) > 0; }
  const std::set<ZoneId>& Zones() const { return this->zones; }
  /// False for an empty list: nobody knows then which zones there are.
  bool CoversAll(const std::vector<ZoneId>& all) const;
  /// Whether a start may leave for the zone now. `proof`: all that was stored before is known here.
  bool MayStart(const ZoneId& zone, TimePoint now, std::optional<TimePoint> proof) const;

 private:
  const std::optional<Duration> bound;
  std::set<ZoneId> zones;
};

}  // namespace chervilspar::jobs
