#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

/// A store that rejects every record of a job that is larger than a limit, which the scheduler
/// doesn't know.
struct StrictStore : World {
  static constexpr std::uint32_t kTasks = 100;

  explicit StrictStore(std::size_t limit) : limit(limit) {
    this->Register({World::Endpoint("a", 64)});
    this->Add(1, kTasks);
    this->Add(2, 1);
  }

  void Add(std::uint64_t number, std::uint32_t tasks) {
    this->scheduler.AddJob(World::MakeJob(number, {World::MakeStep(tasks, 100)}), WallTime{});
  }

  /// Decides, and stores what the store accepts.
  std::vector<StartOrder> StoreRound() {
    this->Decide();
    if (!this->scheduler.HasBatch()) {
      return {};
    }
    std::set<JobId> rejected;
    const Batch batch = this->scheduler.TakeBatch();
    for (const ProgressRecord& record : batch.records) {
      if (record.text && record.text->size() > this->limit) {
        rejected.insert(record.job);
      }
    }
    ++this->attempts;
    return this->scheduler.ConfirmBatch(this->now, rejected).starts;
  }

  std::vector<StartOrder> StoreRounds(int count) {
    std::vector<StartOrder> all;
    for (int i = 0; i < count; ++i) {
      const std::vector<StartOrder> starts = this->StoreRound();
      all.insert(all.end(), starts.begin(), starts.end());
    }
    return all;
  }

  static std::size_t CountOf(std::uint64_t job, const std::vector<StartOrder>& starts) {
    return static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(),
                      [job](const StartOrder& start) { return start.task.job == JobId{job}; }));
  }

  const std::size_t limit;
  int attempts = 0;
};

/// Guards against one job whose record the store rejects, and that keeps the jobs of everybody else
/// from being stored and started.
TEST(RejectedProgress, DoesNotHoldUpOtherJobs) {
  StrictStore world(1200);
  const std::vector<StartOrder> first = world.StoreRound();
  EXPECT_EQ(StrictStore::CountOf(1, first), 0U);
  EXPECT_EQ(StrictStore::CountOf(2, first), 1U);
}

/// Guards against a job that is given up, though smaller records of it would be accepted.
TEST(RejectedProgress, IsStoredInSmallerRecords) {
  StrictStore world(1200);
  EXPECT_EQ(StrictStore::CountOf(1, world.StoreRounds(12)), StrictStore::kTasks);
}

/// Guards against starts whose placement isn't stored, and against attempts without a pause, when
/// no record of the job is accepted.
TEST(RejectedProgress, OfAnySizeStartsNothing) {
  StrictStore world(10);
  EXPECT_EQ(StrictStore::CountOf(1, world.StoreRounds(50)), 0U);
  EXPECT_LE(world.attempts, 12);
  world.Add(3, 1);
  EXPECT_EQ(StrictStore::CountOf(3, world.StoreRounds(2)), 0U);
}

/// The store accepts the job's record after all. Guards against a job that never starts again.
TEST(RejectedProgress, IsTriedAgainLater) {
  World world;
  world.Register({World::Endpoint("a", 64)});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(3)}), WallTime{});
  for (int i = 0; i < 20; ++i) {
    world.Decide();
    if (world.scheduler.HasBatch()) {
      world.scheduler.TakeBatch();
      EXPECT_TRUE(world.scheduler.ConfirmBatch(world.now, {JobId{1}}).starts.empty());
    }
  }
  EXPECT_TRUE(world.Round().starts.empty());
  world.AdvanceTime(std::chrono::milliseconds(1500));
  world.AnswerRenewal("a", {}, {});
  world.Round();
  EXPECT_EQ(world.Round().starts.size(), 3U);
}

/// Guards against an end that the endpoint may forget before it is stored: its progress is
/// rejected, while ends of other jobs that the endpoint has listed after it are stored.
TEST(RejectedProgress, KeepsItsEndsUnconfirmed) {
  World world;
  world.Register({World::Endpoint("a", 64)});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2)}), WallTime{});
  world.scheduler.AddJob(World::MakeJob(2, {World::MakeStep(1)}), WallTime{});
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 3U);
  std::vector<EndedRun> ended;
  std::vector<ActiveRun> active;
  for (const StartOrder& start : starts) {
    if (start.task == TaskKey{JobId{1}, 0, 0, 1}) {
      active.push_back(World::Active(start));
    } else {
      ended.push_back(World::Ended(ended.size() + 1, start, RunEnd::kDone));
    }
  }
  ASSERT_EQ(ended[0].task.job, JobId{1});
  world.AnswerRenewal("a", active, ended);
  world.scheduler.TakeBatch();
  world.scheduler.ConfirmBatch(world.now, {JobId{1}});
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 0U);
  EXPECT_EQ(world.PhaseOf(2), JobPhase::kComplete);
  world.Store();
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 2U);
}

/// The progress of a job is stored in several records, in fewer later, and in one at its end.
class DividedProgress : public ::testing::TestWithParam<ProgressForm> {
 protected:
  static constexpr std::uint32_t kTasks = 60;

  DividedProgress() : world(Options()) {
    this->world.Register({World::Endpoint("a", 64), World::Endpoint("b", 64)});
    this->world.scheduler.AddJob(this->job, WallTime{});
    this->starts = this->world.StartAll();
  }

  static SchedulerOptions Options() {
    SchedulerOptions options;
    options.progress_form = GetParam();
    options.max_record_bytes = 40;
    return options;
  }

  std::vector<std::string_view> Parts() const {
    std::vector<std::string_view> parts{this->world.stored.at(JobId{1})};
    for (const auto& [number, text] : this->world.further_parts.at(JobId{1})) {
      parts.push_back(text);
    }
    return parts;
  }

  /// The first `count` tasks end.
  void EndTasks(std::uint32_t count) {
    std::map<std::string, std::vector<EndedRun>> ended;
    std::map<std::string, std::vector<ActiveRun>> active;
    for (const StartOrder& start : this->starts) {
      std::vector<EndedRun>& there = ended[start.endpoint];
      if (start.task.index < count) {
        there.push_back(World::Ended(there.size() + 1, start, RunEnd::kDone));
      } else {
        active[start.endpoint].push_back(World::Active(start));
      }
    }
    for (const auto& [endpoint, ends] : ended) {
      this->world.AnswerRenewal(endpoint, active[endpoint], ends);
    }
    this->world.Store();
  }

  Job job = World::MakeJob(1, {World::MakeStep(kTasks)});
  World world;
  std::vector<StartOrder> starts;
};

/// Guards against a successor that reads one record of several and starts the tasks of the others
/// again.
TEST_P(DividedProgress, IsReadByASuccessor) {
  ASSERT_EQ(this->starts.size(), kTasks);
  EXPECT_GT(this->Parts().size(), 1U);
  World after({}, 2);
  after.scheduler.SetEndpoints({World::Endpoint("a", 64), World::Endpoint("b", 64)}, after.now);
  after.scheduler.AddJob(this->job, WallTime{});
  ASSERT_TRUE(after.scheduler.RestoreStored(JobId{1}, this->Parts()));
  for (const char* endpoint : {"a", "b"}) {
    std::vector<ActiveRun> active;
    for (const StartOrder& start : this->starts) {
      if (start.endpoint == endpoint) {
        active.push_back(World::Active(start));
      }
    }
    after.AnswerRenewal(endpoint, std::move(active), {});
  }
  const Orders orders = after.Round();
  EXPECT_TRUE(orders.starts.empty());
  EXPECT_TRUE(orders.stops.empty());
}

TEST_P(DividedProgress, IsRejectedIfAPartIsMissing) {
  std::vector<std::string_view> parts = this->Parts();
  parts.pop_back();
  World after({}, 2);
  after.scheduler.AddJob(this->job, WallTime{});
  EXPECT_FALSE(after.scheduler.RestoreStored(JobId{1}, parts));
}

/// Guards against records that stay in the store for ever after their job.
TEST_P(DividedProgress, LeavesNoFurtherRecordsAtItsEnd) {
  this->EndTasks(kTasks);
  EXPECT_EQ(this->world.PhaseOf(1), JobPhase::kComplete);
  EXPECT_TRUE(this->world.further_parts.at(JobId{1}).empty());
}

/// The attempt with fewer records was rejected. Guards against surplus records that are left over.
TEST_P(DividedProgress, DropsSurplusRecordsAfterARejection) {
  const std::size_t before = this->Parts().size();
  this->world.AnswerRenewal("a", {}, {});
  this->world.AnswerRenewal("b", {}, {});
  this->world.scheduler.CancelJob(JobId{1});
  if (this->world.scheduler.HasBatch()) {
    this->world.scheduler.TakeBatch();
    this->world.scheduler.ConfirmBatch(this->world.now, {JobId{1}});
  }
  this->world.Store();
  EXPECT_GT(before, 1U);
  EXPECT_TRUE(this->world.further_parts.at(JobId{1}).empty());
}

INSTANTIATE_TEST_SUITE_P(Forms, DividedProgress,
                         ::testing::Values(ProgressForm::kRows, ProgressForm::kCompact),
                         [](const auto& info) {
                           return info.param == ProgressForm::kRows ? "rows" : "compact";
                         });

}  // namespace
}  // namespace chervilspar::jobs
