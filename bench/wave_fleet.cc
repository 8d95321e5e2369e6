#include "bench/wave_fleet.h"

#include <string>
#include <utility>
#include <vector>

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

/// Builds the inventory of a fleet that is due for maintenance.
class FleetBuilder {
 public:
  FleetBuilder(std::uint32_t zones, std::uint32_t vms_per_rack) : racks(zones, vms_per_rack) {
    for (std::uint32_t i = 0; i < zones; ++i) {
      const ZoneId zone{Numbered("zone-", i)};
      this->inventory.zones[zone] = inventory::Zone{zone, RegionId{"region"}};
    }
  }

  void AddServingPool(std::uint32_t number, std::uint32_t vms, std::uint32_t slack) {
    inventory::Pool pool;
    pool.id = ServingPool(number);
    pool.service = ServiceId{Numbered("service-", number)};
    pool.min_available = vms - slack;
    this->AddPool(std::move(pool), vms);
  }

  void AddSparePool(std::uint32_t vms) {
    inventory::Pool pool;
    pool.id = kSparePool;
    pool.kind = inventory::PoolKind::kSpare;
    this->AddPool(std::move(pool), vms);
  }

  inventory::Inventory Finish(const inventory::Weights& weights) && {
    this->inventory.maintenance.every = std::chrono::hours(24 * 49);
    this->inventory.maintenance.weights = weights;
    return std::move(this->inventory);
  }

 private:
  void AddPool(inventory::Pool pool, std::uint32_t vms) {
    for (std::uint32_t i = 0; i < vms; ++i) {
      inventory::Vm vm = MakeVm(this->next_vm, pool.id);
      this->racks.Place(vm, this->next_vm);
      ++this->next_vm;
      this->inventory.vms[vm.id] = vm;
    }
    this->inventory.pools[pool.id] = std::move(pool);
  }

  Racks racks;
  inventory::Inventory inventory;
  std::uint32_t next_vm = 0;
};

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
  FleetBuilder builder(shape.zones, shape.vms_per_rack);
  for (std::uint32_t i = 0; i < shape.serving_pools; ++i) {
    builder.AddServingPool(i, shape.vms_per_pool, shape.slack);
  }
  builder.AddSparePool(shape.spare_vms);
  return std::move(builder).Finish(weights);
}

inventory::Inventory MakeDeploymentFleet(Deployment deployment, Random& random) {
  const WaveFleetShape shape;
  FleetBuilder builder(shape.zones, shape.vms_per_rack);
  for (std::uint32_t i = 0; i < shape.serving_pools; ++i) {
    const auto vms = static_cast<std::uint32_t>(8 + random.Below(5));
    const auto slack = static_cast<std::uint32_t>(2 + random.Below(2));
    builder.AddServingPool(i, vms, slack);
  }
  builder.AddSparePool(shape.spare_vms);
  return std::move(builder).Finish(WeightsOf(deployment));
}

}  // namespace chervilspar::bench
