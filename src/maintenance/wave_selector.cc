#include "wave_selector.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <queue>
#include <tuple>
#include <utility>

#include "chervilspar/base/assert.h"
#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

namespace {

using config_log::StepAction;

/// Maximum number of steps that a plan begins before due VMs wait. An entry appends 20 records a
/// second on average, a step takes three records, and a plan is made about once a second. Without
/// the limit, a wave over thousands of VMs appends more than a thousand claims at once, which time
/// out before they are read back.
constexpr std::size_t kMaxNewSteps = 8;

StepAction ActionFor(Need need) {
  switch (need) {
    case Need::kMove:
      return StepAction::kMove;
    case Need::kRetire:
      return StepAction::kRetire;
    case Need::kNone:
    case Need::kReboot:
      return StepAction::kReboot;
  }
  CHERVILSPAR_ASSERT(false);
}

}  // namespace

WaveSelector::WaveSelector(const FleetView& view, const WaveShape& shape, const WaveTarget& target)
    : view(view),
      shape(shape),
      target(target),
      held(view.held),
      rack_limit(std::max<std::uint32_t>(view.state->inventory.maintenance.max_per_rack, 1)),
      pools(view.pools.size()),
      held_in_rack(view.held_in_rack),
      zone_rank(view.held_in_zone.size()),
      is_selected(view.vms.size()) {
  for (Index i = 0; i < this->pools.size(); ++i) {
    this->pools[i].free_capacity = FleetView::FreeCapacity(view.pools[i]);
    this->pools[i].zones = view.pools[i].held_zones;
  }
  this->CollectDue();
}

void WaveSelector::CollectDue() {
  std::vector<std::uint32_t> due_in_zone(this->zone_rank.size());
  for (Index i = 0; i < this->view.vms.size(); ++i) {
    const VmView& vm = this->view.vms[i];
    if (vm.need == Need::kNone || vm.status->retired) {
      continue;
    }
    if (vm.step) {
      this->AddWait(i, WaitReason::kStepRunning);
      continue;
    }
    this->pools[vm.pool].due.push_back(i);
    ++due_in_zone[vm.zone];
  }
  // The wave prefers zones where it already holds VMs, then zones with the most due VMs.
  std::vector<Index> order(this->zone_rank.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](Index left, Index right) {
    const auto& held = this->view.held_in_zone;
    return std::tuple(held[left], due_in_zone[left], right) >
           std::tuple(held[right], due_in_zone[right], left);
  });
  for (Index rank = 0; rank < order.size(); ++rank) {
    this->zone_rank[order[rank]] = rank;
  }
  for (PoolCursor& cursor : this->pools) {
    this->SortDue(cursor);
  }
}

void WaveSelector::SortDue(PoolCursor& cursor) const {
  const auto key = [this, &cursor](Index index) {
    const VmView& vm = this->view.vms[index];
    const bool is_routine = vm.need == Need::kReboot;
    const bool is_elsewhere =
        std::find(cursor.zones.begin(), cursor.zones.end(), vm.zone) == cursor.zones.end();
    return std::tuple(is_routine, is_elsewhere, this->zone_rank[vm.zone], vm.last_maintained,
                      index);
  };
  std::sort(cursor.due.begin(), cursor.due.end(),
            [&key](Index left, Index right) { return key(left) > key(right); });
}

void WaveSelector::SelectSpareAssignments() {
  for (const SpareAssignment& assignment : this->shape.SpareAssignments()) {
    for (std::uint32_t i = 0; i < assignment.count; ++i) {
      const auto spare = this->FindSpare(assignment.pool);
      if (!spare) {
        break;
      }
      this->Hold(*spare, StepAction::kMove, this->view.pools[assignment.pool].pool->id);
    }
  }
}

void WaveSelector::SelectReturns() {
  for (Index i = 0; i < this->view.vms.size(); ++i) {
    const VmView& vm = this->view.vms[i];
    if (!vm.is_lent || !vm.is_available || vm.need != Need::kNone || this->is_selected[i]) {
      continue;
    }
    const PoolView& pool = this->view.pools[vm.pool];
    const bool has_rack_capacity = this->held_in_rack[vm.rack] < this->rack_limit;
    const bool is_complete = pool.available + pool.held == pool.members;
    if (is_complete && has_rack_capacity && !this->shape.HasWork(vm.pool) &&
        this->pools[vm.pool].free_capacity >= 1) {
      this->Hold(i, StepAction::kMove, vm.status->declared_pool);
    }
  }
}

std::optional<Index> WaveSelector::FindSpare(Index for_pool) const {
  const std::uint32_t accelerators = this->NeededAccelerators(for_pool);
  std::vector<std::uint32_t> members_in_zone(this->zone_rank.size());
  for (const Index vm : this->view.pools[for_pool].vms) {
    members_in_zone[this->view.vms[vm].zone] += this->view.vms[vm].is_available ? 1 : 0;
  }
  std::optional<Index> best;
  for (Index pool = 0; pool < this->pools.size(); ++pool) {
    if (pool == for_pool || this->pools[pool].free_capacity <= 0) {
      continue;
    }
    const bool is_spare_pool = this->view.pools[pool].pool->kind == inventory::PoolKind::kSpare;
    for (const Index candidate : this->view.pools[pool].vms) {
      const VmView& vm = this->view.vms[candidate];
      if (this->held_in_rack[vm.rack] >= this->rack_limit || this->is_selected[candidate] ||
          !(is_spare_pool || vm.is_lent) || !this->IsSpareUsable(vm, accelerators)) {
        continue;
      }
      // Prefer a spare VM in the zone where the pool has the fewest available VMs.
      const bool is_better =
          !best || members_in_zone[vm.zone] < members_in_zone[this->view.vms[*best].zone];
      best = is_better ? candidate : *best;
    }
  }
  return best;
}

bool WaveSelector::IsSpareUsable(const VmView& vm, std::uint32_t accelerators) const {
  const bool stays_in_pool = vm.need == Need::kNone || vm.need == Need::kReboot;
  return vm.is_available && stays_in_pool && vm.vm->accelerators >= accelerators;
}

std::uint32_t WaveSelector::NeededAccelerators(Index pool) const {
  std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
  for (const Index vm : this->view.pools[pool].vms) {
    fewest = std::min(fewest, this->view.vms[vm].vm->accelerators);
  }
  return this->view.pools[pool].vms.empty() ? 0 : fewest;
}

void WaveSelector::SelectDue() {
  using Priority = std::pair<double, Index>;
  std::priority_queue<Priority> queue;
  for (Index i = 0; i < this->pools.size(); ++i) {
    if (!this->pools[i].due.empty()) {
      queue.emplace(this->shape.RoundsAtCapacity(i), i);
    }
  }
  while (!queue.empty()) {
    const auto [rounds, pool] = queue.top();
    queue.pop();
    if (!this->SelectOne(pool)) {
      continue;
    }
    // Each selected step shortens the pool's remaining rounds in proportion.
    const auto left = static_cast<double>(this->pools[pool].due.size());
    queue.emplace(rounds * left / (left + 1.0), pool);
  }
}

bool WaveSelector::SelectOne(Index pool) {
  PoolCursor& cursor = this->pools[pool];
  while (!cursor.due.empty()) {
    const Index index = cursor.due.back();
    cursor.due.pop_back();
    if (this->is_selected[index]) {
      continue;
    }
    const VmView& vm = this->view.vms[index];
    const auto obstacle = this->FindObstacle(vm, cursor);
    if (obstacle) {
      this->AddWait(index, *obstacle);
      continue;
    }
    this->Hold(index, ActionFor(vm.need), vm.to_pool);
    return true;
  }
  return false;
}

bool WaveSelector::IsZoneClosed(const VmView& vm, const PoolCursor& cursor) const {
  const bool is_held_zone =
      std::find(cursor.zones.begin(), cursor.zones.end(), vm.zone) != cursor.zones.end();
  const std::size_t zones = cursor.zones.size() + (is_held_zone ? 0 : 1);
  if (zones <= 1 || cursor.free_capacity >= 1 + static_cast<std::int64_t>(kSecondZoneReserve)) {
    return false;
  }
  // A pool that would delay the whole wave uses all the free capacity that its budget allows.
  return this->shape.RoundsInOneZone(vm.pool) <= this->target.rounds;
}

std::optional<WaitReason> WaveSelector::FindObstacle(const VmView& vm,
                                                     const PoolCursor& cursor) const {
  if (!vm.is_available) {
    return WaitReason::kVmUnavailable;
  }
  if (vm.to_pool && !this->view.FindPool(*vm.to_pool)) {
    return WaitReason::kNoTarget;
  }
  if (cursor.free_capacity < 1) {
    return WaitReason::kPoolBudget;
  }
  if (this->held_in_rack[vm.rack] >= this->rack_limit) {
    return WaitReason::kRackLimit;
  }
  if (this->IsZoneClosed(vm, cursor)) {
    return WaitReason::kOtherZone;
  }
  if (this->held >= this->target.width || this->selections.size() >= kMaxNewSteps) {
    return WaitReason::kWaveWidth;
  }
  return std::nullopt;
}

void WaveSelector::Hold(Index index, StepAction action, std::optional<PoolId> to_pool) {
  const VmView& vm = this->view.vms[index];
  PoolCursor& cursor = this->pools[vm.pool];
  --cursor.free_capacity;
  if (std::find(cursor.zones.begin(), cursor.zones.end(), vm.zone) == cursor.zones.end()) {
    cursor.zones.push_back(vm.zone);
  }
  const bool is_spare = this->view.pools[vm.pool].pool->kind == inventory::PoolKind::kSpare;
  this->held += is_spare && action == StepAction::kMove ? 0 : 1;
  ++this->held_in_rack[vm.rack];
  this->is_selected[index] = true;
  this->selections.push_back(Selection{index, action, std::move(to_pool)});
}

void WaveSelector::AddWait(Index index, WaitReason reason) {
  const VmView& vm = this->view.vms[index];
  this->waits.push_back(VmWait{vm.vm->id, reason, vm.vm->pool, vm.vm->rack});
}

void WaveSelector::AddWaits(WaitReason reason) {
  for (PoolCursor& cursor : this->pools) {
    for (const Index index : cursor.due) {
      if (!this->is_selected[index]) {
        this->AddWait(index, this->view.vms[index].is_lost ? WaitReason::kVmUnavailable : reason);
      }
    }
    cursor.due.clear();
  }
}

std::vector<VmWait> WaveSelector::TakeWaits() {
  std::sort(this->waits.begin(), this->waits.end(),
            [](const VmWait& left, const VmWait& right) { return left.vm < right.vm; });
  return std::move(this->waits);
}

}  // namespace chervilspar::maintenance
