#include "fleet_view.h"

#include <algorithm>

#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

namespace {

using config_log::StepAction;
using config_log::VmCondition;

/// Returns the index of an id, assigning the next free one to a new id.
template <typename IdType>
Index Intern(std::unordered_map<IdType, Index>& numbers, const IdType& id) {
  return numbers.try_emplace(id, static_cast<Index>(numbers.size())).first->second;
}

const config_log::VmStatus& UnknownStatus(ViewMode mode) {
  static const config_log::VmStatus kAvailableStatus;
  static const config_log::VmStatus kFailedStatus = [] {
    config_log::VmStatus status;
    status.condition = VmCondition::kFailed;
    return status;
  }();
  return mode == ViewMode::kDeclared ? kAvailableStatus : kFailedStatus;
}

/// Whether a recent VM list shows that the VM has left or is leaving.
bool IsObservedLost(const Observations& observations, const VmObservation& seen) {
  return observations.vm_list_age <= kMaxViewAge && seen.listing != VmListing::kLive;
}

}  // namespace

FleetView::FleetView(const config_log::FleetState& state, const Observations& observations,
                     WallTime now, ViewMode mode)
    : state(&state), now(now) {
  this->AddPools();
  this->AddVms(observations, mode);
  this->SetRoutineNeeds();
  this->SetMoveNeeds();
}

std::uint32_t FleetView::FailureReserve(const inventory::Pool& pool) {
  return pool.kind == inventory::PoolKind::kSpare ? 0 : kFailureReserve;
}

std::int64_t FleetView::FreeCapacity(const PoolView& pool) {
  const std::int64_t floor =
      static_cast<std::int64_t>(pool.pool->min_available) + FailureReserve(*pool.pool);
  return static_cast<std::int64_t>(pool.available) - floor;
}

std::int64_t FleetView::Capacity(const PoolView& pool) {
  return FreeCapacity(pool) + pool.returning;
}

std::optional<Index> FleetView::FindPool(const PoolId& pool) const {
  const auto found = this->pool_index.find(pool);
  if (found == this->pool_index.end()) {
    return std::nullopt;
  }
  return found->second;
}

void FleetView::AddPools() {
  this->pools.reserve(this->state->inventory.pools.size());
  for (const auto& [id, pool] : this->state->inventory.pools) {
    this->pool_index.emplace(id, static_cast<Index>(this->pools.size()));
    PoolView view;
    view.pool = &pool;
    this->pools.push_back(std::move(view));
  }
}

void FleetView::AddVms(const Observations& observations, ViewMode mode) {
  std::unordered_map<RackId, Index> racks;
  std::unordered_map<ZoneId, Index> zones;
  auto status = this->state->vm_status.begin();
  const auto status_end = this->state->vm_status.end();
  this->vms.reserve(this->state->inventory.vms.size());
  for (const auto& [id, vm] : this->state->inventory.vms) {
    const auto pool = this->FindPool(vm.pool);
    if (!pool) {
      continue;
    }
    // Both maps are ordered by VM, so a single pass over each finds all pairs.
    while (status != status_end && status->first < id) {
      ++status;
    }
    const bool known = status != status_end && status->first == id;
    VmView view;
    view.vm = &vm;
    view.status = known ? &status->second : &UnknownStatus(mode);
    view.pool = *pool;
    view.rack = Intern(racks, vm.rack);
    view.zone = Intern(zones, vm.zone);
    view.last_maintained = view.status->last_maintained;
    view.is_lent = this->IsLent(view);
    this->SetAvailability(view, observations, mode);
    this->held_in_rack.resize(racks.size());
    this->held_in_zone.resize(zones.size());
    this->vm_index.emplace(id, static_cast<Index>(this->vms.size()));
    this->vms.push_back(std::move(view));
    this->CountVm(static_cast<Index>(this->vms.size() - 1));
  }
}

void FleetView::SetAvailability(VmView& view, const Observations& observations,
                                ViewMode mode) const {
  const config_log::VmStatus& status = *view.status;
  if (status.step) {
    const auto step = this->state->steps.find(*status.step);
    view.step = step == this->state->steps.end() ? nullptr : &step->second;
  }
  // Without observations, a VM that was never observed counts as available.
  const bool is_unseen = status.condition == VmCondition::kUnseen;
  const bool is_assumed_available = is_unseen && mode == ViewMode::kDeclared;
  view.is_lost =
      status.retired || (status.condition != VmCondition::kAvailable && !is_assumed_available);
  if (mode == ViewMode::kDeclared) {
    view.is_available = !view.is_lost && !view.step;
    return;
  }
  const auto seen = observations.vms.find(view.vm->id);
  if (seen != observations.vms.end()) {
    view.is_lost = view.is_lost || IsObservedLost(observations, seen->second);
    view.failing_since = seen->second.failing_since;
  }
  view.is_available = !view.is_lost && !view.step && IsSeenLive(observations, view.vm->id);
}

void FleetView::CountVm(Index index) {
  const VmView& view = this->vms[index];
  PoolView& pool = this->pools[view.pool];
  pool.vms.push_back(index);
  ++pool.members;
  pool.retired += view.status->retired ? 1 : 0;
  if (view.is_available) {
    ++pool.available;
  }
  if (view.step) {
    this->CountHeld(view);
    return;
  }
  const bool is_recent_loss =
      view.failing_since && this->now - *view.failing_since < kReplacementDelay;
  if (view.is_lost && !view.status->retired && !is_recent_loss) {
    ++pool.replaceable_losses;
  }
}

void FleetView::CountHeld(const VmView& view) {
  PoolView& pool = this->pools[view.pool];
  const bool is_spare = pool.pool->kind == inventory::PoolKind::kSpare;
  this->held += is_spare && view.step->action == StepAction::kMove ? 0 : 1;
  ++pool.held;
  ++this->held_in_rack[view.rack];
  ++this->held_in_zone[view.zone];
  if (std::find(pool.held_zones.begin(), pool.held_zones.end(), view.zone) ==
      pool.held_zones.end()) {
    pool.held_zones.push_back(view.zone);
  }
  if (view.step->action == StepAction::kReboot && !view.is_lost) {
    ++pool.returning;
  }
  if (view.step->action == StepAction::kMove && view.step->to_pool) {
    const auto target = this->FindPool(*view.step->to_pool);
    if (target) {
      ++this->pools[*target].incoming;
    }
  }
}

bool FleetView::IsLent(const VmView& view) const {
  const auto& declared = view.status->declared_pool;
  if (!declared || this->pools[view.pool].pool->kind == inventory::PoolKind::kSpare) {
    return false;
  }
  const auto home = this->FindPool(*declared);
  return home && this->pools[*home].pool->kind == inventory::PoolKind::kSpare;
}

void FleetView::SetRoutineNeeds() {
  const Duration every = this->state->inventory.maintenance.every;
  if (every <= Duration::zero()) {
    return;
  }
  const Duration due_after = every - every / kRoutineLeadDivisor;
  for (VmView& view : this->vms) {
    if (!view.status->retired && this->now - view.last_maintained >= due_after) {
      view.need = Need::kReboot;
    }
  }
}

void FleetView::SetMoveNeeds() {
  if (!this->state->inventory.move) {
    return;
  }
  for (const inventory::MoveTarget& target : this->state->inventory.move->targets) {
    const auto found = this->vm_index.find(target.vm);
    if (found == this->vm_index.end()) {
      continue;
    }
    VmView& view = this->vms[found->second];
    view.is_lent = false;
    if (view.status->retired || target.to_pool == view.vm->pool) {
      continue;
    }
    view.need = target.to_pool ? Need::kMove : Need::kRetire;
    view.to_pool = target.to_pool;
  }
}

}  // namespace chervilspar::maintenance
