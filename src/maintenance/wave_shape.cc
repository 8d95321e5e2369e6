#include "wave_shape.h"

#include <algorithm>
#include <cmath>
#include <queue>

#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

namespace {

/// Rounds that extra spare VMs must save to be worth moving in. Grounds: the move itself takes a
/// round, and the way back another.
constexpr std::uint32_t kMinRoundsSaved = 2;

std::uint32_t RoundsFor(std::uint32_t steps, std::int64_t capacity) {
  if (steps == 0) {
    return 0;
  }
  const auto width = static_cast<std::uint32_t>(std::max<std::int64_t>(capacity, 1));
  return (steps + width - 1) / width;
}

std::uint32_t MostRounds(const std::vector<std::uint32_t>& steps, std::uint32_t width) {
  const auto most = std::max_element(steps.begin(), steps.end());
  return most == steps.end() ? 0 : RoundsFor(*most, width);
}

bool IsBusy(const PoolWork& pool) { return pool.reboots > 0 || !pool.leaving.empty(); }

}  // namespace

WaveShape::WaveShape(const FleetView& view) : work(view.pools.size()) {
  this->CountWork(view);
  std::uint32_t spares = this->UsableSpares(view);
  const std::uint32_t spares_and_lent = spares + this->UsableLentVms(view);
  std::uint32_t left = spares_and_lent;
  this->FillLosses(view, left);
  spares -= std::min(spares, spares_and_lent - left);
  this->FillBlocked(view, spares);
  this->FillForSpeed(view, spares);
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
  const std::int64_t width = work.capacity - static_cast<std::int64_t>(kSecondZoneRoom);
  return steps / static_cast<double>(std::max<std::int64_t>(width, 1));
}

bool WaveShape::HasWork(Index pool) const { return IsBusy(this->work[pool]); }

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
  this->rack_rounds = MostRounds(due_in_rack, per_rack);
  this->move_rounds = MostRounds(moves_in_rack, per_rack);
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
  this->work[vm.pool].leaving.push_back(target.value_or(kGone));
  if (target) {
    ++this->work[*target].arriving;
  }
}

std::uint32_t WaveShape::UsableSpares(const FleetView& view) const {
  std::int64_t usable = 0;
  for (const PoolView& pool : view.pools) {
    if (pool.pool->kind == inventory::PoolKind::kSpare) {
      usable += std::max<std::int64_t>(FleetView::RoomNow(pool), 0);
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
    const std::int64_t room = std::max<std::int64_t>(FleetView::RoomNow(view.pools[i]), 0);
    usable += std::min(lent[i], room);
  }
  return static_cast<std::uint32_t>(usable);
}

void WaveShape::AddFill(Index pool, std::uint32_t count) {
  this->fills.push_back(SpareFill{pool, count});
  this->work[pool].capacity += count;
}

void WaveShape::FillLosses(const FleetView& view, std::uint32_t& spares) {
  for (Index i = 0; i < view.pools.size() && spares > 0; ++i) {
    const PoolView& pool = view.pools[i];
    const std::int64_t capacity = this->work[i].capacity;
    if (pool.pool->kind == inventory::PoolKind::kSpare || capacity >= 0) {
      continue;
    }
    // Below the budget itself a spare VM is wanted at once, above it only for a loss that lasts.
    const std::int64_t short_of_room = -capacity;
    const std::int64_t short_of_budget = short_of_room - FleetView::FailureRoom(*pool.pool);
    const std::int64_t for_losses = std::min<std::int64_t>(short_of_room, pool.lost_for_long);
    const std::int64_t wanted = std::max(short_of_budget, for_losses);
    const auto count = static_cast<std::uint32_t>(std::min<std::int64_t>(wanted, spares));
    if (count > 0) {
      this->AddFill(i, count);
      spares -= count;
    }
  }
}

void WaveShape::FillBlocked(const FleetView& view, std::uint32_t& spares) {
  for (Index i = 0; i < this->work.size() && spares > 0; ++i) {
    const PoolView& pool = view.pools[i];
    // A pool that is short only until its lost VMs are back needs no more VMs to be maintained.
    const std::uint32_t whole = pool.members - pool.retired + pool.incoming;
    const std::uint32_t needed = pool.pool->min_available + FleetView::FailureRoom(*pool.pool) + 1;
    if (this->work[i].reboots > 0 && whole + 1 == needed) {
      this->AddFill(i, 1);
      --spares;
    }
  }
}

void WaveShape::FillForSpeed(const FleetView& view, std::uint32_t spares) {
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
  std::vector<Index> given;
  std::vector<std::uint32_t> extra(this->work.size());
  while (given.size() < spares) {
    const Index pool = critical.top().second;
    critical.pop();
    given.push_back(pool);
    ++extra[pool];
    critical.emplace(RoundsFor(this->work[pool].reboots, this->work[pool].capacity + extra[pool]),
                     pool);
    const std::uint32_t with = std::max(critical.top().first, this->rack_rounds);
    const double time_part = static_cast<double>(with) / static_cast<double>(without);
    const double spare_part = static_cast<double>(given.size()) / static_cast<double>(spares);
    const double cost = (weights.roll_out_time + weights.share_distance) * time_part +
                        (weights.moves + weights.buffer_cost) * spare_part;
    if (cost < best_cost && without >= with + kMinRoundsSaved) {
      best_cost = cost;
      best_count = given.size();
    }
  }
  for (std::size_t i = 0; i < best_count; ++i) {
    this->AddFill(given[i], 1);
  }
}

void WaveShape::ComputeLowerBound(const FleetView& view) {
  this->lower_bound = this->rack_rounds;
  for (Index i = 0; i < view.pools.size(); ++i) {
    const PoolWork& pool = this->work[i];
    const std::int64_t most = pool.capacity + pool.arriving;
    const std::uint32_t leaving_rounds = pool.leaving.empty() ? 0 : 1;
    this->lower_bound =
        std::max({this->lower_bound, RoundsFor(pool.reboots, most), leaving_rounds});
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
    if (!IsBusy(pool) || pool.capacity <= 0) {
      continue;
    }
    has_progress = true;
    const auto room = static_cast<std::size_t>(pool.capacity);
    const std::size_t leaving = std::min(room, pool.leaving.size());
    for (std::size_t i = 0; i < leaving; ++i) {
      arrivals.push_back(pool.leaving.back());
      pool.leaving.pop_back();
      this->move_rounds = std::max(this->move_rounds, round);
    }
    pool.capacity -= static_cast<std::int64_t>(leaving);
    pool.reboots -= static_cast<std::uint32_t>(std::min<std::size_t>(room - leaving, pool.reboots));
  }
  for (const Index target : arrivals) {
    if (target != kGone) {
      ++pools[target].capacity;
    }
  }
  return has_progress;
}

void WaveShape::ReportBlocked(const FleetView& view, const std::vector<PoolWork>& stuck) {
  for (Index i = 0; i < stuck.size(); ++i) {
    if (!IsBusy(stuck[i])) {
      continue;
    }
    if (!stuck[i].leaving.empty()) {
      this->moves_can_end = false;
    }
    const auto leaving = static_cast<std::int64_t>(stuck[i].leaving.size());
    const std::int64_t wanted = std::max<std::int64_t>(leaving, 1);
    const auto missing = static_cast<std::uint32_t>(wanted - stuck[i].capacity);
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

Duration StepLength(const StepTimes& times) { return times.drain + times.reboot + times.overhead; }

}  // namespace chervilspar::maintenance
