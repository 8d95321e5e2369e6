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

}  // namespace
}  // namespace chervilspar::jobs
