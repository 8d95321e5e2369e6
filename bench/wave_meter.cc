#include "bench/wave_meter.h"

#include <algorithm>

namespace chervilspar::bench {

namespace {

constexpr std::int64_t kBurstSeconds = 10;
/// Mean demand of a pool as a part of its slots; five times that is more than it holds.
constexpr double kMeanLoad = 0.25;
constexpr double kBurstFactor = 5.0;
constexpr double kQuietFactor = 0.05;
constexpr double kSlotsPerVm = 8.0;

std::map<PoolId, std::uint32_t> SizesOf(const inventory::Inventory& inventory) {
  std::map<PoolId, std::uint32_t> sizes;
  for (const auto& [id, vm] : inventory.vms) {
    if (inventory.pools.at(vm.pool).kind == inventory::PoolKind::kServing) {
      ++sizes[vm.pool];
    }
  }
  return sizes;
}

}  // namespace

RollingBursts::RollingBursts(const inventory::Inventory& inventory) {
  for (const auto& [pool, vms] : SizesOf(inventory)) {
    const auto turn = static_cast<std::uint32_t>(this->turn_of.size());
    this->turn_of.emplace(pool, turn);
    this->mean_of.emplace(pool, kMeanLoad * kSlotsPerVm * vms);
  }
}

double RollingBursts::DemandAt(const PoolId& pool, TimePoint now) const {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  const auto turns = static_cast<std::int64_t>(this->turn_of.size());
  const std::int64_t turn = (seconds.count() / kBurstSeconds) % turns;
  const bool is_burst = turn == this->turn_of.at(pool);
  return this->mean_of.at(pool) * (is_burst ? kBurstFactor : kQuietFactor);
}

WaveMeter::WaveMeter(const WaveWorld& world) : world(world), demand(world.State().inventory) {
  for (const auto& [pool, vms] : SizesOf(world.State().inventory)) {
    this->full_slots[pool] = kSlotsPerVm * vms;
  }
}

void WaveMeter::Watch() {
  for (const auto& [pool, slots] : this->full_slots) {
    const double demand = this->demand.DemandAt(pool, this->world.Now());
    const double wanted = std::min(demand, slots);
    const double served = std::min(demand, kSlotsPerVm * this->world.Serving(pool));
    this->windows[pool].wanted += wanted;
    this->windows[pool].served += std::min(served, wanted);
    this->total.wanted += wanted;
    this->total.served += std::min(served, wanted);
  }
  if (this->world.Now() < this->window_end) {
    return;
  }
  this->window_end = this->world.Now() + std::chrono::seconds(kBurstSeconds);
  for (auto& [pool, window] : this->windows) {
    const double loss = window.wanted > 0 ? 1.0 - window.served / window.wanted : 0.0;
    this->worst_loss = std::max(this->worst_loss, loss);
    window = Window();
  }
}

double WaveMeter::MeanShareLoss() const {
  return 100.0 * (1.0 - this->total.served / this->total.wanted);
}

Duration RollOutLowerBound(const inventory::Inventory& inventory, WaveWorld& world) {
  std::map<PoolId, Duration> by_pool;
  std::map<RackId, Duration> by_rack;
  std::map<PoolId, std::uint32_t> sizes;
  Duration bound = Duration::zero();
  for (const auto& [id, vm] : inventory.vms) {
    const VmTruth& truth = world.Truth(id);
    const Duration length = truth.drain_length + truth.reboot_length;
    by_pool[vm.pool] += length;
    by_rack[vm.rack] += length;
    ++sizes[vm.pool];
    bound = std::max(bound, length);
  }
  for (const auto& [id, length] : by_pool) {
    const inventory::Pool& pool = inventory.pools.at(id);
    const bool is_spare = pool.kind == inventory::PoolKind::kSpare;
    const std::uint32_t room = is_spare ? 0 : maintenance::kFailureReserve;
    const std::uint32_t width = sizes.at(id) - pool.min_available - room;
    bound = std::max(bound, length / static_cast<Duration::rep>(width));
  }
  for (const auto& [id, length] : by_rack) {
    bound =
        std::max(bound, length / static_cast<Duration::rep>(inventory.maintenance.max_per_rack));
  }
  return bound;
}

}  // namespace chervilspar::bench
