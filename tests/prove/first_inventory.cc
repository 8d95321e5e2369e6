#include <array>
#include <string>

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

/// Two serving pools of five VMs that must keep three, and two spare VMs.
constexpr std::size_t kPools = 2;
constexpr std::size_t kServingVms = 10;
constexpr std::uint32_t kBudget = 3;
/// Two racks in each zone.
constexpr std::size_t kRacks = std::size_t{2} * kZones;
constexpr std::array<std::uint32_t, kTeams> kFirstLimits = {1, 2, 5, 9};

}  // namespace

EntryId EntryAt(std::size_t slot) { return EntryId{"e" + std::to_string(slot + 1)}; }

TeamId TeamAt(std::size_t team) { return TeamId{"team" + std::to_string(team + 1)}; }

PoolId PoolAt(std::size_t vm) {
  return PoolId{vm < kServingVms ? "pool" + std::to_string(vm % kPools) : "spare"};
}

std::uint32_t BudgetOf(const PoolId& pool) { return pool.text == "spare" ? 0 : kBudget; }

VmId VmAt(std::size_t at) { return VmId{"vm" + std::to_string(at)}; }

PoolId PoolOf(const TeamId& team) {
  return PoolId{"pool" + std::to_string(static_cast<std::size_t>(team.text.back()) % kPools)};
}

namespace {

void AddVms(inventory::Inventory& first) {
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    const std::string name = "pool" + std::to_string(pool);
    first.services[ServiceId{name}].id.text = name;
    first.pools[PoolId{name}] = {PoolId{name}, ServiceId{name}, inventory::PoolKind::kServing,
                                 kBudget};
  }
  first.pools[PoolId{"spare"}] = {PoolId{"spare"}, {}, inventory::PoolKind::kSpare, 0};
  for (std::size_t at = 0; at < kVms; ++at) {
    inventory::Vm& vm = first.vms[VmAt(at)];
    vm.id = VmAt(at);
    vm.pool = PoolAt(at);
    vm.rack.text = "rack" + std::to_string(at % kRacks);
    vm.zone.text = "zone" + std::to_string(at % kZones);
    vm.site.text = "site";
    vm.address = "10.0.1." + std::to_string(at + 1) + ":9000";
    vm.cores = 4;
    vm.memory_mb = 1024;
    vm.slots = 12;
    vm.connections = 64;
  }
  first.maintenance.every = Seconds(30);
  first.maintenance.drain_timeout = Seconds(12);
  first.maintenance.reboot_timeout = Seconds(10);
}

}  // namespace

inventory::Inventory FirstInventory() {
  inventory::Inventory first;
  for (std::uint32_t zone = 0; zone < kZones; ++zone) {
    const ZoneId id{"zone" + std::to_string(zone)};
    first.zones[id] = {id, RegionId{"region"}};
  }
  for (std::size_t slot = 0; slot < kFirstEntries; ++slot) {
    first.entries[EntryAt(slot)] = EntryVmAt(slot);
  }
  for (std::size_t team = 0; team < kTeams; ++team) {
    inventory::Team& made = first.teams[TeamAt(team)];
    made.id = TeamAt(team);
    made.client_account.text = "account" + std::to_string(team);
    made.upper_limit = kFirstLimits.at(team);
  }
  AddVms(first);
  first.service_rules.max_task_lease = kMaxTaskLease;
  first.service_rules.loan_lease = kLoanLease;
  first.service_rules.max_clock_skew = kMaxClockSkew;
  return first;
}

inventory::EntryVm EntryVmAt(std::size_t slot) {
  const std::string host = "10.0.0." + std::to_string(slot + 1);
  return {EntryAt(slot), ZoneId{"zone" + std::to_string(slot % kZones)}, host + ":7000",
          host + ":8000"};
}

}  // namespace chervilspar::prove
