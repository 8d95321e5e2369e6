#include "jobs/placing_round.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "chervilspar/jobs/overload_plan.h"

#include "jobs/division_round.h"
#include "jobs/order_round.h"

namespace chervilspar::jobs {

namespace {

/// Interval of the overload plans. A plan of 500 jobs takes about a millisecond.
constexpr Duration kPlanInterval = std::chrono::milliseconds(50);
/// The share of the cpu that tasks can use. More than the pool sizer assumes, as existing capacity
/// is used fully while VMs are ordered with some spare capacity.
constexpr double kUsableCpuShare = 0.85;
/// Added to the slack of a job. Estimates are rough, and a job that starts a little after its
/// latest start often still meets its deadline.
constexpr double kSlackToleranceMs = 200;
/// Before the latest start of every job.
constexpr std::int64_t kFirst = std::numeric_limits<std::int64_t>::min();
/// How many jobs that find nothing are examined behind the blocked ones in a round. Rounds follow
/// one another within milliseconds, and in a full pool hardly any of them finds something.
constexpr int kMaxUnplacedBehind = 8;
/// The minimum interval between two reports that the owner's link is full.
constexpr Duration kLinkReportInterval = std::chrono::seconds(1);

}  // namespace

void PlacingRound::Run() {
  this->is_divided = DivisionRound(this->state, this->now, this->wall_ms).Run();
  std::map<ServiceId, PoolState>& pools = this->state.pools;
  const std::optional<ServiceId> first = std::exchange(this->state.link.next_pool, std::nullopt);
  auto place = first ? pools.lower_bound(*first) : pools.begin();
  for (std::size_t i = 0; i < pools.size() && !this->is_link_full; ++i) {
    place = place == pools.end() ? pools.begin() : place;
    auto& [service, pool] = *place++;
    if (!pool.ready.empty() && !pool.endpoints.empty()) {
      this->has_placed = false;
      this->PlacePool(pool);
    }
    if (this->is_link_full) {
      this->EndAtFullLink(service);
    }
  }
}

void PlacingRound::EndAtFullLink(const ServiceId& pool) {
  LinkState& link = this->state.link;
  const auto next = this->state.pools.upper_bound(pool);
  const bool is_last = next == this->state.pools.end();
  // A pool that has placed nothing stays first. Otherwise a gang that needs the whole allowance
  // would find the allowance used by other pools each time.
  if (!this->has_placed) {
    link.next_pool = pool;
  } else if (!is_last) {
    link.next_pool = next->first;
  }
  if (link.reported && this->now - *link.reported < kLinkReportInterval) {
    return;
  }
  link.reported = this->now;
  const LinkTraffic recent = link.budget.Recent(this->now);
  this->state.ReportEvent(
      {"owner_link_full",
       {},
       {},
       "",
       "starts wait; sent in the last 200 ms: " + std::to_string(recent.starts) +
           " bytes of starts, " + std::to_string(recent.urgent) + " of renewals and stops, " +
           std::to_string(recent.progress) + " of progress; starts may take " +
           std::to_string(link.budget.Bound()) + " bytes in 200 ms"});
}

bool PlacingRound::FitsLink(const TaskRef& ref, std::size_t count) {
  if (!this->state.options.budgets_link) {
    return true;
  }
  LinkState& link = this->state.link;
  const auto precedence =
      ref.spec->is_long_running ? LinkBudget::Precedence::kHigh : LinkBudget::Precedence::kNormal;
  const std::int64_t bytes = OrderRound::StartBytes(ref) * static_cast<std::int64_t>(count);
  if (!this->is_link_full && link.budget.Admits(bytes, precedence, this->now)) {
    return true;
  }
  if (!this->is_link_full && link.first_waiting != ref.key) {
    link.first_waiting = ref.key;
    ++link.held_back;
  }
  this->is_link_full = true;
  this->wait_reason = WaitReason::kOwnerLink;
  return false;
}

void PlacingRound::PlacePool(PoolState& pool) {
  this->held.Begin(pool);
  this->unplaced.Clear();
  this->unplaced_jobs = 0;
  std::vector<std::uint32_t> ranks;
  for (auto place = pool.ready.begin(); place != pool.ready.end();) {
    ranks.push_back(place->rank);
    place = pool.ready.lower_bound({place->rank + 1, kFirst, {}});
  }
  this->PlanOverload(pool);
  const bool divides = this->state.options.divides_shares;
  if (!this->PlaceOnTime(pool, ranks,
                         divides ? JobFilter::kWithinShare : JobFilter::kExpectedOnTime) ||
      (divides && !this->PlaceOnTime(pool, ranks, JobFilter::kBeyondShare))) {
    this->PlaceBehindBlocked(pool);
    return;
  }
  // The remaining capacity is for jobs that can still meet their deadlines.
  if (this->unplaced_jobs > 0) {
    this->PlaceBehindBlocked(pool);
    return;
  }
  for (const std::uint32_t rank : ranks) {
    const bool may_continue =
        rank == 0 ||
        (this->PlaceBetween(pool, {rank, this->wall_ms, {}}, {rank + 1, kFirst, {}},
                            JobFilter::kAbandoned) &&
         this->PlaceBetween(pool, {rank, kFirst, {}}, {rank, this->wall_ms, {}}, JobFilter::kAll));
    if (!may_continue) {
      this->PlaceBehindBlocked(pool);
      return;
    }
  }
  pool.resume_after.reset();
}

/// The jobs that found no capacity may be the same in each round. If nothing else were placed, jobs
/// that could run on other endpoints would never start.
void PlacingRound::PlaceBehindBlocked(PoolState& pool) {
  if (this->is_link_full) {
    return;
  }
  this->unplaced_jobs = 0;
  auto place = pool.resume_after ? pool.ready.upper_bound(*pool.resume_after) : pool.ready.begin();
  pool.resume_after.reset();
  while (place != pool.ready.end()) {
    const ReadyKey key = *place;
    if (!this->PlaceJob(*this->state.FindJob(key.job)) &&
        (this->is_link_full || ++this->unplaced_jobs >= kMaxUnplacedBehind)) {
      pool.resume_after = key;
      return;
    }
    place = pool.ready.upper_bound(key);
  }
}

bool PlacingRound::PlaceOnTime(PoolState& pool, const std::vector<std::uint32_t>& ranks,
                               JobFilter filter) {
  return std::all_of(ranks.begin(), ranks.end(), [&](std::uint32_t rank) {
    const std::int64_t begin = rank == 0 ? kFirst : this->wall_ms;
    return this->PlaceBetween(pool, {rank, begin, {}}, {rank + 1, kFirst, {}}, filter);
  });
}

bool PlacingRound::IsSelected(const JobState& job, JobFilter filter) const {
  if (filter == JobFilter::kAll) {
    return true;
  }
  if (filter == JobFilter::kAbandoned || filter == JobFilter::kExpectedOnTime || job.is_abandoned) {
    return job.is_abandoned == (filter == JobFilter::kAbandoned);
  }
  // Claims made since the division count as well.
  const bool is_beyond = job.is_beyond_share || (job.ready && job.ready->rank > 0 &&
                                                 this->state.division.IsBeyond(job.job.team));
  return is_beyond == (filter == JobFilter::kBeyondShare);
}

void PlacingRound::PlanOverload(PoolState& pool) {
  const bool is_due = this->state.options.divides_shares
                          ? this->is_divided
                          : this->now - pool.planned >= kPlanInterval;
  if (!this->state.options.plans_overload || !is_due) {
    return;
  }
  pool.planned = this->now;
  double cpu = 0;
  for (const EndpointState* endpoint : pool.endpoints) {
    if (endpoint->is_cordoned) {
      continue;
    }
    if (Placement::IsUsable(*endpoint, this->now)) {
      cpu += static_cast<double>(endpoint->record.capacity.cpu) * kUsableCpuShare;
    }
    cpu -= static_cast<double>(endpoint->used_by_long_running.cpu);
  }
  std::vector<UrgentJob> urgent;
  for (const ReadyKey& key : pool.ready) {
    JobState& job = *this->state.FindJob(key.job);
    job.is_abandoned = false;
    if (key.rank > 0 && key.latest_start_ms >= this->wall_ms) {
      urgent.push_back(
          {key.job, job.job.team,
           static_cast<double>(key.latest_start_ms - this->wall_ms) + kSlackToleranceMs,
           this->is_divided ? job.divided_work : WaitingWorkOf(job)});
    }
  }
  std::stable_sort(urgent.begin(), urgent.end(), [](const UrgentJob& one, const UrgentJob& other) {
    return one.slack_ms < other.slack_ms;
  });
  std::map<TeamId, double> weights;
  for (const auto& [id, team] : this->state.policy.teams) {
    weights[id] = team.weight;
  }
  std::map<TeamId, double> open_work;
  if (this->state.options.divides_shares) {
    for (const auto& [team, share] : this->state.division.shares.All()) {
      weights[team] = share.weight;
      open_work[team] = this->state.division.accounts[team].open_work;
    }
  }
  for (const JobId& id :
       OverloadPlan::SelectJobsToAbandon(urgent, std::max(cpu, 0.0), weights, open_work)) {
    this->state.FindJob(id)->is_abandoned = true;
  }
}

bool PlacingRound::PlaceBetween(PoolState& pool, const ReadyKey& begin, const ReadyKey& end,
                                JobFilter filter) {
  auto place = pool.ready.lower_bound(begin);
  while (place != pool.ready.end() && *place < end) {
    const ReadyKey key = *place;
    JobState& job = *this->state.FindJob(key.job);
    if (this->IsSelected(job, filter) && !this->PlaceJob(job) &&
        (this->is_link_full ||
         ++this->unplaced_jobs >= this->state.options.max_unplaced_per_round)) {
      return false;
    }
    place = pool.ready.upper_bound(key);
  }
  return true;
}

bool PlacingRound::PlaceJob(JobState& job) {
  this->wait_reason = WaitReason::kNone;
  this->refusal.reset();
  if (job.is_rejected) {
    return true;
  }
  bool is_placed = true;
  // A step for which there is no room has none in later occurrences either, of which there may be
  // thousands.
  std::map<std::uint32_t, int> unplaced;
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto failures = unplaced.find(step);
      const bool is_skipped = failures != unplaced.end() &&
                              failures->second >= this->state.options.max_unplaced_per_round;
      if (occurrence.steps[step].is_open && !is_skipped && !this->PlaceStep(job, number, step)) {
        is_placed = false;
        ++unplaced[step];
      }
    }
  }
  this->state.RefreshReady(job);
  this->LogWaitReason(job);
  return is_placed;
}

bool PlacingRound::NeedsAdvice(const TaskRef& ref) const {
  if (!ref.job->needs_advice) {
    return false;
  }
  const std::vector<EndpointState*>& endpoints = this->state.pools.at(ref.job->service).endpoints;
  return std::none_of(endpoints.begin(), endpoints.end(), [&](const EndpointState* endpoint) {
    return ref.step->advice.FindTicket(*endpoint, this->now) != nullptr;
  });
}

bool PlacingRound::PlaceStep(JobState& job, std::uint32_t occurrence, std::uint32_t step) {
  const std::uint32_t count = job.job.steps[step].count;
  bool is_placed = true;
  for (std::uint32_t index = 0; index < count; ++index) {
    const TaskRef ref = this->state.Find({job.job.id, occurrence, step, index});
    if (!ref.task->IsWaiting() || ref.task->not_before > this->now) {
      continue;
    }
    if (this->NeedsAdvice(ref)) {
      this->wait_reason =
          ref.step->advice.is_asked ? WaitReason::kAdvice : WaitReason::kNoEligibleEndpoint;
      return true;  // The adviser is asked first; no capacity is reserved meanwhile.
    }
    if (!this->state.IsWithinCap(job, ref.spec->need)) {
      this->wait_reason = WaitReason::kTeamLimit;
      return true;  // The limit of the team blocks the task, not a lack of capacity.
    }
    if (!this->FitsLink(ref, ref.spec->is_gang ? ref.step->tasks.size() : 1)) {
      return false;
    }
    if (ref.spec->is_gang) {
      if (this->PlaceGang(ref)) {
        return true;
      }
      const Prospect prospect = this->placement.ProspectOfGang(ref, this->now);
      this->wait_reason = this->ReasonToWait(ref, prospect);
      if (prospect != Prospect::kRoom) {
        return true;  // A gang that the pool can't run doesn't block the jobs after it.
      }
      if (!this->IsLate(job)) {
        this->held.HoldAgainstLate(ref);
      }
      return false;
    }
    if (!this->PlaceSingle(ref)) {
      if (this->IsReservedByPreemption(ref)) {
        this->wait_reason = WaitReason::kNoCapacity;
        is_placed = false;
        continue;  // The capacity for the next task of the step may be free already.
      }
      return !this->Block(ref) && is_placed;
    }
  }
  return is_placed;
}

bool PlacingRound::IsReservedByPreemption(const TaskRef& ref) const {
  return this->state.options.preempts && !ref.spec->is_long_running &&
         this->state.reservations.contains(ref.key);
}

bool PlacingRound::IsLate(const JobState& job) const {
  return job.is_abandoned ||
         (job.ready && job.ready->rank > 0 && job.ready->latest_start_ms < this->wall_ms);
}

bool PlacingRound::Block(const TaskRef& ref) {
  const Prospect prospect = this->placement.ProspectOf(ref, this->now);
  this->wait_reason = this->ReasonToWait(ref, prospect);
  if (prospect != Prospect::kRoom) {
    return false;
  }
  const bool is_late = this->IsLate(*ref.job);
  this->held.Reserve(ref, is_late);
  if (!is_late) {
    this->held.HoldAgainstLate(ref);
  }
  // A job may be examined twice in a round.
  const bool is_known =
      std::find(this->blocked.begin(), this->blocked.end(), ref.key) != this->blocked.end();
  if (this->state.options.preempts && !is_known) {
    this->blocked.push_back(ref.key);
  }
  return true;
}

bool PlacingRound::PlaceSingle(const TaskRef& ref) {
  const bool is_late = this->IsLate(*ref.job);
  const UnplacedTasks::Entry* const alike = this->unplaced.FindFor(ref, is_late);
  if (alike != nullptr && !this->state.reservations.contains(ref.key)) {
    this->refusal = alike->refusal;
    return false;
  }
  HeldEndpoints::Filter filter = this->held.FilterFor(ref, is_late);
  if (this->PlaceTask(ref, filter, ref.task->progress.run + 1)) {
    return true;
  }
  this->refusal = filter.FindRefusal();
  this->unplaced.Add(ref, is_late, this->refusal);
  return false;
}

bool PlacingRound::PlaceTask(const TaskRef& ref, EndpointFilter& filter, std::uint64_t run) {
  std::optional<CapacityReservation> kept;
  if (this->IsReservedByPreemption(ref)) {
    kept = this->state.reservations.at(ref.key);
  }
  this->state.ReleaseReservation(ref.key);  // The capacity was reserved for this task.
  EndpointState* endpoint = this->placement.Choose(ref, filter, this->now);
  if (endpoint == nullptr) {
    if (kept) {
      this->state.ReserveCapacity(ref, *this->state.FindEndpoint(kept->endpoint), kept->until);
    }
    return false;
  }
  this->state.Claim(ref, *endpoint, run, this->now);
  Task& task = *ref.task;
  if (this->state.options.budgets_link) {
    task.reserved_bytes = OrderRound::StartBytes(ref);
    this->state.link.budget.Reserve(task.reserved_bytes);
  }
  this->has_placed = true;
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->state.options.lease);
  task.lease_end_ms =
      endpoint->EarliestClockAt(this->now, this->state.options.endpoint_clock_slowness) +
      lease.count();
  task.start_expires = this->now + this->state.options.LongestLease();
  endpoint->lease_end = std::max(endpoint->lease_end, task.start_expires);
  if (const std::string* ticket = ref.step->advice.FindTicket(*endpoint, this->now)) {
    task.ticket = *ticket;
  }
  return true;
}

}  // namespace chervilspar::jobs
