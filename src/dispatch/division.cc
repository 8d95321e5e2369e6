#include <algorithm>

#include "dispatch/service_shard_state.h"

namespace chervilspar::dispatch {

namespace {

/// Longest and shortest time between two divisions: the demand of a burst doubles within some
/// 100 ms, and one division takes up to a millisecond with 560 teams.
constexpr Duration kLongestBetween = std::chrono::milliseconds(100);
constexpr Duration kShortestBetween = std::chrono::milliseconds(25);

}  // namespace

std::vector<scheduling::TeamLoad> ServiceShard::State::OwnLoads() const {
  std::vector<scheduling::TeamLoad> loads;
  for (const scheduling::TeamUse& use : this->queue.ActiveTeams()) {
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
  this->shares.DropSilent(now, this->options.peer_timeout);
  std::vector<const scheduling::ShardReport*> reports;
  for (const auto& [peer, report] : this->shares.Peers()) {
    reports.push_back(&report.report);
  }
  this->balancer.SetPeers(reports, now);
  const double slots = this->balancer.UsableSlots();
  const scheduling::ShareScope scope = this->options.scheduling.scope;
  this->division = this->shares.Divide(this->OwnLoads(), this->queue, slots, scope);
  if (this->options.balancer.placement == load_balancing::Placement::kFixedSplit) {
    for (scheduling::EntryPart& entry : this->division.entries) {
      entry.slots = slots / static_cast<double>(this->division.entries.size());
    }
  }
  this->balancer.SetParts(this->division.entries, this->self, now);
  this->part_of.clear();
  this->active_shares = 0.0;
  for (const scheduling::TeamPart& part : this->division.teams) {
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

void ServiceShard::State::SetIdleWeight(const scheduling::TeamShare& team) {
  if (this->options.scheduling.scope == scheduling::ShareScope::kEntry) {
    return;
  }
  const auto part = this->part_of.find(team.team);
  if (part == this->part_of.end() || part->second.local_slots == 0.0) {
    const double level = this->division.slots_per_share;
    this->queue.SetWeight(team.team, team.share * (level > 0.0 ? level : 1.0));
  }
}

void ServiceShard::State::SetUrgentAllowance() {
  double allowance = this->options.scheduling.urgent_part * this->balancer.UsableSlots();
  for (const auto& [peer, report] : this->shares.Peers()) {
    allowance -= report.report.urgent_running;
  }
  this->queue.SetUrgentAllowance(static_cast<std::size_t>(std::max(allowance, 1.0)));
}

}  // namespace chervilspar::dispatch
