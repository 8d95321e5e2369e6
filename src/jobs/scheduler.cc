#include "chervilspar/jobs/scheduler.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "jobs/evacuation.h"
#include "jobs/former_leases.h"
#include "jobs/lapse_review.h"
#include "jobs/order_round.h"
#include "jobs/placing_round.h"
#include "jobs/queued_start.h"
#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// Interval of the checks of all endpoints for lapsed leases and tasks to move. Both concern
/// seconds, while rounds are a few milliseconds apart.
constexpr Duration kReviewInterval = std::chrono::milliseconds(20);
/// The age at which the clock of an idle endpoint is read again. Each second of age shortens the
/// first lease there by 20 ms, but each request has a cost.
constexpr Duration kMaxClockAge = std::chrono::seconds(60);

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options, std::uint64_t token, TimePoint now,
                     TimePoint proof)
    : impl(std::make_unique<Impl>(options, token, now)) {
  this->impl->state.proof = proof;
}

Scheduler::~Scheduler() = default;

void Scheduler::SetPolicy(const Policy& policy) {
  SchedulerState& state = this->impl->state;
  state.policy = policy;
  state.former_queues.clear();
  state.former_teams.clear();
  state.division.computed.reset();
  state.ForEachOpenJob([&state](JobState& job) { state.LearnTerms(job); });
  state.ForEachOpenJob([&state](JobState& job) {
    state.ApplyPolicyTo(job);
    state.RefreshReady(job);
  });
}

void Scheduler::Impl::RebuildPools(const std::set<PoolState*>& pools) {
  for (PoolState* pool : pools) {
    pool->endpoints.clear();
  }
  for (const auto& [id, endpoint] : this->state.endpoints) {
    if (endpoint->is_registered && pools.contains(endpoint->pool)) {
      endpoint->position = endpoint->pool->endpoints.size();
      endpoint->pool->endpoints.push_back(endpoint.get());
    }
  }
  for (PoolState* pool : pools) {
    pool->by_free_cpu.Rebuild(pool->endpoints);
  }
}

void Scheduler::SetCordonedZones(const std::set<ZoneId>& zones) {
  SchedulerState& state = this->impl->state;
  if (zones == state.cordoned_zones) {
    return;
  }
  state.cordoned_zones = zones;
  for (const auto& [id, endpoint] : state.endpoints) {
    endpoint->is_cordoned = zones.contains(endpoint->record.zone);
  }
}

void Scheduler::SetEndpoints(const std::vector<EndpointRecord>& endpoints, TimePoint now) {
  std::set<std::string_view> listed;
  for (const EndpointRecord& record : endpoints) {
    listed.insert(record.id);
  }
  EndpointChanges changes{endpoints, {}};
  for (const auto& [id, endpoint] : this->impl->state.endpoints) {
    if (endpoint->is_registered && !listed.contains(id)) {
      changes.removed.push_back(id);
    }
  }
  this->UpdateEndpoints(changes, now);
}

std::vector<std::string> Scheduler::UpdateEndpoints(const EndpointChanges& changes, TimePoint now) {
  SchedulerState& state = this->impl->state;
  std::set<PoolState*> affected;
  // An endpoint is in no pool until the pools are rebuilt below.
  const auto leave_pool = [&affected](EndpointState& endpoint) {
    if (PoolState* pool = std::exchange(endpoint.pool, nullptr)) {
      affected.insert(pool);
    }
  };
  for (const std::string& id : changes.removed) {
    if (EndpointState* endpoint = state.FindEndpoint(id)) {
      endpoint->is_registered = false;
      leave_pool(*endpoint);
    }
  }
  for (const EndpointRecord& record : changes.registered) {
    ++state.endpoints_updated;
    EndpointState& endpoint = state.GetOrCreateEndpoint(record.id);
    leave_pool(endpoint);
    endpoint.is_registered = true;
    endpoint.record = record;
    endpoint.is_cordoned = state.cordoned_zones.contains(record.zone);
    state.RefreshLeaving(endpoint);
  }
  // Of all endpoints: a delayed answer of a former incarnation may hide a restart that is known.
  for (const auto& [id, endpoint] : state.endpoints) {
    const std::int64_t registered_ms = endpoint->record.born_ms;
    if (endpoint->is_registered && registered_ms > endpoint->born_ms) {
      this->impl->tracker.OnRestartRegistered(*endpoint, registered_ms, now);
    }
  }
  for (const EndpointRecord& record : changes.registered) {
    EndpointState& endpoint = *state.FindEndpoint(record.id);
    endpoint.pool = &state.pools[record.service];
    affected.insert(endpoint.pool);
  }
  std::vector<std::string> forgotten = state.ForgetUnregisteredEndpoints(now);
  this->impl->RebuildPools(affected);
  return forgotten;
}

void Scheduler::AddJob(const Job& job, WallTime wall) {
  SchedulerState& state = this->impl->state;
  if (state.FindJob(job.id) != nullptr) {
    return;
  }
  this->impl->state.wall_ms = ToUnixMs(wall);
  auto added = std::make_unique<JobState>();
  added->job = job;
  added->service = job.service;
  added->terms = job.terms;
  JobState& entry = *added;
  state.jobs.emplace(job.id, std::move(added));
  state.LearnTerms(entry);
  state.ApplyPolicyTo(entry);
  if (job.IsScheduled()) {
    state.scheduled.insert(job.id);
  } else {
    state.GetOrCreateOccurrence(entry, 0);
  }
  if (state.cancelled_early.erase(job.id) > 0) {
    entry.is_cancelled = true;
    this->impl->end_candidates.push_back(job.id);
  }
  state.RefreshReady(entry);
  state.pools[entry.service].arrived_jobs += job.IsLongRunning() ? 0 : 1;
  for (const Step& step : job.steps) {
    if (!step.is_long_running) {
      PoolState& pool = state.pools[entry.service];
      const double task_ms =
          static_cast<double>(step.count) * static_cast<double>(step.estimate_ms);
      pool.arrived_cpu += static_cast<double>(step.need.cpu) * task_ms;
      pool.arrived_memory += static_cast<double>(step.need.memory_mb) * task_ms;
    }
  }
}

void Scheduler::RestoreProgress(const JobId& id, const JobProgress& progress) {
  SchedulerState& state = this->impl->state;
  JobState* job = state.FindJob(id);
  if (job == nullptr) {
    if (!progress.IsEnded()) {
      return;
    }
    job = state.jobs.emplace(id, std::make_unique<JobState>()).first->second.get();
    job->job.id = id;
  }
  if (!progress.terms.IsEmpty()) {
    job->stored_terms = progress.terms;
    job->terms.Update(progress.terms);
    state.LearnTerms(*job);
    state.ApplyPolicyTo(*job);
  }
  job->stored_phase = progress.phase;
  job->has_started = progress.phase == JobPhase::kRunning;
  job->ended_ms = progress.ended_ms;
  job->is_failed = progress.phase == JobPhase::kFailed;
  job->is_cancelled = job->is_cancelled || progress.phase == JobPhase::kCancelled;
  for (const auto& [begin, end] : progress.complete_occurrences.Ranges()) {
    job->complete_occurrences.InsertRange(begin, end);
  }
  if (progress.phase == JobPhase::kComplete) {
    job->complete_occurrences.InsertRange(0, job->job.Occurrences());
  }
  std::erase_if(job->occurrences, [job](const auto& occurrence) {
    return job->complete_occurrences.Contains(occurrence.first);
  });
  job->next_due = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(job->complete_occurrences.FirstGap(), job->job.Occurrences()));
  // Without an end date, runs of the job may still be active; its rows list them.
  if (progress.IsEnded() && (progress.ended_ms != 0 || job->job.steps.empty())) {
    job->ended_ms = progress.ended_ms != 0 ? progress.ended_ms : this->impl->state.wall_ms;
    if (progress.ended_ms == 0) {
      state.MarkDirty(*job);
    }
    job->occurrences.clear();
    state.scheduled.erase(id);
    state.ended.emplace_back(job->ended_ms, id);
    if (progress.ended_ms != 0 && !job->job.steps.empty()) {
      this->impl->ended_stored.push_back(id);
    }
    state.RefreshReady(*job);
    return;
  }
  for (const TaskRow& row : progress.rows) {
    const TaskKey key{id, row.occurrence, row.step, row.index};
    state.GetOrCreateOccurrence(*job, row.occurrence);
    const TaskRef ref = state.Find(key);
    if (!ref) {
      continue;
    }
    ref.task->progress = row.progress;
    ref.step->done += row.progress.phase == TaskPhase::kDone ? 1 : 0;
    if (!row.progress.endpoint.empty()) {
      state.Adopt(ref);
    }
    if (row.progress.phase != TaskPhase::kPlaced) {
      state.BeginStop(ref, state.term_start);
    }
    if (row.progress.phase == TaskPhase::kFailed) {
      job->is_failed = true;
    }
  }
  for (auto& [number, occurrence] : job->occurrences) {
    state.Advance(*job, number);
  }
  if (job->IsOver()) {
    state.StopAll(*job, state.term_start);
    this->impl->end_candidates.push_back(id);
  }
  if (job->Phase() != job->stored_phase) {
    state.MarkDirty(*job);
  }
  state.RefreshReady(*job);
}

void Scheduler::RestoreLapseNotices(const std::vector<LapseNotice>& notices) {
  LapseReview(this->impl->state, this->impl->state.term_start).Restore(notices);
}

void Scheduler::RestoreLongLeases(const std::vector<LapseNotice>& notices) {
  FormerLeases(this->impl->state).Restore(notices);
}

void Scheduler::RecordInterimLeases(const std::map<std::string, InterimLease>& leases) {
  for (const auto& [id, lease] : leases) {
    if (EndpointState* endpoint = this->impl->state.FindEndpoint(id)) {
      FormerLeases::OnInterimLease(*endpoint, lease);
    }
  }
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
  state.ReportEvent({"job_cancelled", {}, id, "", "cancelled by its caller"});
  state.StopAll(*job, state.term_start);
  state.MarkDirty(*job);
}

void Scheduler::OnRenewalAnswered(const RenewalOrder& order, const RenewalReport& report,
                                  TimePoint sent, TimePoint now) {
  EndpointState* endpoint = this->impl->state.FindEndpoint(order.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  this->impl->tracker.OnHeld(*endpoint, order, report, sent, now);
  if (report.born_ms == endpoint->born_ms && order.confirmed_end <= endpoint->seen_end) {
    endpoint->confirmed_end = std::max(endpoint->confirmed_end, order.confirmed_end);
  }
  this->impl->pacing.Review(*endpoint);
  this->impl->StopStalledRuns(*endpoint, now);
}

void Scheduler::Impl::StopStalledRuns(EndpointState& endpoint, TimePoint now) {
  if (!std::exchange(endpoint.may_have_stalled_runs, false)) {
    return;
  }
  const std::vector<TaskKey> claims(endpoint.claims.begin(), endpoint.claims.end());
  for (const TaskKey& key : claims) {
    const TaskRef ref = this->state.Find(key);
    const Task& task = *ref.task;
    const bool is_batch = !ref.spec->is_long_running && !ref.spec->is_gang;
    if (is_batch && task.state == RunState::kActive &&
        now - task.percent_since > this->state.options.stall_timeout) {
      this->state.ReportEvent(
          {"run_stalled",
           key,
           {},
           endpoint.record.id,
           "no progress beyond " + std::to_string(task.percent) + "% for too long"});
      ref.task->avoided_endpoint = endpoint.record.id;
      endpoint.ejected_until = now + this->state.options.ejection;
      this->state.BeginStop(ref, now);
    }
  }
}

void Scheduler::OnRenewalFailed(const std::string& id, OrderOutcome outcome, TimePoint now) {
  EndpointState* endpoint = this->impl->state.FindEndpoint(id);
  if (endpoint == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kTokenTooLow) {
    this->impl->state.OnTokenTooLow(id, endpoint->planned_token);
  }
  endpoint->is_silent = true;
  if (outcome == OrderOutcome::kOtherIncarnation) {
    this->impl->tracker.OnEndpointReplaced(*endpoint, now);
  }
}

void Scheduler::OnStartAnswered(const StartOrder& order, const StartAnswer& answer, TimePoint now) {
  if (EndpointState* endpoint = this->impl->state.FindEndpoint(order.endpoint)) {
    FormerLeases::OnStartSettled(*endpoint, now);
  }
  this->impl->tracker.OnStartAnswered(order, answer, now);
}

void Scheduler::OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now) {
  this->impl->tracker.OnStopAnswered(order, outcome, now);
}

void Scheduler::OnThrottleAnswered(const ThrottleOrder& order, OrderOutcome outcome) {
  this->impl->pacing.OnAnswered(order, outcome);
}

void Scheduler::OnLinkTraffic(const LinkTraffic& traffic, TimePoint now) {
  this->impl->state.link.budget.OnTraffic(traffic, now);
}

LinkUsage Scheduler::LinkUsageAt(TimePoint now) const {
  const LinkState& link = this->impl->state.link;
  return {link.budget.Allowance(LinkBudget::Precedence::kHigh, now), link.held_back};
}

/// A caller may submit a job of which a billion occurrences are due.
bool Scheduler::Impl::HasRoomForOccurrence(const JobState& job) {
  const std::uint64_t occurrences = job.occurrences.size();
  return occurrences == 0 || (occurrences + 1) * job.job.TaskCount() <= kMaxTasks;
}

void Scheduler::Impl::CreateDueOccurrences(std::int64_t now_ms) {
  for (auto place = this->state.scheduled.begin(); place != this->state.scheduled.end();) {
    JobState* job = this->state.FindJob(*place);
    if (job == nullptr || job->IsOver()) {
      place = this->state.scheduled.erase(place);
      continue;
    }
    bool is_changed = false;
    const std::uint32_t due = job->job.DueOccurrences(now_ms);
    while (job->next_due < due && HasRoomForOccurrence(*job)) {
      if (!job->complete_occurrences.Contains(job->next_due)) {
        this->state.GetOrCreateOccurrence(*job, job->next_due);
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
  std::vector<JobId> candidates = std::move(this->end_candidates);
  this->end_candidates.clear();
  for (const JobId& id : candidates) {
    JobState* job = this->state.FindJob(id);
    if (job == nullptr || !job->IsOver() || job->claims > 0 || job->ended_ms != 0) {
      continue;
    }
    job->ended_ms = now_ms;
    job->occurrences.clear();
    this->state.ended.emplace_back(now_ms, id);
    this->state.ReportEvent({"job_ended",
                             {},
                             id,
                             "",
                             std::string(ToString(job->Phase())) + " " +
                                 std::to_string(now_ms - job->job.accepted_ms) +
                                 " ms after it was accepted, " +
                                 (now_ms > job->deadline_ms ? "late by " : "on time by ") +
                                 std::to_string(std::abs(now_ms - job->deadline_ms)) + " ms"});
    this->state.MarkDirty(*job);
    this->state.RefreshReady(*job);
  }
}

Orders Scheduler::Decide(TimePoint now, WallTime wall) {
  Impl& self = *this->impl;
  self.state.wall_ms = ToUnixMs(wall);
  self.CreateDueOccurrences(self.state.wall_ms);
  self.RetryRejected(now);
  if (now - self.last_review >= kReviewInterval) {
    self.last_review = now;
    self.tracker.ReleaseExpiredLeases(now);
    LapseReview(self.state, now).Run();
    FormerLeases(self.state).Review(now);
    self.state.ReleaseExpiredReservations(now);
    Evacuation(self.state, now).Run();
  }
  PlacingRound round(self.state, now, self.state.wall_ms);
  round.Run();
  self.preemption.Run(round.BlockedTasks(), now);
  Orders orders;
  OrderRound(self.state, now).Gather(orders);
  return orders;
}

bool Scheduler::MaySendStart(const StartOrder& order, TimePoint now) {
  SchedulerState& state = this->impl->state;
  const std::optional<std::string> obstacle = QueuedStart(state, order).FindObstacle(now);
  if (obstacle) {
    state.ReportEvent({"start_withdrawn", order.task, {}, order.endpoint, *obstacle});
  }
  return !obstacle;
}

PreemptionCounts Scheduler::TakePreemptionCounts() { return this->impl->preemption.TakeCounts(); }

RenewalPlan Scheduler::PlanRenewal(const std::string& id, TimePoint now) {
  SchedulerState& state = this->impl->state;
  EndpointState* endpoint = state.FindEndpoint(id);
  if (endpoint == nullptr) {
    return {};
  }
  RenewalPlan plan;
  plan.order.endpoint = id;
  plan.order.address = endpoint->record.address;
  plan.order.token = endpoint->order_token;
  endpoint->planned_token = endpoint->order_token;
  // An endpoint that restarted unnoticed would take the confirmation for an end of its current
  // incarnation.
  const bool has_to_confirm = endpoint->confirmed_end < endpoint->stored_end;
  plan.order.confirmed_end =
      has_to_confirm && !endpoint->is_silent ? endpoint->stored_end : std::uint64_t{0};
  const bool has_claims = !endpoint->claims.empty();
  const bool is_known = endpoint->clock_ms.has_value();
  const bool is_clock_old = is_known && now - endpoint->clock_at > kMaxClockAge;
  plan.is_needed =
      has_claims || !endpoint->orphaned_runs.empty() || endpoint->is_report_requested ||
      (endpoint->is_registered && (!is_known || is_clock_old || endpoint->is_silent)) ||
      endpoint->confirmed_end < endpoint->seen_end;
  const bool may_renew =
      this->MayRenew(now) && has_claims && is_known && !endpoint->has_lapse_notice;
  // Its process may have restarted since it last answered. The answer to a request without a lease
  // end tells.
  plan.is_probe = may_renew && endpoint->is_silent;
  if (may_renew && !endpoint->is_silent) {
    const Duration lease = state.options.lease;
    plan.order.lease_end_ms =
        endpoint->EarliestClockAt(now, state.options.endpoint_clock_slowness) +
        ToMilliseconds(lease);
    FormerLeases::OnRenewalPlanned(*endpoint);
    endpoint->lease_end = std::max(endpoint->lease_end, now + state.options.LongestLease());
  }
  const bool may_wait =
      has_claims && is_known && endpoint->stored_end >= endpoint->seen_end && !endpoint->is_silent;
  const Duration wait =
      state.HasStartingTask(*endpoint) ? state.options.startup_wait : state.options.renewal_wait;
  plan.order.wait = may_wait ? wait : Duration::zero();
  return plan;
}

void Scheduler::SetProof(TimePoint proof) {
  this->impl->state.proof = std::max(this->impl->state.proof, proof);
}

bool Scheduler::IsRestartUnconfirmed(const std::string& id) const {
  const EndpointState* const endpoint = this->impl->state.FindEndpoint(id);
  return endpoint != nullptr && !endpoint->is_fenced && endpoint->last_response != TimePoint{};
}

bool Scheduler::MayRenew(TimePoint now) const {
  const SchedulerState& state = this->impl->state;
  return now - state.proof < state.options.predecessor_grace;
}

TimePoint Scheduler::Proof() const { return this->impl->state.proof; }

bool Scheduler::IsSuperseded() const { return this->impl->state.is_superseded; }

}  // namespace chervilspar::jobs
