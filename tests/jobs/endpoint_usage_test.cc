#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

Job LongRunningJob(std::uint64_t number) {
  Step step = World::MakeStep(1);
  step.is_long_running = true;
  return World::MakeJob(number, {step});
}

/// With and without a division among accounts, for which long-running work is counted too.
class UsageOfAnEndpoint : public ::testing::TestWithParam<bool> {
 protected:
  static SchedulerOptions Options() {
    SchedulerOptions options;
    options.divides_shares = GetParam();
    return options;
  }

  EndpointUsage Usage() const { return this->world.scheduler.UsageOf("a").value(); }

  World world{Options()};
};

/// Guards against moving a VM away from under a long-running task, and against keeping one for a
/// task that has left.
TEST_P(UsageOfAnEndpoint, TellsWhetherALongRunningTaskHasAClaim) {
  this->world.Register({World::Endpoint("a")});
  this->world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  const StartOrder batch = this->world.StartAll().at(0);
  EXPECT_TRUE(this->Usage().has_claims);
  EXPECT_FALSE(this->Usage().has_long_running);
  for (const std::uint64_t number : {2, 3}) {
    this->world.scheduler.AddJob(LongRunningJob(number), WallTime{});
  }
  const std::vector<StartOrder> services = this->world.StartAll();
  ASSERT_EQ(services.size(), 2U);
  this->world.AnswerRenewal("a", {World::Active(services[0]), World::Active(services[1])},
                            {World::Ended(1, batch, RunEnd::kDone)});
  EXPECT_TRUE(this->Usage().has_long_running);
  this->world.scheduler.CancelJob(services[0].task.job);
  this->world.AnswerRenewal("a", {World::Active(services[1])},
                            {World::Ended(2, services[0], RunEnd::kStopped)});
  EXPECT_TRUE(this->Usage().has_long_running);
  this->world.scheduler.CancelJob(services[1].task.job);
  this->world.AnswerRenewal("a", {}, {World::Ended(3, services[1], RunEnd::kStopped)});
  EXPECT_FALSE(this->Usage().has_long_running);
  EXPECT_FALSE(this->Usage().has_claims);
}

TEST_P(UsageOfAnEndpoint, CountsALongRunningTaskOfAPredecessor) {
  this->world.scheduler.AddJob(LongRunningJob(1), WallTime{});
  JobProgress progress;
  progress.phase = JobPhase::kRunning;
  progress.rows.push_back({0, 0, 0, {.phase = TaskPhase::kPlaced, .run = 1, .endpoint = "a"}});
  this->world.scheduler.RestoreProgress(JobId{1}, progress);
  EXPECT_TRUE(this->Usage().has_claims);
  EXPECT_TRUE(this->Usage().has_long_running);
}

INSTANTIATE_TEST_SUITE_P(Divisions, UsageOfAnEndpoint, ::testing::Bool(), [](const auto& info) {
  return info.param ? "with_shares" : "without_shares";
});

}  // namespace
}  // namespace chervilspar::jobs
