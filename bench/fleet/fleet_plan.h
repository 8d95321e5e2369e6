#pragma once

#include <map>
#include <string>
#include <vector>

#include "chervilspar/base/socket_address.h"
#include "chervilspar/inventory/inventory.h"

#include "bench/fleet/free_ports.h"

namespace chervilspar::scenario {

/// How large a fleet is.
struct FleetShape {
  std::uint32_t zones = 3;
  std::uint32_t entries = 3;
  std::uint32_t services = 2;
  /// Workers of each service, spread over the zones.
  std::uint32_t workers = 3;
  std::uint32_t spares = 1;
  std::uint32_t teams = 2;
  /// Upper limit of each team.
  std::uint32_t limit = 8;

  friend bool operator==(const FleetShape&, const FleetShape&) = default;
};

/// Two addresses of one process: where it serves and where it takes switches.
struct StandinAddresses {
  SocketAddress address;
  SocketAddress control;
};

/// One relay: connections to `listen` go on to `target`; cut together with its group.
struct RelayPair {
  std::string group;
  SocketAddress listen;
  SocketAddress target;
};

/// Names and addresses of everything in a scenario. Zones are "a", "b", ..; entries "e1", "e2", ..
/// in turn over the zones; services "s1", .. with pools "p1", ..; VMs "s1-1", ..; teams "t1", ..;
/// spare VMs "spare-1", .. in pool "spare".
class FleetPlan {
 public:
  FleetPlan(const FleetShape& shape, FreePorts& ports);
  /// A given inventory with its addresses replaced by free ones on loopback.
  FleetPlan(inventory::Inventory given, FreePorts& ports);

  /// The inventory as the runner would publish it next; scripts change it before they do.
  inventory::Inventory inventory;
  StandinAddresses log;
  StandinAddresses vm_list;
  SocketAddress relay_control;
  /// Where each zone's endpoint process takes switches.
  std::map<ZoneId, SocketAddress> endpoint_controls;
  std::vector<RelayPair> pairs;

  /// The dial rules of a zone's entries, as "FROM=TO".
  std::vector<std::string> RoutesOf(const ZoneId& zone) const;
  static std::string GroupOf(const std::string& from, const std::string& to) {
    return from + ">" + to;
  }

 private:
  explicit FleetPlan(FreePorts& ports);
  void AddZones(std::uint32_t count, FreePorts& ports);
  void AddEntries(std::uint32_t count, FreePorts& ports);
  void AddService(std::uint32_t number, std::uint32_t workers, FreePorts& ports);
  void AddSpares(std::uint32_t count, FreePorts& ports);
  void AddTeams(const FleetShape& shape);
  void AddVm(const std::string& name, const std::string& pool, std::uint32_t index,
             FreePorts& ports);
  void AddPairs(FreePorts& ports);
  ZoneId ZoneAt(std::uint32_t index) const;
};

}  // namespace chervilspar::scenario
