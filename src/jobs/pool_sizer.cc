#include "chervilspar/jobs/pool_sizer.h"

#include <algorithm>
#include <cmath>

namespace chervilspar::jobs {

namespace {

/// A job that begins a little after its latest start is often still on time.
constexpr double kStartGraceMs = 200;

double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// VMs of a pool that take work or soon will.
int Serving(const std::vector<SizerVm>& vms, const ServiceId& pool) {
  return static_cast<int>(std::count_if(
      vms.begin(), vms.end(), [&](const SizerVm& vm) { return vm.pool == pool && vm.is_serving; }));
}

/// What may be moved out of a pool, the emptiest first.
std::vector<const SizerVm*> Releasable(const std::vector<SizerVm>& vms, const ServiceId& pool) {
  std::vector<const SizerVm*> found;
  for (const SizerVm& vm : vms) {
    if (vm.pool == pool && vm.is_serving && !vm.has_long_running && !vm.is_pinned) {
      found.push_back(&vm);
    }
  }
  std::stable_sort(found.begin(), found.end(), [](const SizerVm* one, const SizerVm* other) {
    return std::pair(!one->is_empty, one->used) < std::pair(!other->is_empty, other->used);
  });
  return found;
}

}  // namespace

std::vector<SizerVm> PoolSizer::WithoutUnusableZones(const std::vector<SizerVm>& vms) const {
  std::map<ZoneId, int> answering;
  for (const SizerVm& vm : vms) {
    answering[vm.zone] += vm.is_silent ? -1 : (vm.is_serving && !vm.is_empty ? 1 : 0);
  }
  std::vector<SizerVm> seen = vms;
  for (SizerVm& vm : seen) {
    const bool is_dark = this->options.avoids_unreachable_zones && answering[vm.zone] < 0;
    if (is_dark || vm.is_cordoned) {
      vm.is_serving = false;
      vm.is_pinned = true;
    }
  }
  return seen;
}

int PoolSizer::TargetSize(const ServiceId& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.wanted;
}

void PoolSizer::Measure(TimePoint now, const std::map<ServiceId, PoolLoad>& loads) {
  for (const auto& [pool, load] : loads) {
    History& history = this->pools[pool];
    const double passed = Milliseconds(now - history.measured);
    if (history.is_known && passed > 0) {
      const double came = load.arrived_jobs - history.arrived_jobs;
      const double kept = std::exp(-passed / Milliseconds(this->options.averaging_time));
      history.job_rate += (1.0 - kept) * (came / passed - history.job_rate);
      const double kept_longer = std::exp(-passed / Milliseconds(this->options.averaging_time) /
                                          this->options.slow_averaging_factor);
      history.slow_job_rate += (1.0 - kept_longer) * (came / passed - history.slow_job_rate);
      history.recent_jobs = kept * history.recent_jobs + came;
      this->MeasureWork(came, load.cpu.arrived, history.cpu);
      this->MeasureWork(came, load.memory.arrived, history.memory);
    }
    history.is_known = true;
    history.cpu.arrived = load.cpu.arrived;
    history.memory.arrived = load.memory.arrived;
    history.arrived_jobs = load.arrived_jobs;
    history.measured = now;
  }
}

void PoolSizer::MeasureWork(double jobs, double arrived, JobWork& work) const {
  if (jobs <= 0) {
    return;
  }
  const double of_these = (arrived - work.arrived) / jobs;
  const double part = work.of_one > 0 ? jobs / (jobs + this->options.jobs_averaged) : 1;
  work.of_one += part * (of_these - work.of_one);
}

double PoolSizer::ExpectedJobs(const History& history) const {
  const double chance =
      std::sqrt(history.slow_job_rate / (2 * Milliseconds(this->options.averaging_time)));
  const double rise = std::max(0.0, history.job_rate - history.slow_job_rate -
                                        this->options.trend_threshold_std_devs * chance);
  const double belief =
      history.recent_jobs / (history.recent_jobs + this->options.half_confidence_jobs);
  return belief * (history.job_rate + this->options.trend_gain * rise);
}

double PoolSizer::ForBacklog(const ResourceLoad& load, double running, double free) const {
  std::vector<WaitingWork> waiting = load.waiting;
  std::sort(waiting.begin(), waiting.end());
  const double move = Milliseconds(this->options.move_time);
  const double least = Milliseconds(this->options.min_use_time);
  double due = running;
  // What would do if it were there now, and what has to come in addition to what is there.
  double at_least = 0;
  double more = 0;
  for (const WaitingWork& part : waiting) {
    if (part.slack_ms < 0) {
      continue;  // late already: done by what is there
    }
    due += part.work;
    const double span = part.slack_ms * this->options.slack_share + kStartGraceMs;
    at_least = std::max(at_least, due / span);
    if (span - move >= least) {
      more = std::max(more, (due - free * span) / (span - move));
    }
  }
  return std::min(std::min(at_least, free) + more, load.concurrent_demand);
}

PoolSizer::Need PoolSizer::NeedFor(const ResourceLoad& load, double arriving, const ServiceId& pool,
                                   const std::vector<SizerVm>& vms, double SizerVm::*amount) const {
  double there = 0;
  double of_one = 0;
  for (const SizerVm& vm : vms) {
    const double usable_fraction = vm.*amount * this->options.usable_fraction;
    there += vm.pool == pool && vm.is_serving ? usable_fraction : 0;
    of_one = std::max(of_one, usable_fraction);
  }
  if (of_one <= 0) {
    return {};
  }
  const double free = std::max(0.0, there - load.long_running);
  const auto vms_for = [&](double running) {
    const double needed =
        load.long_running + std::max(arriving, this->ForBacklog(load, running, free));
    // More than there are would say nothing.
    return static_cast<int>(std::min(std::ceil(needed / of_one), static_cast<double>(vms.size())));
  };
  return {vms_for(load.running), vms_for(load.running - load.running_late)};
}

void PoolSizer::Want(TimePoint now, const ServiceId& pool, const PoolLoad& load,
                     const std::vector<SizerVm>& vms) {
  const bool is_known =
      std::any_of(vms.begin(), vms.end(), [](const SizerVm& vm) { return vm.cpu > 0; });
  if (!is_known) {
    return;
  }
  History& history = this->pools[pool];
  const double jobs = this->ExpectedJobs(history);
  const Need cpu = this->NeedFor(load.cpu, jobs * history.cpu.of_one, pool, vms, &SizerVm::cpu);
  const Need memory =
      this->NeedFor(load.memory, jobs * history.memory.of_one, pool, vms, &SizerVm::memory);
  const int least = std::max(this->options.min_vms, load.min_endpoints);
  history.needed_on_time = std::max({least, cpu.on_time, memory.on_time});
  int wanted = std::max({least, cpu.all, memory.all});
  if (load.waiting_long_running == 0) {
    history.waiting_since.reset();
  } else if (!history.waiting_since) {
    history.waiting_since = now;
  } else if (now - *history.waiting_since > this->options.blocked_task_delay) {
    wanted = std::max(wanted, Serving(vms, pool) + load.waiting_long_running);
    history.waiting_since = now + this->options.move_time;
  }
  history.needed = wanted;
  if (history.wanted_at == TimePoint{}) {
    // The predecessor knew why the pool is as large as it is.
    history.wanted = Serving(vms, pool);
    history.wanted_at = now;
  }
  if (wanted >= history.wanted || now - history.wanted_at > this->options.shrink_delay) {
    history.wanted = wanted;
    history.wanted_at = now;
  }
}

std::map<ServiceId, int> PoolSizer::FindMissing(TimePoint now,
                                                const std::map<ServiceId, PoolLoad>& loads,
                                                const std::vector<SizerVm>& vms,
                                                const ServiceId& standby) {
  std::map<ServiceId, int> missing;
  for (const auto& [pool, load] : loads) {
    if (pool == standby) {
      continue;
    }
    this->Want(now, pool, load, vms);
    const int lacks = this->pools[pool].needed - Serving(vms, pool);
    if (lacks > 0) {
      missing[pool] = lacks;
    }
  }
  return missing;
}

void PoolSizer::ReleaseFrom(const ServiceId& pool, const std::vector<SizerVm>& vms, int all_missing,
                            Supply& supply, std::set<VmId>& released) const {
  const History& history = this->pools.at(pool);
  const int serving = Serving(vms, pool);
  const int unwanted = serving - history.wanted;
  // Others' jobs that can still be on time go before what is late here.
  const int needed = this->options.late_work_yields
                         ? std::min(history.needed, history.needed_on_time)
                         : history.needed;
  const int unneeded = serving - needed;
  const std::vector<const SizerVm*> releasable = Releasable(vms, pool);
  const int lendable = this->options.lends_idle_vms ? std::min(unneeded, all_missing) : 0;
  const int most = std::max(unwanted, lendable);
  for (int i = 0; i < most && i < static_cast<int>(releasable.size()); ++i) {
    released.insert(releasable[i]->id);
    if (releasable[i]->is_empty) {
      (i < unwanted ? supply.spare : supply.lent).push_back(releasable[i]);
    }
  }
}

const SizerVm* PoolSizer::Supply::Take() {
  for (std::vector<const SizerVm*>* source : {&this->spare, &this->lent, &this->off}) {
    if (!source->empty()) {
      const SizerVm* vm = source->back();
      source->pop_back();
      return vm;
    }
  }
  return nullptr;
}

/// What can go wrong: one pool lacks hundreds of VMs for its peak, takes all that there are, and a
/// task that serves users waits in another for the one VM that it needs. So the pools take turns.
void PoolSizer::Share(std::map<ServiceId, int>& missing, Supply& supply, SizerPlan& step) {
  while (!missing.empty()) {
    for (auto pool = missing.begin(); pool != missing.end();) {
      const SizerVm* vm = supply.Take();
      if (vm == nullptr) {
        return;
      }
      step.moves.push_back({vm->id, pool->first});
      pool = --pool->second == 0 ? missing.erase(pool) : std::next(pool);
    }
  }
}

SizerPlan PoolSizer::Plan(TimePoint now, const std::map<ServiceId, PoolLoad>& loads,
                          const std::vector<SizerVm>& all_vms, const ServiceId& standby) {
  const std::vector<SizerVm> vms = this->WithoutUnusableZones(all_vms);
  this->Measure(now, loads);
  std::map<ServiceId, int> missing = this->FindMissing(now, loads, vms, standby);
  int all_missing = 0;
  for (const auto& [pool, lacks] : missing) {
    all_missing += lacks;
  }
  SizerPlan step;
  Supply supply;
  for (const auto& [pool, load] : loads) {
    if (pool != standby && !missing.contains(pool)) {
      this->ReleaseFrom(pool, vms, all_missing, supply, step.release);
    }
  }
  for (const SizerVm& vm : vms) {
    if (vm.pool == standby && !vm.is_pinned && !standby.IsEmpty()) {
      supply.off.push_back(&vm);
    }
  }
  Share(missing, supply, step);
  if (!standby.IsEmpty()) {
    for (const SizerVm* vm : supply.spare) {
      step.moves.push_back({vm->id, standby});
    }
  }
  return step;
}

}  // namespace chervilspar::jobs
