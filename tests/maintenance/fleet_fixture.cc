#include "fleet_fixture.h"

#include <utility>

namespace chervilspar::maintenance {

using config_log::Step;
using config_log::StepPhase;
using config_log::VmCondition;

FleetFixture::FleetFixture(const bench::WaveFleetShape& shape) {
  this->state.inventory = bench::MakeWaveFleet(shape, inventory::Weights());
  for (auto& [id, vm] : this->state.inventory.vms) {
    vm.rack = RackId{"rack-of-" + id.text};
    this->state.vm_status[id].condition = VmCondition::kAvailable;
    VmObservation seen;
    seen.listing = VmListing::kLive;
    seen.drain_state = DrainState::kOpen;
    seen.age = std::chrono::seconds(1);
    this->observations.vms.emplace(id, seen);
  }
  this->observations.vm_list_age = std::chrono::seconds(1);
  this->observations.live_entries = {kEntryA, kEntryB, kEntryC};
}

VmId FleetFixture::VmAt(std::uint32_t number) const {
  return std::next(this->state.inventory.vms.begin(), number)->first;
}

StepId FleetFixture::StepOf(std::uint32_t vm) const {
  return StepId{"step-" + this->VmAt(vm).text};
}

EntryId& FleetFixture::ExecutorOf(std::uint32_t vm) {
  return this->state.steps.at(this->StepOf(vm)).executor;
}

void FleetFixture::SetSlack(std::uint32_t slack) {
  for (auto& [id, pool] : this->state.inventory.pools) {
    if (pool.kind == inventory::PoolKind::kServing) {
      pool.min_available = bench::WaveFleetShape().vms_per_pool - slack;
    }
  }
}

void FleetFixture::SetPoolSlack(std::uint32_t pool, std::uint32_t slack) {
  this->state.inventory.pools.at(bench::ServingPool(pool)).min_available =
      bench::WaveFleetShape().vms_per_pool - slack;
}

void FleetFixture::SetMaintained(WallTime at) {
  for (auto& [id, status] : this->state.vm_status) {
    status.last_maintained = at;
  }
}

void FleetFixture::SetCondition(std::uint32_t vm, VmCondition condition) {
  this->state.vm_status.at(this->VmAt(vm)).condition = condition;
}

void FleetFixture::PutInRack(std::uint32_t vm, const std::string& rack) {
  for (auto& [id, value] : this->state.inventory.vms) {
    if (vm == kAllVms || id == this->VmAt(vm)) {
      value.rack = RackId{rack};
    }
  }
}

void FleetFixture::PutInZone(std::uint32_t vm, const std::string& zone) {
  this->state.inventory.vms.at(this->VmAt(vm)).zone = ZoneId{zone};
}

void FleetFixture::MoveOut(std::vector<inventory::MoveTarget> targets) {
  inventory::Move move;
  move.leave_site = SiteId{"old-building"};
  move.date = kNow + std::chrono::hours(24);
  move.targets = std::move(targets);
  this->state.inventory.move = std::move(move);
}

void FleetFixture::HoldVm(std::uint32_t vm, StepPhase phase) {
  Step step;
  step.id = this->StepOf(vm);
  step.vm = this->VmAt(vm);
  step.from_pool = this->state.inventory.vms.at(step.vm).pool;
  step.phase = phase;
  step.executor = kEntryA;
  step.claimed_at = kNow - std::chrono::minutes(1);
  this->state.vm_status.at(step.vm).step = step.id;
  this->state.steps.emplace(step.id, step);
}

void FleetFixture::FailNow(std::uint32_t vm) {
  this->SetCondition(vm, VmCondition::kFailed);
  VmObservation& seen = this->observations.vms.at(this->VmAt(vm));
  seen.listing = VmListing::kUnlisted;
  seen.failing_since = kNow - std::chrono::seconds(10);
}

void FleetFixture::FailAfterStep(std::uint32_t vm) {
  this->SetCondition(vm, VmCondition::kFailed);
  this->state.vm_status.at(this->VmAt(vm)).last_step = this->StepOf(vm);
}

void FleetFixture::Lend(std::uint32_t vm, const PoolId& pool) {
  const VmId id = this->VmAt(vm);
  this->state.vm_status.at(id).declared_pool = this->state.inventory.vms.at(id).pool;
  this->state.inventory.vms.at(id).pool = pool;
}

}  // namespace chervilspar::maintenance
