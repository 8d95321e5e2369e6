#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerWorld;

/// One task of a core and a second, in the unit of a load.
constexpr double kAll = 1000.0 * 1000.0;

/// What is known of the run of the one task that was placed.
struct LoadCase {
  const char* name;
  std::function<void(World&, const StartOrder&)> happen;
  double left;
};

/// Guards against pools that are sized as if runs which were only ordered were half done.
class LoadOfOneTask : public ::testing::TestWithParam<LoadCase> {};

TEST_P(LoadOfOneTask, IsWhatIsLeftToDo) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  const StartOrder start = world.Round().starts.at(0);
  GetParam().happen(world, start);
  const ResourceLoad load = world.scheduler.PoolLoads().at(ServiceId{"desk"}).cpu;
  EXPECT_DOUBLE_EQ(load.running, GetParam().left);
  EXPECT_DOUBLE_EQ(load.concurrent_demand, 1000.0);
}

INSTANTIATE_TEST_SUITE_P(Runs, LoadOfOneTask,
                         ::testing::Values(LoadCase{"ordered", [](World&, const StartOrder&) {},
                                                    kAll},
                                           LoadCase{"unanswered",
                                                    [](World& world, const StartOrder& start) {
                                                      world.scheduler.OnStartAnswered(
                                                          start, OrderOutcome::kNoAnswer,
                                                          world.now);
                                                    },
                                                    kAll},
                                           LoadCase{"confirmed",
                                                    [](World& world, const StartOrder& start) {
                                                      world.scheduler.OnStartAnswered(
                                                          start, OrderOutcome::kDone, world.now);
                                                    },
                                                    kAll / 2},
                                           LoadCase{"listed",
                                                    [](World& world, const StartOrder& start) {
                                                      world.Hold("a", {World::Active(start)}, {});
                                                    },
                                                    kAll / 2}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
