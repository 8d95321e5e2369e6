#include "chervilspar/scheduling/fleet_shares.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace chervilspar::scheduling {

namespace {

/// A team's demand in the fleet and at this entry, and the slots allocated to it.
struct Demand {
  TeamId team;
  double share = 1.0;
  double total = 0.0;
  double local = 0.0;
  double slots = 0.0;
};

/// Weighted max-min fairness: teams that demand less than their share get all that they demand, and
/// the rest goes to the others by share. Returns the slots per unit of share among the others.
double FillByShare(std::vector<Demand>& demands, double slots) {
  std::sort(demands.begin(), demands.end(), [](const Demand& left, const Demand& right) {
    return std::pair(left.total / left.share, left.team) <
           std::pair(right.total / right.share, right.team);
  });
  double shares_left = 0.0;
  for (const Demand& demand : demands) {
    shares_left += demand.share;
  }
  double slots_left = slots;
  double slots_per_share = 0.0;
  for (Demand& demand : demands) {
    slots_per_share = slots_left / shares_left;
    demand.slots = std::min(demand.total, demand.share * slots_per_share);
    slots_left -= demand.slots;
    shares_left -= demand.share;
  }
  return slots_per_share;
}

double DemandOf(const TeamLoad& load, double slots) {
  return std::min(static_cast<double>(load.demand), slots);
}

}  // namespace

void FleetShares::OnReport(const EntryId& peer, PeerReport report) {
  this->peers.insert_or_assign(peer, std::move(report));
}

void FleetShares::RemoveStalePeers(TimePoint now, Duration timeout) {
  std::erase_if(this->peers,
                [&](const auto& peer) { return now - peer.second.created_at > timeout; });
}

Division FleetShares::Divide(const std::vector<TeamLoad>& own, const FairQueue& queue, double slots,
                             ShareScope scope) const {
  std::unordered_map<TeamId, std::size_t> index_of;
  std::vector<Demand> demands;
  const auto add = [&](const TeamLoad& load, bool is_local) {
    const auto [found, is_new] = index_of.try_emplace(load.team, demands.size());
    if (is_new) {
      const auto share = queue.FindTeam(load.team);
      demands.push_back({load.team, share ? share->share : 1.0});
    }
    demands[found->second].total += DemandOf(load, slots);
    demands[found->second].local += is_local ? DemandOf(load, slots) : 0.0;
  };
  for (const TeamLoad& load : own) {
    add(load, true);
  }
  const bool is_fleet = scope == ShareScope::kFleet;
  for (const auto& [peer, report] : this->peers) {
    for (const TeamLoad& load : report.report.teams) {
      if (is_fleet) {
        add(load, false);
      }
    }
  }
  Division division;
  division.slots_per_share = FillByShare(demands, slots);
  std::unordered_map<TeamId, double> slots_per_demand;
  double used = 0.0;
  double local = 0.0;
  for (const Demand& demand : demands) {
    const double rate = demand.total > 0.0 ? demand.slots / demand.total : 0.0;
    slots_per_demand[demand.team] = rate;
    division.teams.push_back({demand.team, demand.slots, demand.local * rate});
    used += demand.slots;
    division.demand += demand.total;
    local += demand.local * rate;
  }
  division.idle_slots = std::max(0.0, slots - used);
  const double headroom = division.idle_slots / static_cast<double>(this->peers.size() + 1);
  division.entries.push_back({this->self, this->zone, local + headroom});
  for (const auto& [peer, report] : this->peers) {
    double entry_slots = headroom;
    for (const TeamLoad& load : report.report.teams) {
      const auto rate = slots_per_demand.find(load.team);
      entry_slots += rate == slots_per_demand.end() ? 0.0 : DemandOf(load, slots) * rate->second;
    }
    division.entries.push_back({peer, report.zone, entry_slots});
  }
  std::sort(division.entries.begin(), division.entries.end(),
            [](const EntryAllocation& left, const EntryAllocation& right) {
              return left.entry < right.entry;
            });
  return division;
}

}  // namespace chervilspar::scheduling
