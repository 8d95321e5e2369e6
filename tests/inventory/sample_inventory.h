#pragma once

#include <string>

#include "chervilspar/inventory/inventory.h"

namespace chervilspar::inventory {

/// A small inventory that is right in all points: two serving pools of four VMs each, a spare pool
/// of two, two teams and two entries.
inline Inventory SampleInventory() {
  Inventory sample;
  for (const char* zone : {"a", "b"}) {
    sample.zones[ZoneId{zone}] = Zone{ZoneId{zone}, RegionId{"north"}};
  }
  sample.teams[TeamId{"desk"}] = Team{TeamId{"desk"}, ClientAccountId{"counter"}, 2.0, 10, true};
  sample.teams[TeamId{"shop"}] = Team{TeamId{"shop"}, ClientAccountId{"workshop"}, 1.5, 5, false};
  for (const char* name : {"booking", "fleet"}) {
    Service service;
    service.id.text = name;
    service.job_cores = 4;
    service.job_memory_mb = 1000;
    sample.services[service.id] = service;
    sample.pools[PoolId{name}] = Pool{PoolId{name}, ServiceId{name}, PoolKind::kServing, 2};
  }
  sample.services[ServiceId{"booking"}].teams = {TeamId{"desk"}, TeamId{"shop"}};
  sample.pools[PoolId{"spare"}] = Pool{PoolId{"spare"}, {}, PoolKind::kSpare, 1};
  int number = 0;
  for (const auto& [pool, vms] : {std::pair{"booking", 4}, {"fleet", 4}, {"spare", 2}}) {
    for (int i = 0; i < vms; ++i, ++number) {
      Vm vm;
      vm.id.text = "vm-" + std::to_string(number);
      vm.pool.text = pool;
      vm.rack.text = "r" + std::to_string(number);
      vm.zone.text = number % 2 == 0 ? "a" : "b";
      vm.site.text = "old";
      vm.address = "127.0.0.1:" + std::to_string(9000 + number);
      vm.cores = 64;
      vm.memory_mb = 128 * 1024;
      vm.slots = 8;
      vm.connections = 64;
      sample.vms[vm.id] = vm;
    }
  }
  for (const char* entry : {"e1", "e2"}) {
    const std::string port = entry == std::string("e1") ? "1" : "2";
    sample.entries[EntryId{entry}] =
        EntryVm{EntryId{entry}, ZoneId{"a"}, "127.0.0.1:700" + port, "127.0.0.1:800" + port};
  }
  sample.maintenance.every = std::chrono::hours(24 * 49);
  return sample;
}

}  // namespace chervilspar::inventory
