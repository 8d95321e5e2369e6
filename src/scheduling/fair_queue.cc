#include "chervilspar/scheduling/fair_queue.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

#include "scheduling/team_queue.h"

namespace chervilspar::scheduling {

namespace {

/// A team at its limit is asked about again after this long even if nobody says that units came
/// back, so that a lost message costs 50 ms and not a stuck queue.
constexpr Duration kParkTime = std::chrono::milliseconds(50);
/// Teams passed over in one call because their first request fits no free endpoint.
constexpr int kMostMisfits = 8;
/// Slot seconds for each slot of its part that an idle team may save up.
constexpr double kSavedSeconds = 0.25;
/// Most of an expected run time that is charged at the start; the rest is charged as it passes.
/// Charged whole, one long task would keep its team's short ones waiting until the other teams have
/// caught up, although it holds only one of the team's slots.
constexpr Duration kChargedAhead = std::chrono::milliseconds(200);
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kSmallestWeight = 1e-3;

double Seconds(Duration span) { return static_cast<double>(span.count()) / kMicrosecondsPerSecond; }

double LaneSeconds(Lane lane, Duration span) {
  return lane == Lane::kShort ? Seconds(span) / kShortLaneWeight : Seconds(span);
}

}  // namespace

FairQueue::FairQueue(SchedulingOptions options) : options(options) {}
FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue&&) noexcept = default;
FairQueue& FairQueue::operator=(FairQueue&&) noexcept = default;

std::vector<admission::Ticket> FairQueue::SetTeams(const std::vector<TeamShare>& shares) {
  for (const auto& queue : this->teams) {
    queue->gone = true;
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
    queue.gone = false;
  }
  std::vector<admission::Ticket> orphans;
  for (const auto& queue : this->teams) {
    for (const LaneQueue& lane : queue->lanes) {
      for (const WaitingTicket& waiting : lane.tickets) {
        if (queue->gone) {
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
  if (found == this->index_of.end() || this->teams[found->second]->gone) {
    return std::nullopt;
  }
  return this->teams[found->second]->share;
}

void FairQueue::SetWeight(const TeamId& team, double weight) {
  this->QueueOf(team).weight = std::max(weight, kSmallestWeight);
}

TeamQueue& FairQueue::QueueOf(const TeamId& team) {
  const auto found = this->index_of.find(team);
  CHERVILSPAR_ASSERT(found != this->index_of.end());
  return *this->teams[found->second];
}

void FairQueue::Push(const admission::Ticket& ticket, Duration expected, Lane lane) {
  const auto found = this->index_of.find(ticket.team);
  CHERVILSPAR_ASSERT(found != this->index_of.end());
  CHERVILSPAR_ASSERT(!this->places.contains(ticket.id) && !this->running.contains(ticket.id));
  const Index index = found->second;
  TeamQueue& queue = *this->teams[index];
  const bool was_idle = queue.WaitingCount() == 0;
  LaneQueue& waiting = queue.At(lane);
  if (waiting.tickets.empty()) {
    waiting.charged = std::max(waiting.charged, queue.lane_time);
  }
  waiting.tickets.push_back({ticket, expected, this->next_sequence++});
  waiting.cost += expected;
  this->places.emplace(ticket.id, Place{index, lane, std::prev(waiting.tickets.end())});
  if (lane == Lane::kUrgent) {
    this->urgent_by_arrival.emplace(ticket.arrived, ticket.id);
  }
  this->Unfile(index);
  if (was_idle) {
    // A team must not save up the time in which it asked for nothing, but for a little: requests
    // of a small team come in clusters, and on average it still stays below its share.
    queue.start = std::max(queue.start, this->virtual_time - kSavedSeconds);
  }
  this->File(index);
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
  this->places.emplace(id, Place{entry.team, entry.lane, lane.tickets.begin()});
  if (entry.lane == Lane::kUrgent) {
    this->urgent_by_arrival.emplace(entry.waiting.ticket.arrived, id);
  }
  this->Unfile(entry.team);
  this->File(entry.team);
}

std::optional<admission::Ticket> FairQueue::Remove(admission::TicketId id) {
  const auto found = this->places.find(id);
  if (found == this->places.end()) {
    return std::nullopt;
  }
  const Place place = found->second;
  this->places.erase(found);
  this->Unfile(place.team);
  LaneQueue& lane = this->teams[place.team]->At(place.lane);
  const admission::Ticket ticket = place.position->ticket;
  lane.cost -= place.position->expected;
  lane.tickets.erase(place.position);
  this->urgent_by_arrival.erase({ticket.arrived, id});
  this->File(place.team);
  return ticket;
}

std::optional<Picked> FairQueue::Next(TimePoint now, QuotaGate& gate, SlotFinder& finder) {
  this->UnparkDue(now);
  if (this->urgent_running < this->urgent_allowance) {
    auto picked = this->NextOf(this->urgent_ready, Lane::kUrgent, now, gate, finder);
    if (picked) {
      return picked;
    }
  }
  return this->NextOf(this->ready, Lane::kShort, now, gate, finder);
}

std::optional<Picked> FairQueue::NextOf(Order& order, Lane only, TimePoint now, QuotaGate& gate,
                                        SlotFinder& finder) {
  int misfits = 0;
  auto candidate = order.begin();
  while (candidate != order.end() && misfits < kMostMisfits) {
    const Index index = candidate->second;
    TeamQueue& queue = *this->teams[index];
    if (gate.MayStart(queue.share.team, now) == GateAnswer::kAtLimit) {
      ++candidate;
      this->Park(index, now);
      continue;
    }
    const Lane lane = only == Lane::kUrgent ? only : this->LaneToServe(queue);
    Slot slot = finder.Find(queue.At(lane).tickets.front().ticket, now);
    if (slot.answer == SlotAnswer::kFound) {
      return this->Take(index, lane, std::move(slot.endpoint), now);
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
  const LaneQueue& quick = queue.At(Lane::kShort);
  const LaneQueue& slow = queue.At(Lane::kLong);
  if (quick.tickets.empty() && slow.tickets.empty()) {
    return Lane::kUrgent;
  }
  if (quick.tickets.empty()) {
    return Lane::kLong;
  }
  if (slow.tickets.empty()) {
    return Lane::kShort;
  }
  return slow.charged < quick.charged ? Lane::kLong : Lane::kShort;
}

Picked FairQueue::Take(Index index, Lane lane, VmId endpoint, TimePoint now) {
  TeamQueue& queue = *this->teams[index];
  this->Unfile(index);
  this->virtual_time = std::max(this->virtual_time, queue.start);
  LaneQueue& waiting = queue.At(lane);
  WaitingTicket taken = waiting.tickets.front();
  waiting.tickets.pop_front();
  waiting.cost -= taken.expected;
  const bool is_measured = this->options.cost == CostBasis::kMeasured;
  const Duration charged = is_measured ? std::min(taken.expected, kChargedAhead) : taken.expected;
  queue.lane_time = std::max(queue.lane_time, waiting.charged);
  waiting.charged += LaneSeconds(lane, charged);
  queue.start += Seconds(charged) / queue.weight;
  queue.used += charged;
  ++queue.running;
  this->urgent_running += lane == Lane::kUrgent ? 1 : 0;
  this->places.erase(taken.ticket.id);
  this->urgent_by_arrival.erase({taken.ticket.arrived, taken.ticket.id});
  this->running.emplace(taken.ticket.id, Running{index, taken, lane, now, charged});
  this->File(index);
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
  if (queue.filing == Filing::kParked) {
    this->Unfile(entry.team);
    this->File(entry.team);
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
  if (this->teams[found->second]->filing == Filing::kParked) {
    this->Unfile(found->second);
    this->File(found->second);
  }
}

double FairQueue::KeyOf(const TeamQueue& queue) const {
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
  const Filing filing = queue.filing;
  if (filing == Filing::kReady) {
    this->Unfile(index);
  }
  queue.start += seconds / queue.weight;
  if (filing == Filing::kReady) {
    this->File(index);
  }
}

void FairQueue::File(Index index) {
  TeamQueue& queue = *this->teams[index];
  CHERVILSPAR_ASSERT(queue.filing == Filing::kIdle);
  const std::uint32_t waiting = queue.WaitingCount();
  if (waiting == 0) {
    return;
  }
  const bool has_urgent = !queue.At(Lane::kUrgent).tickets.empty();
  queue.filed_key = this->KeyOf(queue);
  queue.filing = Filing::kReady;
  // Urgent requests stand in the normal order, too: beyond the part of the slots that urgent work
  // may take first, they compete as normal ones.
  this->ready.emplace(queue.filed_key, index);
  if (has_urgent) {
    this->urgent_ready.emplace(queue.filed_key, index);
  }
}

void FairQueue::Unfile(Index index) {
  TeamQueue& queue = *this->teams[index];
  if (queue.filing == Filing::kReady) {
    this->ready.erase({queue.filed_key, index});
    this->urgent_ready.erase({queue.filed_key, index});
  }
  if (queue.filing == Filing::kParked) {
    this->parked.erase({queue.parked_until, index});
    // What others used while the team stood at its limit is not owed to it.
    queue.start = std::max(queue.start, this->virtual_time);
  }
  queue.filing = Filing::kIdle;
}

void FairQueue::Park(Index index, TimePoint now) {
  this->Unfile(index);
  TeamQueue& queue = *this->teams[index];
  queue.parked_until = now + kParkTime;
  queue.filing = Filing::kParked;
  this->parked.emplace(queue.parked_until, index);
}

void FairQueue::UnparkDue(TimePoint now) {
  while (!this->parked.empty() && this->parked.begin()->first <= now) {
    const Index index = this->parked.begin()->second;
    this->Unfile(index);
    this->File(index);
  }
}

}  // namespace chervilspar::scheduling
