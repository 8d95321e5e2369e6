#pragma once

#include <map>
#include <optional>
#include <set>

#include <boost/json/fwd.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/inventory/inventory.h"

namespace chervilspar::inventory {

/// The changes to one kind of object: those added or replaced whole, and those removed.
template <typename IdType, typename Object>
struct ObjectChanges {
  std::map<IdType, Object> put;
  std::set<IdType> removed;

  bool IsEmpty() const { return this->put.empty() && this->removed.empty(); }
  friend bool operator==(const ObjectChanges&, const ObjectChanges&) = default;
};

/// A change of the move: set to a value, or taken away when the value is absent.
struct MoveChange {
  std::optional<Move> move;

  friend bool operator==(const MoveChange&, const MoveChange&) = default;
};

/// What differs between two inventories. A publish holds this and not the whole inventory, so that
/// thousands of changes a day over thousands of VMs stay small in the log.
struct InventoryDelta {
  ObjectChanges<ZoneId, Zone> zones;
  ObjectChanges<ServiceId, Service> services;
  ObjectChanges<PoolId, Pool> pools;
  ObjectChanges<VmId, Vm> vms;
  /// The pool that each put VM is in before the change; a new VM has none here. The change is
  /// stale when the VM has moved since.
  std::map<VmId, PoolId> vm_from_pools;
  ObjectChanges<TeamId, Team> teams;
  ObjectChanges<EntryId, EntryVm> entries;
  std::optional<MoveChange> move;
  std::optional<MaintenanceRules> maintenance;
  std::optional<ServiceRules> service_rules;

  bool IsEmpty() const;
  friend bool operator==(const InventoryDelta&, const InventoryDelta&) = default;
};

/// The delta that turns `from` into `to`.
InventoryDelta Diff(const Inventory& from, const Inventory& to);

/// Applies a delta. Fails with `kConflict` when a VM isn't in the pool that the delta expects, or
/// when an object to be removed isn't there.
Result<Inventory> Apply(const Inventory& base, const InventoryDelta& delta);

/// Everything that an inventory refers to and doesn't hold: pools, zones, services, teams.
std::vector<Reason> FindDanglingReferences(const Inventory& inventory);

/// The JSON form in publish records.
boost::json::value ToJson(const InventoryDelta& delta);
Result<InventoryDelta> DeltaFromJson(const boost::json::value& json);

/// The JSON form of a whole inventory, for snapshots and answers; the same as `Serialize`.
boost::json::value ToJson(const Inventory& inventory);
Result<Inventory> InventoryFromJson(const boost::json::value& json);

}  // namespace chervilspar::inventory
