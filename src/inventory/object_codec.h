#pragma once

#include <boost/json/value.hpp>

#include "chervilspar/inventory/inventory.h"

#include "inventory/object_reader.h"

namespace chervilspar::inventory {

/// One pair for each kind of object: `Read` reports faults through the reader, `Write` gives the
/// JSON that `Read` takes.
Zone ReadZone(ObjectReader& reader);
Service ReadService(ObjectReader& reader);
Pool ReadPool(ObjectReader& reader);
Vm ReadVm(ObjectReader& reader);
Team ReadTeam(ObjectReader& reader);
EntryVm ReadEntryVm(ObjectReader& reader);
Move ReadMove(ObjectReader& reader);
MaintenanceRules ReadMaintenanceRules(ObjectReader& reader);
ServiceRules ReadServiceRules(ObjectReader& reader);

boost::json::value Write(const Zone& zone);
boost::json::value Write(const Service& service);
boost::json::value Write(const Pool& pool);
boost::json::value Write(const Vm& vm);
boost::json::value Write(const Team& team);
boost::json::value Write(const EntryVm& entry);
boost::json::value Write(const Move& move);
boost::json::value Write(const MaintenanceRules& rules);
boost::json::value Write(const ServiceRules& rules);

}  // namespace chervilspar::inventory
