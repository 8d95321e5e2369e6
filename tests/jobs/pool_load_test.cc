#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

/// The work of a task that uses one core for one second, in the unit of a load.
constexpr double kTaskWork = 1000.0 * 1000.0;

/// What the scheduler knows of the run of the only task.
struct LoadCase {
  const char* name;
  std::function<void(World&, const StartOrder&)> act;
  double remaining;
};

/// Guards against sizing a pool as if a run that has been ordered but not confirmed were half done.
class LoadOfOneTask : public ::testing::TestWithParam<LoadCase> {};

TEST_P(LoadOfOneTask, IsItsRemainingWork) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  const StartOrder start = world.Round().starts.at(0);
  GetParam().act(world, start);
  const ResourceLoad load = world.scheduler.PoolLoads().at(ServiceId{"desk"}).cpu;
  EXPECT_DOUBLE_EQ(load.running, GetParam().remaining);
  EXPECT_DOUBLE_EQ(load.concurrent_demand, 1000.0);
}

INSTANTIATE_TEST_SUITE_P(
    Runs, LoadOfOneTask,
    ::testing::Values(LoadCase{"ordered", [](World&, const StartOrder&) {}, kTaskWork},
                      LoadCase{"no_response",
                               [](World& world, const StartOrder& start) {
                                 world.scheduler.OnStartAnswered(start, OrderOutcome::kNoAnswer,
                                                                 world.now);
                               },
                               kTaskWork},
                      LoadCase{"confirmed",
                               [](World& world, const StartOrder& start) {
                                 world.scheduler.OnStartAnswered(start, OrderOutcome::kDone,
                                                                 world.now);
                               },
                               kTaskWork / 2},
                      LoadCase{"listed",
                               [](World& world, const StartOrder& start) {
                                 world.AnswerRenewal("a", {World::Active(start)}, {});
                               },
                               kTaskWork / 2}),
    [](const auto& info) { return info.param.name; });

/// Guards against a pool that is sized for waiting tasks as if running ones used no room, and
/// against counting long-running tasks twice.
TEST(PoolLoad, CountsTheRoomOfTasksWithAClaim) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2)}), WallTime{});
  Step service = World::MakeStep(1);
  service.is_long_running = true;
  world.scheduler.AddJob(World::MakeJob(2, {service}), WallTime{});
  EXPECT_DOUBLE_EQ(world.scheduler.PoolLoads().at(ServiceId{"desk"}).cpu.in_use, 0);
  EXPECT_EQ(world.Round().starts.size(), 3U);
  const PoolLoad load = world.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_DOUBLE_EQ(load.cpu.in_use, 2000);
  EXPECT_DOUBLE_EQ(load.cpu.long_running, 1000);
}

/// A job whose first step is restored with one task that is done; the second step waits for it.
PoolLoad LoadWithADoneTask(std::uint32_t count, const char* endpoint) {
  World world;
  world.Register({World::Endpoint("a")});
  Step second = World::MakeStep(1);
  second.after = {0};
  const Job job = World::MakeJob(1, {World::MakeStep(count), second});
  world.scheduler.AddJob(job, WallTime{});
  JobProgress progress;
  progress.phase = JobPhase::kRunning;
  progress.rows.push_back({0, 0, 0, {.phase = TaskPhase::kDone, .run = 1}});
  progress.rows[0].progress.endpoint = endpoint;
  progress.rows[0].progress.endpoint_born_ms = 1;
  world.scheduler.RestoreProgress(job.id, progress);
  return world.scheduler.PoolLoads().at(ServiceId{"desk"});
}

TEST(PoolLoad, CountsTheOtherTasksOfAStepThatIsPartlyDone) {
  const PoolLoad load = LoadWithADoneTask(3, "");
  ASSERT_EQ(load.cpu.waiting.size(), 2U);
  EXPECT_DOUBLE_EQ(load.cpu.waiting[0].work, 2 * kTaskWork);
  EXPECT_DOUBLE_EQ(load.cpu.waiting[1].work, kTaskWork);
  EXPECT_DOUBLE_EQ(load.cpu.concurrent_demand, 2000);
  EXPECT_DOUBLE_EQ(load.cpu.in_use, 0);
}

/// Guards against skipping a step that is done as if it used no room, while a run of its tasks may
/// still be active.
TEST(PoolLoad, CountsTheRoomOfADoneTaskUntilItsRunHasStopped) {
  EXPECT_DOUBLE_EQ(LoadWithADoneTask(1, "a").cpu.in_use, 1000);
  EXPECT_DOUBLE_EQ(LoadWithADoneTask(1, "").cpu.in_use, 0);
}

}  // namespace
}  // namespace chervilspar::jobs
