#include "entitlement.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

namespace chervilspar::quota {

Entitlement::Entitlement(EntryId self, membership::Guard joint_rule)
    : self(std::move(self)), joint_rule(joint_rule) {}

void Entitlement::OnLimits(const Limits& limits) {
  CHERVILSPAR_ASSERT(limits.version >= this->limits.version);
  this->has_gap = this->has_gap || limits.version > this->limits.version + 1;
  this->limits = limits;
  for (const auto& [team, upper_limit] : limits.upper_limits) {
    this->Extend(team, upper_limit);
  }
  for (auto& [team, window] : this->windows) {
    if (!limits.upper_limits.contains(team)) {
      this->Extend(team, 0);
    }
  }
  this->TakeBase();
  this->WorkOutOwned();
}

void Entitlement::Extend(const TeamId& team, std::uint32_t upper_limit) {
  const auto [found, is_new] = this->windows.try_emplace(team);
  Window& window = found->second;
  window.parts = SplitLimit(this->limits.entries, team, upper_limit);
  const auto own = window.parts.find(this->self);
  window.own_part = own == window.parts.end() ? 0 : own->second;
  // A team that is new in this configuration had no units before; nobody can hold any.
  window.own_smallest = is_new ? 0 : std::min(window.own_smallest, window.own_part);
  for (const auto& [entry, part] : window.parts) {
    std::uint32_t& largest = window.largest[entry];
    largest = std::max(largest, part);
  }
}

void Entitlement::OnMayOwn() {
  if (this->ownership == Ownership::kMayOwn) {
    return;
  }
  this->ownership = Ownership::kMayOwn;
  // With no configuration in the whole log, nobody has ever owned a unit.
  this->has_base = this->limits.version == 0;
  this->BeginWindows();
  this->TakeBase();
  this->WorkOutOwned();
}

void Entitlement::OnSettled(const membership::Agreement& settled) {
  if (settled == this->settled) {
    return;
  }
  this->settled = settled;
  this->TakeBase();
  this->WorkOutOwned();
}

void Entitlement::TakeBase() {
  if (this->ownership == Ownership::kNone || this->settled.version != this->limits.version ||
      !this->settled.IsReachedByAll()) {
    return;
  }
  this->has_base = true;
  this->BeginWindows();
}

void Entitlement::BeginWindows() {
  this->has_gap = false;
  for (auto window = this->windows.begin(); window != this->windows.end();) {
    if (!this->limits.upper_limits.contains(window->first)) {
      window = this->windows.erase(window);
      continue;
    }
    window->second.own_smallest = window->second.own_part;
    window->second.largest = window->second.parts;
    ++window;
  }
}

std::uint32_t Entitlement::Owned(const TeamId& team) const {
  const auto found = this->windows.find(team);
  return found == this->windows.end() ? 0 : found->second.owned;
}

void Entitlement::WorkOutOwned() {
  for (auto& [team, window] : this->windows) {
    window.owned = this->OwnedOf(window);
    CHERVILSPAR_ASSERT(window.owned <= window.own_part);
  }
}

std::uint32_t Entitlement::OwnedOf(const Window& window) const {
  if (this->ownership == Ownership::kNone) {
    return 0;
  }
  if (this->joint_rule == membership::Guard::kOff) {
    return window.own_part;
  }
  if (!this->has_base) {
    return 0;
  }
  return this->MayOthersHoldMore(window) ? window.own_smallest : window.own_part;
}

bool Entitlement::MayOthersHoldMore(const Window& window) const {
  const bool is_current = this->settled.version == this->limits.version;
  if (this->has_gap && !(is_current && this->settled.IsReachedByAll())) {
    return true;
  }
  for (const auto& [entry, largest] : window.largest) {
    const auto part = window.parts.find(entry);
    const std::uint32_t now = part == window.parts.end() ? 0 : part->second;
    const bool has_settled = is_current && !this->settled.awaiting.contains(entry);
    if (entry != this->self && largest > now && !has_settled) {
      return true;
    }
  }
  return false;
}

std::uint32_t Entitlement::Part(const TeamId& team) const {
  const auto found = this->windows.find(team);
  return found == this->windows.end() ? 0 : found->second.own_part;
}

bool Entitlement::IsHeldBack(const TeamId& team) const {
  return this->Owned(team) < this->Part(team);
}

bool Entitlement::IsKnown(const TeamId& team) const {
  return this->limits.upper_limits.contains(team);
}

}  // namespace chervilspar::quota
