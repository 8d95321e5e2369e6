#include "chervilspar/load_balancing/slot_split.h"

#include <algorithm>
#include <map>

namespace chervilspar::load_balancing {

namespace {

/// An interval of slot numbers, with fractions of a slot.
struct Interval {
  double from = 0.0;
  double to = 0.0;
};

/// One zone's slots and the demand of the zone's own entries for them.
struct ZoneSlots {
  double slots = 0.0;
  double wanted = 0.0;
  /// Slots assigned so far to entries of the zone.
  double assigned = 0.0;

  double LocalRate() const { return this->wanted > this->slots ? this->slots / this->wanted : 1.0; }
  double LeftOver() const { return std::max(0.0, this->slots - this->wanted); }
};

/// The slots that belong to `self`: an interval of its own zone's slots, and one of the left-over
/// slots of all zones, numbered consecutively.
struct OwnIntervals {
  Interval local;
  Interval left_over;
};

OwnIntervals AssignIntervals(std::map<ZoneId, ZoneSlots>& zones,
                             const std::vector<scheduling::EntryAllocation>& entries,
                             const EntryId& self) {
  OwnIntervals own;
  double assigned_outside = 0.0;
  for (const scheduling::EntryAllocation& entry : entries) {
    ZoneSlots& zone = zones[entry.zone];
    const double local = entry.slots * zone.LocalRate();
    const double outside = entry.slots - local;
    if (entry.entry == self) {
      own.local = {zone.assigned, zone.assigned + local};
      own.left_over = {assigned_outside, assigned_outside + outside};
    }
    zone.assigned += local;
    assigned_outside += outside;
  }
  return own;
}

double Overlap(const Interval& left, const Interval& right) {
  return std::max(0.0, std::min(left.to, right.to) - std::max(left.from, right.from));
}

}  // namespace

std::vector<double> SplitSlots(const std::vector<Endpoint>& endpoints,
                               const std::vector<scheduling::EntryAllocation>& entries,
                               const EntryId& self) {
  std::map<ZoneId, ZoneSlots> zones;
  for (const Endpoint& endpoint : endpoints) {
    zones[endpoint.zone].slots += endpoint.slots;
  }
  ZoneId own_zone;
  for (const scheduling::EntryAllocation& entry : entries) {
    zones[entry.zone].wanted += entry.slots;
    if (entry.entry == self) {
      own_zone = entry.zone;
    }
  }
  const OwnIntervals own = AssignIntervals(zones, entries, self);

  std::map<ZoneId, double> left_over_start;
  double start = 0.0;
  for (const auto& [id, zone] : zones) {
    left_over_start[id] = start;
    start += zone.LeftOver();
  }
  std::map<ZoneId, double> next_slot;
  std::vector<double> split;
  split.reserve(endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    const ZoneSlots& zone = zones[endpoint.zone];
    double& from = next_slot[endpoint.zone];
    const Interval slots{from, from + endpoint.slots};
    from = slots.to;
    double part = endpoint.zone == own_zone ? Overlap(slots, own.local) : 0.0;
    // Slots of a zone from `wanted` on are left over. Adding `shift` converts their numbers within
    // the zone to numbers among the left-over slots of all zones.
    const double shift = left_over_start[endpoint.zone] - zone.wanted;
    const Interval left_over{std::max(slots.from, zone.wanted) + shift, slots.to + shift};
    part += left_over.to > left_over.from ? Overlap(left_over, own.left_over) : 0.0;
    split.push_back(part);
  }
  return split;
}

}  // namespace chervilspar::load_balancing
