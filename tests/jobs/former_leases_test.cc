#include <functional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/restart_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = SchedulerHarness;

struct RestartCase {
  const char* name;
  /// From the restart of the endpoint on which the tasks run until it is cut off.
  std::function<void(RestartWorld&, LeasedEndpoint&)> happen;
};

/// Guards against a task that runs twice, as an endpoint that restarted took a lease which was
/// computed with its former clock, and is cut off afterwards.
class EndpointRestart : public ::testing::TestWithParam<RestartCase> {};

TEST_P(EndpointRestart, KeepsItsRunsUntilItsLeasesHaveLapsed) {
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
    world.Run(seconds(16));
    EXPECT_EQ(world.second_runs, 0);
    EXPECT_EQ(world.At(endpoint + 1).active.size(), world.Tasks()) << "the tasks move in the end";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Events, EndpointRestart,
    ::testing::Values(RestartCase{"noticed_at_once",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"noticed_when_registered",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    LoseAnswers(world, used, seconds(2));
                                    world.Run(milliseconds(300));
                                  }},
                      RestartCase{"never_answers",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    LoseAnswers(world, used, milliseconds(300));
                                  }},
                      RestartCase{"owner_changes_after_the_tasks_were_started_again",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Run(milliseconds(500));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"owner_changes_twice",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Run(milliseconds(500));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"successor_never_reaches_the_endpoint",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    world.Run(milliseconds(500));
                                    used.is_cut = true;
                                    world.TakeOver();
                                  }},
                      RestartCase{"owner_changes_before_the_restart_is_noticed",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    LoseAnswers(world, used, milliseconds(200));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"more_tasks_are_started_meanwhile",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Submit(2);
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"a_start_is_refused",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    used.is_full = true;
                                    world.Submit(2);
                                    world.Run(milliseconds(100));
                                    used.is_full = false;
                                    world.Run(milliseconds(500));
                                  }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a lease that is computed with the clock of an incarnation that may be gone, since
/// the endpoint did not answer.
TEST(RestartedEndpoint, IsProbedBeforeItsLeasesAreRenewed) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  const StartOrder start = harness.StartAll().at(0);
  harness.scheduler.SetProof(harness.now);
  EXPECT_TRUE(harness.scheduler.PlanRenewal("a", harness.now).order.lease_end_ms);
  harness.scheduler.OnRenewalFailed("a", OrderOutcome::kNoAnswer, harness.now);
  const RenewalPlan probe = harness.scheduler.PlanRenewal("a", harness.now);
  EXPECT_TRUE(probe.is_needed);
  EXPECT_TRUE(probe.is_probe);
  EXPECT_FALSE(probe.order.lease_end_ms);
  harness.AnswerRenewal("a", {Harness::Active(start)}, {});
  const RenewalPlan renewal = harness.scheduler.PlanRenewal("a", harness.now);
  EXPECT_FALSE(renewal.is_probe);
  EXPECT_TRUE(renewal.order.lease_end_ms);
}

/// Guards against a task that runs twice under any sequence of restarts, cuts, lost answers and
/// changes of owner, and against tasks that are given up.
RC_GTEST_PROP(RestartProperty, EachTaskRunsOnceAtATime, ()) {
  RestartWorld world;
  world.Submit(3);
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 40)));
  for (const auto& [event, value] : events) {
    LeasedEndpoint& endpoint = world.At(value);
    switch (event) {
      case 0:
        world.Submit(1 + value % 3);
        break;
      case 1:
      case 2:
        endpoint.Restart(world.now);
        world.Run(milliseconds(value * 40));
        break;
      case 3:
        endpoint.is_cut = true;
        world.Run(milliseconds(4000 + value * 200));
        endpoint.is_cut = false;
        break;
      case 4:
        LoseAnswers(world, endpoint, milliseconds(value * 50));
        break;
      case 5:
        world.TakeOver();
        break;
      default:
        world.Run(milliseconds(20 + value * value * 5));
    }
  }
  RC_ASSERT(world.second_runs == 0);
  world.Recover();
  RC_ASSERT(world.second_runs == 0);
  RC_ASSERT(world.ActiveRuns() == world.Tasks());
}

}  // namespace
}  // namespace chervilspar::jobs
