#include "load_balancing/slot_table.h"

#include <algorithm>

namespace chervilspar::load_balancing {

namespace {

/// Fractions of a slot below this are rounding errors of the split.
constexpr double kSplitTolerance = 1e-6;

bool IsEnough(const admission::Requirement& shape, const admission::Requirement& requirement) {
  return shape.cores >= requirement.cores && shape.memory_mb >= requirement.memory_mb &&
         shape.accelerators >= requirement.accelerators;
}

}  // namespace

std::uint32_t EndpointState::IdleSlots() const {
  const std::uint32_t used = this->Own() + this->peer_tasks;
  return used < this->endpoint.slots ? this->endpoint.slots - used : 0;
}

double EndpointState::Load() const {
  return static_cast<double>(this->Own() + this->peer_tasks) / this->endpoint.slots;
}

void SlotTable::SetEndpoints(const std::vector<Endpoint>& endpoints, const ZoneId& zone,
                             TimePoint now) {
  std::vector<EndpointState> old = std::move(this->states);
  this->states.clear();
  const auto old_index = std::move(this->index_of);
  this->index_of.clear();
  for (const Endpoint& endpoint : endpoints) {
    EndpointState state;
    const auto found = old_index.find(endpoint.id);
    if (found != old_index.end()) {
      state = std::move(old[found->second]);
      old[found->second].in_flight.clear();
    }
    state.endpoint = endpoint;
    state.is_local = endpoint.zone == zone;
    state.is_listed = true;
    this->index_of.emplace(endpoint.id, static_cast<std::uint32_t>(this->states.size()));
    this->states.push_back(std::move(state));
  }
  for (EndpointState& state : old) {
    if (!state.in_flight.empty()) {
      state.is_listed = false;
      this->index_of.emplace(state.endpoint.id, static_cast<std::uint32_t>(this->states.size()));
      this->states.push_back(std::move(state));
    }
  }
  this->smallest = endpoints.empty() ? admission::Requirement{} : endpoints.front().shape;
  for (const Endpoint& endpoint : endpoints) {
    this->smallest.cores = std::min(this->smallest.cores, endpoint.shape.cores);
    this->smallest.memory_mb = std::min(this->smallest.memory_mb, endpoint.shape.memory_mb);
    this->smallest.accelerators =
        std::min(this->smallest.accelerators, endpoint.shape.accelerators);
  }
  this->paused.clear();
  for (IndexedSet* set : {&this->own_local, &this->own_remote, &this->own_fraction,
                          &this->idle_local, &this->idle_remote, &this->open}) {
    set->Resize(this->states.size());
  }
  for (std::uint32_t index = 0; index < this->states.size(); ++index) {
    this->PauseUntil(index, this->states[index].paused_until, now);
  }
}

std::optional<std::uint32_t> SlotTable::Find(const VmId& endpoint) const {
  const auto found = this->index_of.find(endpoint);
  if (found == this->index_of.end()) {
    return std::nullopt;
  }
  return found->second;
}

void SlotTable::EraseFromSets(std::uint32_t index) {
  this->own_local.Erase(index);
  this->own_remote.Erase(index);
  this->own_fraction.Erase(index);
  this->idle_local.Erase(index);
  this->idle_remote.Erase(index);
  this->open.Erase(index);
}

void SlotTable::Reindex(std::uint32_t index, TimePoint now) {
  this->EraseFromSets(index);
  const EndpointState& state = this->states[index];
  const std::uint32_t own = state.Own();
  const bool is_usable = state.is_listed && state.health.State() == HealthState::kHealthy &&
                         state.paused_until <= now &&
                         own < state.health.SlotLimit(state.endpoint.slots);
  if (!is_usable) {
    return;
  }
  this->open.Insert(index);
  if (state.reserved_until > now) {
    return;
  }
  if (own + 1.0 <= state.split + kSplitTolerance) {
    (state.is_local ? this->own_local : this->own_remote).Insert(index);
  } else if (own + kSplitTolerance < state.split) {
    this->own_fraction.Insert(index);
  }
  if (state.IdleSlots() > 0) {
    (state.is_local ? this->idle_local : this->idle_remote).Insert(index);
  }
}

void SlotTable::Resume(TimePoint now) {
  while (!this->paused.empty() && this->paused.begin()->first <= now) {
    const std::uint32_t index = this->paused.begin()->second;
    this->paused.erase(this->paused.begin());
    this->Reindex(index, now);
  }
}

void SlotTable::PauseUntil(std::uint32_t index, TimePoint until, TimePoint now) {
  EndpointState& state = this->states[index];
  this->paused.erase({state.paused_until, index});
  state.paused_until = until;
  if (until > now) {
    this->paused.emplace(until, index);
  }
  this->Reindex(index, now);
}

bool SlotTable::Fits(std::uint32_t index, const admission::Requirement& requirement) const {
  return IsEnough(this->states[index].endpoint.shape, requirement);
}

bool SlotTable::AllFit(const admission::Requirement& requirement) const {
  return IsEnough(this->smallest, requirement);
}

}  // namespace chervilspar::load_balancing
