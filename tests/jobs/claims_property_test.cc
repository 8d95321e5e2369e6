#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/division_round.h"
#include "jobs/preemption.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {
namespace {

constexpr std::int64_t kWallMs = 1'000'000;
const TimePoint kNow = TimePoint{} + std::chrono::seconds(1000);

SchedulerOptions Options() {
  SchedulerOptions options;
  options.divides_shares = true;
  options.preempts = true;
  return options;
}

/// One pool of endpoints of eight cores, and jobs whose tasks are placed by hand.
struct Pool {
  explicit Pool(int endpoints) : state(Options(), 1, kNow) {
    this->state.wall_ms = kWallMs;
    for (const char* name : {"low", "high"}) {
      Queue& queue = this->state.policy.queues[name];
      queue.name = name;
      queue.priority = this->state.policy.queues.size() > 1 ? 1 : 0;
    }
    PoolState& pool = this->state.pools[ServiceId{"desk"}];
    for (int i = 0; i < endpoints; ++i) {
      EndpointState& endpoint = this->state.GetOrCreateEndpoint("i" + std::to_string(i));
      endpoint.record.service = ServiceId{"desk"};
      endpoint.record.capacity = {8000, 8000, 0};
      endpoint.is_registered = true;
      endpoint.clock_ms = 1;
      pool.endpoints.push_back(&endpoint);
    }
  }

  JobState& AddJob(int team, const std::string& queue, std::int64_t deadline_ms,
                   std::vector<Step> steps) {
    auto job = std::make_unique<JobState>();
    job->job.id = JobId{this->state.jobs.size() + 1};
    job->job.queue = queue;
    job->job.team = TeamId{"t" + std::to_string(team)};
    job->job.steps = std::move(steps);
    job->service = ServiceId{"desk"};
    job->deadline_ms = deadline_ms;
    JobState& added = *job;
    this->state.jobs.emplace(added.job.id, std::move(job));
    this->state.GetOrCreateOccurrence(added, 0);
    this->state.RefreshReady(added);
    return added;
  }

  /// Claims, confirms, ends or releases the task.
  void Change(const TaskRef& ref, std::size_t endpoint, int change) {
    std::vector<EndpointState*>& endpoints = this->state.pools[ServiceId{"desk"}].endpoints;
    if (ref.task->IsWaiting()) {
      this->state.Claim(ref, *endpoints[endpoint], ref.task->progress.run + 1, kNow);
    } else if (change == 0) {
      this->state.Release(ref);
    } else if (change == 1) {
      this->state.MarkDone(ref, kNow);
    } else if (ref.task->state == RunState::kRecording) {
      ref.task->state = RunState::kActive;
    }
  }

  std::set<TaskKey> EndpointClaims() const {
    std::set<TaskKey> claims;
    for (const auto& [id, endpoint] : this->state.endpoints) {
      claims.insert(endpoint->claims.begin(), endpoint->claims.end());
    }
    return claims;
  }

  SchedulerState state;
};

/// States how `DivisionRound` marks jobs with claims, by a walk over the claims of all endpoints.
class PlainMarks {
 public:
  struct Marks {
    bool is_beyond_share = false;
    bool are_runs_beyond_share = false;

    friend bool operator==(const Marks&, const Marks&) = default;
  };

  explicit PlainMarks(Pool& pool) {
    std::map<JobState*, std::pair<ReadyKey, Resources>> claimed;
    for (const TaskKey& key : pool.EndpointClaims()) {
      const TaskRef ref = pool.state.Find(key);
      if (!ref.spec->is_long_running) {
        auto& [order, in_use] = claimed[ref.job];
        order.latest_start_ms = ref.job->deadline_ms;
        order.rank = 1 + pool.state.policy.queues.at(ref.job->job.queue).priority;
        order.job = key.job;
        in_use = in_use + RequiredCapacity(*ref.spec);
      }
    }
    std::map<ReadyKey, std::pair<JobState*, Resources>> ordered;
    for (const auto& [job, entry] : claimed) {
      if (kWallMs > entry.first.latest_start_ms) {
        this->marks[job->job.id] = {};
      } else {
        ordered[entry.first] = {job, entry.second};
      }
    }
    std::map<TeamId, Resources> used;
    for (const auto& [key, entry] : ordered) {
      const auto& [job, in_use] = entry;
      Resources& ahead = used[job->job.team];
      const AccountShare share{.due = pool.state.division.accounts.at(job->job.team).due,
                               .used = pool.state.division.shares.DominantFraction(ahead)};
      this->marks[key.job] = {job->ready ? job->is_beyond_share : share.IsBeyond(),
                              share.IsBeyond()};
      ahead = ahead + in_use;
    }
  }

  std::map<JobId, Marks> marks;
};

int Pick(int begin, int end) { return *rc::gen::inRange(begin, end); }

Step SomeStep() {
  Step step;
  step.count = static_cast<std::uint32_t>(Pick(1, 6));
  step.need = {Pick(1, 4) * std::int64_t{1000}, Pick(1, 4) * std::int64_t{500}, 0};
  step.estimate_ms = 4000;
  step.is_long_running = Pick(0, 6) == 0;
  return step;
}

/// Guards against claims that the shortcut of the division and of preemption doesn't see.
RC_GTEST_PROP(ClaimsProperty, AreVisitedAsTheEndpointsListThem, ()) {
  Pool pool(2);
  for (int left = Pick(1, 13); left > 0; --left) {
    std::vector<Step> steps{SomeStep()};
    if (Pick(0, 3) == 0) {
      steps.push_back(SomeStep());
    }
    pool.AddJob(Pick(0, 3), Pick(0, 2) == 0 ? "low" : "high",
                kWallMs + (Pick(0, 4) == 0 ? -1000 : 60'000), std::move(steps));
  }
  for (int left = Pick(0, 120); left > 0; --left) {
    const JobId id{static_cast<std::uint64_t>(Pick(0, 12)) % pool.state.jobs.size() + 1};
    JobState& job = *pool.state.FindJob(id);
    const auto step =
        static_cast<std::uint32_t>(Pick(0, 2)) % static_cast<std::uint32_t>(job.job.steps.size());
    const TaskRef ref = pool.state.Find(
        {id, 0, step, static_cast<std::uint32_t>(Pick(0, 6)) % job.job.steps[step].count});
    pool.Change(ref, static_cast<std::size_t>(Pick(0, 2)), Pick(0, 4));
  }
  std::set<TaskKey> visited;
  std::size_t visits = 0;
  pool.state.VisitClaims([&](const TaskRef& ref) {
    const TaskRef found = pool.state.Find(ref.key);
    RC_ASSERT(found.task == ref.task && found.spec == ref.spec && found.job == ref.job);
    visited.insert(ref.key);
    ++visits;
  });
  RC_ASSERT(visited == pool.EndpointClaims());
  RC_ASSERT(visits == visited.size());

  for (auto& [id, job] : pool.state.jobs) {
    job->are_runs_beyond_share = job->claims > 0;
  }
  DivisionRound(pool.state, kNow, kWallMs).Run();
  const bool is_full = pool.state.division.shares.IsFull();
  RC_CLASSIFY(is_full, "full");
  if (is_full) {
    for (const auto& [id, marks] : PlainMarks(pool).marks) {
      const JobState& job = *pool.state.FindJob(id);
      RC_ASSERT((PlainMarks::Marks{job.is_beyond_share, job.are_runs_beyond_share}) == marks);
    }
  }
}

constexpr std::uint32_t kTasks = 8;
constexpr int kJobs = 50;

/// A full pool of `kJobs` running jobs, and as many waiting ones.
struct FullPool : Pool {
  FullPool() : Pool(kJobs) {
    Step step;
    step.count = kTasks;
    step.need = {1000, 100, 0};
    step.estimate_ms = 4000;
    for (int i = 0; i < kJobs; ++i) {
      JobState& job = this->AddJob(i % 5, "low", kWallMs + 60'000, {step});
      for (std::uint32_t task = 0; task < kTasks; ++task) {
        const TaskRef ref = this->state.Find({job.job.id, 0, 0, task});
        this->state.Claim(ref, *this->state.FindEndpoint("i" + std::to_string(i)), 1, kNow);
        ref.task->state = RunState::kActive;
      }
      this->state.RefreshReady(job);
    }
    for (int i = 0; i < kJobs; ++i) {
      this->waiting.push_back({this->AddJob(i % 5, "low", kWallMs + 60'000, {step}).job.id});
    }
  }

  std::vector<TaskKey> waiting;
};

/// Guards against divisions that look up the job of every running task.
TEST(ClaimsCost, ADivisionLooksUpEachJobOnce) {
  FullPool pool;
  pool.state.job_lookups = 0;
  ASSERT_TRUE(DivisionRound(pool.state, kNow, kWallMs).Run());
  ASSERT_TRUE(pool.state.division.shares.IsFull());
  EXPECT_LE(pool.state.job_lookups, pool.state.jobs.size());
}

/// Guards against plans that look up the job of every running task.
TEST(ClaimsCost, APreemptionPlanLooksUpEachJobOnce) {
  FullPool pool;
  pool.state.job_lookups = 0;
  Preemption(pool.state).Run(pool.waiting, kNow);
  EXPECT_LE(pool.state.job_lookups, pool.state.jobs.size());
}

}  // namespace
}  // namespace chervilspar::jobs
