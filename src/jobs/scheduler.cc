#include "chervilspar/jobs/scheduler.h"

#include <algorithm>
#include <cstdlib>

#include "jobs/evacuation.h"
#include "jobs/order_round.h"
#include "jobs/pacing.h"
#include "jobs/placing_round.h"
#include "jobs/run_tracker.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

namespace {

/// A start that was recorded later than this before its time runs out is not worth sending.
constexpr Duration kLeastStartTime = std::chrono::milliseconds(500);
/// Endpoints named in one question to the adviser; more make its answer late.
constexpr std::size_t kMostAdvised = 30;
/// A question without answer is asked again after this.
constexpr Duration kAdviceRetry = std::chrono::milliseconds(1500);
/// Part of the work of steps that wait for earlier ones that counts as waiting: most of it comes
/// when a VM that is ordered for it would be needed elsewhere again.
constexpr double kLaterShare = 0.3;
/// Part of the work of jobs that will be late that counts: such a job is worth a fifteenth, which
/// pays for VMs that are there, not for more of them.
constexpr double kLateShare = 0.25;
/// Questions that may wait at once: the adviser handles one after the other.
constexpr std::size_t kMostQuestions = 4;

}  // namespace

class Scheduler::Impl {
 public:
  Impl(const SchedulerOptions& options, std::uint64_t token, TimePoint now)
      : state(options, token, now), tracker(this->state), pacing(this->state) {}

  void CreateDueOccurrences(std::int64_t wall_ms);
  void EndJobs(std::int64_t wall_ms);
  void RenewPools();
  void ReviewStalls(EndpointState& endpoint, TimePoint now);
  JobProgress ProgressOf(const JobState& job) const;

  SchedulerState state;
  RunTracker tracker;
  Pacing pacing;
  /// What the batch that is being stored allows once it is.
  std::vector<std::pair<TaskKey, std::uint64_t>> recorded_starts;
  std::vector<std::pair<JobId, JobPhase>> recorded_phases;
  struct RecordedEnds {
    std::string endpoint;
    std::int64_t born_ms = 0;
    std::uint64_t end = 0;
  };
  std::vector<RecordedEnds> recorded_ends;
  bool is_batch_out = false;
  /// Jobs that may have come to their end.
  std::vector<JobId> maybe_ended;
  /// Jobs whose progress is to be dropped with the next batch.
  std::vector<JobId> forgotten;
  std::int64_t wall_ms = 0;
};

Scheduler::Scheduler(const SchedulerOptions& options, std::uint64_t token, TimePoint now)
    : impl(std::make_unique<Impl>(options, token, now)) {}

Scheduler::~Scheduler() = default;

void Scheduler::SetPolicy(const Policy& policy) {
  SchedulerState& state = this->impl->state;
  state.policy = policy;
  for (const auto& [id, job] : state.jobs) {
    if (!job->IsOver()) {
      state.ApplyPolicyTo(*job);
      state.RefreshReady(*job);
    }
  }
}

void Scheduler::Impl::RenewPools() {
  for (auto& [service, pool] : this->state.pools) {
    pool.endpoints.clear();
  }
  for (const auto& [id, endpoint] : this->state.endpoints) {
    if (endpoint->is_registered) {
      this->state.pools[endpoint->record.service].endpoints.push_back(endpoint.get());
    }
  }
}

void Scheduler::SetEndpoints(const std::vector<EndpointRecord>& endpoints, TimePoint) {
  SchedulerState& state = this->impl->state;
  for (const auto& [id, endpoint] : state.endpoints) {
    endpoint->is_registered = false;
  }
  for (const EndpointRecord& record : endpoints) {
    EndpointState& endpoint = state.EndpointFor(record.id);
    endpoint.is_registered = true;
    if (record.born_ms > endpoint.born_ms && endpoint.born_ms != 0) {
      this->impl->tracker.OnNewLife(endpoint, record.born_ms, nullptr);
    }
    endpoint.record = record;
    endpoint.born_ms = std::max(endpoint.born_ms, record.born_ms);
  }
  std::erase_if(state.endpoints, [](const auto& entry) {
    return !entry.second->is_registered && entry.second->claims.empty();
  });
  this->impl->RenewPools();
}

void Scheduler::AddJob(const Job& job, WallTime wall) {
  SchedulerState& state = this->impl->state;
  if (state.FindJob(job.id) != nullptr) {
    return;
  }
  this->impl->wall_ms = ToUnixMs(wall);
  auto added = std::make_unique<JobState>();
  added->job = job;
  added->service = job.service;
  JobState& entry = *added;
  state.jobs.emplace(job.id, std::move(added));
  state.ApplyPolicyTo(entry);
  if (job.IsScheduled()) {
    state.scheduled.insert(job.id);
  } else {
    state.OccurrenceOf(entry, 0);
  }
  if (state.cancelled_early.erase(job.id) > 0) {
    entry.is_cancelled = true;
    this->impl->maybe_ended.push_back(job.id);
  }
  state.RefreshReady(entry);
  for (const Step& step : job.steps) {
    if (!step.is_long_running) {
      state.pools[entry.service].arrived += static_cast<double>(step.count) *
                                            static_cast<double>(step.need.cpu) *
                                            static_cast<double>(step.estimate_ms);
    }
  }
}

void Scheduler::RestoreProgress(const JobId& id, const JobProgress& progress) {
  SchedulerState& state = this->impl->state;
  JobState* job = state.FindJob(id);
  if (job == nullptr) {
    return;
  }
  job->stored_phase = progress.phase;
  job->ended_ms = progress.ended_ms;
  job->is_failed = progress.phase == JobPhase::kFailed;
  job->is_cancelled = job->is_cancelled || progress.phase == JobPhase::kCancelled;
  job->complete_occurrences.insert(progress.complete_occurrences.begin(),
                                   progress.complete_occurrences.end());
  for (const std::uint32_t number : progress.complete_occurrences) {
    job->occurrences.erase(number);
  }
  if (progress.phase == JobPhase::kComplete) {
    for (std::uint32_t i = 0; i < job->job.Occurrences(); ++i) {
      job->complete_occurrences.insert(i);
    }
  }
  if (progress.IsEnded()) {
    // The predecessor may have been replaced before it stored when the job ended.
    job->ended_ms = progress.ended_ms != 0 ? progress.ended_ms : this->impl->wall_ms;
    if (progress.ended_ms == 0) {
      state.MarkDirty(*job);
    }
    job->occurrences.clear();
    state.scheduled.erase(id);
    state.ended.emplace_back(job->ended_ms, id);
    state.RefreshReady(*job);
    return;
  }
  for (const TaskRow& row : progress.rows) {
    const TaskKey key{id, row.occurrence, row.step, row.index};
    state.OccurrenceOf(*job, row.occurrence);
    const TaskRef ref = state.Find(key);
    if (!ref) {
      continue;
    }
    ref.task->progress = row.progress;
    ref.step->done += row.progress.phase == TaskPhase::kDone ? 1 : 0;
    job->has_started = true;
    if (row.progress.phase == TaskPhase::kPlaced) {
      state.Adopt(ref);
    }
    if (row.progress.phase == TaskPhase::kFailed) {
      job->is_failed = true;
    }
  }
  for (auto& [number, occurrence] : job->occurrences) {
    state.Advance(*job, number);
  }
  if (job->Phase() != job->stored_phase) {
    state.MarkDirty(*job);
  }
  state.RefreshReady(*job);
}

void Scheduler::CancelJob(const JobId& id) {
  SchedulerState& state = this->impl->state;
  JobState* job = state.FindJob(id);
  if (job == nullptr) {
    state.cancelled_early.insert(id);
    return;
  }
  if (job->is_cancelled || job->IsComplete() || job->stored_phase == JobPhase::kFailed) {
    return;
  }
  job->is_cancelled = true;
  state.Tell({"job_cancelled", {}, id, "", "by its caller"});
  state.StopAll(*job, state.began);
  state.MarkDirty(*job);
}

void Scheduler::OnHeld(const HoldOrder& order, const HoldReport& report, TimePoint sent,
                       TimePoint now) {
  EndpointState* endpoint = this->impl->state.FindEndpoint(order.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  this->impl->tracker.OnHeld(*endpoint, report, sent, now);
  if (report.born_ms == endpoint->born_ms && order.confirmed_end <= endpoint->seen_end) {
    endpoint->confirmed_end = std::max(endpoint->confirmed_end, order.confirmed_end);
  }
  this->impl->pacing.Review(*endpoint);
  this->impl->ReviewStalls(*endpoint, now);
}

void Scheduler::Impl::ReviewStalls(EndpointState& endpoint, TimePoint now) {
  const std::vector<TaskKey> claims(endpoint.claims.begin(), endpoint.claims.end());
  for (const TaskKey& key : claims) {
    const TaskRef ref = this->state.Find(key);
    const Task& task = *ref.task;
    const bool is_batch = !ref.spec->is_long_running && !ref.spec->is_gang;
    if (is_batch && task.state == RunState::kActive &&
        now - task.percent_since > this->state.options.stall) {
      this->state.Tell({"run_stalled",
                        key,
                        {},
                        endpoint.record.id,
                        "at " + std::to_string(task.percent) + "% for too long"});
      ref.task->avoid = endpoint.record.id;
      endpoint.ejected_until = now + this->state.options.ejection;
      this->state.BeginStop(ref, now);
    }
  }
}

void Scheduler::OnHoldFailed(const std::string& id, OrderOutcome outcome, TimePoint) {
  EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  if (outcome == OrderOutcome::kTokenTooLow) {
    this->impl->state.is_superseded = true;
  }
  if (endpoint == nullptr) {
    return;
  }
  endpoint->is_silent = true;
  if (outcome == OrderOutcome::kOtherLife) {
    this->impl->tracker.OnGone(*endpoint);
  }
}

void Scheduler::OnStartAnswered(const StartOrder& order, OrderOutcome outcome, TimePoint now) {
  this->impl->tracker.OnStartAnswered(order, outcome, now);
}

void Scheduler::OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now) {
  this->impl->tracker.OnStopAnswered(order, outcome, now);
}

void Scheduler::OnAdvice(const TaskKey& step, const std::vector<AdviceTicket>& tickets,
                         TimePoint now) {
  SchedulerState& state = this->impl->state;
  const TaskRef ref = state.Find({step.job, step.occurrence, step.step, 0});
  if (!ref) {
    return;
  }
  const auto queue = state.policy.queues.find(ref.job->job.queue);
  if (queue == state.policy.queues.end() || !queue->second.advice) {
    return;
  }
  ref.step->advice.is_asked = false;
  ref.step->advice.valid_until = now + queue->second.advice->validity - state.options.lease_margin;
  ref.step->advice.ticket_of_endpoint.clear();
  for (const AdviceTicket& ticket : tickets) {
    ref.step->advice.ticket_of_endpoint[ticket.endpoint] = ticket.ticket;
  }
}

std::vector<AdviceQuestion> Scheduler::TakeQuestions(TimePoint now) {
  SchedulerState& state = this->impl->state;
  std::vector<AdviceQuestion> questions;
  for (auto& [service, pool] : state.pools) {
    std::size_t asked = 0;
    for (const ReadyKey& ready : pool.ready) {
      JobState& job = *state.FindJob(ready.job);
      const auto queue = state.policy.queues.find(job.job.queue);
      if (queue == state.policy.queues.end() || !queue->second.advice) {
        continue;
      }
      for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
          StepAdvice& advice = occurrence.steps[i].advice;
          const bool is_pending = advice.is_asked && now - advice.asked < kAdviceRetry;
          asked += is_pending ? 1 : 0;
          if (occurrence.steps[i].IsDone() || advice.valid_until > now || is_pending ||
              asked >= kMostQuestions) {
            continue;
          }
          AdviceQuestion question{{job.job.id, number, i, 0}, {}};
          for (const EndpointState* endpoint : pool.endpoints) {
            if (question.endpoints.size() < kMostAdvised && Placement::IsUsable(*endpoint, now)) {
              question.endpoints.push_back(endpoint->record.id);
            }
          }
          if (question.endpoints.empty()) {
            continue;
          }
          advice.is_asked = true;
          advice.asked = now;
          ++asked;
          questions.push_back(std::move(question));
        }
      }
    }
  }
  return questions;
}

void Scheduler::Impl::CreateDueOccurrences(std::int64_t now_ms) {
  for (auto place = this->state.scheduled.begin(); place != this->state.scheduled.end();) {
    JobState* job = this->state.FindJob(*place);
    if (job == nullptr || job->IsOver()) {
      place = this->state.scheduled.erase(place);
      continue;
    }
    bool is_changed = false;
    while (job->next_due < job->job.repeats &&
           job->job.first_due_ms + job->next_due * job->job.interval_ms <= now_ms) {
      if (!job->complete_occurrences.contains(job->next_due)) {
        this->state.OccurrenceOf(*job, job->next_due);
        is_changed = true;
      }
      ++job->next_due;
    }
    if (is_changed) {
      this->state.RefreshReady(*job);
    }
    ++place;
  }
}

void Scheduler::Impl::EndJobs(std::int64_t now_ms) {
  std::vector<JobId> candidates = std::move(this->maybe_ended);
  this->maybe_ended.clear();
  for (const JobId& id : candidates) {
    JobState* job = this->state.FindJob(id);
    if (job == nullptr || !job->IsOver() || job->claims > 0 || job->ended_ms != 0) {
      continue;
    }
    job->ended_ms = now_ms;
    job->occurrences.clear();
    this->state.ended.emplace_back(now_ms, id);
    this->state.Tell({"job_ended",
                      {},
                      id,
                      "",
                      std::string(ToString(job->Phase())) + " " +
                          std::to_string(now_ms - job->job.taken_ms) +
                          " ms after it was accepted, " +
                          (now_ms > job->deadline_ms ? "late by " : "in time by ") +
                          std::to_string(std::abs(now_ms - job->deadline_ms)) + " ms"});
    this->state.MarkDirty(*job);
    this->state.RefreshReady(*job);
  }
}

Orders Scheduler::Decide(TimePoint now, WallTime wall) {
  Impl& self = *this->impl;
  self.wall_ms = ToUnixMs(wall);
  self.CreateDueOccurrences(self.wall_ms);
  self.tracker.LapseLeases(now);
  Evacuation(self.state, now).Run();
  PlacingRound(self.state, now, self.wall_ms).Run();
  Orders orders;
  OrderRound(self.state, now).Gather(orders);
  return orders;
}

JobProgress Scheduler::Impl::ProgressOf(const JobState& job) const {
  JobProgress progress;
  progress.phase = job.Phase();
  progress.ended_ms = job.ended_ms;
  if (job.ended_ms != 0) {
    return progress;
  }
  progress.complete_occurrences.assign(job.complete_occurrences.begin(),
                                       job.complete_occurrences.end());
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        const TaskProgress& task = occurrence.steps[step].tasks[index].progress;
        if (task != TaskProgress{}) {
          progress.rows.push_back({number, step, index, task});
        }
      }
    }
  }
  return progress;
}

bool Scheduler::HasBatch() const {
  const Impl& self = *this->impl;
  if (self.is_batch_out) {
    return false;
  }
  return !self.state.dirty.empty() || !self.forgotten.empty() || !self.maybe_ended.empty() ||
         std::any_of(
             self.state.endpoints.begin(), self.state.endpoints.end(),
             [](const auto& entry) { return entry.second->seen_end > entry.second->stored_end; });
}

Batch Scheduler::TakeBatch() {
  Impl& self = *this->impl;
  CHERVILSPAR_ASSERT(!self.is_batch_out);
  self.is_batch_out = true;
  for (const JobId& id : self.state.dirty) {
    if (JobState* job = self.state.FindJob(id); job != nullptr && job->IsOver()) {
      self.maybe_ended.push_back(id);
    }
  }
  self.EndJobs(self.wall_ms);
  Batch batch;
  for (const JobId& id : self.state.dirty) {
    JobState* job = self.state.FindJob(id);
    if (job == nullptr || !job->is_dirty) {
      continue;
    }
    job->is_dirty = false;
    batch.records.push_back({id, EncodeProgress(self.ProgressOf(*job))});
    self.recorded_phases.emplace_back(id, job->Phase());
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
          const Task& task = occurrence.steps[step].tasks[index];
          if (task.state == RunState::kRecording) {
            self.recorded_starts.push_back({{id, number, step, index}, task.progress.run});
          }
        }
      }
    }
  }
  self.state.dirty.clear();
  for (const JobId& id : self.forgotten) {
    batch.records.push_back({id, std::nullopt});
  }
  self.forgotten.clear();
  for (const auto& [id, endpoint] : self.state.endpoints) {
    if (endpoint->seen_end > endpoint->stored_end) {
      self.recorded_ends.push_back({id, endpoint->born_ms, endpoint->seen_end});
    }
  }
  return batch;
}

Orders Scheduler::ConfirmBatch(TimePoint now) {
  Impl& self = *this->impl;
  CHERVILSPAR_ASSERT(self.is_batch_out);
  self.is_batch_out = false;
  Orders orders;
  for (const auto& [id, phase] : self.recorded_phases) {
    if (JobState* job = self.state.FindJob(id)) {
      job->stored_phase = phase;
    }
  }
  for (const Impl::RecordedEnds& ends : self.recorded_ends) {
    EndpointState* endpoint = self.state.FindEndpoint(ends.endpoint);
    if (endpoint != nullptr && endpoint->born_ms == ends.born_ms) {
      endpoint->stored_end = ends.end;
    }
  }
  OrderRound round(self.state, now);
  for (const auto& [key, run] : self.recorded_starts) {
    const TaskRef ref = self.state.Find(key);
    if (!ref || ref.task->state != RunState::kRecording || ref.task->progress.run != run) {
      continue;
    }
    const EndpointState& endpoint = *ref.task->endpoint;
    const bool is_in_time = now + kLeastStartTime < ref.task->start_expires;
    const bool is_wanted = endpoint.is_registered && !endpoint.record.is_draining &&
                           !endpoint.is_evacuating && endpoint.clock_ms;
    if (!is_in_time || !is_wanted) {
      self.state.Release(ref);
      continue;
    }
    ref.task->state = RunState::kStarting;
    ref.task->since = now;
    if (!ref.job->has_started) {
      ref.job->has_started = true;
      self.state.Tell(
          {"job_started",
           key,
           {},
           endpoint.record.id,
           std::to_string(self.wall_ms - ref.job->job.taken_ms) + " ms after it was accepted, " +
               std::to_string(ref.job->deadline_ms - self.wall_ms) + " ms before it is late"});
    }
    orders.starts.push_back(round.StartOf(ref));
  }
  self.recorded_phases.clear();
  self.recorded_ends.clear();
  self.recorded_starts.clear();
  return orders;
}

std::vector<JobId> Scheduler::Expired(WallTime wall, std::size_t most) const {
  const SchedulerState& state = this->impl->state;
  const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(state.options.keep_ended).count();
  std::vector<JobId> expired;
  for (const auto& [ended_ms, id] : state.ended) {
    if (ended_ms + keep > ToUnixMs(wall) || expired.size() >= most) {
      break;
    }
    expired.push_back(id);
  }
  return expired;
}

void Scheduler::Forget(const std::vector<JobId>& ids) {
  SchedulerState& state = this->impl->state;
  for (const JobId& id : ids) {
    state.jobs.erase(id);
    this->impl->forgotten.push_back(id);
  }
  std::erase_if(state.ended, [&](const auto& entry) { return !state.jobs.contains(entry.second); });
}

HoldPlan Scheduler::PlanHold(const std::string& id, TimePoint now) {
  SchedulerState& state = this->impl->state;
  EndpointState* endpoint = state.FindEndpoint(id);
  if (endpoint == nullptr) {
    return {};
  }
  HoldPlan plan;
  plan.order.endpoint = id;
  plan.order.address = endpoint->record.address;
  plan.order.token = state.token;
  plan.order.confirmed_end = endpoint->stored_end;
  const bool has_claims = !endpoint->claims.empty();
  const bool is_known = endpoint->clock_ms.has_value();
  plan.is_needed = has_claims || !endpoint->strays.empty() ||
                   (endpoint->is_registered && (!is_known || endpoint->is_silent)) ||
                   endpoint->confirmed_end < endpoint->seen_end;
  const bool is_heard = is_known && now - endpoint->heard < state.options.silence;
  if (state.may_renew && has_claims && is_known && (is_heard || !endpoint->is_silent)) {
    const Duration lease = state.options.lease;
    plan.order.lease_until_ms =
        endpoint->ClockAt(now) +
        std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
    const auto slow =
        std::chrono::duration_cast<Duration>(lease * (1.0 + state.options.endpoint_clock_slowness));
    endpoint->lease_end = std::max(endpoint->lease_end, now + slow + state.options.lease_margin);
  }
  const bool may_wait =
      has_claims && is_known && endpoint->stored_end >= endpoint->seen_end && !endpoint->is_silent;
  plan.order.wait = may_wait ? state.options.hold_wait : Duration::zero();
  return plan;
}

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

void Scheduler::SetMayRenew(bool may_renew) { this->impl->state.may_renew = may_renew; }

bool Scheduler::MayRenew() const { return this->impl->state.may_renew; }

bool Scheduler::IsSuperseded() const { return this->impl->state.is_superseded; }

}  // namespace chervilspar::jobs
