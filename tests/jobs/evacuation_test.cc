#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = SchedulerHarness;

/// A step whose tasks fill an endpoint each, and of which one may be unavailable at a time.
Step MakeServing(std::uint32_t count, std::int64_t cores) {
  Step step = Harness::MakeStep(count, cores * 1000);
  step.is_long_running = true;
  step.max_per_endpoint = 1;
  step.max_unavailable = 1;
  return step;
}

std::string NameOf(const std::string& kind, int number) {
  return kind + std::to_string(1000 + number);
}

/// A pool whose long-running tasks are all ready, on endpoints that a maintenance wave evacuates.
class Wave {
 public:
  /// Starts the tasks of `steps`, one job a step, on endpoints of 8 cores, one for each task.
  explicit Wave(const std::vector<Step>& steps) {
    int tasks = 0;
    for (const Step& step : steps) {
      tasks += static_cast<int>(step.count);
    }
    this->AddEndpoints("leaving", tasks, 8);
    std::uint64_t number = 0;
    for (const Step& step : steps) {
      this->harness.scheduler.AddJob(Harness::MakeJob(++number, {step}), this->Wall());
    }
    for (const StartOrder& start : this->harness.StartAll()) {
      this->runs[start.endpoint].push_back(start);
    }
    this->harness.AdvanceTime(seconds(3));
  }

  void AddEndpoints(const std::string& kind, int count, std::int64_t cores) {
    for (int i = 0; i < count; ++i) {
      this->records.push_back(Harness::Endpoint(NameOf(kind, i), cores));
    }
    this->harness.scheduler.SetEndpoints(this->records, this->harness.now);
    for (int i = 0; i < count; ++i) {
      this->harness.AnswerRenewal(NameOf(kind, i), {}, {});
    }
  }

  /// Evacuates all endpoints that run a task.
  void EvacuateAll() {
    for (const auto& [endpoint, starts] : this->runs) {
      this->harness.scheduler.BeginEvacuation(endpoint, this->harness.now);
    }
  }

  /// All tasks report that they are ready, but for those of `unready` jobs.
  void Report(const std::set<JobId>& unready = {}) {
    for (const auto& [endpoint, starts] : this->runs) {
      std::vector<ActiveRun> active;
      for (const StartOrder& start : starts) {
        active.push_back(Harness::Active(start, unready.contains(start.task.job) ? 50 : 100));
      }
      this->harness.AnswerRenewal(endpoint, std::move(active), {});
    }
  }

  /// Decides at the next review of the endpoints that are being evacuated; returns the stops.
  std::size_t Review() {
    this->harness.AdvanceTime(milliseconds(30));
    return this->harness.Round().stops.size();
  }

  /// Tasks that have to move and have no target.
  int LacksTarget() const {
    return this->harness.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running;
  }

  WallTime Wall() const { return WallTime(this->harness.now.time_since_epoch()); }

  Harness harness;
  std::vector<EndpointRecord> records;
  std::map<std::string, std::vector<StartOrder>> runs;
};

/// Endpoints of one size that are free when a wave begins.
struct FreeEndpoints {
  int count;
  std::int64_t cores;
};

struct TargetCase {
  const char* name;
  std::vector<Step> steps;
  std::vector<FreeEndpoints> free;
  /// Jobs of which no task may be stopped, as their tasks aren't ready.
  std::set<JobId> unready;
  std::size_t stops;
  int lacking;
};

class WaveTargets : public ::testing::TestWithParam<TargetCase> {};

/// Guards against a wave that requests too few or too many endpoints for the tasks that have to
/// wait for their turn: each needs one of its own.
TEST_P(WaveTargets, AreCountedForAllTasksThatWaitForTheirTurn) {
  Wave wave(GetParam().steps);
  int kind = 0;
  for (const FreeEndpoints& endpoints : GetParam().free) {
    wave.AddEndpoints(NameOf("free", ++kind), endpoints.count, endpoints.cores);
  }
  wave.Report(GetParam().unready);
  wave.EvacuateAll();
  EXPECT_EQ(wave.Review(), GetParam().stops);
  EXPECT_EQ(wave.LacksTarget(), GetParam().lacking);
}

Step WithLabel(Step step, const std::string& label) {
  step.required_label = label;
  return step;
}

/// Endpoints that are evacuated have the label "r-l", free ones "r-f".
INSTANTIATE_TEST_SUITE_P(
    Evacuation, WaveTargets,
    ::testing::Values(
        TargetCase{"enough", {MakeServing(4, 8)}, {{4, 8}}, {JobId{1}}, 0, 0},
        TargetCase{"one_too_few", {MakeServing(4, 8)}, {{3, 8}}, {JobId{1}}, 0, 1},
        TargetCase{"none", {MakeServing(4, 8)}, {}, {JobId{1}}, 0, 4},
        TargetCase{"none_large_enough", {MakeServing(4, 8)}, {{9, 7}}, {JobId{1}}, 0, 4},
        // The task that moves first reserves an endpoint.
        TargetCase{"one_reserved", {MakeServing(4, 8)}, {{4, 8}}, {}, 1, 0},
        TargetCase{"one_reserved_one_too_few", {MakeServing(4, 8)}, {{3, 8}}, {}, 1, 1},
        // A reserved endpoint is no target, even if it has free capacity left.
        TargetCase{"reserved_with_room", {MakeServing(3, 8)}, {{2, 16}}, {}, 1, 1},
        // One task an endpoint, even if there is room for two.
        TargetCase{"large_endpoints", {MakeServing(4, 8)}, {{2, 16}}, {JobId{1}}, 0, 2},
        TargetCase{"two_steps",
                   {MakeServing(3, 8), MakeServing(3, 8)},
                   {{5, 8}},
                   {JobId{1}, JobId{2}},
                   0,
                   1},
        TargetCase{"mixed_sizes_enough",
                   {MakeServing(2, 8), MakeServing(2, 5)},
                   {{2, 8}, {2, 5}},
                   {JobId{1}, JobId{2}},
                   0,
                   0},
        TargetCase{"mixed_sizes_too_few_large",
                   {MakeServing(3, 8), MakeServing(2, 5)},
                   {{2, 8}, {4, 5}},
                   {JobId{1}, JobId{2}},
                   0,
                   1},
        // Long-running tasks take the endpoint with the most free cpu, and those of the first
        // endpoints are placed first.
        TargetCase{"small_tasks_take_large_endpoints",
                   {MakeServing(2, 5), MakeServing(2, 8)},
                   {{2, 8}, {2, 5}},
                   {JobId{1}, JobId{2}},
                   0,
                   2},
        TargetCase{
            "required_label", {WithLabel(MakeServing(2, 8), "r-l")}, {{4, 8}}, {JobId{1}}, 0, 2}),
    [](const auto& info) { return info.param.name; });

/// Guards against a task whose target is the endpoint that it has to leave, or another that is
/// being evacuated, although both have free capacity.
TEST(WaveTargetsOfSmallTasks, AreOnOtherEndpointsThatStay) {
  Wave wave({MakeServing(4, 2)});
  wave.Report({JobId{1}});
  wave.EvacuateAll();
  EXPECT_EQ(wave.Review(), 0U);
  EXPECT_EQ(wave.LacksTarget(), 4);
}

struct CostCase {
  const char* name;
  std::uint32_t jobs;
  std::uint32_t tasks_per_job;
  std::uint32_t free;
  /// Endpoints that are evacuated have the label "r-l", free ones "r-f".
  std::string required_label;
  bool is_ready;
  std::uint32_t lacking;
};

class ReviewCost : public ::testing::TestWithParam<CostCase> {};

/// Guards against a review of a wave that examines the whole pool for each task that waits, which
/// fills the owner's processor in a pool of hundreds of endpoints.
TEST_P(ReviewCost, DoesNotGrowWithTasksTimesEndpoints) {
  const CostCase& test = GetParam();
  Wave wave(std::vector<Step>(test.jobs,
                              WithLabel(MakeServing(test.tasks_per_job, 8), test.required_label)));
  wave.AddEndpoints("free", static_cast<int>(test.free), 8);
  std::set<JobId> unready;
  for (std::uint64_t number = 1; number <= test.jobs && !test.is_ready; ++number) {
    unready.insert(JobId{number});
  }
  wave.Report(unready);
  wave.EvacuateAll();
  const std::uint64_t before = wave.harness.scheduler.EndpointsExamined();
  EXPECT_EQ(wave.Review(), 0U);
  const std::uint64_t examined = wave.harness.scheduler.EndpointsExamined() - before;
  EXPECT_EQ(wave.LacksTarget(), static_cast<int>(test.lacking));
  const std::uint64_t tasks = std::uint64_t{test.jobs} * test.tasks_per_job;
  const std::uint64_t endpoints = tasks + test.free;
  EXPECT_LE(examined, 2 * (endpoints + tasks));
}

INSTANTIATE_TEST_SUITE_P(
    Evacuation, ReviewCost,
    ::testing::Values(CostCase{"waiting_with_targets", 1, 100, 700, "", false, 0},
                      CostCase{"waiting_without_targets", 1, 100, 700, "r-l", false, 100},
                      CostCase{"may_stop_without_targets", 1, 100, 700, "r-l", true, 100}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
