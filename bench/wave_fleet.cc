#include "wave_fleet.h"

#include <string>

namespace chervilspar::bench {

namespace {

/// "vm-0007": names whose order is that of their numbers.
std::string Numbered(const char* prefix, std::uint32_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, digits.size() < 4 ? 4 - digits.size() : 0, '0');
  return prefix + digits;
}

/// Hands out VMs zone by zone, four or so to a rack.
class Racks {
 public:
  Racks(std::uint32_t zones, std::uint32_t per_rack) : used(zones), per_rack(per_rack) {}

  void Place(inventory::Vm& vm, std::uint32_t number) {
    const auto zone = static_cast<std::uint32_t>(number % this->used.size());
    const std::uint32_t rack = this->used[zone]++ / this->per_rack;
    vm.zone = ZoneId{Numbered("zone-", zone)};
    vm.rack = RackId{vm.zone.text + "/" + Numbered("rack-", rack)};
  }

 private:
  std::vector<std::uint32_t> used;
  std::uint32_t per_rack;
};

inventory::Vm MakeVm(std::uint32_t number, PoolId pool) {
  inventory::Vm vm;
  vm.id = VmId{Numbered("vm-", number)};
  vm.pool = std::move(pool);
  vm.site = SiteId{"old-building"};
  vm.address = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80";
  vm.cores = 8;
  vm.memory_mb = 16 * 1024;
  vm.slots = 8;
  vm.connections = 64;
  return vm;
}

}  // namespace

const char* ToString(Deployment deployment) {
  return deployment == Deployment::kFjallabunadur ? "Fjallabunadur" : "Costa Azul";
}

inventory::Weights WeightsOf(Deployment deployment) {
  constexpr double kMore = 3.0;
  inventory::Weights weights;
  if (deployment == Deployment::kFjallabunadur) {
    weights.buffer_cost = kMore;
    weights.moves = kMore;
  } else {
    weights.roll_out_time = kMore;
    weights.share_distance = kMore;
  }
  return weights;
}

PoolId ServingPool(std::uint32_t number) { return PoolId{Numbered("pool-", number)}; }

inventory::Inventory MakeWaveFleet(const WaveFleetShape& shape, const inventory::Weights& weights) {
  inventory::Inventory inventory;
  for (std::uint32_t i = 0; i < shape.zones; ++i) {
    const ZoneId zone{Numbered("zone-", i)};
    inventory.zones[zone] = inventory::Zone{zone, RegionId{"region"}};
  }
  Racks racks(shape.zones, shape.vms_per_rack);
  std::uint32_t number = 0;
  const auto add_pool = [&](inventory::Pool pool, std::uint32_t vms) {
    for (std::uint32_t i = 0; i < vms; ++i, ++number) {
      inventory::Vm vm = MakeVm(number, pool.id);
      racks.Place(vm, number);
      inventory.vms[vm.id] = vm;
    }
    inventory.pools[pool.id] = std::move(pool);
  };
  for (std::uint32_t i = 0; i < shape.serving_pools; ++i) {
    inventory::Pool pool;
    pool.id = ServingPool(i);
    pool.service = ServiceId{Numbered("service-", i)};
    pool.min_available = shape.vms_per_pool - shape.slack;
    add_pool(pool, shape.vms_per_pool);
  }
  inventory::Pool spare;
  spare.id = kSparePool;
  spare.kind = inventory::PoolKind::kSpare;
  add_pool(spare, shape.spare_vms);
  inventory.maintenance.every = std::chrono::hours(24 * 49);
  inventory.maintenance.weights = weights;
  return inventory;
}

}  // namespace chervilspar::bench
