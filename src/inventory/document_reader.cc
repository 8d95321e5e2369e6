#include "inventory/document_reader.h"

#include <functional>
#include <map>

#include "chervilspar/inventory/delta.h"

#include "inventory/object_codec.h"

namespace chervilspar::inventory {

namespace {

/// Reads a list of objects into a map by id, and reports ids that occur twice.
template <typename Object, typename IdType>
std::map<IdType, Object> ReadList(
    ObjectReader& document, std::string_view field, Object (*read)(ObjectReader&),
    const std::function<void(const Object&, const Object&, const std::string&)>& on_duplicate) {
  std::map<IdType, Object> objects;
  const boost::json::array* list = document.FindArray(field);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const std::string at = Child(document.PointerTo(field), i);
    ObjectReader reader((*list)[i], at, document.Sink());
    const Object object = read(reader);
    reader.Finish();
    const auto [earlier, is_new] = objects.emplace(object.id, object);
    if (!is_new && !object.id.IsEmpty()) {
      on_duplicate(earlier->second, object, at);
    }
  }
  return objects;
}

template <typename Object, typename IdType>
std::map<IdType, Object> ReadList(ObjectReader& document, std::string_view field,
                                  Object (*read)(ObjectReader&)) {
  return ReadList<Object, IdType>(
      document, field, read,
      [&document](const Object&, const Object& later, const std::string& at) {
        document.Sink().Add(Child(at, "id"), '"' + later.id.text + "\" occurs twice; keep one");
      });
}

std::map<VmId, Vm> ReadVms(ObjectReader& document) {
  const auto on_duplicate = [&document](const Vm& earlier, const Vm& later, const std::string& at) {
    const std::string name = '"' + later.id.text + '"';
    if (earlier.pool == later.pool) {
      document.Sink().Add(Child(at, "id"), name + " occurs twice; keep one");
      return;
    }
    document.Sink().Add(Child(at, "pool"), "VM " + name + " is in pool \"" + earlier.pool.text +
                                               "\" and in pool \"" + later.pool.text +
                                               "\"; a VM is in exactly one");
  };
  return ReadList<Vm, VmId>(document, "vms", ReadVm, on_duplicate);
}

void ReadRules(ObjectReader& document, Inventory& inventory) {
  if (const boost::json::value* move = document.Find("move")) {
    ObjectReader reader(*move, document.PointerTo("move"), document.Sink());
    inventory.move = ReadMove(reader);
    reader.Finish();
  }
  if (const boost::json::value* rules = document.Find("maintenance")) {
    ObjectReader reader(*rules, document.PointerTo("maintenance"), document.Sink());
    inventory.maintenance = ReadMaintenanceRules(reader);
    reader.Finish();
  }
  if (const boost::json::value* rules = document.Find("service_rules")) {
    ObjectReader reader(*rules, document.PointerTo("service_rules"), document.Sink());
    inventory.service_rules = ReadServiceRules(reader);
    reader.Finish();
  }
}

void ReadSchemaVersion(ObjectReader& document) {
  const boost::json::value* version = document.Find("schema_version");
  if (version != nullptr && version->is_int64() && version->get_int64() == kSchemaVersion) {
    return;
  }
  const std::string shown = version == nullptr ? "the field is missing" : Shown(*version);
  document.Sink().Add(document.PointerTo("schema_version"),
                      shown + "; this program reads version " + std::to_string(kSchemaVersion));
}

}  // namespace

Inventory ReadDocument(const boost::json::value& json, Faults& faults) {
  ObjectReader document(json, "", faults);
  Inventory inventory;
  if (!json.is_object()) {
    return inventory;
  }
  ReadSchemaVersion(document);
  inventory.zones = ReadList<Zone, ZoneId>(document, "zones", ReadZone);
  inventory.services = ReadList<Service, ServiceId>(document, "services", ReadService);
  inventory.pools = ReadList<Pool, PoolId>(document, "pools", ReadPool);
  inventory.vms = ReadVms(document);
  inventory.teams = ReadList<Team, TeamId>(document, "teams", ReadTeam);
  inventory.entries = ReadList<EntryVm, EntryId>(document, "entries", ReadEntryVm);
  ReadRules(document, inventory);
  document.Finish();
  return inventory;
}

}  // namespace chervilspar::inventory
