#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chervilspar/jobs/admission_outlook.h"

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

/// More than all endpoints have, so that the task waits for ever.
constexpr std::int64_t kTooMuchCpu = 1'000'000;
/// The first of the jobs that become over.
constexpr std::uint64_t kFirstOver = 100;

/// One endpoint of 64 cores. A job fails with its first failed run.
struct OpenJobsWorld : World {
  explicit OpenJobsWorld(const SchedulerOptions& options = {}) : World(options) {
    for (auto& [name, queue] : this->policy.queues) {
      queue.attempts = 1;
    }
    this->scheduler.SetPolicy(this->policy);
    this->Register({World::Endpoint("a", 64)});
  }

  void Add(const Job& job) { this->scheduler.AddJob(job, WallTime(this->now.time_since_epoch())); }

  /// Adds a job of another team that is going to be over.
  void AddOther(std::uint64_t number) {
    Job job = World::MakeJob(number, {World::MakeStep(2)});
    job.team = TeamId{"guest"};
    this->Add(job);
  }

  std::vector<StartOrder> StartOther(std::uint64_t number) {
    this->AddOther(number);
    std::vector<StartOrder> starts = this->StartAll();
    EXPECT_EQ(starts.size(), 2U);
    return starts;
  }

  void EndRuns(const std::vector<StartOrder>& starts, RunEnd end) {
    std::vector<EndedRun> ended;
    ended.reserve(starts.size());
    for (const StartOrder& start : starts) {
      ended.push_back(World::Ended(++this->last_end, start, end));
    }
    this->AnswerRenewal("a", {}, ended);
    this->Round();
  }

  void Restore(std::uint64_t number, JobPhase phase, std::int64_t ended_ms) {
    JobProgress progress;
    progress.phase = phase;
    progress.ended_ms = ended_ms;
    this->scheduler.RestoreProgress(JobId{number}, progress);
  }

  /// Lets ejections and delays pass.
  void Settle() {
    this->now = TimePoint{} + std::chrono::seconds(60);
    this->scheduler.SetProof(this->now);
    this->AnswerRenewal("a", {}, {});
    this->Round();
  }

  std::uint64_t last_end = 0;
};

/// A way in which a job becomes over.
struct EndCase {
  const char* name;
  std::function<void(OpenJobsWorld&, std::uint64_t number)> act;
};

const std::vector<EndCase> kEndCases = {
    {"restored_as_complete",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.AddOther(number);
       world.Restore(number, JobPhase::kComplete, 500);
     }},
    {"restored_without_end_date",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.AddOther(number);
       world.Restore(number, JobPhase::kFailed, 0);
     }},
    {"restored_without_submission",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.Restore(number, JobPhase::kCancelled, 500);
     }},
    {"cancelled_before_submission",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.scheduler.CancelJob(JobId{number});
       world.AddOther(number);
     }},
    {"cancelled_while_waiting",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.AddOther(number);
       world.scheduler.CancelJob(JobId{number});
     }},
    {"cancelled_while_running",
     [](OpenJobsWorld& world, std::uint64_t number) {
       const std::vector<StartOrder> starts = world.StartOther(number);
       world.scheduler.CancelJob(JobId{number});
       world.EndRuns(starts, RunEnd::kStopped);
     }},
    {"cancelled_with_claims",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.StartOther(number);
       world.scheduler.CancelJob(JobId{number});
     }},
    {"complete",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.EndRuns(world.StartOther(number), RunEnd::kDone);
     }},
    {"failed",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.EndRuns(world.StartOther(number), RunEnd::kFailed);
     }},
    {"forgotten",
     [](OpenJobsWorld& world, std::uint64_t number) {
       world.EndRuns(world.StartOther(number), RunEnd::kDone);
       world.scheduler.Forget({JobId{number}});
     }},
};

/// The results of the passes over all jobs.
struct Views {
  std::map<ServiceId, PoolLoad> loads;
  AdmissionOutlook outlook;
  std::uint64_t bookings = 0;
  std::uint64_t watch = 0;
  std::uint64_t visited = 0;

  explicit Views(const OpenJobsWorld& world) {
    const std::uint64_t before = world.scheduler.JobsVisited();
    this->loads = world.scheduler.PoolLoads();
    for (auto& [service, load] : this->loads) {
      // These count all jobs that have ever arrived.
      load.cpu.arrived = 0;
      load.memory.arrived = 0;
      load.arrived_jobs = 0;
    }
    this->outlook = world.scheduler.Outlook({}, world.now);
    this->bookings = world.scheduler.PendingIn("bookings");
    this->watch = world.scheduler.PendingIn("watch");
    this->visited = world.scheduler.JobsVisited() - before;
  }

  friend bool operator==(const Views&, const Views&) = default;
};

/// Guards against passes that grow with the jobs that have ended, which are kept for minutes, until
/// they fill the processor of the owner.
class JobThatIsOver : public ::testing::TestWithParam<EndCase> {};

TEST_P(JobThatIsOver, AddsNothingToAPass) {
  OpenJobsWorld world;
  GetParam().act(world, kFirstOver);
  EXPECT_EQ(Views(world).visited, 0U);
  world.Settle();
  EXPECT_EQ(Views(world).visited, 0U);
  world.scheduler.SetPolicy(world.policy);
  EXPECT_EQ(world.scheduler.JobsVisited(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Ends, JobThatIsOver, ::testing::ValuesIn(kEndCases),
                         [](const auto& info) { return info.param.name; });

TEST(OpenJobs, AreVisitedOnceByEachPass) {
  OpenJobsWorld world;
  world.AddOther(1);
  world.AddOther(2);
  EXPECT_EQ(Views(world).visited, 6U);
}

/// A scheduler with open jobs of each kind, and others that are over.
Views PlayWith(const std::vector<std::size_t>& ends, const SchedulerOptions& options) {
  OpenJobsWorld world(options);
  const Job restored = World::MakeJob(200, {World::MakeStep(1), World::MakeStep(3, kTooMuchCpu)});
  world.Add(restored);
  JobProgress progress;
  progress.phase = JobPhase::kRunning;
  progress.rows.push_back({0, 0, 0, {.phase = TaskPhase::kDone, .run = 1, .ended_run = 1}});
  world.scheduler.RestoreProgress(restored.id, progress);
  for (std::size_t i = 0; i < ends.size(); ++i) {
    kEndCases[ends[i]].act(world, kFirstOver + i);
  }
  world.Settle();
  world.Add(World::MakeJob(2, {World::MakeStep(3), World::MakeStep(2)}));
  const std::vector<StartOrder> starts = world.StartAll();
  EXPECT_EQ(starts.size(), 5U);
  world.AnswerRenewal("a", {World::Active(starts.at(0)), World::Active(starts.at(1))},
                      {World::Ended(++world.last_end, starts.at(2), RunEnd::kDone)});
  Job waiting = World::MakeJob(300, {World::MakeStep(4)});
  waiting.queue = "watch";
  world.Add(waiting);
  return Views(world);
}

RC_GTEST_PROP(OpenJobsProperty, PassesAreTheSameWithoutTheJobsThatAreOver, ()) {
  auto ends = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, kEndCases.size()));
  // Progress is restored before anything else, and comes first in the table.
  std::sort(ends.begin(), ends.end());
  SchedulerOptions options;
  // The starts of all cases are expected.
  options.failures_to_eject = 1'000'000;
  options.divides_shares = *rc::gen::arbitrary<bool>();
  RC_ASSERT(PlayWith(ends, options) == PlayWith({}, options));
}

}  // namespace
}  // namespace chervilspar::jobs
