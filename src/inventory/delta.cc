#include "chervilspar/inventory/delta.h"

namespace chervilspar::inventory {

namespace {

template <typename IdType, typename Object>
ObjectChanges<IdType, Object> DiffObjects(const std::map<IdType, Object>& from,
                                          const std::map<IdType, Object>& to) {
  ObjectChanges<IdType, Object> changes;
  for (const auto& [id, object] : to) {
    const auto found = from.find(id);
    if (found == from.end() || found->second != object) {
      changes.put.emplace(id, object);
    }
  }
  for (const auto& [id, object] : from) {
    if (!to.contains(id)) {
      changes.removed.insert(id);
    }
  }
  return changes;
}

Reason Conflict(std::string message) {
  return Reason{ErrorCode::kConflict, "", std::move(message)};
}

template <typename IdType, typename Object>
Status ApplyObjects(std::map<IdType, Object>& objects,
                    const ObjectChanges<IdType, Object>& changes) {
  for (const IdType& id : changes.removed) {
    if (objects.erase(id) == 0) {
      return Conflict('"' + id.text + "\" is to be removed and isn't there");
    }
  }
  for (const auto& [id, object] : changes.put) {
    objects[id] = object;
  }
  return Done{};
}

Status CheckFromPools(const Inventory& base, const InventoryDelta& delta) {
  for (const auto& [id, vm] : delta.vms.put) {
    const auto expected = delta.vm_from_pools.find(id);
    const auto current = base.vms.find(id);
    const bool expects_new = expected == delta.vm_from_pools.end();
    const bool is_new = current == base.vms.end();
    if (expects_new != is_new || (!is_new && current->second.pool != expected->second)) {
      const std::string now = is_new ? "not there" : "in pool \"" + current->second.pool.text + '"';
      const std::string then =
          expects_new ? "not there" : "in pool \"" + expected->second.text + '"';
      std::string message = "VM \"" + id.text;
      message += "\" is " + now;
      message += " and the change was made when it was " + then;
      return Conflict(std::move(message));
    }
  }
  return Done{};
}

Status ApplyAllObjects(Inventory& inventory, const InventoryDelta& delta) {
  Status status = ApplyObjects(inventory.zones, delta.zones);
  status = status ? ApplyObjects(inventory.services, delta.services) : status;
  status = status ? ApplyObjects(inventory.pools, delta.pools) : status;
  status = status ? ApplyObjects(inventory.vms, delta.vms) : status;
  status = status ? ApplyObjects(inventory.teams, delta.teams) : status;
  return status ? ApplyObjects(inventory.entries, delta.entries) : status;
}

}  // namespace

bool InventoryDelta::IsEmpty() const {
  return this->zones.IsEmpty() && this->services.IsEmpty() && this->pools.IsEmpty() &&
         this->vms.IsEmpty() && this->teams.IsEmpty() && this->entries.IsEmpty() && !this->move &&
         !this->maintenance && !this->service_rules;
}

InventoryDelta Diff(const Inventory& from, const Inventory& to) {
  InventoryDelta delta;
  delta.zones = DiffObjects(from.zones, to.zones);
  delta.services = DiffObjects(from.services, to.services);
  delta.pools = DiffObjects(from.pools, to.pools);
  delta.vms = DiffObjects(from.vms, to.vms);
  for (const auto& [id, vm] : delta.vms.put) {
    const auto before = from.vms.find(id);
    if (before != from.vms.end()) {
      delta.vm_from_pools.emplace(id, before->second.pool);
    }
  }
  delta.teams = DiffObjects(from.teams, to.teams);
  delta.entries = DiffObjects(from.entries, to.entries);
  if (from.move != to.move) {
    delta.move = MoveChange{to.move};
  }
  if (from.maintenance != to.maintenance) {
    delta.maintenance = to.maintenance;
  }
  if (from.service_rules != to.service_rules) {
    delta.service_rules = to.service_rules;
  }
  return delta;
}

Result<Inventory> Apply(const Inventory& base, const InventoryDelta& delta) {
  const Status pools = CheckFromPools(base, delta);
  if (!pools) {
    return pools.LastReason();
  }
  Inventory result = base;
  const Status status = ApplyAllObjects(result, delta);
  if (!status) {
    return status.LastReason();
  }
  if (delta.move) {
    result.move = delta.move->move;
  }
  result.maintenance = delta.maintenance.value_or(result.maintenance);
  result.service_rules = delta.service_rules.value_or(result.service_rules);
  return result;
}

}  // namespace chervilspar::inventory
