#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerHarness;

constexpr std::uint32_t kManyRepeats = 2000;
/// No due time of a test's job is later than this.
constexpr std::int64_t kDueMs = 1000;

Job RepeatingJob(std::uint32_t repeats, std::vector<Step> steps) {
  Job job = World::MakeJob(1, std::move(steps));
  job.repeats = repeats;
  job.first_due_ms = 0;
  job.interval_ms = kDueMs / std::max<std::uint32_t>(repeats, kDueMs);
  return job;
}

/// Endpoints that end all tasks as soon as they have started, but for those that `is_stuck`
/// selects.
struct QuickWorld : World {
  explicit QuickWorld(const SchedulerOptions& options) : World(options) {
    this->Register({World::Endpoint("a", 64)});
  }

  /// Runs until `count` more tasks have ended, or nothing starts any more.
  void EndTasks(std::size_t count, const std::function<bool(const TaskKey&)>& is_stuck = {}) {
    while (count > 0) {
      const std::vector<StartOrder> starts = this->StartAll();
      std::vector<EndedRun> ended;
      for (const StartOrder& start : starts) {
        if (is_stuck && is_stuck(start.task)) {
          this->stuck.push_back(World::Active(start));
        } else {
          ended.push_back(World::Ended(++this->last_end, start, RunEnd::kDone));
        }
      }
      if (ended.empty()) {
        return;
      }
      count -= std::min(count, ended.size());
      this->AnswerRenewal("a", this->stuck, std::move(ended));
    }
    this->Store();
  }

  std::size_t StoredBytes() const { return this->stored.at(JobId{1}).size(); }

  std::vector<ActiveRun> stuck;
  std::uint64_t last_end = 0;
};

struct GrowthCase {
  const char* name;
  ProgressForm form;
  /// The first occurrence stays open while all others complete.
  bool is_first_stuck;
};

class StoredRepeatingJob : public ::testing::TestWithParam<GrowthCase> {
 protected:
  SchedulerOptions Options() const {
    SchedulerOptions options;
    options.progress_form = GetParam().form;
    return options;
  }

  std::function<bool(const TaskKey&)> Stuck() const {
    const bool is_first_stuck = GetParam().is_first_stuck;
    return [is_first_stuck](const TaskKey& task) {
      return is_first_stuck && task.occurrence == 0 && task.step == 0;
    };
  }

  Job job = RepeatingJob(kManyRepeats, std::vector<Step>(2, World::MakeStep(1)));
};

/// Guards against a record that grows with each complete occurrence until the store rejects it, and
/// nothing is started any more for any team.
TEST_P(StoredRepeatingJob, TakesNoMoreBytesWithEachOccurrence) {
  QuickWorld world(this->Options());
  world.scheduler.AddJob(this->job, WallTime{});
  world.EndTasks(700, this->Stuck());
  const std::size_t early = world.StoredBytes();
  world.EndTasks(3000, this->Stuck());
  EXPECT_LE(world.StoredBytes(), early + 64);
}

/// Guards against a successor that runs complete occurrences again, or leaves out one that is open.
TEST_P(StoredRepeatingJob, GoesOnWhereThePredecessorEnded) {
  QuickWorld before(this->Options());
  before.scheduler.AddJob(this->job, WallTime{});
  before.EndTasks(2500, this->Stuck());
  QuickWorld after(this->Options());
  after.now = before.now;
  after.scheduler.AddJob(this->job, WallTime{});
  ASSERT_TRUE(after.scheduler.RestoreStored(JobId{1}, {before.stored.at(JobId{1})}));
  after.last_end = before.last_end;
  after.stuck = before.stuck;
  after.AnswerRenewal("a", after.stuck, {});
  std::set<TaskKey> started;
  for (std::vector<StartOrder> starts = after.StartAll(); !starts.empty();
       starts = after.StartAll()) {
    std::vector<EndedRun> ended;
    for (const StartOrder& start : starts) {
      started.insert(start.task);
      ended.push_back(World::Ended(++after.last_end, start, RunEnd::kDone));
    }
    after.AnswerRenewal("a", after.stuck, std::move(ended));
  }
  const std::size_t total = kManyRepeats * this->job.steps.size();
  EXPECT_LE(started.size(), total - 2500);
  if (GetParam().is_first_stuck) {
    const ActiveRun& last = after.stuck.front();
    after.AnswerRenewal("a", {}, {{++after.last_end, last.task, last.run, RunEnd::kDone, ""}});
    after.stuck.clear();
    after.EndTasks(1);
  }
  after.Store();
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kComplete);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, StoredRepeatingJob,
    ::testing::Values(GrowthCase{"rows", ProgressForm::kRows, false},
                      GrowthCase{"compact", ProgressForm::kCompact, false},
                      GrowthCase{"rows_while_the_first_is_open", ProgressForm::kRows, true},
                      GrowthCase{"compact_while_the_first_is_open", ProgressForm::kCompact, true}),
    [](const auto& info) { return info.param.name; });

/// A record in which an older version has kept the rows of complete occurrences. Guards against a
/// successor that starts their tasks again or keeps the rows.
TEST(StoredRepeatingJobOfAnOlderVersion, LosesTheRowsOfCompleteOccurrences) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(RepeatingJob(3, {World::MakeStep(1)}), WallTime{});
  ASSERT_TRUE(world.scheduler.RestoreStored(
      JobId{1}, {R"({"phase":1,"complete":[0,1],"rows":[[0,0,0,2,1,0,0,"",0,""],)"
                 R"([1,0,0,2,1,0,0,"",0,""]]})"}));
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].task.occurrence, 2U);
  const JobProgress stored = *DecodeProgress(world.stored.at(JobId{1}));
  EXPECT_EQ(stored.rows.size(), 1U);
  EXPECT_EQ(stored.complete_occurrences, OccurrenceSet({0, 1}));
}

/// A run of a task that is done elsewhere is still being stopped when its occurrence completes.
/// Guards against a successor that doesn't know of it.
TEST(CompleteOccurrence, KeepsTheRowsOfRunsThatAreBeingStopped) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(RepeatingJob(1, {World::MakeStep(1)}), WallTime{});
  const std::vector<StartOrder> first = world.StartAll();
  ASSERT_EQ(first.size(), 1U);
  world.scheduler.OnRenewalFailed(first[0].endpoint, OrderOutcome::kNoAnswer, world.now);
  world.AdvanceTime(std::chrono::seconds(6));
  const std::string other = first[0].endpoint == "a" ? "b" : "a";
  world.AnswerRenewal(other, {}, {});
  const std::vector<StartOrder> second = world.StartAll();
  ASSERT_EQ(second.size(), 1U);
  world.AnswerRenewal(first[0].endpoint, {}, {World::Ended(1, first[0], RunEnd::kDone)});
  world.Store();
  const JobProgress stored = *DecodeProgress(world.stored.at(JobId{1}));
  ASSERT_EQ(stored.rows.size(), 1U);
  EXPECT_EQ(stored.rows[0].progress.endpoint, other);
}

struct HugeCase {
  const char* name;
  std::uint32_t repeats;
  std::int64_t first_due_ms;
  std::int64_t interval_ms;
  std::uint32_t tasks;
};

class HugeJob : public ::testing::TestWithParam<HugeCase> {};

/// Guards against an owner that runs out of memory, or spends seconds in one round, because all
/// occurrences of a job are due at once.
TEST_P(HugeJob, HasALimitedNumberOfOpenTasks) {
  World world;
  EndpointRecord endpoint = World::Endpoint("a");
  endpoint.capacity = {1'000'000'000, 1'000'000'000, 0};
  world.Register({endpoint});
  Job job = World::MakeJob(1, {World::MakeStep(GetParam().tasks)});
  job.repeats = GetParam().repeats;
  job.first_due_ms = GetParam().first_due_ms;
  job.interval_ms = GetParam().interval_ms;
  world.scheduler.AddJob(job, WallTime{});
  std::uint64_t last_end = 0;
  for (std::uint32_t round = 0; round < 3; ++round) {
    const std::vector<StartOrder> starts = world.StartAll();
    EXPECT_GE(starts.size(), GetParam().tasks);
    EXPECT_LE(starts.size(), kMaxTasks);
    std::vector<EndedRun> ended;
    ended.reserve(starts.size());
    for (const StartOrder& start : starts) {
      ended.push_back(World::Ended(++last_end, start, RunEnd::kDone));
    }
    world.AnswerRenewal("a", {}, std::move(ended));
    world.Store();
  }
}

INSTANTIATE_TEST_SUITE_P(
    AllDue, HugeJob,
    ::testing::Values(HugeCase{"at_the_same_time", 0x7fffffff, 0, 0, 1},
                      HugeCase{"each_millisecond", 0x7fffffff, -0x7fffffffLL, 1, 4},
                      HugeCase{"from_the_earliest_time", 0x7fffffff, INT64_MIN / 2, 1000, 1},
                      HugeCase{"of_the_largest_size", 1000, 0, 0, kMaxTasks}),
    [](const auto& info) { return info.param.name; });

/// Guards against a job whose open occurrences find no room and keep the owner busy: each of
/// thousands is tried in each round.
TEST(JobWithManyOpenOccurrences, IsCheapWhileThereIsNoRoom) {
  const auto examined_in_a_round = [](std::uint32_t repeats) {
    World world;
    world.Register({World::Endpoint("a", 1), World::Endpoint("b", 1)});
    world.scheduler.AddJob(RepeatingJob(repeats, {World::MakeStep(1)}), WallTime{});
    world.StartAll();
    const std::uint64_t before = world.scheduler.EndpointsExamined();
    world.StartAll();
    return world.scheduler.EndpointsExamined() - before;
  };
  EXPECT_LE(examined_in_a_round(kMaxTasks), 2 * examined_in_a_round(50));
}

/// Guards against a step that can't run now, for example as its label is missing, and holds up the
/// other steps of later occurrences.
TEST(JobWithManyOpenOccurrences, PlacesStepsBesideOneThatWaits) {
  World world;
  world.Register({World::Endpoint("a", 64)});
  std::vector<Step> steps(2, World::MakeStep(1));
  steps[0].required_label = "no such label";
  world.scheduler.AddJob(RepeatingJob(60, std::move(steps)), WallTime{});
  std::size_t started = 0;
  for (int round = 0; round < 3; ++round) {
    started += world.StartAll().size();
  }
  EXPECT_EQ(started, 60U);
}

}  // namespace
}  // namespace chervilspar::jobs
