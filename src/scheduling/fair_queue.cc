#include "chervilspar/scheduling/fair_queue.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

#include "scheduling/team_queue.h"

namespace chervilspar::scheduling {

namespace {

/// Delay after which the limit of a team is checked again even without a notification that units
/// were returned, so that a lost message delays the queue by 50 ms but does not block it.
constexpr Duration kLimitRecheckDelay = std::chrono::milliseconds(50);
/// Maximum number of teams skipped in one call because their first request fits no free endpoint.
constexpr int kMaxMisfits = 8;
/// Virtual time that an idle team may save, in slot seconds per allocated slot.
constexpr double kMaxSavedSeconds = 0.25;
/// Maximum part of an expected run time that is charged at the start; the rest is charged as it
/// elapses. If all were charged at the start, one long task would delay the short ones of its team
/// until the other teams have caught up, although it uses only one of the team's slots.
constexpr Duration kMaxInitialCharge = std::chrono::milliseconds(200);
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMinWeight = 1e-3;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

double LaneSeconds(Lane lane, Duration duration) {
  return lane == Lane::kShort ? Seconds(duration) / kShortLaneWeight : Seconds(duration);
}

}  // namespace

FairQueue::FairQueue(SchedulingOptions options) : options(options) {}
FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue&&) noexcept = default;
FairQueue& FairQueue::operator=(FairQueue&&) noexcept = default;

std::vector<admission::Ticket> FairQueue::SetTeams(const std::vector<TeamShare>& shares) {
  for (const auto& queue : this->teams) {
    queue->is_removed = true;
  }
  for (const TeamShare& share : shares) {
    CHERVILSPAR_ASSERT(share.share > 0.0);
    const auto [found, is_new] =
        this->index_of.try_emplace(share.team, static_cast<Index>(this->teams.size()));
    if (is_new) {
      this->teams.push_back(std::make_unique<TeamQueue>());
    }
    TeamQueue& queue = *this->teams[found->second];
    if (is_new || queue.share.share != share.share) {
      queue.weight = share.share;
    }
    queue.share = share;
    queue.is_removed = false;
  }
  std::vector<admission::Ticket> orphans;
  for (const auto& queue : this->teams) {
    for (const LaneQueue& lane : queue->lanes) {
      for (const WaitingTicket& waiting : lane.tickets) {
        if (queue->is_removed) {
          orphans.push_back(waiting.ticket);
        }
      }
    }
  }
  for (const admission::Ticket& ticket : orphans) {
    this->Remove(ticket.id);
  }
  return orphans;
}

std::optional<TeamShare> FairQueue::FindTeam(const TeamId& team) const {
  const auto found = this->index_of.find(team);
  if (found == this->index_of.end() || this->teams[found->second]->is_removed) {
    return std::nullopt;
  }
  return this->teams[found->second]->share;
}

void FairQueue::SetWeight(const TeamId& team, double weight) {
  this->QueueOf(team).weight = std::max(weight, kMinWeight);
}

TeamQueue& FairQueue::QueueOf(const TeamId& team) {
  const auto found = this->index_of.find(team);
  CHERVILSPAR_ASSERT(found != this->index_of.end());
  return *this->teams[found->second];
}

void FairQueue::Push(const admission::Ticket& ticket, Duration expected, Lane lane) {
  const auto found = this->index_of.find(ticket.team);
  CHERVILSPAR_ASSERT(found != this->index_of.end());
  CHERVILSPAR_ASSERT(!this->locations.contains(ticket.id) && !this->running.contains(ticket.id));
  const Index index = found->second;
  TeamQueue& queue = *this->teams[index];
  const bool was_idle = queue.WaitingCount() == 0;
  LaneQueue& waiting = queue.At(lane);
  if (waiting.tickets.empty()) {
    waiting.charged = std::max(waiting.charged, queue.lane_virtual_time);
  }
  waiting.tickets.push_back({ticket, expected, this->next_sequence++});
  waiting.cost += expected;
  this->locations.emplace(ticket.id, Location{index, lane, std::prev(waiting.tickets.end())});
  if (lane == Lane::kUrgent) {
    this->urgent_by_arrival.emplace(ticket.arrived, ticket.id);
  }
  this->MakeIdle(index);
  if (was_idle) {
    // An idle team may save only a little virtual time. It may save some because requests of a
    // small team arrive in clusters, while its average use stays below its share.
    queue.start = std::max(queue.start, this->virtual_time - kMaxSavedSeconds);
  }
  this->MakeReady(index);
}

void FairQueue::Requeue(admission::TicketId id, Duration used) {
  const auto found = this->running.find(id);
  CHERVILSPAR_ASSERT(found != this->running.end());
  const Running entry = std::move(found->second);
  this->running.erase(found);
  TeamQueue& queue = *this->teams[entry.team];
  --queue.running;
  this->urgent_running -= entry.lane == Lane::kUrgent ? 1 : 0;
  LaneQueue& lane = queue.At(entry.lane);
  const Duration correction = used - entry.charged;
  this->Charge(entry.team, Seconds(correction));
  lane.charged += LaneSeconds(entry.lane, correction);
  queue.used += correction;
  lane.tickets.push_front(entry.waiting);
  lane.cost += entry.waiting.expected;
  this->locations.emplace(id, Location{entry.team, entry.lane, lane.tickets.begin()});
  if (entry.lane == Lane::kUrgent) {
    this->urgent_by_arrival.emplace(entry.waiting.ticket.arrived, id);
  }
  this->MakeIdle(entry.team);
  this->MakeReady(entry.team);
}

std::optional<admission::Ticket> FairQueue::Remove(admission::TicketId id) {
  const auto found = this->locations.find(id);
  if (found == this->locations.end()) {
    return std::nullopt;
  }
  const Location location = found->second;
  this->locations.erase(found);
  this->MakeIdle(location.team);
  LaneQueue& lane = this->teams[location.team]->At(location.lane);
  const admission::Ticket ticket = location.position->ticket;
  lane.cost -= location.position->expected;
  lane.tickets.erase(location.position);
  this->urgent_by_arrival.erase({ticket.arrived, id});
  this->MakeReady(location.team);
  return ticket;
}

std::optional<Assignment> FairQueue::Next(TimePoint now, QuotaGate& gate, SlotFinder& finder) {
  this->UnparkDue(now);
  if (this->urgent_running < this->urgent_allowance) {
    auto picked = this->NextFrom(this->urgent_ready, Lane::kUrgent, now, gate, finder);
    if (picked) {
      return picked;
    }
  }
  return this->NextFrom(this->ready, Lane::kShort, now, gate, finder);
}

std::optional<Assignment> FairQueue::NextFrom(Order& order, Lane requested, TimePoint now,
                                              QuotaGate& gate, SlotFinder& finder) {
  int misfits = 0;
  auto candidate = order.begin();
  while (candidate != order.end() && misfits < kMaxMisfits) {
    const Index index = candidate->second;
    TeamQueue& queue = *this->teams[index];
    if (gate.MayStart(queue.share.team, now) == GateAnswer::kAtLimit) {
      ++candidate;
      this->Park(index, now);
      continue;
    }
    const Lane lane = requested == Lane::kUrgent ? requested : this->LaneToServe(queue);
    Slot slot = finder.Find(queue.At(lane).tickets.front().ticket, now);
    if (slot.answer == SlotAnswer::kFound) {
      return this->Start(index, lane, std::move(slot.endpoint), now);
    }
    if (slot.answer == SlotAnswer::kNoneFree) {
      return std::nullopt;
    }
    ++misfits;
    ++candidate;
  }
  return std::nullopt;
}

Lane FairQueue::LaneToServe(const TeamQueue& queue) const {
  const LaneQueue& short_lane = queue.At(Lane::kShort);
  const LaneQueue& long_lane = queue.At(Lane::kLong);
  if (short_lane.tickets.empty() && long_lane.tickets.empty()) {
    return Lane::kUrgent;
  }
  if (short_lane.tickets.empty()) {
    return Lane::kLong;
  }
  if (long_lane.tickets.empty()) {
    return Lane::kShort;
  }
  return long_lane.charged < short_lane.charged ? Lane::kLong : Lane::kShort;
}

Assignment FairQueue::Start(Index index, Lane lane, VmId endpoint, TimePoint now) {
  TeamQueue& queue = *this->teams[index];
  this->MakeIdle(index);
  this->virtual_time = std::max(this->virtual_time, queue.start);
  LaneQueue& waiting = queue.At(lane);
  WaitingTicket taken = waiting.tickets.front();
  waiting.tickets.pop_front();
  waiting.cost -= taken.expected;
  const bool is_measured = this->options.cost == CostBasis::kMeasured;
  const Duration charged =
      is_measured ? std::min(taken.expected, kMaxInitialCharge) : taken.expected;
  queue.lane_virtual_time = std::max(queue.lane_virtual_time, waiting.charged);
  waiting.charged += LaneSeconds(lane, charged);
  queue.start += Seconds(charged) / queue.weight;
  queue.used += charged;
  ++queue.running;
  this->urgent_running += lane == Lane::kUrgent ? 1 : 0;
  this->locations.erase(taken.ticket.id);
  this->urgent_by_arrival.erase({taken.ticket.arrived, taken.ticket.id});
  this->running.emplace(taken.ticket.id, Running{index, taken, lane, now, charged});
  this->MakeReady(index);
  return {taken.ticket, std::move(endpoint), taken.expected};
}

void FairQueue::Finish(admission::TicketId id, Duration measured) {
  const auto found = this->running.find(id);
  CHERVILSPAR_ASSERT(found != this->running.end());
  const Running entry = std::move(found->second);
  this->running.erase(found);
  TeamQueue& queue = *this->teams[entry.team];
  --queue.running;
  this->urgent_running -= entry.lane == Lane::kUrgent ? 1 : 0;
  if (this->options.cost == CostBasis::kMeasured) {
    const Duration correction = measured - entry.charged;
    queue.At(entry.lane).charged += LaneSeconds(entry.lane, correction);
    queue.used += correction;
    this->Charge(entry.team, Seconds(correction));
  }
  if (queue.state == TeamState::kParked) {
    this->MakeIdle(entry.team);
    this->MakeReady(entry.team);
  }
}

void FairQueue::ChargeOverdue(TimePoint now) {
  if (this->options.cost == CostBasis::kDeclared) {
    return;
  }
  for (auto& [id, entry] : this->running) {
    const Duration over = (now - entry.started) - entry.charged;
    if (over <= Duration::zero()) {
      continue;
    }
    entry.charged += over;
    TeamQueue& queue = *this->teams[entry.team];
    queue.used += over;
    queue.At(entry.lane).charged += LaneSeconds(entry.lane, over);
    this->Charge(entry.team, Seconds(over));
  }
}

void FairQueue::OnLimitFreed(const TeamId& team) {
  const auto found = this->index_of.find(team);
  if (found == this->index_of.end()) {
    return;
  }
  if (this->teams[found->second]->state == TeamState::kParked) {
    this->MakeIdle(found->second);
    this->MakeReady(found->second);
  }
}

double FairQueue::OrderKey(const TeamQueue& queue) const {
  if (this->options.order == QueueOrder::kFairByTeam) {
    return queue.start;
  }
  std::uint64_t first = this->next_sequence;
  for (const LaneQueue& lane : queue.lanes) {
    if (!lane.tickets.empty()) {
      first = std::min(first, lane.tickets.front().sequence);
    }
  }
  return static_cast<double>(first);
}

void FairQueue::Charge(Index index, double seconds) {
  TeamQueue& queue = *this->teams[index];
  const TeamState state = queue.state;
  if (state == TeamState::kReady) {
    this->MakeIdle(index);
  }
  queue.start += seconds / queue.weight;
  if (state == TeamState::kReady) {
    this->MakeReady(index);
  }
}

void FairQueue::MakeReady(Index index) {
  TeamQueue& queue = *this->teams[index];
  CHERVILSPAR_ASSERT(queue.state == TeamState::kIdle);
  const std::uint32_t waiting = queue.WaitingCount();
  if (waiting == 0) {
    return;
  }
  const bool has_urgent = !queue.At(Lane::kUrgent).tickets.empty();
  queue.ready_key = this->OrderKey(queue);
  queue.state = TeamState::kReady;
  // Urgent requests are in the normal order, too: beyond the urgent allowance they compete like
  // normal ones.
  this->ready.emplace(queue.ready_key, index);
  if (has_urgent) {
    this->urgent_ready.emplace(queue.ready_key, index);
  }
}

void FairQueue::MakeIdle(Index index) {
  TeamQueue& queue = *this->teams[index];
  if (queue.state == TeamState::kReady) {
    this->ready.erase({queue.ready_key, index});
    this->urgent_ready.erase({queue.ready_key, index});
  }
  if (queue.state == TeamState::kParked) {
    this->parked.erase({queue.parked_until, index});
    // The team is not compensated for slot time that others used while it was at its limit.
    queue.start = std::max(queue.start, this->virtual_time);
  }
  queue.state = TeamState::kIdle;
}

void FairQueue::Park(Index index, TimePoint now) {
  this->MakeIdle(index);
  TeamQueue& queue = *this->teams[index];
  queue.parked_until = now + kLimitRecheckDelay;
  queue.state = TeamState::kParked;
  this->parked.emplace(queue.parked_until, index);
}

void FairQueue::UnparkDue(TimePoint now) {
  while (!this->parked.empty() && this->parked.begin()->first <= now) {
    const Index index = this->parked.begin()->second;
    this->MakeIdle(index);
    this->MakeReady(index);
  }
}

}  // namespace chervilspar::scheduling
