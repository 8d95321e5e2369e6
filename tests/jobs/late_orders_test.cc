#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/restart_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = SchedulerHarness;

struct LateOrderCase {
  const char* name;
  /// From the restart of the endpoint on which the tasks run until it is cut off.
  std::function<void(RestartWorld&, LeasedEndpoint&)> happen;
};

/// Guards against a task that runs twice, as an order that seemed to be over reached a later
/// incarnation of its endpoint, which is cut off afterwards.
class LateOrder : public ::testing::TestWithParam<LateOrderCase> {};

TEST_P(LateOrder, IsNotOverBeforeTheEndpointRefusesIt) {
  for (const int endpoint : {0, 1}) {
    RestartWorld world;
    LeasedEndpoint& used = world.At(endpoint);
    world.At(endpoint + 1).is_cut = true;
    world.Run(milliseconds(200));
    world.Submit(3);
    world.Run(seconds(5));
    ASSERT_EQ(used.active.size(), 3U);
    world.At(endpoint + 1).is_cut = false;
    world.Run(seconds(1));
    used.Restart(world.now);
    GetParam().happen(world, used);
    used.is_cut = true;
    world.Run(seconds(40));
    EXPECT_EQ(world.second_runs, 0);
    EXPECT_EQ(world.At(endpoint + 1).active.size(), world.Tasks()) << "the tasks move in the end";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Events, LateOrder,
    ::testing::Values(
        LateOrderCase{"is_executed_seconds_after_the_first_answer",
                      [](RestartWorld& world, LeasedEndpoint& used) {
                        DelayOrders(world, used, milliseconds(300), seconds(4));
                        world.Run(milliseconds(1500));
                      }},
        LateOrderCase{"is_handed_over_after_a_further_restart",
                      [](RestartWorld& world, LeasedEndpoint& used) {
                        DelayOrders(world, used, milliseconds(200), milliseconds(600));
                        used.Restart(world.now);
                        world.Run(seconds(1));
                      }},
        LateOrderCase{"outlives_two_incarnations",
                      [](RestartWorld& world, LeasedEndpoint& used) {
                        DelayOrders(world, used, milliseconds(300), seconds(6));
                        world.Run(milliseconds(1500));
                        used.Restart(world.now);
                        world.Run(milliseconds(1500));
                      }},
        LateOrderCase{"starts_a_run_under_a_successor",
                      [](RestartWorld& world, LeasedEndpoint& used) {
                        world.Submit(2);
                        DelayOrders(world, used, milliseconds(200), seconds(2));
                        used.is_registration_stale = true;
                        world.Run(milliseconds(80));
                        used.is_cut = true;
                        world.TakeOver();
                      }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a task that runs twice, as an idle endpoint restarted unnoticed, took a start with
/// a deadline on its former clock, and is cut off before it is asked for a report.
TEST(IdleEndpoint, MayTakeALongLeaseFromAStart) {
  RestartWorld world;
  world.Run(seconds(5));
  for (const int endpoint : {0, 1}) {
    world.At(endpoint).Restart(world.now);
  }
  world.Submit(1);
  world.Run(milliseconds(10));
  LeasedEndpoint& used = world.At(world.At(0).active.empty() ? 1 : 0);
  ASSERT_EQ(used.active.size(), 1U);
  used.is_cut = true;
  used.is_registration_stale = true;
  world.Run(seconds(40));
  EXPECT_EQ(world.second_runs, 0);
  EXPECT_EQ(world.ActiveRuns(), 1U);
  EXPECT_TRUE(used.active.empty()) << "the task moves in the end";
}

/// Guards against a second run of a task whose start the new incarnation executed: a report that
/// was requested before the start doesn't list it.
TEST(RestartedEndpoint, MayRunWhatAnOlderReportDoesNotList) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  harness.AdvanceTime(seconds(5));
  harness.scheduler.SetProof(harness.now);
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  const std::vector<StartOrder> starts = harness.Round().starts;
  ASSERT_EQ(starts.size(), 1U);
  const RenewalPlan plan = harness.scheduler.PlanRenewal("a", harness.now);
  const TimePoint sent = harness.now;
  const RenewalReport report{.clock_ms = 100, .born_ms = 2, .active = {}, .ended = {}};
  harness.AdvanceTime(milliseconds(2));
  harness.scheduler.OnStartAnswered(starts[0], {OrderOutcome::kDone, 102}, harness.now);
  harness.AdvanceTime(milliseconds(1));
  harness.scheduler.OnRenewalAnswered(plan.order, report, sent, harness.now);
  for (int round = 0; round < 20; ++round) {
    EXPECT_TRUE(harness.Round().starts.empty());
    harness.AdvanceTime(milliseconds(10));
  }
}

}  // namespace
}  // namespace chervilspar::jobs
