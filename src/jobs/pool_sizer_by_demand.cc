#include <algorithm>
#include <cmath>
#include <limits>

#include "chervilspar/jobs/pool_sizer.h"

#include "jobs/pool_demand.h"
#include "jobs/pool_vms.h"

namespace chervilspar::jobs {

namespace {

/// A turn has ended when arrivals have fallen to this part of their recent peak: between turns,
/// queues demand a twentieth.
constexpr double kEndOfTurnShare = 0.5;
/// The fall must exceed this many standard deviations of random arrivals. Otherwise pools with few
/// jobs per second would move VMs on each chance lull.
constexpr double kEndOfTurnStdDevs = 3;
/// Turns of queues last about 10 s. VMs that didn't suffice in one won't suffice in the next.
constexpr Duration kShortageMemory = std::chrono::seconds(15);
/// Two rounds of the sizer: arrivals are counted once per round, and what is ordered must suffice
/// until the next round.
constexpr double kDecisionDelayMs = 300;
/// Tasks that arrive at different times within their run time use room together, so that a rate
/// averaged over a part of this time is as useful and varies less. The effective width of an
/// average is twice its time constant, and the run time twice the mean remaining time; a quarter of
/// the run time keeps the delay of the average small.
constexpr double kAveragingPerRemaining = 0.5;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the supply of one resource. `amount`: the member of a VM with its total.
ResourceSupply SupplyOf(const ServiceId& pool, const std::vector<SizerVm>& vms,
                        double SizerVm::*amount, double usable_fraction) {
  ResourceSupply supply;
  for (const SizerVm& vm : vms) {
    const double usable = vm.*amount * usable_fraction;
    supply.serving += vm.pool == pool && vm.is_serving ? usable : 0;
    supply.per_vm = std::max(supply.per_vm, usable);
  }
  return supply;
}

/// Raises the number for a group and those after it.
void Require(int vms, NeedGroup group, PoolNeed& need) {
  for (auto i = static_cast<std::size_t>(group); i < kNeedGroups; ++i) {
    need.up_to.at(i) = std::max(need.up_to.at(i), vms);
  }
}

/// Adds what one resource needs. `arriving`: the amount that expected arrivals use at once.
void RequireFor(const ResourceDemand& demand, double arriving, const ResourceSupply& supply,
                int max_vms, PoolNeed& need) {
  if (supply.per_vm <= 0) {
    return;
  }
  const auto vms_for = [&](double amount) {
    return static_cast<int>(
        std::min(std::ceil(amount / supply.per_vm), static_cast<double>(max_vms)));
  };
  const int before = need.All();
  Require(vms_for(demand.long_running), NeedGroup::kLongRunning, need);
  need.reason = need.All() > before ? SizeReason::kLongRunning : need.reason;
  const int with_long_running = need.All();
  Require(vms_for(demand.on_time), NeedGroup::kOnTime, need);
  Require(vms_for(demand.beyond_share), NeedGroup::kBeyondShare, need);
  const int with_waiting = need.All();
  Require(vms_for(demand.long_running + arriving), NeedGroup::kForecast, need);
  const bool is_forecast = need.All() > with_waiting;
  need.in_use = std::max(need.in_use, vms_for(demand.in_use));
  if (need.All() > with_long_running) {
    const bool is_arrivals = is_forecast && need.up_to.back() >= need.in_use;
    need.reason = is_arrivals ? SizeReason::kArrivals : SizeReason::kBacklog;
  }
}

}  // namespace

void PoolSizer::UpdateUrgency(const PoolLoad& load, double elapsed_ms, History& history) const {
  const double weight = 1 - std::exp(-elapsed_ms / Milliseconds(this->options.averaging_time));
  double min_slack_ms = std::numeric_limits<double>::infinity();
  for (const WaitingWork& item : load.cpu.waiting) {
    if (item.slack_ms >= 0) {
      min_slack_ms = std::min(min_slack_ms, item.slack_ms);
    }
  }
  if (std::isfinite(min_slack_ms)) {
    history.slack_ms += weight * (min_slack_ms - history.slack_ms);
  }
  if (load.cpu.in_use > 0) {
    history.remaining_ms += weight * (load.cpu.running / load.cpu.in_use - history.remaining_ms);
  }
}

double PoolSizer::AveragingMs(const History& history) const {
  const double averaging_ms = Milliseconds(this->options.averaging_time);
  return this->options.sizes_by_demand
             ? std::max(averaging_ms, kAveragingPerRemaining * history.remaining_ms)
             : averaging_ms;
}

bool PoolSizer::WasShort(TimePoint now) const {
  return this->short_at && now - *this->short_at <= kShortageMemory;
}

/// Only work that must start at its arrival needs a VM at its arrival. So the rate of arrivals has
/// to be known ahead by the time of a move, less the slack that is relied on, and less the time by
/// which use follows arrivals, half the run time of a task. While VMs are short, work that waits
/// makes later work late, so that slack isn't relied on.
double PoolSizer::TrendGain(TimePoint now, const History& history) const {
  if (this->WasShort(now)) {
    return this->options.trend_gain;
  }
  const double averaging_ms = this->AveragingMs(history);
  const double ahead_ms = Milliseconds(this->options.move_time) + kDecisionDelayMs -
                          this->options.slack_share * history.slack_ms - history.remaining_ms;
  // The averages are as old as their time constants, and their difference is the rise in between.
  const double gain =
      (averaging_ms + ahead_ms) / (averaging_ms * (this->options.slow_averaging_factor - 1));
  return std::clamp(gain, 0.0, this->options.trend_gain);
}

void PoolSizer::UpdateNeedByDemand(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                                   const std::vector<SizerVm>& vms) {
  History& history = this->pools[pool];
  const double jobs = this->ForecastJobRate(history, this->TrendGain(now, history));
  const auto max_vms = static_cast<int>(vms.size());
  PoolNeed need;
  Require(std::max(this->options.min_vms, load.min_endpoints), NeedGroup::kLongRunning, need);
  const auto add = [&](const ResourceLoad& resource, const JobWork& work, double SizerVm::*amount) {
    const ResourceSupply supply = SupplyOf(pool, vms, amount, this->options.usable_fraction);
    RequireFor(ComputeDemand(resource, supply, this->options), jobs * work.work_per_job, supply,
               max_vms, need);
  };
  add(load.cpu, history.cpu, &SizerVm::cpu);
  add(load.memory, history.memory, &SizerVm::memory);
  const int for_blocked = this->NeededForBlockedTasks(now, load, CountServing(vms, pool), history);
  if (for_blocked > need.All()) {
    need.reason = SizeReason::kBlockedTasks;
  }
  Require(for_blocked, NeedGroup::kLongRunning, need);
  history.need = need;
  history.need_reason = need.reason;
  history.needed = need.All();
}

/// While VMs are short, a VM that is being switched off would be missed by the next turn.
bool PoolSizer::HasTurnEnded(TimePoint now, const History& history) const {
  const double std_dev = std::sqrt(history.peak_rate / (2 * this->AveragingMs(history)));
  const double limit = std::min(kEndOfTurnShare * history.peak_rate,
                                history.peak_rate - kEndOfTurnStdDevs * std_dev);
  return !this->WasShort(now) && history.rates.recent < limit;
}

void PoolSizer::OfferVms(const ServiceId& pool, const std::vector<SizerVm>& vms,
                         DemandRound& round) const {
  const History& history = this->pools.at(pool);
  std::vector<const SizerVm*>& own = round.lendable[pool];
  own = Releasable(vms, pool);
  std::reverse(own.begin(), own.end());
  int& size = round.sizes[pool];
  size = CountServing(vms, pool);
  for (; size > history.target && !own.empty(); --size, own.pop_back()) {
    round.plan.release.insert(own.back()->id);
    if (own.back()->is_empty) {
      round.available.spare.push_back(own.back());
    }
  }
  if (!this->options.lends_idle_vms) {
    own.clear();
  }
  for (; size > history.needed && !own.empty() && own.back()->is_empty; --size, own.pop_back()) {
    round.available.lendable.push_back(own.back());
  }
}

int PoolSizer::AssignGroup(NeedGroup group, DemandRound& round) const {
  std::map<ServiceId, int> shortages;
  for (auto& [pool, size] : round.sizes) {
    const int needed = this->pools.at(pool).need.UpTo(group);
    if (needed > size) {
      shortages[pool] = needed - size;
      size = needed;
    }
  }
  AssignVms(shortages, round.available, round.plan);
  int lacking = 0;
  for (const auto& [pool, shortage] : shortages) {
    lacking += shortage;
  }
  // Pools lend what they hold for later groups. What runs there ends by itself.
  int to_lend = lacking;
  for (auto& [pool, own] : round.lendable) {
    int& size = round.sizes[pool];
    const int needed = this->pools.at(pool).need.UpTo(group);
    for (; to_lend > 0 && size > needed && !own.empty(); --to_lend, --size, own.pop_back()) {
      round.plan.release.insert(own.back()->id);
      if (own.back()->is_empty) {
        round.available.lendable.push_back(own.back());
      }
    }
  }
  AssignVms(shortages, round.available, round.plan);
  return lacking;
}

SizerPlan PoolSizer::PlanByDemand(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                                  const std::vector<SizerVm>& vms, const ServiceId& standby) {
  DemandRound round;
  for (const auto& [pool, load] : loads) {
    if (pool != standby) {
      this->OfferVms(pool, vms, round);
    }
  }
  for (const SizerVm& vm : vms) {
    if (vm.pool == standby && !vm.is_pinned && !standby.IsEmpty()) {
      round.available.switched_off.push_back(&vm);
    }
  }
  for (const NeedGroup group : {NeedGroup::kLongRunning, NeedGroup::kOnTime,
                                NeedGroup::kBeyondShare, NeedGroup::kForecast}) {
    const int lacking = this->AssignGroup(group, round);
    // Forecasts overshoot as a turn begins, and an account may request any number of VMs beyond its
    // share. Neither shows that the next turn will lack VMs.
    if (lacking > 0 && group <= NeedGroup::kOnTime) {
      this->short_at = now;
    }
  }
  if (!standby.IsEmpty()) {
    for (const SizerVm* vm : round.available.spare) {
      round.plan.moves.push_back({vm->id, standby});
    }
  }
  return round.plan;
}

}  // namespace chervilspar::jobs
