#include "bench/big_inventory.h"

#include <algorithm>
#include <string>

namespace chervilspar::bench {

namespace {

using inventory::Inventory;
using inventory::Pool;
using inventory::PoolKind;

constexpr std::uint32_t kTeamsPerClientAccount = 4;
constexpr std::uint32_t kFirstPort = 9000;
/// An address has three free parts of 250 values: enough for 15 million VMs.
constexpr std::uint32_t kAddressPart = 250;

std::string Numbered(const char* prefix, std::uint32_t number) {
  return prefix + std::to_string(number);
}

std::string IpAddress(std::uint32_t number) {
  return "10." + std::to_string(number / (kAddressPart * kAddressPart)) + "." +
         std::to_string(number / kAddressPart % kAddressPart) + "." +
         std::to_string(1 + number % kAddressPart);
}

/// The zone of the `index`-th VM of a pool: pools stay in a region and use all zones of it.
std::uint32_t ZoneOf(const FleetShape& shape, std::uint32_t pool, std::uint32_t index) {
  const std::uint32_t zones_per_region = std::max(1U, shape.zones / shape.regions);
  const std::uint32_t region = pool % shape.regions;
  return (region * zones_per_region + index / shape.vms_per_rack % zones_per_region) % shape.zones;
}

void AddPlaces(const FleetShape& shape, Inventory& fleet) {
  const std::uint32_t zones_per_region = std::max(1U, shape.zones / shape.regions);
  for (std::uint32_t zone = 0; zone < shape.zones; ++zone) {
    const ZoneId id{Numbered("zone-", zone)};
    fleet.zones[id] = inventory::Zone{id, RegionId{Numbered("region-", zone / zones_per_region)}};
  }
  for (std::uint32_t entry = 0; entry < shape.entries; ++entry) {
    const EntryId id{Numbered("entry-", entry)};
    const std::string ip = "10.255.0." + std::to_string(1 + entry);
    fleet.entries[id] = inventory::EntryVm{id, ZoneId{Numbered("zone-", entry % shape.zones)},
                                           ip + ":7000", ip + ":8000"};
  }
}

void AddTeams(const FleetShape& shape, Inventory& fleet) {
  for (std::uint32_t number = 0; number < shape.teams; ++number) {
    inventory::Team team;
    team.id.text = Numbered("team-", number);
    team.client_account.text = Numbered("account-", number / kTeamsPerClientAccount);
    team.share = 1.0 + number % 8;
    team.upper_limit = std::max(8U, shape.vms / 20);
    team.may_be_urgent = number % 10 == 0;
    fleet.teams.emplace(team.id, team);
  }
}

void AddVm(const FleetShape& shape, std::uint32_t pool, std::uint32_t index, std::uint32_t number,
           Inventory& fleet) {
  inventory::Vm vm;
  vm.id.text = Numbered("vm-", number);
  vm.pool.text = Numbered("pool-", pool);
  vm.zone.text = Numbered("zone-", ZoneOf(shape, pool, index));
  vm.rack.text = "rack-" + std::to_string(pool) + "-" + std::to_string(index / shape.vms_per_rack);
  vm.site.text = "site-0";
  vm.address = IpAddress(number) + ":" + std::to_string(kFirstPort);
  vm.cores = 64;
  vm.memory_mb = 128 * 1024;
  const std::uint64_t before = std::uint64_t{shape.accelerators} * number / shape.vms;
  const std::uint64_t after = std::uint64_t{shape.accelerators} * (number + 1) / shape.vms;
  vm.accelerators = static_cast<std::uint32_t>(after - before);
  vm.slots = 8;
  vm.connections = 64;
  fleet.vms.emplace(vm.id, vm);
}

void AddPools(const FleetShape& shape, Inventory& fleet) {
  std::uint32_t number = 0;
  for (std::uint32_t i = 0; i < shape.pools; ++i) {
    // The first pools take the remainder, so that the last one, the spare, is the smallest.
    const std::uint32_t size = shape.vms / shape.pools + (i < shape.vms % shape.pools ? 1 : 0);
    Pool pool;
    pool.id.text = Numbered("pool-", i);
    pool.kind = i + 1 == shape.pools ? PoolKind::kSpare : PoolKind::kServing;
    pool.min_available = size * shape.budget_percent / 100;
    if (pool.kind == PoolKind::kServing) {
      pool.service.text = Numbered("service-", i);
      inventory::Service service;
      service.id = pool.service;
      service.job_cores = 1;
      fleet.services.emplace(service.id, service);
    }
    fleet.pools.emplace(pool.id, pool);
    for (std::uint32_t index = 0; index < size; ++index) {
      AddVm(shape, i, index, number++, fleet);
    }
  }
}

}  // namespace

FleetShape ScaledShape(std::uint32_t vms) {
  FleetShape shape;
  const auto scaled = [&](std::uint32_t full) {
    return std::max<std::uint32_t>(
        2, static_cast<std::uint32_t>(std::uint64_t{full} * vms / shape.vms));
  };
  shape.accelerators = scaled(shape.accelerators);
  shape.pools = scaled(shape.pools);
  shape.teams = scaled(shape.teams);
  shape.vms = vms;
  return shape;
}

Inventory MakeBigInventory(const FleetShape& shape) {
  Inventory fleet;
  AddPlaces(shape, fleet);
  AddTeams(shape, fleet);
  AddPools(shape, fleet);
  fleet.maintenance.every = std::chrono::hours(24 * 49);
  return fleet;
}

config_log::FleetState MakeBigState(const FleetShape& shape) {
  config_log::FleetState state;
  state.inventory = MakeBigInventory(shape);
  state.version = 1;
  state.next_offset = 1;
  for (const auto& [id, vm] : state.inventory.vms) {
    state.vm_status[id].condition = config_log::VmCondition::kAvailable;
  }
  return state;
}

}  // namespace chervilspar::bench
