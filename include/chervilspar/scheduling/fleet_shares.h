#pragma once

#include <map>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/scheduling/fair_queue.h"
#include "chervilspar/scheduling/shard_report.h"

/// Divides the slots of a service over teams and entries.
///
/// If each entry divided only the slots that it can get, a team's allocation would depend on which
/// entries its callers reach, for instance when all load of one team arrives at one entry.
/// Therefore each entry computes the same weighted max-min division of slots over teams from the
/// reports of all entries, and splits each team's allocation over entries in proportion to its
/// demand there.
namespace chervilspar::scheduling {

/// The slots allocated to a team. Fractional slots are met on average over time.
struct TeamAllocation {
  TeamId team;
  /// Slots in the whole fleet.
  double slots = 0.0;
  /// Slots at this entry.
  double local_slots = 0.0;

  friend bool operator==(const TeamAllocation&, const TeamAllocation&) = default;
};

/// The slots allocated to an entry.
struct EntryAllocation {
  EntryId entry;
  ZoneId zone;
  double slots = 0.0;

  friend bool operator==(const EntryAllocation&, const EntryAllocation&) = default;
};

/// A division of all slots of a service over teams and entries.
struct Division {
  std::vector<TeamAllocation> teams;
  /// Sorted by entry id, this entry included. The slots add up to all slots of the service.
  std::vector<EntryAllocation> entries;
  /// Slots that exceed the demand.
  double idle_slots = 0.0;
  /// Total demand of all teams, in slots.
  double demand = 0.0;
  /// Slots per unit of share among the teams whose demand exceeds their allocation.
  double slots_per_share = 0.0;

  friend bool operator==(const Division&, const Division&) = default;
};

/// A peer's last report. `created_at` is its creation time by this entry's clock.
struct PeerReport {
  ZoneId zone;
  ShardReport report;
  TimePoint created_at;

  friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

/// Keeps the last reports of the peers and divides the slots of one service.
class FleetShares {
 public:
  FleetShares(EntryId self, ZoneId zone) : self(std::move(self)), zone(std::move(zone)) {}

  /// Replaces the last report of a peer.
  void OnReport(const EntryId& peer, PeerReport report);
  /// Removes peers whose last report is older than `timeout`. Otherwise their slots would stay
  /// idle.
  void RemoveStalePeers(TimePoint now, Duration timeout);
  const std::map<EntryId, PeerReport>& Peers() const { return this->peers; }

  /// Divides `slots` by the load `own` of this entry and the reports of its peers. `queue` provides
  /// the share of each team; a team that it does not know has a share of 1.
  Division Divide(const std::vector<TeamLoad>& own, const FairQueue& queue, double slots,
                  ShareScope scope) const;

 private:
  EntryId self;
  ZoneId zone;
  std::map<EntryId, PeerReport> peers;
};

}  // namespace chervilspar::scheduling
