#include "chervilspar/load_balancing/balancer.h"

#include <algorithm>
#include <cmath>

#include "chervilspar/base/assert.h"
#include "chervilspar/load_balancing/slot_split.h"

#include "load_balancing/placement_policy.h"
#include "load_balancing/slot_table.h"

namespace chervilspar::load_balancing {

namespace {

/// A probe is an ordinary request of a caller. Idempotent requests are preferred, since a failed
/// probe is retried elsewhere. When none arrives for this long, any request may be the probe.
constexpr Duration kProbeByAnyAfter = std::chrono::seconds(10);
/// Due probes examined for one request. The limit keeps a choice cheap when a third of a large pool
/// is ejected.
constexpr int kMaxProbesExamined = 8;
/// Pause after a draining endpoint rejects a task; the configuration removes it within seconds.
constexpr Duration kDrainingPause = std::chrono::seconds(1);
/// Maximum slot seconds that an entry counts as behind or ahead of its part. A larger limit would
/// let an entry that was idle exceed its part for long afterwards.
constexpr double kMaxCreditSlotSeconds = 2.0;
/// Slot seconds behind its part from which an entry tries open endpoints beyond its own slots. The
/// few milliseconds between the end of a task and the start of the next don't add up to this.
constexpr double kMinCreditToTryOpenSlotSeconds = 0.5;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

Balancer::Balancer(ZoneId zone, BalancerOptions options)
    : zone(std::move(zone)),
      options(options),
      table(std::make_unique<SlotTable>()),
      policy(MakePlacementPolicy(options.placement)) {}

Balancer::~Balancer() = default;

void Balancer::SetEndpoints(const std::vector<Endpoint>& endpoints, TimePoint now) {
  this->table->SetEndpoints(endpoints, this->zone, now);
  this->ejecting_peers.assign(this->table->Count(), 0);
  this->ejected.clear();
  this->probes.clear();
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    const EndpointState& state = this->table->At(index);
    if (state.is_listed && state.health.State() != HealthState::kHealthy) {
      this->ejected.push_back(index);
      this->ScheduleProbe(index);
    }
  }
  this->CountUsable();
}

bool Balancer::IsUsable(std::uint32_t index) const {
  const EndpointState& state = this->table->At(index);
  return state.is_listed && state.health.State() == HealthState::kHealthy &&
         std::size_t{2} * this->ejecting_peers[index] <= this->peer_count;
}

void Balancer::SetParts(const std::vector<scheduling::EntryAllocation>& entries,
                        const EntryId& self, FleetLoad fleet_load, TimePoint now) {
  this->UpdateCredit(now);
  this->fleet = fleet_load;
  std::vector<std::uint32_t> indexes;
  std::vector<Endpoint> usable;
  std::vector<double> parts(this->table->Count(), 0.0);
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    if (this->IsUsable(index)) {
      indexes.push_back(index);
      usable.push_back(this->table->At(index).endpoint);
    }
  }
  const std::vector<double> split = SplitSlots(usable, entries, self);
  this->part = 0.0;
  for (std::size_t place = 0; place < indexes.size(); ++place) {
    parts[indexes[place]] = split[place];
    this->part += split[place];
  }
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    if (this->table->At(index).split != parts[index]) {
      this->table->Change(index).split = parts[index];
      this->table->Reindex(index, now);
    }
  }
}

void Balancer::SetPeers(const std::vector<const scheduling::ShardReport*>& reports, TimePoint now) {
  this->peer_count = reports.size();
  this->ejecting_peers.assign(this->table->Count(), 0);
  std::vector<std::uint32_t> peer_tasks(this->table->Count(), 0);
  for (const scheduling::ShardReport* report : reports) {
    for (const scheduling::EndpointLoad& load : report->endpoints) {
      const auto index = this->table->Find(load.endpoint);
      if (index) {
        peer_tasks[*index] += load.in_flight;
      }
    }
    for (const VmId& endpoint : report->ejected) {
      const auto index = this->table->Find(endpoint);
      if (index) {
        ++this->ejecting_peers[*index];
      }
    }
  }
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    if (this->table->At(index).peer_tasks != peer_tasks[index]) {
      this->table->Change(index).peer_tasks = peer_tasks[index];
      this->table->Reindex(index, now);
    }
  }
  this->CountUsable();
}

void Balancer::UpdateCredit(TimePoint now) {
  const double seconds =
      static_cast<double>((now - this->credit_at).count()) / kMicrosecondsPerSecond;
  this->credit_at = now;
  this->credit += (this->part - static_cast<double>(this->in_flight)) * seconds;
  this->credit = std::clamp(this->credit, -kMaxCreditSlotSeconds, kMaxCreditSlotSeconds);
}

PartUse Balancer::CurrentPartUse() const {
  const auto held = static_cast<double>(this->in_flight);
  if (held + 1.0 <= this->part) {
    // An entry that tries open endpoints would take a slot that is being cleared for urgent work of
    // another entry.
    const bool may_try_open =
        this->fleet != FleetLoad::kClearing && this->credit >= kMinCreditToTryOpenSlotSeconds;
    return may_try_open ? PartUse::kBehind : PartUse::kBelow;
  }
  const bool is_behind = this->credit > 0.0;
  if (held < this->part && is_behind) {
    return PartUse::kDue;
  }
  return this->fleet == FleetLoad::kHasFreeCapacity ? PartUse::kMayBorrow : PartUse::kExhausted;
}

bool Balancer::HasFreeSlot(TimePoint now) {
  this->table->Resume(now);
  this->UpdateCredit(now);
  if (!this->probes.empty() && this->probes.begin()->first <= now) {
    return true;
  }
  return this->policy->HasCandidate(*this->table, this->CurrentPartUse());
}

scheduling::Slot Balancer::Find(const admission::Ticket& ticket, TimePoint now, Random& random) {
  this->table->Resume(now);
  this->UpdateCredit(now);
  auto index = this->DueProbe(ticket, now);
  if (index) {
    this->UnscheduleProbe(*index);
    this->table->Change(*index).health.StartProbe();
    return {scheduling::SlotAnswer::kFound, this->table->At(*index).endpoint.id};
  }
  const PartUse part_use = this->CurrentPartUse();
  index = this->policy->Choose(*this->table, ticket, part_use, random);
  if (!index && ticket.work_class == admission::WorkClass::kUrgent &&
      !this->table->open.IsEmpty()) {
    // The slot that was cleared for urgent work may be at any endpoint.
    const std::uint32_t any = this->table->open.Sample(random);
    if (this->table->Fits(any, ticket.requirement)) {
      index = any;
    }
  }
  if (index) {
    return {scheduling::SlotAnswer::kFound, this->table->At(*index).endpoint.id};
  }
  const bool is_misfit = !this->table->AllFit(ticket.requirement) &&
                         this->policy->HasCandidate(*this->table, part_use);
  return {is_misfit ? scheduling::SlotAnswer::kTicketDoesNotFit : scheduling::SlotAnswer::kNoneFree,
          {}};
}

std::optional<std::uint32_t> Balancer::DueProbe(const admission::Ticket& ticket,
                                                TimePoint now) const {
  const Duration wait = ticket.idempotency == admission::Idempotency::kIdempotent
                            ? Duration::zero()
                            : kProbeByAnyAfter;
  int examined = 0;
  for (const auto& [probe_at, index] : this->probes) {
    if (probe_at + wait > now || examined++ >= kMaxProbesExamined) {
      break;
    }
    const EndpointState& state = this->table->At(index);
    if (state.paused_until <= now && state.Own() < state.endpoint.slots &&
        this->table->Fits(index, ticket.requirement)) {
      return index;
    }
  }
  return std::nullopt;
}

void Balancer::UnscheduleProbe(std::uint32_t index) {
  this->probes.erase({this->table->At(index).health.ProbeAt(), index});
}

void Balancer::ScheduleProbe(std::uint32_t index) {
  const EndpointHealth& health = this->table->At(index).health;
  if (health.State() == HealthState::kEjected) {
    this->probes.emplace(health.ProbeAt(), index);
  }
}

void Balancer::OnSent(const VmId& endpoint, const admission::Ticket& ticket, TimePoint overdue_at,
                      TimePoint now) {
  this->UpdateCredit(now);
  const auto index = this->table->Find(endpoint);
  CHERVILSPAR_ASSERT(index);
  this->table->Change(*index).in_flight.push_back({ticket.id, now, overdue_at});
  ++this->in_flight;
  this->table->Reindex(*index, now);
}

void Balancer::OnFull(std::uint32_t index, TimePoint now) {
  EndpointState& state = this->table->Change(index);
  const bool is_own_slot = state.Own() + 1.0 <= state.split;
  if (!is_own_slot && this->fleet != FleetLoad::kHasFreeCapacity) {
    state.pause = this->options.max_full_pause;
  } else if (state.pause == Duration::zero()) {
    state.pause = this->options.initial_full_pause;
  } else {
    state.pause = std::min(state.pause * 2, this->options.max_full_pause);
  }
  const std::uint32_t others = state.endpoint.slots - std::min(state.Own(), state.endpoint.slots);
  state.peer_tasks = std::max(state.peer_tasks, others);
  this->table->PauseUntil(index, now + state.pause, now);
}

void Balancer::OnEnded(const VmId& endpoint, const admission::Ticket& ticket, Outcome outcome,
                       Duration measured, Duration expected, TimePoint now, Random& random) {
  this->UpdateCredit(now);
  const auto found = this->table->Find(endpoint);
  CHERVILSPAR_ASSERT(found);
  const std::uint32_t index = *found;
  EndpointState& state = this->table->Change(index);
  std::erase_if(state.in_flight, [&](const SentTask& task) { return task.ticket == ticket.id; });
  --this->in_flight;
  if (outcome == Outcome::kFull) {
    this->OnFull(index, now);
  } else if (outcome == Outcome::kDraining) {
    this->table->PauseUntil(index, now + kDrainingPause, now);
  } else {
    // The slot that this task used is free now, so the endpoint is not full.
    state.pause = Duration::zero();
    this->table->PauseUntil(index, now, now);
  }
  const Evidence evidence = this->ClassifyOutcome(ticket, outcome, measured, expected, now);
  const bool has_run =
      outcome == Outcome::kCompleted || (outcome == Outcome::kLost && measured > expected);
  if (has_run) {
    state.health.OnRun(measured, expected);
  }
  state.health.OnEvidence(evidence);
  if (state.health.State() == HealthState::kProbing) {
    const bool is_slow = has_run && std::log(static_cast<double>(measured.count() + 1) /
                                             static_cast<double>(expected.count() + 1)) >
                                        std::log(this->options.slow_factor);
    this->EndProbe(index, is_slow ? Evidence::kBad : evidence, now, random);
  } else if (state.health.FailuresInRow() >= this->options.failures_to_eject) {
    this->EjectIfAllowed(index, now, random);
  }
  this->table->Reindex(index, now);
}

void Balancer::ReserveForUrgent(const VmId& endpoint, TimePoint until, TimePoint now) {
  const auto index = this->table->Find(endpoint);
  if (index) {
    this->table->Change(*index).reserved_until = until;
    this->table->Reindex(*index, now);
  }
}

void Balancer::CountUsable() {
  this->listed = 0;
  this->usable_slots = 0.0;
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    const EndpointState& state = this->table->At(index);
    this->listed += state.is_listed ? 1 : 0;
    this->usable_slots += this->IsUsable(index) ? state.endpoint.slots : 0.0;
  }
}

std::size_t Balancer::UsableEndpoints() const {
  return this->listed - std::min(this->listed, this->ejected.size());
}

std::vector<scheduling::EndpointLoad> Balancer::OwnLoads() const {
  std::vector<scheduling::EndpointLoad> loads;
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    const EndpointState& state = this->table->At(index);
    if (state.Own() > 0) {
      loads.push_back({state.endpoint.id, state.Own()});
    }
  }
  return loads;
}

std::vector<VmId> Balancer::Ejected() const {
  std::vector<VmId> ids;
  for (const std::uint32_t index : this->ejected) {
    ids.push_back(this->table->At(index).endpoint.id);
  }
  return ids;
}

}  // namespace chervilspar::load_balancing
