#pragma once

#include <map>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/scheduling/fair_queue.h"
#include "chervilspar/scheduling/shard_report.h"

/// Divides the slots of a service over teams and entries.
///
/// Load pattern: all load of one team lands on one entry. Without this module each entry is fair
/// inside and gets as many slots as it can grab, so a team's part depends on which entries its
/// callers reach. Here every entry computes, from the reports of all, the same weighted max-min
/// division of slots over teams, and splits each team's part over entries by where its demand is.
namespace chervilspar::scheduling {

/// A team's part of the slots; fractions are met on average over time.
struct TeamAllocation {
  TeamId team;
  /// In the whole fleet.
  double slots = 0.0;
  /// At this entry.
  double local_slots = 0.0;

  friend bool operator==(const TeamAllocation&, const TeamAllocation&) = default;
};

/// An entry's part of the slots.
struct EntryAllocation {
  EntryId entry;
  ZoneId zone;
  double slots = 0.0;

  friend bool operator==(const EntryAllocation&, const EntryAllocation&) = default;
};

struct Division {
  std::vector<TeamAllocation> teams;
  /// In the order of entry ids, this entry included; adds up to all slots.
  std::vector<EntryAllocation> entries;
  /// Slots that no demand fills.
  double idle_slots = 0.0;
  /// Slots that all demand together could fill.
  double demand = 0.0;
  /// Slots for one unit of share among the teams that want more than they get.
  double slots_per_share = 0.0;

  friend bool operator==(const Division&, const Division&) = default;
};

/// A peer's last report, and when it was made on this entry's clock.
struct PeerReport {
  ZoneId zone;
  ShardReport report;
  TimePoint created_at;

  friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

class FleetShares {
 public:
  FleetShares(EntryId self, ZoneId zone) : self(std::move(self)), zone(std::move(zone)) {}

  void OnReport(const EntryId& peer, PeerReport report);
  /// Drops peers whose last report is older than `timeout`. Their slots would idle otherwise.
  void RemoveStalePeers(TimePoint now, Duration timeout);
  const std::map<EntryId, PeerReport>& Peers() const { return this->peers; }

  /// `own` is this entry's use; `share_of` gives the share of teams seen only in reports.
  Division Divide(const std::vector<TeamLoad>& own, const FairQueue& queue, double slots,
                  ShareScope scope) const;

 private:
  EntryId self;
  ZoneId zone;
  std::map<EntryId, PeerReport> peers;
};

}  // namespace chervilspar::scheduling
