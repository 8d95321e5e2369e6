#include "jobs/preemption.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace chervilspar::jobs {

namespace {

/// Interval of the plans. Each describes all runs of the pools with blocked tasks.
constexpr Duration kPlanInterval = std::chrono::milliseconds(50);
/// The discarded work is limited by the work of this duration.
constexpr Duration kBudgetWindow = std::chrono::seconds(10);
/// A task is not preempted again within this duration.
constexpr Duration kPreemptionPause = std::chrono::seconds(3);
/// From the end of a run until a round knows of it.
constexpr Duration kReportDelay = std::chrono::milliseconds(200);
/// A run counts as late only if it is expected to miss the deadline by more than this, because
/// estimates are rough.
constexpr double kLatenessToleranceMs = 200;
/// Thousandths of a core times milliseconds in one core-second.
constexpr double kWorkPerCoreSecond = 1e6;

double MillisecondsBetween(TimePoint begin, TimePoint end) {
  return std::chrono::duration<double, std::milli>(end - begin).count();
}

/// The time for which the active run has worked. For a run that a predecessor started, the reported
/// progress may show a longer one.
double AgeMs(const TaskRef& ref, TimePoint now) {
  const double reported =
      static_cast<double>(ref.spec->estimate_ms) * ref.task->percent / kReadyPercent;
  const double observed = MillisecondsBetween(ref.task->since, now);
  return ref.task->is_adopted ? std::max(observed, reported) : observed;
}

/// The time until the active run ends, by its reported progress if there is any, otherwise by its
/// estimate. Negative if it is overdue.
double ExpectedRemainingMs(const TaskRef& ref, TimePoint now) {
  const Task& task = *ref.task;
  if (task.percent <= 0) {
    const auto estimate =
        static_cast<double>(std::max<std::int64_t>(ref.spec->estimate_ms, kMinEstimateMs));
    return estimate - MillisecondsBetween(task.since, now);
  }
  const double worked = MillisecondsBetween(task.since, task.percent_since);
  const double remaining_then = worked * (kReadyPercent - task.percent) / task.percent;
  return remaining_then - MillisecondsBetween(task.percent_since, now);
}

}  // namespace

void Preemption::Run(const std::vector<TaskKey>& blocked, TimePoint now) {
  const bool is_due = !this->planned || now - *this->planned >= kPlanInterval;
  if (!this->state.options.preempts || !is_due) {
    return;
  }
  this->Accrue(this->planned ? now - *this->planned : Duration::zero());
  this->planned = now;
  std::map<ServiceId, PoolPlan> pools;
  for (const TaskKey& key : blocked) {
    const TaskRef ref = this->state.Find(key);
    if (ref && this->IsUrgent(ref)) {
      PoolPlan& pool = pools[ref.job->service];
      pool.blocked.push_back(ref);
      pool.ranks.Add(this->state.RankOf(*ref.job), ref.job->is_beyond_share);
    }
  }
  if (pools.empty()) {
    return;
  }
  for (auto& [service, pool] : pools) {
    this->AddEndpoints(service, pool);
  }
  this->AddRuns(pools);
  for (auto& [service, pool] : pools) {
    if (pool.has_candidates) {
      this->PlanPool(service, pool);
    }
  }
}

PreemptionCounts Preemption::TakeCounts() { return std::exchange(this->counts, {}); }

void Preemption::Accrue(Duration elapsed) {
  const auto window = static_cast<double>(ToMilliseconds(kBudgetWindow));
  const double elapsed_ms = std::min(MillisecondsBetween({}, TimePoint{} + elapsed), window);
  for (const auto& [service, pool] : this->state.pools) {
    double cpu = 0;
    for (const EndpointState* endpoint : pool.endpoints) {
      cpu += static_cast<double>(endpoint->used.cpu);
    }
    const double part = cpu * this->state.options.preemption_budget;
    double& allowance = this->allowances[service];
    allowance = std::min(allowance + part * elapsed_ms, part * window);
  }
}

bool Preemption::IsUrgent(const TaskRef& ref) const {
  const JobState& job = *ref.job;
  const std::int64_t started_ms =
      this->state.wall_ms + ToMilliseconds(this->state.options.stop_limit);
  return !ref.spec->is_long_running && !job.is_abandoned && job.ready &&
         job.ready->latest_start_ms >= started_ms;
}

void Preemption::AddEndpoints(const ServiceId& service, PoolPlan& pool) {
  for (EndpointState* endpoint : this->state.pools[service].endpoints) {
    if (Placement::IsUsable(*endpoint, *this->planned)) {
      pool.endpoints.push_back(endpoint);
      pool.runs.push_back({.free = endpoint->FreeCapacity(), .runs = {}});
    }
  }
}

void Preemption::AddRuns(std::map<ServiceId, PoolPlan>& pools) {
  struct Place {
    PoolPlan* pool = nullptr;
    EndpointRuns* runs = nullptr;
    double allowance = 0;
  };
  std::unordered_map<const EndpointState*, Place> places;
  for (auto& [service, pool] : pools) {
    const double allowance = this->allowances[service];
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
      places.emplace(pool.endpoints[i], Place{&pool, &pool.runs[i], allowance});
    }
  }
  const double stop_limit_ms = this->StopLimitMs();
  const JobState* job = nullptr;
  std::uint32_t rank = 0;
  this->state.VisitClaims([&](const TaskRef& ref) {
    const auto place = places.find(ref.task->endpoint);
    if (place == places.end()) {
      return;
    }
    if (ref.job != job) {
      job = ref.job;
      rank = this->state.RankOf(*job);
    }
    const auto& [pool, runs, allowance] = place->second;
    const PreemptibleRun run = this->DescribeRun(ref, rank);
    if (run.EndsWithin(stop_limit_ms)) {
      runs->free = runs->free + run.capacity;
    } else if (pool->ranks.MayStop(run)) {
      if (runs->runs.empty()) {
        runs->runs.reserve(place->first->claims.size());
      }
      runs->runs.push_back(run);
      pool->has_candidates |= run.DiscardedWork() <= allowance;
    }
  });
}

double Preemption::StopLimitMs() const {
  return static_cast<double>(ToMilliseconds(this->state.options.stop_limit));
}

void Preemption::PlanPool(const ServiceId& service, PoolPlan& pool) {
  std::vector<BlockedStep> steps;
  std::map<TeamId, Resources> promised;
  steps.reserve(pool.blocked.size());
  for (const TaskRef& ref : pool.blocked) {
    steps.push_back(this->Describe(ref, pool, promised));
  }
  double& allowance = this->allowances[service];
  const PreemptionLimits limits{.stop_limit_ms = this->StopLimitMs(), .allowance = allowance};
  for (const PlannedPreemption& planned :
       PreemptionPlan::SelectRunsToStop(steps, pool.runs, limits)) {
    this->ReserveFor(pool.blocked[planned.step], *pool.endpoints[planned.endpoint]);
    for (const PlannedStop& stop : planned.stops) {
      allowance -= stop.discarded_work;
      this->Stop(stop, pool.blocked[planned.step].key.job);
    }
  }
}

BlockedStep Preemption::Describe(const TaskRef& ref, PoolPlan& pool,
                                 std::map<TeamId, Resources>& promised) const {
  BlockedStep step{.first = ref.key,
                   .count = 0,
                   .need = RequiredCapacity(*ref.spec),
                   .rank = this->state.RankOf(*ref.job),
                   .is_beyond_share = ref.job->is_beyond_share,
                   .is_one_per_endpoint = ref.spec->max_per_endpoint > 0,
                   .endpoints = this->EndpointsFor(ref, pool)};
  Resources& team = promised[ref.job->job.team];
  TaskKey key = ref.key;
  for (key.index = 0; key.index < ref.step->tasks.size(); ++key.index) {
    const Resources need = team + ref.spec->need;
    if (!this->state.IsWithinCap(*ref.job, need)) {
      break;
    }
    if (this->IsUnserved(this->state.Find(key))) {
      team = need;
      ++step.count;
    }
  }
  return step;
}

std::vector<std::size_t> Preemption::EndpointsFor(const TaskRef& ref, PoolPlan& pool) const {
  // Without advice and a limit, only the label tells usable endpoints apart.
  const bool is_shared = !ref.job->needs_advice && ref.spec->max_per_endpoint == 0;
  if (is_shared) {
    const auto known = pool.labelled.find(ref.spec->required_label);
    if (known != pool.labelled.end()) {
      return known->second;
    }
  }
  std::vector<std::size_t> positions;
  for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
    if (this->placement.MayRunOn(ref, *pool.endpoints[i], *this->planned)) {
      positions.push_back(i);
    }
  }
  if (is_shared) {
    pool.labelled.emplace(ref.spec->required_label, positions);
  }
  return positions;
}

bool Preemption::IsUnserved(const TaskRef& ref) const {
  return ref.task->IsWaiting() && ref.task->not_before <= *this->planned &&
         !this->state.reservations.contains(ref.key);
}

void Preemption::ReserveFor(const TaskRef& first, EndpointState& endpoint) {
  TaskKey key = first.key;
  for (key.index = 0; key.index < first.step->tasks.size(); ++key.index) {
    const TaskRef ref = this->state.Find(key);
    if (this->IsUnserved(ref)) {
      this->state.ReserveCapacity(ref, endpoint,
                                  *this->planned + this->state.options.stop_limit + kReportDelay);
      return;
    }
  }
}

PreemptibleRun Preemption::DescribeRun(const TaskRef& ref, std::uint32_t rank) const {
  const Task& task = *ref.task;
  const TimePoint now = *this->planned;
  PreemptibleRun run{.task = ref.key,
                     .capacity = RequiredCapacity(*ref.spec),
                     .rank = rank,
                     .is_beyond_share = ref.job->are_runs_beyond_share,
                     .saves_progress = ref.spec->saves_progress,
                     .is_stopping = task.state == RunState::kStopping};
  const bool is_batch = !ref.spec->is_long_running && !ref.spec->is_gang && !ref.spec->is_filler;
  if (!is_batch || task.state != RunState::kActive) {
    return run;
  }
  run.age_ms = AgeMs(ref, now);
  run.may_be_stopped = !task.preempted || now - *task.preempted >= kPreemptionPause;
  const double expected_ms = ExpectedRemainingMs(ref, now);
  // A run that is long overdue may take any time.
  if (expected_ms >= -this->StopLimitMs()) {
    run.remaining_ms = std::max(expected_ms, 0.0);
  }
  const std::int64_t due_ms =
      ref.job->deadline_ms + std::int64_t{ref.key.occurrence} * ref.job->job.interval_ms;
  const auto slack_ms = static_cast<double>(due_ms - this->state.wall_ms);
  run.is_late = slack_ms < 0 || run.remaining_ms.value_or(0) > slack_ms + kLatenessToleranceMs;
  return run;
}

void Preemption::Stop(const PlannedStop& stop, const JobId& beneficiary) {
  const TaskRef ref = this->state.Find(stop.task);
  this->state.ReportEvent(
      {"run_preempted",
       stop.task,
       {},
       ref.task->endpoint->record.id,
       "stopped for job " + ToString(beneficiary) + ", which can be on time; " +
           (stop.saves_progress ? "its progress is saved" : "its progress is not saved")});
  ref.task->preempted = this->planned;
  this->counts.saved += stop.saves_progress ? 1 : 0;
  this->counts.unsaved += stop.saves_progress ? 0 : 1;
  this->counts.discarded_core_seconds += stop.discarded_work / kWorkPerCoreSecond;
  this->state.BeginStop(ref, *this->planned);
}

}  // namespace chervilspar::jobs
