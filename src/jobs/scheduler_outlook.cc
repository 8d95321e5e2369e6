#include <algorithm>
#include <map>
#include <utility>

#include "chervilspar/jobs/account_shares.h"
#include "chervilspar/jobs/admission_outlook.h"

#include "jobs/placement.h"
#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// The average share of its estimate that a running task still needs.
constexpr double kRemainingShareOfRunning = 0.5;
/// An account requests more than its share if it is above it by this fraction.
constexpr double kShareTolerance = 0.01;
/// An account within its share is listed only if its backlog is longer than this: its jobs are
/// refused only if they would be worthless, which takes several objectives.
constexpr double kMinBacklogMs = 1000;
/// Limits the size of the outlook. Accounts that are not listed are admitted.
constexpr std::size_t kMaxAccounts = 64;
constexpr double kWorkPerCoreSecond = 1e6;
constexpr double kMillicoresPerCore = 1000;

using QueueKey = std::pair<TeamId, std::string>;

double PositiveCpu(const Resources& resources) {
  return static_cast<double>(std::max<std::int64_t>(resources.cpu, 0));
}

Resources Times(const Resources& need, std::int64_t count) {
  return {need.cpu * count, need.memory_mb * count, need.gpus * count};
}

Resources Largest(const Resources& one, const Resources& other) {
  return {std::max(one.cpu, other.cpu), std::max(one.memory_mb, other.memory_mb),
          std::max(one.gpus, other.gpus)};
}

/// `amount` reduced to the limit `cap`, in which 0 means none.
Resources WithinCap(const Resources& amount, const Resources& cap) {
  const auto within = [](std::int64_t value, std::int64_t limit) {
    return limit > 0 ? std::min(value, limit) : value;
  };
  return {within(amount.cpu, cap.cpu), within(amount.memory_mb, cap.memory_mb),
          within(amount.gpus, cap.gpus)};
}

/// The remaining work of one account in one queue.
struct Backlog {
  ServiceId pool;
  double open_work = 0;
  double on_time_work = 0;
};

/// The number of a step's tasks that use or wait for endpoints that take work. The step's job isn't
/// over, so none of them has failed.
struct TaskCount {
  std::int64_t waiting = 0;
  std::int64_t claimed = 0;
  /// Of `claimed`, those whose run an endpoint has confirmed.
  std::int64_t active = 0;

  explicit TaskCount(const StepState& step) {
    if (step.claims == 0) {
      this->waiting = static_cast<std::int64_t>(step.tasks.size() - step.done);
      return;
    }
    for (const Task& task : step.tasks) {
      if (task.endpoint != nullptr && task.endpoint->is_cordoned) {
        continue;
      }
      this->waiting += task.IsWaiting() ? 1 : 0;
      this->claimed += task.state != RunState::kNone ? 1 : 0;
      this->active += task.state == RunState::kActive || task.state == RunState::kStopping ? 1 : 0;
    }
  }
  double Remaining() const {
    return static_cast<double>(this->waiting + this->claimed - this->active) +
           kRemainingShareOfRunning * static_cast<double>(this->active);
  }
};

/// The starts of waiting batch tasks.
struct StartSum {
  double count = 0;
  /// On the owner's link.
  double bytes = 0;
  /// In thousandths of a core times milliseconds.
  double work = 0;

  void Add(std::int64_t tasks, std::size_t payload_bytes, double work_per_task) {
    const auto added = static_cast<double>(tasks);
    this->count += added;
    this->bytes += added * static_cast<double>(LinkBudget::StartBytes(payload_bytes, 0));
    this->work += added * work_per_task;
  }
};

/// Computes the outlook from the tables of the scheduler.
class OutlookRound {
 public:
  OutlookRound(SchedulerState& state, const Resources& listed, TimePoint now)
      : state(state), now(now) {
    this->AddCapacity(listed);
    state.ForEachOpenJob([this](const JobState& job) { this->AddJob(job); });
  }

  AdmissionOutlook Make() {
    AdmissionOutlook outlook;
    outlook.token = this->state.token;
    this->LimitByLink();
    const AccountShares shares = this->Divide();
    outlook.is_full = shares.IsFull();
    this->FindReachableCpu(shares);
    for (const auto& [pool, cpu] : this->pool_cpu) {
      outlook.pools.push_back({pool, cpu, this->reachable_cpu.at(pool)});
    }
    for (const auto& [key, backlog] : this->backlogs) {
      AccountOutlook account{key.first, key.second};
      account.open_work = backlog.open_work;
      account.on_time_work = this->WorkBefore(key, backlog);
      this->SetShare(shares, backlog.pool, account);
      const double min_work = account.is_beyond_share ? 0 : kMinBacklogMs * account.due_cpu;
      const bool may_be_refused = account.is_beyond_share || !outlook.is_full;
      if (may_be_refused && account.due_cpu > 0 && account.on_time_work > min_work) {
        outlook.accounts.push_back(std::move(account));
      }
    }
    KeepLongestBacklogs(outlook.accounts);
    return outlook;
  }

 private:
  void AddCapacity(const Resources& listed) {
    Resources registered;
    Resources long_running;
    for (const auto& [service, pool] : this->state.pools) {
      double& cpu = this->pool_cpu[service];
      for (const EndpointState* endpoint : pool.endpoints) {
        if (endpoint->is_cordoned) {
          continue;
        }
        registered = registered + endpoint->record.capacity;
        if (Placement::IsUsable(*endpoint, this->now)) {
          cpu += PositiveCpu(endpoint->record.capacity);
        }
        long_running = long_running + endpoint->used_by_long_running;
        cpu -= PositiveCpu(endpoint->used_by_long_running);
      }
      cpu = std::max(cpu, 0.0);
    }
    this->capacity = Largest(Largest(registered, listed) - long_running, Resources{});
  }

  /// Work that `OverloadPlan` has abandoned counts as on time until its latest start: the work that
  /// it keeps always fits, so that no overload would show.
  void AddJob(const JobState& job) {
    Backlog& backlog = this->backlogs[{job.job.team, job.job.queue}];
    backlog.pool = job.service;
    const bool is_on_time = job.ready ? job.ready->latest_start_ms >= this->state.wall_ms
                                      : job.deadline_ms >= this->state.wall_ms;
    AccountDemand& demand = this->demands[job.job.team];
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const Step& spec = job.job.steps[i];
        if (spec.is_long_running || !occurrence.steps[i].HasWork()) {
          continue;
        }
        const TaskCount count(occurrence.steps[i]);
        const Resources need = RequiredCapacity(spec);
        const double work =
            count.Remaining() * PositiveCpu(need) *
            static_cast<double>(std::max<std::int64_t>(spec.estimate_ms, kMinEstimateMs));
        backlog.open_work += work;
        backlog.on_time_work += is_on_time ? work : 0;
        this->waiting_starts.Add(count.waiting, job.job.payload.size(),
                                 PositiveCpu(need) * static_cast<double>(spec.estimate_ms));
        const bool waits = is_on_time && occurrence.steps[i].is_open;
        const Resources used = Times(need, count.claimed);
        const Resources requested = used + Times(need, waits ? count.waiting : 0);
        demand.in_use = demand.in_use + used;
        demand.requested = demand.requested + requested;
        this->requested_cpu[job.service][job.job.team] += PositiveCpu(requested);
      }
    }
  }

  /// A narrow link carries fewer starts than the VMs could run. Work beyond that can't be served,
  /// however many VMs are free.
  void LimitByLink() {
    const StartSum& starts = this->waiting_starts;
    if (!this->state.options.budgets_link || starts.count <= 0) {
      return;
    }
    const double cores = this->state.link.budget.CoresPerSecond(
        starts.bytes / starts.count, starts.work / starts.count / kWorkPerCoreSecond);
    this->capacity.cpu =
        std::min(this->capacity.cpu, static_cast<std::int64_t>(cores * kMillicoresPerCore));
  }

  Resources CapOf(const TeamId& team) const {
    const auto policy = this->state.policy.teams.find(team);
    return policy == this->state.policy.teams.end() ? Resources{} : policy->second.cap;
  }

  AccountShares Divide() {
    std::vector<AccountDemand> all;
    for (auto& [team, demand] : this->demands) {
      const auto policy = this->state.policy.teams.find(team);
      demand.team = team;
      demand.weight = policy == this->state.policy.teams.end() ? 1.0 : policy->second.weight;
      // What is above the limit of the account takes no room from the others.
      demand.requested = Largest(demand.in_use, WithinCap(demand.requested, this->CapOf(team)));
      this->total_requested_cpu += PositiveCpu(demand.requested);
      all.push_back(demand);
    }
    return {all, this->capacity};
  }

  /// The cpu that the account is due over all pools.
  double DueCpu(const AccountShares& shares, const TeamId& team) const {
    const double cpu = PositiveCpu(this->capacity);
    if (!shares.IsFull()) {
      const double others =
          this->total_requested_cpu - PositiveCpu(this->demands.at(team).requested);
      return std::max(cpu - others, 0.0);
    }
    const AccountShare* const share = shares.Find(team);
    return share == nullptr ? cpu : share->due * cpu;
  }

  /// VMs that hold no on-time work within shares can move to another pool.
  void FindReachableCpu(const AccountShares& shares) {
    double serving = 0;
    double kept = 0;
    std::map<ServiceId, double> kept_in;
    for (const auto& [pool, cpu] : this->pool_cpu) {
      serving += cpu;
      const auto requests = this->requested_cpu.find(pool);
      double& kept_here = kept_in[pool];
      if (requests != this->requested_cpu.end()) {
        for (const auto& [team, requested] : requests->second) {
          kept_here += std::min(requested, this->DueCpu(shares, team));
        }
      }
      kept_here = std::min(kept_here, cpu);
      kept += kept_here;
    }
    const double all = std::max(PositiveCpu(this->capacity), serving);
    for (const auto& [pool, kept_here] : kept_in) {
      this->reachable_cpu[pool] = std::max(all - (kept - kept_here), 0.0);
    }
  }

  /// For a pool without endpoints as well.
  double ReachableCpu(const ServiceId& pool) const {
    const auto found = this->reachable_cpu.find(pool);
    return found == this->reachable_cpu.end() ? 0.0 : found->second;
  }

  void SetShare(const AccountShares& shares, const ServiceId& pool, AccountOutlook& account) const {
    const AccountShare* const share = shares.Find(account.team);
    account.is_beyond_share = shares.IsFull() && share != nullptr &&
                              share->requested > share->due * (1 + kShareTolerance);
    account.due_cpu = std::min(this->DueCpu(shares, account.team), this->ReachableCpu(pool));
    const std::int64_t cap = this->CapOf(account.team).cpu;
    if (cap > 0) {
      account.due_cpu = std::min(account.due_cpu, static_cast<double>(cap));
    }
  }

  std::uint32_t PriorityOf(const std::string& queue) const {
    const auto found = this->state.policy.queues.find(queue);
    return found == this->state.policy.queues.end() ? 0 : found->second.priority;
  }

  /// The account's on-time work in queues of the same pool that are not served after this one.
  double WorkBefore(const QueueKey& key, const Backlog& backlog) const {
    double work = 0;
    for (auto other = this->backlogs.lower_bound({key.first, {}});
         other != this->backlogs.end() && other->first.first == key.first; ++other) {
      const bool is_before = other->second.pool == backlog.pool &&
                             this->PriorityOf(other->first.second) <= this->PriorityOf(key.second);
      work += is_before ? other->second.on_time_work : 0;
    }
    return work;
  }

  static void KeepLongestBacklogs(std::vector<AccountOutlook>& accounts) {
    if (accounts.size() <= kMaxAccounts) {
      return;
    }
    std::stable_sort(accounts.begin(), accounts.end(),
                     [](const AccountOutlook& one, const AccountOutlook& other) {
                       return one.on_time_work / one.due_cpu > other.on_time_work / other.due_cpu;
                     });
    accounts.resize(kMaxAccounts);
  }

  SchedulerState& state;
  const TimePoint now;
  /// Of all VMs that may take batch work.
  Resources capacity;
  /// Of the endpoints that take work now.
  std::map<ServiceId, double> pool_cpu;
  /// The cpu that each pool could have.
  std::map<ServiceId, double> reachable_cpu;
  std::map<QueueKey, Backlog> backlogs;
  std::map<TeamId, AccountDemand> demands;
  std::map<ServiceId, std::map<TeamId, double>> requested_cpu;
  double total_requested_cpu = 0;
  StartSum waiting_starts;
};

}  // namespace

AdmissionOutlook Scheduler::Outlook(const Resources& listed, TimePoint now) const {
  return OutlookRound(this->impl->state, listed, now).Make();
}

}  // namespace chervilspar::jobs
