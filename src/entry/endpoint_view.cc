#include "entry/endpoint_view.h"

#include <algorithm>
#include <utility>

namespace chervilspar::entry {

namespace {

std::vector<scheduling::TeamShare> TeamsOf(const inventory::Inventory& inventory,
                                           const inventory::Service* service) {
  std::vector<scheduling::TeamShare> teams;
  for (const auto& [id, team] : inventory.teams) {
    const bool is_open = service == nullptr || service->teams.empty();
    const bool is_listed = is_open || std::find(service->teams.begin(), service->teams.end(), id) !=
                                          service->teams.end();
    if (is_listed) {
      const auto urgent = team.may_be_urgent ? scheduling::UrgentPermission::kAllowed
                                             : scheduling::UrgentPermission::kDenied;
      teams.push_back({id, team.share, urgent});
    }
  }
  return teams;
}

admission::Requirement ShapeOf(const inventory::Vm& vm) {
  return {vm.cores, vm.memory_mb, vm.accelerators};
}

void AddVm(ServiceConfig& config, const inventory::Vm& vm, bool may_get_work) {
  config.shapes.push_back(ShapeOf(vm));
  if (may_get_work) {
    config.endpoints.push_back({vm.id, vm.zone, vm.slots, ShapeOf(vm)});
    config.addresses.emplace(vm.id, vm.address);
  }
}

}  // namespace

bool MayGetWork(const config_log::FleetState& state, const inventory::Vm& vm,
                const ViewFreshness& freshness) {
  if (!config_log::IsAvailable(state, vm.id) || freshness.listed_leaving.contains(vm.id)) {
    return false;
  }
  return freshness.is_log_fresh || vm.zone == freshness.own_zone ||
         freshness.zones_in_agreement.contains(vm.zone);
}

std::map<ServiceId, ServiceConfig> ConfigureServices(const config_log::FleetState& state,
                                                     const ViewFreshness& freshness) {
  std::map<ServiceId, ServiceConfig> services;
  std::map<PoolId, ServiceId> service_of;
  for (const auto& [id, pool] : state.inventory.pools) {
    if (!pool.service.IsEmpty()) {
      service_of.emplace(id, pool.service);
      services.try_emplace(pool.service);
    }
  }
  for (auto& [id, config] : services) {
    const auto declared = state.inventory.services.find(id);
    const bool is_declared = declared != state.inventory.services.end();
    config.teams = TeamsOf(state.inventory, is_declared ? &declared->second : nullptr);
  }
  for (const auto& [id, vm] : state.inventory.vms) {
    const auto service = service_of.find(vm.pool);
    if (service != service_of.end()) {
      AddVm(services[service->second], vm, MayGetWork(state, vm, freshness));
    }
  }
  return services;
}

}  // namespace chervilspar::entry
