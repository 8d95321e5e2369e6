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
    this->ExtendWindow(team, upper_limit);
  }
  for (auto& [team, window] : this->windows) {
    if (!limits.upper_limits.contains(team)) {
      this->ExtendWindow(team, 0);
    }
  }
  this->StartFromSettled();
  this->UpdateOwned();
}

void Entitlement::ExtendWindow(const TeamId& team, std::uint32_t upper_limit) {
  const auto [found, is_new] = this->windows.try_emplace(team);
  Window& window = found->second;
  window.parts = SplitLimit(this->limits.entries, team, upper_limit);
  const auto own = window.parts.find(this->self);
  window.own_part = own == window.parts.end() ? 0 : own->second;
  // The limit of a team that is new in this configuration was zero, so that no entry holds units.
  window.min_own_part = is_new ? 0 : std::min(window.min_own_part, window.own_part);
  for (const auto& [entry, part] : window.parts) {
    std::uint32_t& max_part = window.max_parts[entry];
    max_part = std::max(max_part, part);
  }
}

void Entitlement::OnMayOwn() {
  if (this->ownership == Ownership::kMayOwn) {
    return;
  }
  this->ownership = Ownership::kMayOwn;
  // With no configuration in the whole log, no entry has ever owned a unit.
  this->has_settled_base = this->limits.version == 0;
  this->RestartWindows();
  this->StartFromSettled();
  this->UpdateOwned();
}

void Entitlement::OnSettled(const membership::Agreement& settled) {
  if (settled == this->settled) {
    return;
  }
  this->settled = settled;
  this->StartFromSettled();
  this->UpdateOwned();
}

void Entitlement::StartFromSettled() {
  if (this->ownership == Ownership::kNone || this->settled.version != this->limits.version ||
      !this->settled.IsReachedByAll()) {
    return;
  }
  this->has_settled_base = true;
  this->RestartWindows();
}

void Entitlement::RestartWindows() {
  this->has_gap = false;
  for (auto window = this->windows.begin(); window != this->windows.end();) {
    if (!this->limits.upper_limits.contains(window->first)) {
      window = this->windows.erase(window);
      continue;
    }
    window->second.min_own_part = window->second.own_part;
    window->second.max_parts = window->second.parts;
    ++window;
  }
}

std::uint32_t Entitlement::Owned(const TeamId& team) const {
  const auto found = this->windows.find(team);
  return found == this->windows.end() ? 0 : found->second.owned;
}

void Entitlement::UpdateOwned() {
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
  if (!this->has_settled_base) {
    return 0;
  }
  return this->MayOthersHoldMore(window) ? window.min_own_part : window.own_part;
}

bool Entitlement::MayOthersHoldMore(const Window& window) const {
  const bool is_current = this->settled.version == this->limits.version;
  if (this->has_gap && !(is_current && this->settled.IsReachedByAll())) {
    return true;
  }
  for (const auto& [entry, max_part] : window.max_parts) {
    const auto part = window.parts.find(entry);
    const std::uint32_t now = part == window.parts.end() ? 0 : part->second;
    const bool has_settled = is_current && !this->settled.awaiting.contains(entry);
    if (entry != this->self && max_part > now && !has_settled) {
      return true;
    }
  }
  return false;
}

std::uint32_t Entitlement::OwnPart(const TeamId& team) const {
  const auto found = this->windows.find(team);
  return found == this->windows.end() ? 0 : found->second.own_part;
}

bool Entitlement::IsLimitedByJointRule(const TeamId& team) const {
  return this->Owned(team) < this->OwnPart(team);
}

bool Entitlement::IsKnown(const TeamId& team) const {
  return this->limits.upper_limits.contains(team);
}

}  // namespace chervilspar::quota
