#include <map>
#include <set>
#include <string>

#include "chervilspar/inventory/delta.h"

#include "inventory/faults.h"

namespace chervilspar::inventory {

namespace {

/// The pointer of an object by its id: positions in the document's lists are not kept.
template <typename IdType>
std::string At(std::string_view list, const IdType& id, std::string_view field) {
  return Child(Child(Child("", list), id.text), field);
}

template <typename IdType, typename Object>
void Expect(const std::map<IdType, Object>& objects, const IdType& id, std::string_view kind,
            const std::string& at, Faults& faults) {
  if (!id.IsEmpty() && !objects.contains(id)) {
    faults.Add(at, '"' + id.text + "\" names no " + std::string(kind) + " of this inventory");
  }
}

void CheckVms(const Inventory& inventory, Faults& faults) {
  std::map<std::string, VmId> addresses;
  for (const auto& [id, vm] : inventory.vms) {
    Expect(inventory.pools, vm.pool, "pool", At("vms", id, "pool"), faults);
    Expect(inventory.zones, vm.zone, "zone", At("vms", id, "zone"), faults);
    const auto [other, is_new] = addresses.emplace(vm.address, id);
    if (!is_new && !vm.address.empty()) {
      faults.Add(At("vms", id, "address"),
                 '"' + vm.address + "\" is also the address of VM \"" + other->second.text + '"');
    }
  }
}

void CheckRacks(const Inventory& inventory, Faults& faults) {
  std::map<RackId, ZoneId> zones;
  for (const auto& [id, vm] : inventory.vms) {
    const auto [rack, is_new] = zones.emplace(vm.rack, vm.zone);
    if (!is_new && rack->second != vm.zone) {
      faults.Add(At("vms", id, "rack"), "rack \"" + vm.rack.text + "\" stands in zone \"" +
                                            rack->second.text + "\", this VM in zone \"" +
                                            vm.zone.text + '"');
    }
  }
}

void CheckEntries(const Inventory& inventory, Faults& faults) {
  std::set<std::string> addresses;
  for (const auto& [id, entry] : inventory.entries) {
    Expect(inventory.zones, entry.zone, "zone", At("entries", id, "zone"), faults);
    if (!addresses.insert(entry.peer_address).second) {
      faults.Add(At("entries", id, "peer_address"),
                 '"' + entry.peer_address + "\" is used twice; each address belongs to one socket");
    }
    if (!addresses.insert(entry.http_address).second) {
      faults.Add(At("entries", id, "http_address"),
                 '"' + entry.http_address + "\" is used twice; each address belongs to one socket");
    }
  }
}

void CheckMove(const Inventory& inventory, Faults& faults) {
  if (!inventory.move) {
    return;
  }
  std::set<VmId> seen;
  for (std::size_t i = 0; i < inventory.move->targets.size(); ++i) {
    const MoveTarget& target = inventory.move->targets[i];
    const std::string at = Child(Child(Child("", "move"), "targets"), i);
    Expect(inventory.vms, target.vm, "VM", Child(at, "vm"), faults);
    if (target.to_pool) {
      Expect(inventory.pools, *target.to_pool, "pool", Child(at, "to_pool"), faults);
    }
    if (!seen.insert(target.vm).second) {
      faults.Add(Child(at, "vm"), "VM \"" + target.vm.text + "\" has two targets; keep one");
    }
  }
}

}  // namespace

std::vector<Reason> FindDanglingReferences(const Inventory& inventory) {
  Faults faults;
  for (const auto& [id, service] : inventory.services) {
    for (const TeamId& team : service.teams) {
      Expect(inventory.teams, team, "team", At("services", id, "teams"), faults);
    }
  }
  for (const auto& [id, pool] : inventory.pools) {
    Expect(inventory.services, pool.service, "service", At("pools", id, "service"), faults);
  }
  CheckVms(inventory, faults);
  CheckRacks(inventory, faults);
  CheckEntries(inventory, faults);
  CheckMove(inventory, faults);
  return faults.All();
}

}  // namespace chervilspar::inventory
