#include <algorithm>
#include <utility>

#include "jobs/occupancy.h"
#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// How long a count of the waiting jobs is reused. Callers tolerate counts that are two seconds
/// old.
constexpr std::int64_t kCountLifetimeMs = 400;
/// The average share of its estimate that a running task still needs.
constexpr double kRemainingShareOfRunning = 0.5;

/// For each step, the longest chain of estimates from its start to the end of the job, in
/// milliseconds.
std::vector<std::int64_t> ChainsFrom(const Job& job) {
  std::vector<std::int64_t> chains(job.steps.size(), 0);
  for (std::size_t i = chains.size(); i-- > 0;) {
    chains[i] += std::max(job.steps[i].estimate_ms, kMinEstimateMs);
    for (const std::uint32_t earlier : job.steps[i].after) {
      chains[earlier] = std::max(chains[earlier], chains[i]);
    }
  }
  return chains;
}

/// Numbers of tasks of one step.
struct StepCount {
  double waiting = 0;
  /// With a claim on an endpoint.
  double claimed = 0;
  /// Of `claimed`, those whose run no endpoint has confirmed.
  double unconfirmed = 0;
};

/// Such a task continues there, and uses no capacity of the endpoints that accept tasks.
bool IsInCordonedZone(const Task& task) {
  return task.endpoint != nullptr && task.endpoint->is_cordoned;
}

bool IsUnconfirmed(const Task& task) {
  return task.state == RunState::kRecording || task.state == RunState::kStarting ||
         task.state == RunState::kUnconfirmed;
}

/// Counts the tasks of a job that isn't over, so that none has failed.
StepCount CountTasks(const StepState& state) {
  StepCount count;
  if (state.claims == 0) {
    count.waiting = static_cast<double>(state.tasks.size() - state.done);
    return count;
  }
  for (const Task& task : state.tasks) {
    if (IsInCordonedZone(task)) {
      continue;
    }
    count.waiting += task.IsWaiting() ? 1 : 0;
    count.claimed += task.state != RunState::kNone ? 1 : 0;
    count.unconfirmed += IsUnconfirmed(task) ? 1 : 0;
  }
  return count;
}

/// Which work of a job is beyond the share of its account; none without a division.
struct ShareOfJob {
  bool is_waiting_beyond = false;
  bool is_running_beyond = false;
};

ShareOfJob ShareOf(const JobState& job, const SchedulerState& state) {
  if (!state.options.divides_shares) {
    return {};
  }
  return {job.is_beyond_share || job.is_abandoned, job.are_runs_beyond_share || job.is_abandoned};
}

/// Adds the remaining work of one step to the load of its pool. `amount` is the need of one task.
void AddStep(const StepCount& count, bool is_open, bool is_late, const ShareOfJob& share,
             double amount, double estimate_ms, double slack_ms, ResourceLoad& load) {
  if (count.waiting > 0) {
    load.waiting.push_back(
        {slack_ms, count.waiting * amount * estimate_ms, share.is_waiting_beyond});
  }
  const double remaining =
      count.unconfirmed + (count.claimed - count.unconfirmed) * kRemainingShareOfRunning;
  const double running = remaining * amount * estimate_ms;
  load.running += running;
  load.running_late += is_late ? running : 0;
  load.running_beyond_share += share.is_running_beyond && !is_late ? running : 0;
  load.in_use += count.claimed * amount;
  load.concurrent_demand += (count.claimed + (is_open ? count.waiting : 0)) * amount;
}

/// Adds the tasks of a long-running step to the load of its pool.
void AddLongRunning(const Step& spec, const StepState& step, PoolLoad& load) {
  const Resources need = RequiredCapacity(spec);
  for (const Task& task : step.tasks) {
    const bool lacks_target =
        task.lacks_target && task.endpoint != nullptr && task.endpoint->IsLeaving();
    if (IsInCordonedZone(task) && !lacks_target) {
      continue;
    }
    load.cpu.long_running += static_cast<double>(need.cpu);
    load.memory.long_running += static_cast<double>(need.memory_mb);
    load.waiting_long_running += task.IsWaiting() || lacks_target ? 1 : 0;
  }
}

/// Adds the remaining work of a job that isn't over to the load of its pool.
void AddLoadOf(const JobState& job, const SchedulerState& state, PoolLoad& load) {
  const std::vector<std::int64_t> chains = ChainsFrom(job.job);
  const ShareOfJob share = ShareOf(job, state);
  for (const auto& [number, occurrence] : job.occurrences) {
    const std::int64_t end_ms = job.deadline_ms + std::int64_t{number} * job.job.interval_ms;
    const bool is_late = state.wall_ms > end_ms;
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const Step& spec = job.job.steps[i];
      const StepState& step = occurrence.steps[i];
      if (spec.max_per_endpoint > 0 && !step.IsDone()) {
        const std::uint32_t limit = spec.max_per_endpoint;
        const std::uint32_t endpoints = (spec.count + limit - 1) / limit;
        load.min_endpoints = std::max(load.min_endpoints, static_cast<int>(endpoints));
      }
      if (spec.is_long_running) {
        AddLongRunning(spec, step, load);
        continue;
      }
      if (!step.HasWork()) {
        continue;
      }
      const auto slack_ms = static_cast<double>(end_ms - chains[i] - state.wall_ms);
      const auto estimate =
          static_cast<double>(std::max<std::int64_t>(spec.estimate_ms, kMinEstimateMs));
      const StepCount count = CountTasks(step);
      const Resources need = RequiredCapacity(spec);
      AddStep(count, step.is_open, is_late, share, static_cast<double>(need.cpu), estimate,
              slack_ms, load.cpu);
      AddStep(count, step.is_open, is_late, share, static_cast<double>(need.memory_mb), estimate,
              slack_ms, load.memory);
    }
  }
}

/// True if some task of the job has had a claim on an endpoint.
bool WasPlaced(const JobState& job) {
  const auto was_placed = [](const Task& task) { return task.progress.run > 0; };
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(), was_placed)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

void Scheduler::BeginEvacuation(const std::string& id, TimePoint now) {
  EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  if (endpoint != nullptr && !endpoint->is_evacuating) {
    endpoint->is_evacuating = true;
    endpoint->evacuating_since = now;
    this->impl->state.RefreshLeaving(*endpoint);
  }
}

void Scheduler::EndEvacuation(const std::string& id) {
  if (EndpointState* endpoint = this->impl->state.FindEndpoint(id)) {
    endpoint->is_evacuating = false;
    endpoint->is_report_requested = false;
    this->impl->state.RefreshLeaving(*endpoint);
  }
}

void Scheduler::SetUpcomingReboots(const std::set<std::string>& endpoints) {
  for (const auto& [id, endpoint] : this->impl->state.endpoints) {
    endpoint->is_reboot_due = endpoints.contains(id);
  }
}

Occupancy Scheduler::OccupancyOf(const std::string& id, TimePoint now) const {
  return jobs::OccupancyOf(this->impl->state, id, now);
}

bool Scheduler::RequestReport(const std::string& id) {
  EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  return endpoint != nullptr && !std::exchange(endpoint->is_report_requested, true);
}

std::optional<EndpointUsage> Scheduler::UsageOf(const std::string& id) const {
  const EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  EndpointUsage use;
  use.used = endpoint->used;
  use.has_claims = !endpoint->claims.empty();
  use.claims = endpoint->claims.size();
  use.unclaimed_runs = endpoint->orphaned_runs.size();
  if (endpoint->last_answered_request != TimePoint{}) {
    use.last_answered_request = endpoint->last_answered_request;
  }
  use.is_empty = !use.has_claims && endpoint->orphaned_runs.empty();
  use.is_silent = endpoint->is_silent;
  use.is_serving = endpoint->is_registered && !endpoint->record.is_draining && !endpoint->is_silent;
  use.has_long_running = endpoint->long_running_claims > 0;
  return use;
}

std::map<ServiceId, PoolLoad> Scheduler::PoolLoads() const {
  SchedulerState& state = this->impl->state;
  std::map<ServiceId, PoolLoad> loads;
  for (const auto& [name, queue] : state.policy.queues) {
    loads[queue.service];
  }
  for (const auto& [service, pool] : state.pools) {
    loads[service].cpu.arrived = pool.arrived_cpu;
    loads[service].memory.arrived = pool.arrived_memory;
    loads[service].arrived_jobs = pool.arrived_jobs;
  }
  state.ForEachOpenJob([&](const JobState& job) { AddLoadOf(job, state, loads[job.service]); });
  return loads;
}

const AccountShares& Scheduler::Shares() const { return this->impl->state.division.shares; }

std::uint64_t Scheduler::JobsBehindShare() const { return this->impl->state.division.jobs_behind; }

Resources Scheduler::UsedIn(const ServiceId& service) const {
  Resources sum;
  const auto pool = this->impl->state.pools.find(service);
  if (pool != this->impl->state.pools.end()) {
    for (const EndpointState* endpoint : pool->second.endpoints) {
      sum = sum + endpoint->used;
    }
  }
  return sum;
}

Resources Scheduler::CapacityOf(const ServiceId& service) const {
  Resources sum;
  const auto pool = this->impl->state.pools.find(service);
  if (pool != this->impl->state.pools.end()) {
    for (const EndpointState* endpoint : pool->second.endpoints) {
      sum = sum + endpoint->record.capacity;
    }
  }
  return sum;
}

std::optional<JobView> Scheduler::Find(const JobId& id) const {
  const JobState* job = this->impl->state.FindJob(id);
  if (job == nullptr) {
    return std::nullopt;
  }
  const JobPhase phase = job->Phase();
  const bool must_be_stored = phase == JobPhase::kComplete || phase == JobPhase::kFailed;
  if (must_be_stored && job->stored_phase != phase) {
    return JobView{JobPhase::kRunning};
  }
  return JobView{phase};
}

std::uint64_t Scheduler::PendingIn(const std::string& queue) const {
  PendingCount& pending = this->impl->pending;
  const std::int64_t now_ms = this->impl->state.wall_ms;
  // The system clock may step back.
  const bool is_fresh = pending.counted_ms && now_ms >= *pending.counted_ms &&
                        now_ms - *pending.counted_ms < kCountLifetimeMs;
  if (!is_fresh) {
    pending = this->impl->CountPending();
  }
  const WaitingJobs& waiting = pending.queues[queue];
  if (pending.logged_queues.insert(queue).second) {
    this->impl->state.ReportEvent({"waiting_jobs_told",
                                   {},
                                   {},
                                   "",
                                   queue + ": " + std::to_string(waiting.jobs) + ", of these " +
                                       std::to_string(waiting.claimed) + " with a claim, " +
                                       std::to_string(waiting.released) +
                                       " whose claims were released"});
  }
  return waiting.jobs;
}

PendingCount Scheduler::Impl::CountPending() {
  PendingCount count{.counted_ms = this->state.wall_ms, .queues = {}, .logged_queues = {}};
  this->state.ForEachOpenJob([&count](const JobState& job) {
    if (job.has_started) {
      return;
    }
    WaitingJobs& waiting = count.queues[job.job.queue];
    ++waiting.jobs;
    waiting.claimed += job.claims > 0 ? 1 : 0;
    waiting.released += job.claims == 0 && WasPlaced(job) ? 1 : 0;
  });
  return count;
}

std::uint64_t Scheduler::JobsVisited() const { return this->impl->state.jobs_visited; }

std::size_t Scheduler::JobCount() const { return this->impl->state.jobs.size(); }

std::uint64_t Scheduler::EndpointsExamined() const { return this->impl->state.endpoints_examined; }

std::uint64_t Scheduler::EndpointsUpdated() const { return this->impl->state.endpoints_updated; }

ZoneId Scheduler::ZoneOf(const std::string& id) const {
  const EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  return endpoint == nullptr ? ZoneId{} : endpoint->record.zone;
}

std::vector<std::string> Scheduler::EndpointIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, endpoint] : this->impl->state.endpoints) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<DecisionEvent> Scheduler::TakeEvents() {
  std::vector<DecisionEvent> events = std::move(this->impl->state.notes);
  this->impl->state.notes.clear();
  return events;
}

}  // namespace chervilspar::jobs
