#include "jobs/placing_round.h"

#include <algorithm>
#include <limits>

#include "chervilspar/jobs/overload_plan.h"

namespace chervilspar::jobs {

namespace {

/// Between two plans of who is served on time; a plan of 500 jobs takes about a millisecond.
constexpr Duration kPlanPace = std::chrono::milliseconds(50);
/// Part of the cpu that tasks fill. More than the sizer counts on: what is there is used, while VMs
/// are ordered with some to spare.
constexpr double kUsable = 0.85;
/// Estimates are rough, and a job that begins a little after its latest start is often still on
/// time.
constexpr double kGrace = 200;

}  // namespace

void PlacingRound::Run() {
  for (auto& [service, pool] : this->state.pools) {
    if (!pool.ready.empty() && !pool.endpoints.empty()) {
      this->PlacePool(pool);
    }
  }
}

void PlacingRound::PlacePool(PoolState& pool) {
  constexpr std::int64_t kFirst = std::numeric_limits<std::int64_t>::min();
  this->reserved.clear();
  this->misses = 0;
  std::vector<std::uint32_t> ranks;
  for (auto place = pool.ready.begin(); place != pool.ready.end();) {
    ranks.push_back(place->rank);
    place = pool.ready.lower_bound({place->rank + 1, kFirst, {}});
  }
  this->PlanOverload(pool);
  for (const std::uint32_t rank : ranks) {
    const std::int64_t begin = rank == 0 ? kFirst : this->wall_ms;
    if (!this->PlaceBetween(pool, {rank, begin, {}}, {rank + 1, kFirst, {}},
                            Which::kServedOnTime)) {
      return;
    }
  }
  // What is left is kept for those that can still be on time.
  if (this->misses > 0) {
    return;
  }
  for (const std::uint32_t rank : ranks) {
    const bool goes_on =
        rank == 0 ||
        (this->PlaceBetween(pool, {rank, this->wall_ms, {}}, {rank + 1, kFirst, {}},
                            Which::kGivenUp) &&
         this->PlaceBetween(pool, {rank, kFirst, {}}, {rank, this->wall_ms, {}}, Which::kAll));
    if (!goes_on) {
      return;
    }
  }
}

double PlacingRound::WorkLeft(const JobState& job) const {
  double work = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const Step& spec = job.job.steps[i];
      const auto waiting =
          std::count_if(occurrence.steps[i].tasks.begin(), occurrence.steps[i].tasks.end(),
                        [](const Task& task) { return task.IsWaiting(); });
      work += static_cast<double>(waiting) * static_cast<double>(RequiredCapacity(spec).cpu) *
              static_cast<double>(std::max<std::int64_t>(spec.estimate_ms, kMinEstimateMs));
    }
  }
  return work;
}

void PlacingRound::PlanOverload(PoolState& pool) {
  if (!this->state.options.plans_overload || this->now - pool.planned < kPlanPace) {
    return;
  }
  pool.planned = this->now;
  double cpu = 0;
  for (const EndpointState* endpoint : pool.endpoints) {
    if (endpoint->is_cordoned) {
      continue;
    }
    if (Placement::IsUsable(*endpoint, this->now)) {
      cpu += static_cast<double>(endpoint->record.capacity.cpu) * kUsable;
    }
    for (const TaskKey& key : endpoint->claims) {
      const TaskRef ref = this->state.Find(key);
      cpu -= ref.spec->is_long_running ? static_cast<double>(RequiredCapacity(*ref.spec).cpu) : 0;
    }
  }
  std::vector<UrgentJob> urgent;
  for (const ReadyKey& key : pool.ready) {
    JobState& job = *this->state.FindJob(key.job);
    job.is_abandoned = false;
    if (key.rank > 0 && key.latest_start_ms >= this->wall_ms) {
      urgent.push_back({key.job, job.job.team,
                        static_cast<double>(key.latest_start_ms - this->wall_ms) + kGrace,
                        this->WorkLeft(job)});
    }
  }
  std::stable_sort(urgent.begin(), urgent.end(), [](const UrgentJob& one, const UrgentJob& other) {
    return one.slack_ms < other.slack_ms;
  });
  std::map<TeamId, double> weights;
  for (const auto& [id, team] : this->state.policy.teams) {
    weights[id] = team.weight;
  }
  for (const JobId& id : OverloadPlan::GiveUp(urgent, std::max(cpu, 0.0), weights)) {
    this->state.FindJob(id)->is_abandoned = true;
  }
}

bool PlacingRound::PlaceBetween(PoolState& pool, const ReadyKey& begin, const ReadyKey& end,
                                Which which) {
  auto place = pool.ready.lower_bound(begin);
  while (place != pool.ready.end() && *place < end) {
    const ReadyKey key = *place;
    JobState& job = *this->state.FindJob(key.job);
    const bool is_meant = which == Which::kAll || job.is_abandoned == (which == Which::kGivenUp);
    if (is_meant && !this->PlaceJob(job) &&
        ++this->misses >= this->state.options.misses_per_round) {
      return false;
    }
    place = pool.ready.upper_bound(key);
  }
  return true;
}

bool PlacingRound::PlaceJob(JobState& job) {
  bool is_placed = true;
  this->wait = WaitReason::kNone;
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      if (occurrence.steps[step].is_open && !this->PlaceStep(job, number, step)) {
        is_placed = false;
      }
    }
  }
  this->state.RefreshReady(job);
  this->TellWait(job);
  return is_placed;
}

void PlacingRound::TellWait(JobState& job) {
  const bool is_late = this->wall_ms > job.deadline_ms;
  if (this->wait == WaitReason::kNone || this->wait == job.reported_wait_reason || !is_late) {
    return;
  }
  job.reported_wait_reason = this->wait;
  this->state.ReportEvent({"job_waits",
                           {},
                           job.job.id,
                           "",
                           std::string(ToString(this->wait)) + "; late by " +
                               std::to_string(this->wall_ms - job.deadline_ms) + " ms"});
}

bool PlacingRound::NeedsAdvice(const TaskRef& ref) const {
  return ref.job->needs_advice && ref.step->advice.valid_until <= this->now;
}

bool PlacingRound::PlaceStep(JobState& job, std::uint32_t occurrence, std::uint32_t step) {
  const std::uint32_t count = job.job.steps[step].count;
  for (std::uint32_t index = 0; index < count; ++index) {
    const TaskRef ref = this->state.Find({job.job.id, occurrence, step, index});
    if (!ref.task->IsWaiting() || ref.task->not_before > this->now) {
      continue;
    }
    if (this->NeedsAdvice(ref)) {
      this->wait = WaitReason::kAdvice;
      return true;  // a question is under way; nobody waits for room
    }
    if (!this->state.IsWithinCap(job, ref.spec->need)) {
      this->wait = WaitReason::kTeamLimit;
      return true;  // the team's own limit, not a lack of room
    }
    if (ref.spec->is_gang) {
      return this->PlaceGang(ref);
    }
    if (!this->PlaceTask(ref, this->reserved, ref.task->progress.run + 1)) {
      // What no endpoint may run doesn't hold up those that come after it.
      const bool could_run = this->KeepRoomFor(ref);
      const WaitReason nowhere = this->placement.IsHeldByCordon(ref)
                                     ? WaitReason::kCordoned
                                     : WaitReason::kNoEligibleEndpoint;
      this->wait = could_run ? WaitReason::kNoCapacity : nowhere;
      return !could_run;
    }
  }
  return true;
}

bool PlacingRound::KeepRoomFor(const TaskRef& ref) {
  EndpointState* kept = this->placement.ChooseToKeepFree(ref, this->now);
  if (kept != nullptr && this->reserved.size() < kMostReserved) {
    this->reserved.insert(kept);
  }
  return kept != nullptr;
}

bool PlacingRound::PlaceTask(const TaskRef& ref, const std::set<EndpointState*>& excluded,
                             std::uint64_t run) {
  this->state.ReleaseReservation(ref.key);  // it is the task's own
  EndpointState* endpoint = this->placement.Choose(ref, excluded, this->now);
  if (endpoint == nullptr) {
    return false;
  }
  this->state.Claim(ref, *endpoint, run, this->now);
  Task& task = *ref.task;
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->state.options.lease);
  task.lease_end_ms =
      endpoint->EarliestClockAt(this->now, this->state.options.endpoint_clock_slowness) +
      lease.count();
  task.start_expires = this->now + this->state.options.LongestLease();
  endpoint->lease_end = std::max(endpoint->lease_end, task.start_expires);
  const auto ticket = ref.step->advice.ticket_of_endpoint.find(endpoint->record.id);
  if (ticket != ref.step->advice.ticket_of_endpoint.end()) {
    task.ticket = ticket->second;
  }
  return true;
}

bool PlacingRound::PlaceGang(const TaskRef& first) {
  std::uint64_t run = 0;
  std::string checkpoint;
  Resources need;
  for (const Task& member : first.step->tasks) {
    if (!member.IsWaiting() || member.not_before > this->now) {
      return true;  // its last run has not ended everywhere
    }
    run = std::max(run, member.progress.run);
    if (checkpoint.empty()) {
      checkpoint = member.progress.checkpoint;
    }
    need = need + first.spec->need;
  }
  if (!this->state.IsWithinCap(*first.job, need)) {
    return true;
  }
  for (Task& member : first.step->tasks) {
    member.progress.checkpoint = checkpoint;
  }
  if (first.spec->wants_one_rack && this->PlaceOnOneRack(first, run + 1)) {
    return true;
  }
  const bool may_spread = !first.spec->wants_one_rack ||
                          (first.job->ready && first.job->ready->latest_start_ms < this->wall_ms);
  return may_spread && this->PlaceMembers(first, run + 1, this->reserved);
}

bool PlacingRound::PlaceMembers(const TaskRef& first, std::uint64_t run,
                                const std::set<EndpointState*>& excluded) {
  std::vector<TaskRef> placed;
  for (std::uint32_t i = 0; i < first.step->tasks.size(); ++i) {
    TaskKey key = first.key;
    key.index = i;
    const TaskRef member = this->state.Find(key);
    if (!this->PlaceTask(member, excluded, run)) {
      for (const TaskRef& earlier : placed) {
        this->state.Release(earlier);
      }
      return false;
    }
    placed.push_back(member);
  }
  return true;
}

bool PlacingRound::PlaceOnOneRack(const TaskRef& first, std::uint64_t run) {
  const PoolState& pool = this->state.pools.at(first.job->service);
  std::set<std::string> racks;
  for (const EndpointState* endpoint : pool.endpoints) {
    racks.insert(endpoint->record.rack);
  }
  for (const std::string& rack : racks) {
    std::set<EndpointState*> excluded = this->reserved;
    for (EndpointState* endpoint : pool.endpoints) {
      if (endpoint->record.rack != rack) {
        excluded.insert(endpoint);
      }
    }
    if (this->PlaceMembers(first, run, excluded)) {
      return true;
    }
  }
  return false;
}

}  // namespace chervilspar::jobs
