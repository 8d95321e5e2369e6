#include <algorithm>

#include "chervilspar/base/assert.h"
#include "chervilspar/scheduling/fair_queue.h"

#include "scheduling/team_queue.h"

namespace chervilspar::scheduling {

namespace {

TeamUsage UsageOf(const TeamQueue& queue) {
  TeamUsage use;
  use.team = queue.share.team;
  use.share = queue.share.share;
  use.weight = queue.weight;
  use.waiting = queue.WaitingCount();
  use.running = queue.running;
  use.waiting_cost = queue.WaitingCost();
  use.used = queue.used;
  use.gate = queue.state == TeamState::kParked ? GateAnswer::kAtLimit : GateAnswer::kMayStart;
  return use;
}

}  // namespace

std::size_t FairQueue::WaitingCount() const { return this->locations.size(); }

std::size_t FairQueue::RunningCount() const { return this->running.size(); }

std::size_t FairQueue::UrgentWaiting() const { return this->urgent_by_arrival.size(); }

std::optional<TimePoint> FairQueue::OldestUrgent() const {
  if (this->urgent_by_arrival.empty()) {
    return std::nullopt;
  }
  return this->urgent_by_arrival.begin()->first;
}

TeamUsage FairQueue::Usage(const TeamId& team) const {
  const auto found = this->index_of.find(team);
  if (found == this->index_of.end()) {
    return {};
  }
  return UsageOf(*this->teams[found->second]);
}

std::vector<TeamUsage> FairQueue::ActiveTeams() const {
  // Most services of a large fleet are idle most of the time, but their queues are still queried.
  if (this->RunningCount() == 0 && this->WaitingCount() == 0) {
    return {};
  }
  std::vector<TeamUsage> active;
  for (const auto& queue : this->teams) {
    if (queue->running > 0 || queue->WaitingCount() > 0) {
      active.push_back(UsageOf(*queue));
    }
  }
  return active;
}

Duration FairQueue::CostAhead(const TeamId& team, Lane lane) const {
  const auto found = this->index_of.find(team);
  if (found == this->index_of.end()) {
    return Duration::zero();
  }
  const TeamQueue& queue = *this->teams[found->second];
  const Duration urgent = queue.At(Lane::kUrgent).cost;
  if (lane == Lane::kUrgent) {
    return urgent;
  }
  const Lane other = lane == Lane::kShort ? Lane::kLong : Lane::kShort;
  const Duration own = queue.At(lane).cost;
  // The lanes alternate by weighted slot time, so the other lane uses at most its weighted part.
  const Duration other_part =
      lane == Lane::kShort ? own / kShortLaneWeight : own * kShortLaneWeight;
  return urgent + own + std::min(other_part, queue.At(other).cost);
}

std::optional<admission::Ticket> FairQueue::LastWaiting(const TeamId& team, Lane lane) const {
  const auto found = this->index_of.find(team);
  if (found == this->index_of.end()) {
    return std::nullopt;
  }
  const LaneQueue& waiting = this->teams[found->second]->At(lane);
  if (waiting.tickets.empty()) {
    return std::nullopt;
  }
  return waiting.tickets.back().ticket;
}

}  // namespace chervilspar::scheduling
