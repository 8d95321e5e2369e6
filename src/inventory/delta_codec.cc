#include "chervilspar/inventory/delta.h"

#include "inventory/object_codec.h"

namespace chervilspar::inventory {

namespace {

template <typename IdType, typename Object>
void WriteChanges(boost::json::object& json, std::string_view field,
                  const ObjectChanges<IdType, Object>& changes) {
  if (changes.IsEmpty()) {
    return;
  }
  boost::json::object parts;
  if (!changes.put.empty()) {
    boost::json::array put;
    for (const auto& [id, object] : changes.put) {
      put.push_back(Write(object));
    }
    parts["put"] = std::move(put);
  }
  if (!changes.removed.empty()) {
    boost::json::array removed;
    for (const IdType& id : changes.removed) {
      removed.emplace_back(id.text);
    }
    parts["removed"] = std::move(removed);
  }
  json[field] = std::move(parts);
}

template <typename IdType, typename Object>
void ReadChanges(ObjectReader& delta, std::string_view field, Object (*read)(ObjectReader&),
                 ObjectChanges<IdType, Object>& changes) {
  const boost::json::value* json = delta.Find(field);
  if (json == nullptr) {
    return;
  }
  ObjectReader parts(*json, delta.PointerTo(field), delta.Sink());
  const boost::json::array* put = parts.FindArray("put");
  for (std::size_t i = 0; put != nullptr && i < put->size(); ++i) {
    ObjectReader reader((*put)[i], Child(parts.PointerTo("put"), i), delta.Sink());
    Object object = read(reader);
    reader.Finish();
    const IdType id = object.id;
    changes.put.insert_or_assign(id, std::move(object));
  }
  for (std::string& id : parts.OptionalNames("removed")) {
    changes.removed.insert(IdType{std::move(id)});
  }
  parts.Finish();
}

boost::json::object WriteFromPools(const std::map<VmId, PoolId>& from_pools) {
  boost::json::object json;
  for (const auto& [vm, pool] : from_pools) {
    json[vm.text] = pool.text;
  }
  return json;
}

void ReadFromPools(ObjectReader& delta, std::map<VmId, PoolId>& from_pools) {
  const boost::json::value* json = delta.Find("vm_from_pools");
  if (json == nullptr) {
    return;
  }
  ObjectReader reader(*json, delta.PointerTo("vm_from_pools"), delta.Sink());
  if (!json->is_object()) {
    return;
  }
  for (const auto& field : json->get_object()) {
    const std::string vm(field.key().data(), field.key().size());
    from_pools.emplace(VmId{vm}, PoolId{reader.Name(vm)});
  }
}

void ReadRuleChanges(ObjectReader& delta, InventoryDelta& result) {
  if (const boost::json::value* change = delta.Find("move")) {
    ObjectReader reader(*change, delta.PointerTo("move"), delta.Sink());
    result.move = MoveChange{};
    if (const boost::json::value* move = reader.Find("to")) {
      ObjectReader inner(*move, reader.PointerTo("to"), delta.Sink());
      result.move->move = ReadMove(inner);
      inner.Finish();
    }
    reader.Finish();
  }
  if (const boost::json::value* rules = delta.Find("maintenance")) {
    ObjectReader reader(*rules, delta.PointerTo("maintenance"), delta.Sink());
    result.maintenance = ReadMaintenanceRules(reader);
    reader.Finish();
  }
  if (const boost::json::value* rules = delta.Find("service_rules")) {
    ObjectReader reader(*rules, delta.PointerTo("service_rules"), delta.Sink());
    result.service_rules = ReadServiceRules(reader);
    reader.Finish();
  }
}

}  // namespace

boost::json::value ToJson(const InventoryDelta& delta) {
  boost::json::object json;
  WriteChanges(json, "zones", delta.zones);
  WriteChanges(json, "services", delta.services);
  WriteChanges(json, "pools", delta.pools);
  WriteChanges(json, "vms", delta.vms);
  if (!delta.vm_from_pools.empty()) {
    json["vm_from_pools"] = WriteFromPools(delta.vm_from_pools);
  }
  WriteChanges(json, "teams", delta.teams);
  WriteChanges(json, "entries", delta.entries);
  if (delta.move) {
    boost::json::object change;
    if (delta.move->move) {
      change["to"] = Write(*delta.move->move);
    }
    json["move"] = std::move(change);
  }
  if (delta.maintenance) {
    json["maintenance"] = Write(*delta.maintenance);
  }
  if (delta.service_rules) {
    json["service_rules"] = Write(*delta.service_rules);
  }
  return json;
}

Result<InventoryDelta> DeltaFromJson(const boost::json::value& json) {
  Faults faults;
  ObjectReader reader(json, "", faults);
  InventoryDelta delta;
  ReadChanges(reader, "zones", ReadZone, delta.zones);
  ReadChanges(reader, "services", ReadService, delta.services);
  ReadChanges(reader, "pools", ReadPool, delta.pools);
  ReadChanges(reader, "vms", ReadVm, delta.vms);
  ReadFromPools(reader, delta.vm_from_pools);
  ReadChanges(reader, "teams", ReadTeam, delta.teams);
  ReadChanges(reader, "entries", ReadEntryVm, delta.entries);
  ReadRuleChanges(reader, delta);
  reader.Finish();
  if (!faults.IsEmpty()) {
    return faults.All().front();
  }
  return delta;
}

}  // namespace chervilspar::inventory
