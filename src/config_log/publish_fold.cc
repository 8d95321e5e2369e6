#include "config_log/publish_fold.h"

#include <algorithm>

namespace chervilspar::config_log {

namespace {

Reason Conflict(std::string message) {
  return Reason{ErrorCode::kConflict, "", std::move(message)};
}

std::string Quoted(const std::string& id) { return '"' + id + '"'; }

template <typename IdType, typename Object>
void ApplyChanges(std::map<IdType, Object>& objects,
                  const inventory::ObjectChanges<IdType, Object>& changes) {
  for (const IdType& id : changes.removed) {
    objects.erase(id);
  }
  for (const auto& [id, object] : changes.put) {
    objects[id] = object;
  }
}

}  // namespace

std::optional<Reason> PublishFold::FindVersionFault() const {
  const ConfigVersion current = this->folder.state.version;
  if (this->publish.base_version == current) {
    return std::nullopt;
  }
  return Conflict("made from version " + std::to_string(this->publish.base_version) +
                  ", the configuration is at version " + std::to_string(current));
}

std::optional<Reason> PublishFold::FindHeldVmFault() const {
  const FleetState& state = this->folder.state;
  const auto is_held = [&state](const VmId& id) {
    const auto status = state.vm_status.find(id);
    return status != state.vm_status.end() && status->second.step.has_value();
  };
  for (const VmId& id : this->publish.delta.vms.removed) {
    if (is_held(id)) {
      return Conflict("VM " + Quoted(id.text) + " is held by a step and can't be removed");
    }
  }
  for (const auto& [id, vm] : this->publish.delta.vms.put) {
    const auto current = state.inventory.vms.find(id);
    if (!is_held(id) || current == state.inventory.vms.end()) {
      continue;
    }
    // A step's rack is counted until it ends, and its pool is what the claim was admitted on.
    if (current->second.pool != vm.pool || current->second.rack != vm.rack) {
      return Conflict("VM " + Quoted(id.text) + " is held by a step and can't change place");
    }
  }
  return std::nullopt;
}

std::optional<Reason> PublishFold::FindHeldPoolFault() const {
  for (const auto& [id, step] : this->folder.state.steps) {
    if (step.to_pool && this->publish.delta.pools.removed.contains(*step.to_pool)) {
      return Conflict("pool " + Quoted(step.to_pool->text) + " is the target of a running step");
    }
  }
  return std::nullopt;
}

bool PublishFold::NeedsWholeCheck() const {
  const inventory::InventoryDelta& delta = this->publish.delta;
  const bool is_removal = !delta.vms.removed.empty() || !delta.teams.removed.empty();
  const bool is_structure = !delta.zones.IsEmpty() || !delta.services.IsEmpty() ||
                            !delta.pools.IsEmpty() || !delta.entries.IsEmpty() || delta.move;
  if (is_removal || is_structure) {
    return true;
  }
  const auto& vms = this->folder.state.inventory.vms;
  return std::any_of(delta.vms.put.begin(), delta.vms.put.end(), [&vms](const auto& entry) {
    const inventory::Vm& vm = entry.second;
    const auto current = vms.find(entry.first);
    return current == vms.end() || current->second.address != vm.address ||
           current->second.rack != vm.rack || current->second.zone != vm.zone;
  });
}

std::optional<Reason> PublishFold::FindReferenceFault() const {
  const inventory::Inventory& current = this->folder.state.inventory;
  const inventory::InventoryDelta& delta = this->publish.delta;
  if (this->NeedsWholeCheck()) {
    const Result<inventory::Inventory> applied = inventory::Apply(current, delta);
    if (!applied) {
      return applied.LastReason();
    }
    const std::vector<Reason> faults = inventory::FindDanglingReferences(*applied);
    return faults.empty() ? std::nullopt : std::optional<Reason>(faults.front());
  }
  for (const auto& [id, vm] : delta.vms.put) {
    const auto from = delta.vm_from_pools.find(id);
    if (from == delta.vm_from_pools.end() || current.vms.at(id).pool != from->second) {
      return Conflict("VM " + Quoted(id.text) + " is in pool " +
                      Quoted(current.vms.at(id).pool.text) + ", not where the change expects it");
    }
    if (!current.pools.contains(vm.pool)) {
      return Conflict("VM " + Quoted(id.text) + " names no pool of this inventory");
    }
  }
  return std::nullopt;
}

bool PublishFold::CountsForBudget(const VmId& vm) const {
  const auto found = this->folder.state.vm_status.find(vm);
  if (found == this->folder.state.vm_status.end()) {
    return false;
  }
  const VmStatus& status = found->second;
  const bool may_serve =
      status.condition == VmCondition::kAvailable || status.condition == VmCondition::kUnseen;
  return may_serve && !status.step && !status.retired;
}

std::map<PoolId, PublishFold::PoolEffect> PublishFold::PoolEffects() const {
  const inventory::Inventory& current = this->folder.state.inventory;
  const inventory::InventoryDelta& delta = this->publish.delta;
  std::map<PoolId, PoolEffect> effects;
  for (const auto& [id, vm] : delta.vms.put) {
    const auto before = current.vms.find(id);
    const bool is_new = before == current.vms.end();
    if (!is_new && (before->second.pool == vm.pool || !this->CountsForBudget(id))) {
      continue;
    }
    ++effects[vm.pool].vms;
    if (!is_new) {
      --effects[before->second.pool].vms;
    }
  }
  for (const VmId& id : delta.vms.removed) {
    if (this->CountsForBudget(id)) {
      --effects[current.vms.at(id).pool].vms;
    }
  }
  for (const auto& [id, pool] : delta.pools.put) {
    effects[id];
  }
  for (auto& [id, effect] : effects) {
    const auto before = current.pools.find(id);
    const auto after = delta.pools.put.find(id);
    effect.budget_before = before == current.pools.end() ? 0 : before->second.min_available;
    effect.budget_after =
        after == delta.pools.put.end() ? effect.budget_before : after->second.min_available;
    if (delta.pools.removed.contains(id)) {
      effect.budget_after = 0;
    }
  }
  return effects;
}

/// A publish may not make any pool's shortage worse. One that leaves a shortage as it is, or makes
/// it smaller, must pass: otherwise a failed rack would keep operators from any change.
std::optional<Reason> PublishFold::FindBudgetFault() const {
  for (const auto& [id, effect] : this->PoolEffects()) {
    const PoolCounts counts = this->folder.CountsOf(id);
    const std::int64_t before = static_cast<std::int64_t>(counts.available) + counts.unseen;
    const std::int64_t after = before + effect.vms;
    const std::int64_t shortage_before = std::max<std::int64_t>(0, effect.budget_before - before);
    const std::int64_t shortage_after = std::max<std::int64_t>(0, effect.budget_after - after);
    if (shortage_after > shortage_before) {
      return Conflict("pool " + Quoted(id.text) + " would have " + std::to_string(after) +
                      " VMs available, below its budget of " + std::to_string(effect.budget_after));
    }
  }
  return std::nullopt;
}

void PublishFold::ApplyVms() {
  FleetState& state = this->folder.state;
  for (const VmId& id : this->publish.delta.vms.removed) {
    this->folder.CountVm(id, -1);
    state.inventory.vms.erase(id);
    state.vm_status.erase(id);
  }
  for (const auto& [id, vm] : this->publish.delta.vms.put) {
    const auto current = state.inventory.vms.find(id);
    if (current == state.inventory.vms.end()) {
      VmStatus status;
      status.condition = VmCondition::kUnseen;
      state.vm_status[id] = status;
      state.inventory.vms[id] = vm;
    } else {
      this->folder.CountVm(id, -1);
      if (current->second.pool != vm.pool) {
        state.vm_status.at(id).declared_pool.reset();
      }
      current->second = vm;
    }
    this->folder.CountVm(id, +1);
  }
}

/// The keys of a team that is gone are withdrawn for good: a team of the same name that is added
/// later is another one, whose work the old keys must not submit.
void PublishFold::RemoveTeamKeys() {
  FleetState& state = this->folder.state;
  const std::set<TeamId>& removed = this->publish.delta.teams.removed;
  if (removed.empty()) {
    return;
  }
  for (auto key = state.keys.begin(); key != state.keys.end();) {
    if (!removed.contains(key->second)) {
      ++key;
      continue;
    }
    state.withdrawn.insert(key->first);
    key = state.keys.erase(key);
  }
}

/// An entry that is taken off the list, and is cut off, goes on using its part of the limits. Its
/// successors in the list must know whom to wait for, also those that start later and never saw the
/// list that named it.
void PublishFold::NoteFormerEntries() {
  FleetState& state = this->folder.state;
  const auto& changes = this->publish.delta.entries;
  state.former_entries.insert(changes.removed.begin(), changes.removed.end());
  for (const auto& [id, entry] : changes.put) {
    state.former_entries.erase(id);
    state.gone_entries.erase(id);
  }
}

void PublishFold::ApplyInPlace() {
  inventory::Inventory& current = this->folder.state.inventory;
  const inventory::InventoryDelta& delta = this->publish.delta;
  ApplyChanges(current.zones, delta.zones);
  ApplyChanges(current.services, delta.services);
  ApplyChanges(current.pools, delta.pools);
  this->ApplyVms();
  this->RemoveTeamKeys();
  ApplyChanges(current.teams, delta.teams);
  this->NoteFormerEntries();
  ApplyChanges(current.entries, delta.entries);
  if (delta.move) {
    current.move = delta.move->move;
  }
  current.maintenance = delta.maintenance.value_or(current.maintenance);
  current.service_rules = delta.service_rules.value_or(current.service_rules);
  ++this->folder.state.version;
}

FoldDecision PublishFold::Run() {
  std::optional<Reason> fault = this->FindVersionFault();
  fault = fault ? fault : this->FindHeldVmFault();
  fault = fault ? fault : this->FindHeldPoolFault();
  fault = fault ? fault : this->FindReferenceFault();
  fault = fault ? fault : this->FindBudgetFault();
  if (fault) {
    return FoldDecision{FoldVerdict::kRejected, std::move(fault), std::nullopt};
  }
  this->ApplyInPlace();
  return Accept();
}

}  // namespace chervilspar::config_log
