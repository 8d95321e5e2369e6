#include "wave_shape.h"

#include <algorithm>
#include <cmath>
#include <queue>

#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

namespace {

/// Minimum number of rounds that additional spare VMs must save. Moving them in takes a round, and
/// moving them back another.
constexpr std::uint32_t kMinRoundsSaved = 2;

std::uint32_t RoundsFor(std::uint32_t steps, std::int64_t capacity) {
  if (steps == 0) {
    return 0;
  }
  const auto width = static_cast<std::uint32_t>(std::max<std::int64_t>(capacity, 1));
  return (steps + width - 1) / width;
}

std::uint32_t MaxRounds(const std::vector<std::uint32_t>& steps, std::uint32_t width) {
  const auto max_steps = std::max_element(steps.begin(), steps.end());
  return max_steps == steps.end() ? 0 : RoundsFor(*max_steps, width);
}

bool HasSteps(const PoolWork& pool) { return pool.reboots > 0 || !pool.leaving.empty(); }

}  // namespace

WaveShape::WaveShape(const FleetView& view) : work(view.pools.size()) {
  this->CountWork(view);
  std::uint32_t spares = this->UsableSpares(view);
  const std::uint32_t spares_and_lent = spares + this->UsableLentVms(view);
  std::uint32_t left = spares_and_lent;
  this->AssignForLosses(view, left);
  spares -= std::min(spares, spares_and_lent - left);
  this->AssignForBlockedPools(view, spares);
  this->AssignForSpeed(view, spares);
  this->ComputeLowerBound(view);
  this->Simulate(view);
}

double WaveShape::RoundsAtCapacity(Index pool) const {
  const PoolWork& work = this->work[pool];
  const auto steps = static_cast<double>(work.reboots + work.leaving.size());
  const double rounds = steps / static_cast<double>(std::max<std::int64_t>(work.capacity, 1));
  return std::max<double>(rounds, work.rack_rounds);
}

double WaveShape::RoundsInOneZone(Index pool) const {
  const PoolWork& work = this->work[pool];
  const auto steps = static_cast<double>(work.reboots + work.leaving.size());
  const std::int64_t width = work.capacity - static_cast<std::int64_t>(kSecondZoneReserve);
  return steps / static_cast<double>(std::max<std::int64_t>(width, 1));
}

bool WaveShape::HasWork(Index pool) const { return HasSteps(this->work[pool]); }

void WaveShape::CountWork(const FleetView& view) {
  for (Index i = 0; i < view.pools.size(); ++i) {
    this->work[i].capacity = FleetView::Capacity(view.pools[i]);
    this->work[i].capacity += view.pools[i].incoming;
  }
  std::vector<std::uint32_t> due_in_rack(view.held_in_rack.size());
  std::vector<std::uint32_t> moves_in_rack(view.held_in_rack.size());
  for (const VmView& vm : view.vms) {
    if (vm.need == Need::kNone || vm.is_lost) {
      continue;
    }
    ++this->remaining;
    ++due_in_rack[vm.rack];
    if (vm.need == Need::kReboot) {
      ++this->work[vm.pool].reboots;
      continue;
    }
    ++moves_in_rack[vm.rack];
    this->CountMove(view, vm);
  }
  const std::uint32_t per_rack = view.state->inventory.maintenance.max_per_rack;
  this->rack_rounds = MaxRounds(due_in_rack, per_rack);
  this->move_rounds = MaxRounds(moves_in_rack, per_rack);
  for (const VmView& vm : view.vms) {
    if (vm.need != Need::kNone && !vm.is_lost) {
      PoolWork& pool = this->work[vm.pool];
      pool.rack_rounds = std::max(pool.rack_rounds, RoundsFor(due_in_rack[vm.rack], per_rack));
    }
  }
}

void WaveShape::CountMove(const FleetView& view, const VmView& vm) {
  this->has_moves = true;
  if (vm.step) {
    return;
  }
  const auto target = vm.to_pool ? view.FindPool(*vm.to_pool) : std::nullopt;
  this->work[vm.pool].leaving.push_back(target.value_or(kNoTargetPool));
  if (target) {
    ++this->work[*target].arriving;
  }
}

std::uint32_t WaveShape::UsableSpares(const FleetView& view) const {
  std::int64_t usable = 0;
  for (const PoolView& pool : view.pools) {
    if (pool.pool->kind == inventory::PoolKind::kSpare) {
      usable += std::max<std::int64_t>(FleetView::FreeCapacity(pool), 0);
    }
  }
  return static_cast<std::uint32_t>(usable);
}

std::uint32_t WaveShape::UsableLentVms(const FleetView& view) const {
  std::vector<std::int64_t> lent(view.pools.size());
  for (const VmView& vm : view.vms) {
    lent[vm.pool] += vm.is_lent && vm.is_available ? 1 : 0;
  }
  std::int64_t usable = 0;
  for (Index i = 0; i < view.pools.size(); ++i) {
    const std::int64_t free_capacity =
        std::max<std::int64_t>(FleetView::FreeCapacity(view.pools[i]), 0);
    usable += std::min(lent[i], free_capacity);
  }
  return static_cast<std::uint32_t>(usable);
}

void WaveShape::AddAssignment(Index pool, std::uint32_t count) {
  this->spare_assignments.push_back(SpareAssignment{pool, count});
  this->work[pool].capacity += count;
}

void WaveShape::AssignForLosses(const FleetView& view, std::uint32_t& spares) {
  for (Index i = 0; i < view.pools.size() && spares > 0; ++i) {
    const PoolView& pool = view.pools[i];
    const std::int64_t capacity = this->work[i].capacity;
    if (pool.pool->kind == inventory::PoolKind::kSpare || capacity >= 0) {
      continue;
    }
    // Below its budget a pool gets spare VMs at once, above it only for VMs lost for long.
    const std::int64_t short_of_reserve = -capacity;
    const std::int64_t short_of_budget = short_of_reserve - FleetView::FailureReserve(*pool.pool);
    const std::int64_t for_losses =
        std::min<std::int64_t>(short_of_reserve, pool.replaceable_losses);
    const std::int64_t wanted = std::max(short_of_budget, for_losses);
    const auto count = static_cast<std::uint32_t>(std::min<std::int64_t>(wanted, spares));
    if (count > 0) {
      this->AddAssignment(i, count);
      spares -= count;
    }
  }
}

void WaveShape::AssignForBlockedPools(const FleetView& view, std::uint32_t& spares) {
  for (Index i = 0; i < this->work.size() && spares > 0; ++i) {
    const PoolView& pool = view.pools[i];
    // A pool that is short only until its lost VMs return needs no additional VMs.
    const std::uint32_t member_count = pool.members - pool.retired + pool.incoming;
    const std::uint32_t needed =
        pool.pool->min_available + FleetView::FailureReserve(*pool.pool) + 1;
    if (this->work[i].reboots > 0 && member_count + 1 == needed) {
      this->AddAssignment(i, 1);
      --spares;
    }
  }
}

void WaveShape::AssignForSpeed(const FleetView& view, std::uint32_t spares) {
  const inventory::Weights& weights = view.state->inventory.maintenance.weights;
  if (spares == 0) {
    return;
  }
  using Critical = std::pair<std::uint32_t, Index>;
  std::priority_queue<Critical> critical;
  for (Index i = 0; i < this->work.size(); ++i) {
    const bool is_serving = view.pools[i].pool->kind == inventory::PoolKind::kServing;
    if (is_serving && this->work[i].reboots > 0 && this->work[i].capacity > 0) {
      critical.emplace(RoundsFor(this->work[i].reboots, this->work[i].capacity), i);
    }
  }
  if (critical.empty()) {
    return;
  }
  const std::uint32_t without = critical.top().first;
  double best_cost = weights.roll_out_time + weights.share_distance;
  std::size_t best_count = 0;
  std::vector<Index> assigned;
  std::vector<std::uint32_t> extra(this->work.size());
  while (assigned.size() < spares) {
    const Index pool = critical.top().second;
    critical.pop();
    assigned.push_back(pool);
    ++extra[pool];
    critical.emplace(RoundsFor(this->work[pool].reboots, this->work[pool].capacity + extra[pool]),
                     pool);
    const std::uint32_t with = std::max(critical.top().first, this->rack_rounds);
    const double time_part = static_cast<double>(with) / static_cast<double>(without);
    const double spare_part = static_cast<double>(assigned.size()) / static_cast<double>(spares);
    const double cost = (weights.roll_out_time + weights.share_distance) * time_part +
                        (weights.moves + weights.buffer_cost) * spare_part;
    if (cost < best_cost && without >= with + kMinRoundsSaved) {
      best_cost = cost;
      best_count = assigned.size();
    }
  }
  for (std::size_t i = 0; i < best_count; ++i) {
    this->AddAssignment(assigned[i], 1);
  }
}

void WaveShape::ComputeLowerBound(const FleetView& view) {
  this->lower_bound = this->rack_rounds;
  for (Index i = 0; i < view.pools.size(); ++i) {
    const PoolWork& pool = this->work[i];
    const std::int64_t max_steps = pool.capacity + pool.arriving;
    const std::uint32_t leaving_rounds = pool.leaving.empty() ? 0 : 1;
    this->lower_bound =
        std::max({this->lower_bound, RoundsFor(pool.reboots, max_steps), leaving_rounds});
  }
}

void WaveShape::Simulate(const FleetView& view) {
  std::vector<PoolWork> pools = this->work;
  while (this->SimulateRound(pools, this->rounds + 1)) {
    ++this->rounds;
  }
  this->rounds = std::max(this->rounds, this->rack_rounds);
  this->ReportBlocked(view, pools);
}

bool WaveShape::SimulateRound(std::vector<PoolWork>& pools, std::uint32_t round) {
  bool has_progress = false;
  std::vector<Index> arrivals;
  for (PoolWork& pool : pools) {
    if (!HasSteps(pool) || pool.capacity <= 0) {
      continue;
    }
    has_progress = true;
    const auto free_capacity = static_cast<std::size_t>(pool.capacity);
    const std::size_t leaving = std::min(free_capacity, pool.leaving.size());
    for (std::size_t i = 0; i < leaving; ++i) {
      arrivals.push_back(pool.leaving.back());
      pool.leaving.pop_back();
      this->move_rounds = std::max(this->move_rounds, round);
    }
    pool.capacity -= static_cast<std::int64_t>(leaving);
    pool.reboots -=
        static_cast<std::uint32_t>(std::min<std::size_t>(free_capacity - leaving, pool.reboots));
  }
  for (const Index target : arrivals) {
    if (target != kNoTargetPool) {
      ++pools[target].capacity;
    }
  }
  return has_progress;
}

void WaveShape::ReportBlocked(const FleetView& view, const std::vector<PoolWork>& unfinished) {
  for (Index i = 0; i < unfinished.size(); ++i) {
    if (!HasSteps(unfinished[i])) {
      continue;
    }
    if (!unfinished[i].leaving.empty()) {
      this->moves_can_end = false;
    }
    const auto leaving = static_cast<std::int64_t>(unfinished[i].leaving.size());
    const std::int64_t wanted = std::max<std::int64_t>(leaving, 1);
    const auto missing = static_cast<std::uint32_t>(wanted - unfinished[i].capacity);
    this->blocked.push_back(BlockedPool{view.pools[i].pool->id, missing});
  }
}

double ChooseStretch(const inventory::Weights& weights, double max_stretch) {
  if (weights.roll_out_time <= 0) {
    return max_stretch;
  }
  const double best =
      std::sqrt((weights.buffer_cost + weights.share_distance) / weights.roll_out_time);
  return std::clamp(best, 1.0, max_stretch);
}

Duration StepDuration(const StepTimes& times) {
  return times.drain + times.reboot + times.overhead;
}

}  // namespace chervilspar::maintenance
