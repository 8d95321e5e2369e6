#include <algorithm>
#include <cmath>

#include "dispatch/service_shard_state.h"

namespace chervilspar::dispatch {

namespace {

/// Longest and shortest time between two divisions: the demand of a burst doubles within some
/// 100 ms, and one division takes up to a millisecond with 560 teams.
constexpr Duration kLongestBetween = std::chrono::milliseconds(100);
constexpr Duration kShortestBetween = std::chrono::milliseconds(25);

/// Demand, as a part of the slots, at which the fleet counts as full. Below the capacity, too,
/// demand exceeds the slots for moments, and with a few long tasks for seconds; holding each entry
/// to its part then makes requests wait beside free slots. In an overload that lasts, more wait
/// than run within a second.
constexpr double kFullAt = 2.0;
/// Part of the way from the last reported demand to the present one. Queues of few requests go up
/// and down by tens of percent all the time; following that moves slots between entries for
/// nothing, and each move makes tries that meet full endpoints.
constexpr double kDemandSmoothing = 0.25;
/// A demand this many times larger or smaller than the smoothed one is a change and no noise.
constexpr double kDemandJump = 2.0;

double Smooth(double before, double now) {
  const bool is_jump = now > before * kDemandJump || now * kDemandJump < before;
  return is_jump ? now : before + kDemandSmoothing * (now - before);
}

}  // namespace

std::vector<scheduling::TeamLoad> ServiceShard::State::ReportLoads(TimePoint now) {
  this->reported = this->OwnLoads();
  std::unordered_map<TeamId, double> smooth;
  for (scheduling::TeamLoad& load : this->reported) {
    const auto before = this->smooth_demand.find(load.team);
    const auto demand = static_cast<double>(load.demand);
    const double smoothed =
        before == this->smooth_demand.end() ? demand : Smooth(before->second, demand);
    smooth.emplace(load.team, smoothed);
    load.demand = static_cast<std::uint32_t>(std::lround(smoothed));
  }
  this->smooth_demand = std::move(smooth);
  this->reported_at = now;
  this->must_divide = true;
  return this->reported;
}

bool ServiceShard::State::HasLoadChanged() const {
  std::unordered_map<TeamId, double> change;
  for (const scheduling::TeamLoad& load : this->reported) {
    change[load.team] -= load.demand;
  }
  const double slots = this->balancer.UsableSlots();
  for (const scheduling::TeamLoad& load : this->OwnLoads()) {
    change[load.team] += std::min(static_cast<double>(load.demand), slots);
  }
  double sum = 0.0;
  for (const auto& [team, demand] : change) {
    sum += std::abs(demand);
  }
  return sum >= slots * this->options.report_change;
}

std::vector<scheduling::TeamLoad> ServiceShard::State::OwnLoads() const {
  std::vector<scheduling::TeamLoad> loads;
  for (const scheduling::TeamUsage& use : this->queue.ActiveTeams()) {
    // What its limit keeps from starting could not use a slot.
    const bool is_held = use.gate == scheduling::GateAnswer::kAtLimit;
    loads.push_back({use.team, use.running + (is_held ? 0 : use.waiting), use.running});
  }
  return loads;
}

void ServiceShard::State::DivideIfDue(TimePoint now) {
  const Duration since = now - this->divided_at;
  if (since >= kLongestBetween || (this->must_divide && since >= kShortestBetween)) {
    this->Divide(now);
  }
}

void ServiceShard::State::Divide(TimePoint now) {
  this->divided_at = now;
  this->must_divide = false;
  this->shares.RemoveStalePeers(now, this->options.peer_timeout);
  std::vector<const scheduling::ShardReport*> reports;
  for (const auto& [peer, report] : this->shares.Peers()) {
    reports.push_back(&report.report);
  }
  if (this->must_hear_peers || reports.size() != this->peers_heard) {
    this->must_hear_peers = false;
    this->peers_heard = reports.size();
    this->balancer.SetPeers(reports, now);
  }
  const double slots = this->balancer.UsableSlots();
  const scheduling::ShareScope scope = this->options.scheduling.scope;
  const bool is_reported = now - this->reported_at <= this->options.longest_report_period * 2;
  const auto loads = is_reported ? this->reported : this->OwnLoads();
  this->division = this->shares.Divide(loads, this->queue, slots, scope);
  if (this->options.balancer.placement == load_balancing::Placement::kFixedSplit) {
    for (scheduling::EntryAllocation& entry : this->division.entries) {
      entry.slots = slots / static_cast<double>(this->division.entries.size());
    }
  }
  this->balancer.SetParts(this->division.entries, this->self, this->Load(slots), now);
  this->part_of.clear();
  this->active_shares = 0.0;
  for (const scheduling::TeamAllocation& part : this->division.teams) {
    this->part_of.emplace(part.team, part);
    const auto team = this->queue.FindTeam(part.team);
    if (!team) {
      continue;
    }
    this->active_shares += team->share;
    if (scope == scheduling::ShareScope::kFleet && part.local_slots > 0.0) {
      const double local_fraction = part.local_slots / part.slots;
      const double level = this->division.slots_per_share;
      this->queue.SetWeight(part.team, team->share * level * local_fraction);
    }
  }
  this->SetUrgentAllowance();
}

load_balancing::FleetLoad ServiceShard::State::Load(double slots) const {
  for (const auto& [peer, report] : this->shares.Peers()) {
    if (report.report.urgent_waiting > 0) {
      return load_balancing::FleetLoad::kClearing;
    }
  }
  const bool is_full = this->division.demand >= slots * kFullAt;
  return is_full ? load_balancing::FleetLoad::kFull : load_balancing::FleetLoad::kHasFreeCapacity;
}

void ServiceShard::State::SetIdleWeight(const scheduling::TeamShare& team) {
  if (this->options.scheduling.scope == scheduling::ShareScope::kEntry) {
    return;
  }
  const auto part = this->part_of.find(team.team);
  if (part == this->part_of.end() || part->second.local_slots == 0.0) {
    // Until the next reports say where the team's demand is: a team that is busy at other entries
    // has its share there, and would get it twice.
    const auto entries = static_cast<double>(this->division.entries.size());
    const double fraction = part == this->part_of.end() ? 1.0 : 1.0 / entries;
    const double level = this->division.slots_per_share;
    this->queue.SetWeight(team.team, team.share * (level > 0.0 ? level : 1.0) * fraction);
  }
}

void ServiceShard::State::SetUrgentAllowance() {
  double allowance = this->options.scheduling.urgent_fraction * this->balancer.UsableSlots();
  for (const auto& [peer, report] : this->shares.Peers()) {
    allowance -= report.report.urgent_running;
  }
  this->queue.SetUrgentAllowance(static_cast<std::size_t>(std::max(allowance, 1.0)));
}

}  // namespace chervilspar::dispatch
