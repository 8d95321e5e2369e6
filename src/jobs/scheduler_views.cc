#include <algorithm>

#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// Part of the work of steps that wait for earlier ones that counts as waiting: most of it comes
/// when a VM that is ordered for it would be needed elsewhere again.
constexpr double kLaterShare = 0.3;
/// Part of the work of jobs that will be late that counts: such a job is worth a fifteenth, which
/// pays for VMs that are there, not for more of them.
constexpr double kLateShare = 0.25;

}  // namespace

void Scheduler::BeginEvacuation(const std::string& id) {
  if (EndpointState* endpoint = this->impl->state.FindEndpoint(id)) {
    endpoint->is_evacuating = true;
  }
}

void Scheduler::EndEvacuation(const std::string& id) {
  if (EndpointState* endpoint = this->impl->state.FindEndpoint(id)) {
    endpoint->is_evacuating = false;
  }
}

void Scheduler::SetDue(const std::set<std::string>& endpoints) {
  for (const auto& [id, endpoint] : this->impl->state.endpoints) {
    endpoint->is_due = endpoints.contains(id);
  }
}

EvacuationState Scheduler::EvacuationOf(const std::string& id) const {
  const EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  if (endpoint == nullptr) {
    return EvacuationState::kUnknownEndpoint;
  }
  return endpoint->claims.empty() ? EvacuationState::kEmpty : EvacuationState::kRunning;
}

std::optional<EndpointUse> Scheduler::UseOf(const std::string& id) const {
  const EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  EndpointUse use;
  use.used = endpoint->used;
  use.is_empty = endpoint->claims.empty() && endpoint->strays.empty();
  use.is_serving = endpoint->is_registered && !endpoint->record.is_draining && !endpoint->is_silent;
  for (const TaskKey& key : endpoint->claims) {
    const TaskRef ref = this->impl->state.Find(key);
    use.has_long_running = use.has_long_running || ref.spec->is_long_running;
  }
  return use;
}

std::map<ServiceId, PoolLoad> Scheduler::PoolLoads() const {
  const SchedulerState& state = this->impl->state;
  std::map<ServiceId, PoolLoad> loads;
  for (const auto& [name, queue] : state.policy.queues) {
    loads[queue.service];
  }
  for (const auto& [service, pool] : state.pools) {
    loads[service].arrived = pool.arrived;
    loads[service].arrived_jobs = pool.arrived_jobs;
  }
  for (const auto& [id, job] : state.jobs) {
    if (job->IsOver()) {
      continue;
    }
    PoolLoad& load = loads[job->service];
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const Step& spec = job->job.steps[i];
        const auto cpu = static_cast<double>(RoomFor(spec).cpu);
        if (spec.max_per_endpoint > 0 && !occurrence.steps[i].IsDone()) {
          const std::uint32_t most = spec.max_per_endpoint;
          const std::uint32_t endpoints = (spec.count + most - 1) / most;
          load.least_endpoints = std::max(load.least_endpoints, static_cast<int>(endpoints));
        }
        for (const Task& task : occurrence.steps[i].tasks) {
          if (spec.is_long_running) {
            load.long_running += cpu;
            load.waiting_long_running += task.IsWaiting() ? 1 : 0;
          } else if (task.IsWaiting()) {
            double share = occurrence.steps[i].is_open ? 1.0 : kLaterShare;
            if (job->is_given_up || job->deadline_ms < this->impl->wall_ms) {
              share *= kLateShare;
            }
            load.waiting_at_once += share * cpu;
            load.waiting += share * cpu * static_cast<double>(spec.estimate_ms);
          }
        }
      }
    }
  }
  return loads;
}

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
  std::uint64_t count = 0;
  for (const auto& [id, job] : this->impl->state.jobs) {
    const bool is_pending = !job->has_started && !job->IsOver();
    count += is_pending && job->job.queue == queue ? 1 : 0;
  }
  return count;
}

std::size_t Scheduler::JobCount() const { return this->impl->state.jobs.size(); }

std::vector<std::string> Scheduler::EndpointIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, endpoint] : this->impl->state.endpoints) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<Note> Scheduler::TakeNotes() {
  std::vector<Note> notes = std::move(this->impl->state.notes);
  this->impl->state.notes.clear();
  return notes;
}

}  // namespace chervilspar::jobs
