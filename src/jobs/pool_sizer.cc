#include "chervilspar/jobs/pool_sizer.h"

#include <algorithm>
#include <cmath>

#include "jobs/pool_vms.h"

namespace chervilspar::jobs {

namespace {

/// A job that starts shortly after its latest start time is often still on time.
constexpr double kStartGraceMs = 200;

/// If this many jobs were expected since the last one, it isn't by chance that none arrived.
constexpr double kJobsMissedInInterruption = 10;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

const char* ToString(SizeReason reason) {
  switch (reason) {
    case SizeReason::kMinimum:
      return "minimum";
    case SizeReason::kLongRunning:
      return "long-running";
    case SizeReason::kArrivals:
      return "arrivals";
    case SizeReason::kBacklog:
      return "backlog";
    case SizeReason::kBlockedTasks:
      return "blocked-tasks";
  }
  return "unknown";
}

std::vector<SizerVm> PoolSizer::ExcludeUnusableZones(const std::vector<SizerVm>& vms) const {
  std::map<ZoneId, int> responding;
  for (const SizerVm& vm : vms) {
    responding[vm.zone] += vm.is_silent ? -1 : (vm.is_serving && !vm.is_empty ? 1 : 0);
  }
  std::vector<SizerVm> usable_vms = vms;
  for (SizerVm& vm : usable_vms) {
    const bool is_unreachable = this->options.avoids_unreachable_zones && responding[vm.zone] < 0;
    if (is_unreachable || vm.is_cordoned) {
      vm.is_serving = false;
      vm.is_pinned = true;
    }
  }
  return usable_vms;
}

int PoolSizer::TargetSize(const ServiceId& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.target;
}

int PoolSizer::NeededSize(const ServiceId& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.needed;
}

SizeReason PoolSizer::NeedReason(const ServiceId& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? SizeReason::kMinimum : found->second.need_reason;
}

void PoolSizer::UpdateAverages(TimePoint now, const std::map<ServiceId, PoolLoad>& loads) {
  for (const auto& [pool, load] : loads) {
    History& history = this->pools[pool];
    const double elapsed_ms = Milliseconds(now - history.measured_at);
    if (history.has_sample && elapsed_ms > 0) {
      this->UpdateUrgency(load, elapsed_ms, history);
      const double new_jobs = load.arrived_jobs - history.arrived_jobs;
      this->UpdateRates(now, new_jobs, history);
      this->UpdateWorkPerJob(new_jobs, load.cpu.arrived, history.cpu);
      this->UpdateWorkPerJob(new_jobs, load.memory.arrived, history.memory);
    }
    if (!history.has_sample) {
      history.arrived_at = now;
    }
    history.has_sample = true;
    history.cpu.arrived = load.cpu.arrived;
    history.memory.arrived = load.memory.arrived;
    history.arrived_jobs = load.arrived_jobs;
    history.measured_at = now;
  }
}

/// While the store's reads hang, the jobs of a second become known at once. If they counted as the
/// arrivals of one round, the forecast would be ten times the demand.
void PoolSizer::UpdateRates(TimePoint now, double new_jobs, History& history) const {
  const double averaging_ms = this->AveragingMs(history);
  const double pause_ms = Milliseconds(now - history.arrived_at);
  const bool was_interrupted =
      history.rates_at_arrival.recent * pause_ms >= kJobsMissedInInterruption;
  if (new_jobs > 0 && was_interrupted) {
    history.rates = this->Advance(history.rates_at_arrival, new_jobs, pause_ms, averaging_ms);
  } else {
    history.rates = this->Advance(history.rates, new_jobs, Milliseconds(now - history.measured_at),
                                  averaging_ms);
  }
  if (new_jobs > 0) {
    history.rates_at_arrival = history.rates;
    history.arrived_at = now;
  }
}

PoolSizer::ArrivalRates PoolSizer::Advance(const ArrivalRates& rates, double new_jobs,
                                           double elapsed_ms, double averaging_ms) const {
  const double decay = std::exp(-elapsed_ms / averaging_ms);
  const double slow_decay =
      std::exp(-elapsed_ms / averaging_ms / this->options.slow_averaging_factor);
  const double rate = new_jobs / elapsed_ms;
  return {rates.recent + (1.0 - decay) * (rate - rates.recent),
          rates.slow + (1.0 - slow_decay) * (rate - rates.slow), decay * rates.jobs + new_jobs};
}

void PoolSizer::UpdateWorkPerJob(double jobs, double arrived, JobWork& work) const {
  if (jobs <= 0) {
    return;
  }
  const double sample = (arrived - work.arrived) / jobs;
  const double sample_weight = jobs / (jobs + work.jobs);
  work.jobs = std::min(work.jobs + jobs, this->options.jobs_averaged);
  work.work_per_job += sample_weight * (sample - work.work_per_job);
}

double PoolSizer::ForecastJobRate(const History& history, double trend_gain) const {
  const double std_dev = std::sqrt(history.rates.slow / (2 * this->AveragingMs(history)));
  const double rise = std::max(0.0, history.rates.recent - history.rates.slow -
                                        this->options.trend_threshold_std_devs * std_dev);
  const double confidence =
      history.rates.jobs / (history.rates.jobs + this->options.half_confidence_jobs);
  return confidence * (history.rates.recent + trend_gain * rise);
}

double PoolSizer::BacklogDemand(const ResourceLoad& load, double running, double free) const {
  std::vector<WaitingWork> waiting = load.waiting;
  std::sort(waiting.begin(), waiting.end());
  const double move_ms = Milliseconds(this->options.move_time);
  const double min_use_ms = Milliseconds(this->options.min_use_time);
  double due_work = running;
  // The amount that would suffice if it were present now, and the amount that is needed in addition
  // to `free`.
  double min_now = 0;
  double additional = 0;
  for (const WaitingWork& item : waiting) {
    if (item.slack_ms < 0) {
      continue;  // Already late: left to the VMs that the pool has.
    }
    due_work += item.work;
    const double available_ms = item.slack_ms * this->options.slack_share + kStartGraceMs;
    min_now = std::max(min_now, due_work / available_ms);
    if (available_ms - move_ms >= min_use_ms) {
      additional =
          std::max(additional, (due_work - free * available_ms) / (available_ms - move_ms));
    }
  }
  return std::min(std::min(min_now, free) + additional, load.concurrent_demand);
}

PoolSizer::VmDemand PoolSizer::RequiredVms(const ResourceLoad& load, double arriving,
                                           const ServiceId& pool, const std::vector<SizerVm>& vms,
                                           double SizerVm::*amount) const {
  double serving_capacity = 0;
  double usable_per_vm = 0;
  for (const SizerVm& vm : vms) {
    const double usable = vm.*amount * this->options.usable_fraction;
    serving_capacity += vm.pool == pool && vm.is_serving ? usable : 0;
    usable_per_vm = std::max(usable_per_vm, usable);
  }
  if (usable_per_vm <= 0) {
    return {};
  }
  const double free = std::max(0.0, serving_capacity - load.long_running);
  const double backlog = this->BacklogDemand(load, load.running, free);
  const auto vms_for = [&](double work) {
    const double needed = load.long_running + std::max(arriving, work);
    // There is no use in more VMs than exist.
    return static_cast<int>(
        std::min(std::ceil(needed / usable_per_vm), static_cast<double>(vms.size())));
  };
  const double backlog_on_time = this->BacklogDemand(load, load.running - load.running_late, free);
  SizeReason reason = arriving < backlog ? SizeReason::kBacklog : SizeReason::kArrivals;
  if (std::max(arriving, backlog) < load.long_running) {
    reason = SizeReason::kLongRunning;
  }
  return {vms_for(backlog), vms_for(backlog_on_time), reason};
}

void PoolSizer::UpdateSize(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                           const std::vector<SizerVm>& vms) {
  const bool is_known =
      std::any_of(vms.begin(), vms.end(), [](const SizerVm& vm) { return vm.cpu > 0; });
  if (!is_known) {
    return;
  }
  if (this->options.sizes_by_demand) {
    this->UpdateNeedByDemand(now, pool, load, vms);
  } else {
    this->UpdateNeed(now, pool, load, vms);
  }
  this->UpdateTarget(now, pool, vms);
}

void PoolSizer::UpdateNeed(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                           const std::vector<SizerVm>& vms) {
  History& history = this->pools[pool];
  const double jobs = this->ForecastJobRate(history, this->options.trend_gain);
  const VmDemand cpu =
      this->RequiredVms(load.cpu, jobs * history.cpu.work_per_job, pool, vms, &SizerVm::cpu);
  const VmDemand memory = this->RequiredVms(load.memory, jobs * history.memory.work_per_job, pool,
                                            vms, &SizerVm::memory);
  const int min_vms = std::max(this->options.min_vms, load.min_endpoints);
  history.needed_on_time = std::max({min_vms, cpu.on_time, memory.on_time});
  const int required = std::max({min_vms, cpu.all, memory.all});
  history.need_reason = required == min_vms     ? SizeReason::kMinimum
                        : cpu.all >= memory.all ? cpu.reason
                                                : memory.reason;
  history.needed = required;
  const int for_blocked = this->NeededForBlockedTasks(now, load, CountServing(vms, pool), history);
  if (for_blocked > required) {
    history.need_reason = SizeReason::kBlockedTasks;
    history.needed = for_blocked;
  }
}

int PoolSizer::NeededForBlockedTasks(TimePoint now, const PoolLoad& load, int serving,
                                     History& history) const {
  if (load.waiting_long_running == 0) {
    history.waiting_since.reset();
  } else if (!history.waiting_since) {
    history.waiting_since = now;
  } else if (now - *history.waiting_since > this->options.blocked_task_delay) {
    history.waiting_since = now + this->options.move_time;
    return serving + load.waiting_long_running;
  }
  return 0;
}

void PoolSizer::UpdateTarget(TimePoint now, const ServiceId& pool,
                             const std::vector<SizerVm>& vms) {
  History& history = this->pools[pool];
  if (history.first_planned_at == TimePoint{}) {
    history.first_planned_at = now;
  }
  // The operators or the previous owner chose the current size for a demand that isn't known here
  // yet. At the start of a fleet it becomes known only as the endpoints register.
  const bool is_new = now - history.first_planned_at <= this->options.ShrinkDelay();
  const int serving = is_new ? CountServing(vms, pool) : 0;
  if (serving > history.target) {
    history.target = serving;
    history.target_set_at = history.first_planned_at;
  }
  const bool is_over = this->options.sizes_by_demand && !is_new && this->HasTurnEnded(now, history);
  if (history.needed >= history.target || is_over ||
      now - history.target_set_at > this->options.ShrinkDelay()) {
    history.target = history.needed;
    history.target_set_at = now;
    history.peak_rate = history.rates.recent;
  }
  history.peak_rate = std::max(history.peak_rate, history.rates.recent);
}

std::map<ServiceId, int> PoolSizer::FindShortages(TimePoint now,
                                                  const std::map<ServiceId, PoolLoad>& loads,
                                                  const std::vector<SizerVm>& vms,
                                                  const ServiceId& standby) {
  std::map<ServiceId, int> shortages;
  for (const auto& [pool, load] : loads) {
    if (pool == standby) {
      continue;
    }
    this->UpdateSize(now, pool, load, vms);
    const int shortage = this->pools[pool].needed - CountServing(vms, pool);
    if (shortage > 0) {
      shortages[pool] = shortage;
    }
  }
  return shortages;
}

void PoolSizer::SelectReleases(const ServiceId& pool, const std::vector<SizerVm>& vms,
                               int total_shortage, AvailableVms& available,
                               std::set<VmId>& release) const {
  const History& history = this->pools.at(pool);
  const int serving = CountServing(vms, pool);
  const int surplus = serving - history.target;
  // Jobs of other pools that can still be on time take precedence over late jobs of this pool.
  const int needed = this->options.late_work_yields
                         ? std::min(history.needed, history.needed_on_time)
                         : history.needed;
  const int unneeded = serving - needed;
  const std::vector<const SizerVm*> releasable = Releasable(vms, pool);
  const int max_lent = this->options.lends_idle_vms ? std::min(unneeded, total_shortage) : 0;
  const int max_releases = std::max(surplus, max_lent);
  for (int i = 0; i < max_releases && i < static_cast<int>(releasable.size()); ++i) {
    release.insert(releasable[i]->id);
    if (releasable[i]->is_empty) {
      (i < surplus ? available.spare : available.lendable).push_back(releasable[i]);
    }
  }
}

const SizerVm* PoolSizer::AvailableVms::Take() {
  for (std::vector<const SizerVm*>* source : {&this->spare, &this->lendable, &this->switched_off}) {
    if (!source->empty()) {
      const SizerVm* vm = source->back();
      source->pop_back();
      return vm;
    }
  }
  return nullptr;
}

/// Assigns VMs to the pools in turn. Otherwise a pool that lacks hundreds of VMs in a peak would
/// take all of them while a task that serves users waits in another pool for a single VM.
void PoolSizer::AssignVms(std::map<ServiceId, int>& shortages, AvailableVms& available,
                          SizerPlan& plan) {
  while (!shortages.empty()) {
    for (auto pool = shortages.begin(); pool != shortages.end();) {
      const SizerVm* vm = available.Take();
      if (vm == nullptr) {
        return;
      }
      plan.moves.push_back({vm->id, pool->first});
      pool = --pool->second == 0 ? shortages.erase(pool) : std::next(pool);
    }
  }
}

SizerPlan PoolSizer::Plan(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                          const std::vector<SizerVm>& listed_vms, const ServiceId& standby) {
  const std::vector<SizerVm> vms = this->ExcludeUnusableZones(listed_vms);
  this->UpdateAverages(now, loads);
  std::map<ServiceId, int> shortages = this->FindShortages(now, loads, vms, standby);
  int total_shortage = 0;
  for (const auto& [pool, shortage] : shortages) {
    total_shortage += shortage;
  }
  if (this->options.sizes_by_demand) {
    return this->PlanByDemand(now, loads, vms, standby);
  }
  SizerPlan plan;
  AvailableVms available;
  for (const auto& [pool, load] : loads) {
    if (pool != standby && !shortages.contains(pool)) {
      this->SelectReleases(pool, vms, total_shortage, available, plan.release);
    }
  }
  for (const SizerVm& vm : vms) {
    if (vm.pool == standby && !vm.is_pinned && !standby.IsEmpty()) {
      available.switched_off.push_back(&vm);
    }
  }
  AssignVms(shortages, available, plan);
  if (!standby.IsEmpty()) {
    for (const SizerVm* vm : available.spare) {
      plan.moves.push_back({vm->id, standby});
    }
  }
  return plan;
}

}  // namespace chervilspar::jobs
