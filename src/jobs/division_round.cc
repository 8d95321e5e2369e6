#include "jobs/division_round.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "jobs/placement.h"

namespace chervilspar::jobs {

namespace {

/// Interval of the divisions; that of the overload plans, which use them.
constexpr Duration kDivisionInterval = std::chrono::milliseconds(50);
/// The share of the capacity that tasks can use, as in the overload plans. Measured against all of
/// it, the account with the most work would rarely reach what it is due.
constexpr double kUsableShare = 0.85;
/// The average share of its estimate that a running task still needs.
constexpr double kRemainingShareOfRunning = 0.5;

Resources Scale(const Resources& amount, double factor) {
  const auto scale = [factor](std::int64_t value) {
    return static_cast<std::int64_t>(static_cast<double>(value) * factor);
  };
  return {scale(amount.cpu), scale(amount.memory_mb), scale(amount.gpus)};
}

Resources Multiply(const Resources& amount, std::int64_t count) {
  return {amount.cpu * count, amount.memory_mb * count, amount.gpus * count};
}

std::int64_t WaitingTasks(const StepState& step) {
  return std::count_if(step.tasks.begin(), step.tasks.end(),
                       [](const Task& task) { return task.IsWaiting(); });
}

double WorkOf(const Step& step, std::int64_t tasks) {
  return static_cast<double>(tasks) * static_cast<double>(RequiredCapacity(step).cpu) *
         static_cast<double>(std::max<std::int64_t>(step.estimate_ms, kMinEstimateMs));
}

/// Returns what the waiting tasks of open steps need, and updates the job's waiting work. One pass,
/// as reading the tasks of all waiting jobs is most of the cost of a division.
Resources MeasureWaiting(JobState& job) {
  Resources need;
  job.divided_work = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepState& step = occurrence.steps[i];
      const Step& spec = job.job.steps[i];
      const std::int64_t tasks = WaitingTasks(step);
      job.divided_work += WorkOf(spec, tasks);
      if (step.is_open) {
        need = need + Multiply(RequiredCapacity(spec), tasks);
      }
    }
  }
  return need;
}

std::string DescribeUse(const AccountShare& share) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "its account uses %.1f of its share", share.Ratio());
  return text.data();
}

}  // namespace

double WaitingWorkOf(const JobState& job) {
  double work = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      work += WorkOf(job.job.steps[i], WaitingTasks(occurrence.steps[i]));
    }
  }
  return work;
}

bool DivisionRound::Run() {
  AccountDivision& division = this->state.division;
  if (!this->state.options.divides_shares ||
      (division.computed && this->now - *division.computed < kDivisionInterval)) {
    return false;
  }
  division.computed = this->now;
  const bool was_full = division.shares.IsFull();
  const std::vector<WaitingJob> waiting = this->CollectWaiting();
  const std::vector<AccountDemand> demands = this->Demands(waiting);
  Resources capacity = this->UsableCapacity();
  Resources in_use;
  for (const AccountDemand& demand : demands) {
    in_use = in_use + demand.in_use;
  }
  // More than the usable share may be in use, and tasks run on endpoints that take no new ones.
  capacity.cpu = std::max(capacity.cpu, in_use.cpu);
  capacity.memory_mb = std::max(capacity.memory_mb, in_use.memory_mb);
  division.shares = AccountShares(demands, capacity);
  const bool is_full = division.shares.IsFull();
  for (const AccountDemand& demand : demands) {
    const AccountShare* share = division.shares.Find(demand.team);
    division.accounts[demand.team].due =
        is_full ? share->due : std::numeric_limits<double>::infinity();
  }
  this->MarkWaiting(waiting);
  if (is_full || was_full) {
    this->MarkRunning();
  }
  return true;
}

std::vector<DivisionRound::WaitingJob> DivisionRound::CollectWaiting() {
  std::vector<WaitingJob> waiting;
  for (const auto& [service, pool] : this->state.pools) {
    for (const ReadyKey& key : pool.ready) {
      JobState& job = *this->state.FindJob(key.job);
      if (key.rank > 0 && key.latest_start_ms >= this->wall_ms) {
        waiting.push_back({key, &job, MeasureWaiting(job)});
      } else {
        job.is_beyond_share = false;
      }
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const WaitingJob& one, const WaitingJob& other) { return one.key < other.key; });
  return waiting;
}

std::vector<AccountDemand> DivisionRound::Demands(const std::vector<WaitingJob>& waiting) {
  std::unordered_map<TeamId, AccountUse>& accounts = this->state.division.accounts;
  std::erase_if(accounts, [](const auto& entry) {
    return entry.second.in_use == Resources{};  // Those with waiting jobs are added again.
  });
  for (auto& [team, use] : accounts) {
    use.open_work = use.claimed_work * kRemainingShareOfRunning;
  }
  std::unordered_map<TeamId, Resources> needs;
  for (const WaitingJob& entry : waiting) {
    const TeamId& team = entry.job->job.team;
    Resources& need = needs[team];
    need = need + entry.need;
    accounts[team].open_work += entry.job->divided_work;
  }
  std::vector<AccountDemand> demands;
  demands.reserve(accounts.size());
  for (const auto& [team, use] : accounts) {
    const auto need = needs.find(team);
    const Resources more = need == needs.end() ? Resources{} : this->LimitByCap(team, need->second);
    demands.push_back({team, this->WeightOf(team), use.in_use, use.in_use + more});
  }
  // The division adds rounded numbers, so the order of a hash table must not matter.
  std::sort(
      demands.begin(), demands.end(),
      [](const AccountDemand& one, const AccountDemand& other) { return one.team < other.team; });
  return demands;
}

Resources DivisionRound::LimitByCap(const TeamId& team, const Resources& waiting) const {
  const auto policy = this->state.policy.teams.find(team);
  if (policy == this->state.policy.teams.end()) {
    return waiting;
  }
  const auto usage = this->state.team_usage.find(team);
  const Resources used = usage == this->state.team_usage.end() ? Resources{} : usage->second;
  const auto limit = [](std::int64_t amount, std::int64_t cap, std::int64_t used_amount) {
    return cap == 0 ? amount : std::min(amount, std::max<std::int64_t>(cap - used_amount, 0));
  };
  const Resources& cap = policy->second.cap;
  return {limit(waiting.cpu, cap.cpu, used.cpu),
          limit(waiting.memory_mb, cap.memory_mb, used.memory_mb), waiting.gpus};
}

double DivisionRound::WeightOf(const TeamId& team) const {
  const auto policy = this->state.policy.teams.find(team);
  return policy == this->state.policy.teams.end() ? 1.0 : policy->second.weight;
}

Resources DivisionRound::UsableCapacity() const {
  Resources capacity;
  for (const auto& [service, pool] : this->state.pools) {
    for (const EndpointState* endpoint : pool.endpoints) {
      if (Placement::IsUsable(*endpoint, this->now)) {
        capacity = capacity + endpoint->record.capacity - endpoint->used_by_long_running;
      }
    }
  }
  return Scale(capacity, kUsableShare);
}

bool DivisionRound::IsBeyond(const TeamId& team, const Resources& used) const {
  const AccountDivision& division = this->state.division;
  const auto account = division.accounts.find(team);
  const double due = account == division.accounts.end() ? std::numeric_limits<double>::infinity()
                                                        : account->second.due;
  return AccountShare{.due = due, .used = division.shares.DominantFraction(used)}.IsBeyond();
}

void DivisionRound::MarkWaiting(const std::vector<WaitingJob>& waiting) {
  const bool is_full = this->state.division.shares.IsFull();
  std::unordered_map<TeamId, Resources> used;
  for (const WaitingJob& entry : waiting) {
    JobState& job = *entry.job;
    const bool was_beyond = job.is_beyond_share;
    job.is_beyond_share = false;
    if (!is_full) {
      continue;
    }
    const TeamId& team = job.job.team;
    const auto [ahead, is_first] = used.try_emplace(team);
    if (is_first) {
      ahead->second = this->state.division.accounts.at(team).in_use;
    }
    job.is_beyond_share = this->IsBeyond(team, ahead->second);
    if (!job.is_abandoned) {  // Abandoned jobs are served after the others.
      ahead->second = ahead->second + entry.need;
    }
    // It has waited for at least one interval.
    if (was_beyond && job.is_beyond_share) {
      this->ReportBehind(job);
    }
  }
}

std::vector<DivisionRound::RunningJob> DivisionRound::CollectRunning() {
  std::vector<RunningJob> running;
  running.reserve(this->state.claiming_jobs.size());
  for (const JobId& id : this->state.claiming_jobs) {
    JobState* job = this->state.FindJob(id);
    std::optional<RunningJob> entry = job == nullptr ? std::nullopt : DescribeRunning(*job);
    if (!entry) {
      continue;
    }
    if (this->wall_ms > entry->key.latest_start_ms) {
      job->is_beyond_share = false;
      job->are_runs_beyond_share = false;
      continue;
    }
    const auto queue = this->state.policy.queues.find(job->job.queue);
    entry->key.rank = 1 + (queue == this->state.policy.queues.end() ? 0 : queue->second.priority);
    running.push_back(*entry);
  }
  std::sort(running.begin(), running.end(),
            [](const RunningJob& one, const RunningJob& other) { return one.key < other.key; });
  return running;
}

std::optional<DivisionRound::RunningJob> DivisionRound::DescribeRunning(JobState& job) {
  std::optional<RunningJob> entry;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const Step& spec = job.job.steps[i];
      const std::uint32_t claims = occurrence.steps[i].claims;
      if (claims == 0 || spec.is_long_running) {
        continue;
      }
      if (!entry) {
        entry = RunningJob{.key = {.job = job.job.id}, .job = &job, .in_use = {}};
      }
      entry->in_use = entry->in_use + Multiply(RequiredCapacity(spec), claims);
      const std::int64_t begin_ms = std::int64_t{number} * job.job.interval_ms;
      entry->key.latest_start_ms = std::max(entry->key.latest_start_ms, job.deadline_ms + begin_ms);
    }
  }
  return entry;
}

void DivisionRound::MarkRunning() {
  std::unordered_map<TeamId, Resources> used;
  for (const RunningJob& entry : this->CollectRunning()) {
    JobState& job = *entry.job;
    Resources& ahead = used[job.job.team];
    job.are_runs_beyond_share = this->IsBeyond(job.job.team, ahead);
    if (!job.ready) {
      job.is_beyond_share = job.are_runs_beyond_share;
    }
    ahead = ahead + entry.in_use;
  }
}

void DivisionRound::ReportBehind(JobState& job) {
  const AccountShare* share = this->state.division.shares.Find(job.job.team);
  // Otherwise it waits for room only, or for the account's cap.
  const bool is_behind = share != nullptr && share->IsBeyond() && share->due < share->requested;
  if (!is_behind || job.reported_wait_reason == WaitReason::kBeyondShare || job.claims > 0) {
    return;
  }
  job.reported_wait_reason = WaitReason::kBeyondShare;
  ++this->state.division.jobs_behind;
  this->state.ReportEvent(
      {"job_waits",
       {},
       job.job.id,
       "",
       std::string(ToString(WaitReason::kBeyondShare)) + ": " + DescribeUse(*share)});
}

}  // namespace chervilspar::jobs
