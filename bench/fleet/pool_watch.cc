#include "bench/fleet/pool_watch.h"

#include <algorithm>
#include <optional>

namespace chervilspar::scenario {

namespace {

/// One VM as an outside observer sees it.
struct WatchedVm {
  std::optional<PoolId> pool;
  std::optional<PoolId> target;
  bool has_target = false;
  bool is_available = true;
};

std::map<VmId, WatchedVm> Watched(const inventory::Inventory& inventory) {
  std::map<VmId, WatchedVm> watched;
  for (const auto& [id, vm] : inventory.vms) {
    watched[id].pool = vm.pool;
  }
  if (inventory.move) {
    for (const inventory::MoveTarget& target : inventory.move->targets) {
      watched[target.vm].has_target = true;
      watched[target.vm].target = target.to_pool;
    }
  }
  return watched;
}

std::uint32_t AvailableIn(const std::map<VmId, WatchedVm>& watched, const PoolId& pool) {
  return static_cast<std::uint32_t>(
      std::count_if(watched.begin(), watched.end(), [&pool](const auto& entry) {
        return entry.second.pool == pool && entry.second.is_available;
      }));
}

}  // namespace

std::int64_t CountBelowBudget(const inventory::Inventory& inventory,
                              std::vector<AvailabilityChange> changes) {
  std::sort(changes.begin(), changes.end(),
            [](const auto& left, const auto& right) { return left.at_us < right.at_us; });
  std::map<VmId, WatchedVm> watched = Watched(inventory);
  std::int64_t below = 0;
  for (const AvailabilityChange& change : changes) {
    WatchedVm& vm = watched[change.vm];
    const bool was_available = vm.is_available;
    vm.is_available = change.is_available;
    if (change.is_available && !was_available && vm.has_target) {
      vm.pool = vm.target;
    }
    const bool is_own_act = was_available && !change.is_available && change.cause != "failure";
    const auto pool = vm.pool ? inventory.pools.find(*vm.pool) : inventory.pools.end();
    if (is_own_act && pool != inventory.pools.end() &&
        AvailableIn(watched, pool->first) < pool->second.min_available) {
      ++below;
    }
  }
  return below;
}

}  // namespace chervilspar::scenario
