#include "bench/fleet/fleet_plan.h"

#include <algorithm>
#include <iterator>

namespace chervilspar::scenario {

namespace {

constexpr std::uint32_t kWorkersPerRack = 4;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kConnections = 64;
constexpr const char* kSpare = "spare";

}  // namespace

FleetPlan::FleetPlan(FreePorts& ports)
    : log{ports.Next(), ports.Next()},
      vm_list{ports.Next(), ports.Next()},
      relay_control(ports.Next()) {}

FleetPlan::FleetPlan(inventory::Inventory given, FreePorts& ports) : FleetPlan(ports) {
  this->inventory = std::move(given);
  for (const auto& [zone, unused] : this->inventory.zones) {
    this->endpoint_controls[zone] = ports.Next();
  }
  for (auto& [id, entry] : this->inventory.entries) {
    entry.peer_address = ToString(ports.Next());
    entry.http_address = ToString(ports.Next());
  }
  for (auto& [id, vm] : this->inventory.vms) {
    vm.address = ToString(ports.Next());
  }
  this->AddPairs(ports);
}

FleetPlan::FleetPlan(const FleetShape& shape, FreePorts& ports) : FleetPlan(ports) {
  this->AddZones(shape.zones, ports);
  this->AddEntries(shape.entries, ports);
  for (std::uint32_t i = 1; i <= shape.services; ++i) {
    this->AddService(i, shape.workers, ports);
  }
  this->AddSpares(shape.spares, ports);
  this->AddTeams(shape);
  this->AddPairs(ports);
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  this->inventory.service_rules.max_task_lease = seconds(4);
  this->inventory.service_rules.loan_lease = seconds(1);
  this->inventory.service_rules.max_clock_skew = milliseconds(200);
  this->inventory.maintenance.drain_timeout = seconds(20);
  this->inventory.maintenance.reboot_timeout = seconds(20);
}

ZoneId FleetPlan::ZoneAt(std::uint32_t index) const {
  const auto zones = static_cast<std::uint32_t>(this->inventory.zones.size());
  return std::next(this->inventory.zones.begin(), index % zones)->first;
}

void FleetPlan::AddZones(std::uint32_t count, FreePorts& ports) {
  for (std::uint32_t i = 0; i < count; ++i) {
    const ZoneId zone{std::string(1, static_cast<char>('a' + i))};
    this->inventory.zones[zone] = {zone, RegionId{"r1"}};
    this->endpoint_controls[zone] = ports.Next();
  }
}

void FleetPlan::AddEntries(std::uint32_t count, FreePorts& ports) {
  for (std::uint32_t i = 0; i < count; ++i) {
    const EntryId entry{"e" + std::to_string(i + 1)};
    this->inventory.entries[entry] = {entry, this->ZoneAt(i), ToString(ports.Next()),
                                      ToString(ports.Next())};
  }
}

void FleetPlan::AddService(std::uint32_t number, std::uint32_t workers, FreePorts& ports) {
  const std::string service = "s" + std::to_string(number);
  const std::string pool = "p" + std::to_string(number);
  inventory::Pool entry;
  entry.id = PoolId{pool};
  entry.service = ServiceId{service};
  entry.min_available = workers > 2 ? workers - 2 : 1;
  this->inventory.pools[entry.id] = entry;
  this->inventory.services[entry.service].id = entry.service;
  for (std::uint32_t i = 0; i < workers; ++i) {
    this->AddVm(service + "-" + std::to_string(i + 1), pool, i, ports);
  }
}

void FleetPlan::AddSpares(std::uint32_t count, FreePorts& ports) {
  inventory::Pool entry;
  entry.id = PoolId{kSpare};
  entry.kind = inventory::PoolKind::kSpare;
  this->inventory.pools[entry.id] = entry;
  for (std::uint32_t i = 0; i < count; ++i) {
    this->AddVm("spare-" + std::to_string(i + 1), kSpare, i, ports);
  }
}

void FleetPlan::AddVm(const std::string& name, const std::string& pool, std::uint32_t index,
                      FreePorts& ports) {
  inventory::Vm vm;
  vm.id = VmId{name};
  vm.pool = PoolId{pool};
  vm.zone = this->ZoneAt(index);
  const auto in_zone =
      std::count_if(this->inventory.vms.begin(), this->inventory.vms.end(),
                    [&vm](const auto& entry) { return entry.second.zone == vm.zone; });
  vm.rack = RackId{vm.zone.text + "-r" + std::to_string(in_zone / kWorkersPerRack + 1)};
  vm.site = SiteId{"old"};
  vm.address = ToString(ports.Next());
  vm.cores = 4;
  vm.memory_mb = 16'384;
  vm.slots = kSlots;
  vm.connections = kConnections;
  this->inventory.vms[vm.id] = vm;
}

void FleetPlan::AddTeams(const FleetShape& shape) {
  for (std::uint32_t i = 1; i <= shape.teams; ++i) {
    inventory::Team team;
    team.id = TeamId{"t" + std::to_string(i)};
    team.client_account = ClientAccountId{"c" + std::to_string(i)};
    team.upper_limit = shape.limit;
    this->inventory.teams[team.id] = team;
  }
}

void FleetPlan::AddPairs(FreePorts& ports) {
  const auto add = [&](const ZoneId& from, const std::string& to, const SocketAddress& target) {
    this->pairs.push_back({GroupOf(from.text, to), ports.Next(), target});
  };
  for (const auto& [zone, unused] : this->inventory.zones) {
    add(zone, "platform", this->log.address);
    add(zone, "platform", this->vm_list.address);
    for (const auto& [id, vm] : this->inventory.vms) {
      if (vm.zone != zone) {
        add(zone, vm.zone.text, *ParseSocketAddress(vm.address));
      }
    }
    for (const auto& [id, entry] : this->inventory.entries) {
      if (entry.zone != zone) {
        add(zone, entry.zone.text, *ParseSocketAddress(entry.peer_address));
      }
    }
  }
}

std::vector<std::string> FleetPlan::RoutesOf(const ZoneId& zone) const {
  std::vector<std::string> routes;
  for (const RelayPair& pair : this->pairs) {
    if (pair.group.starts_with(zone.text + ">")) {
      routes.push_back(ToString(pair.target) + "=" + ToString(pair.listen));
    }
  }
  return routes;
}

}  // namespace chervilspar::scenario
