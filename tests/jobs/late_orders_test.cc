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
    ::testing::Values(LateOrderCase{"is_executed_seconds_after_the_first_answer",
                                    [](RestartWorld& world, LeasedEndpoint& used) {
                                      DelayOrders(world, used, milliseconds(300), seconds(4));
                                      world.Run(milliseconds(1500));
                                    }},
                      LateOrderCase{"is_handed_over_after_a_further_restart",
                                    [](RestartWorld& world, LeasedEndpoint& used) {
                                      DelayOrders(world, used, milliseconds(200),
                                                  milliseconds(600));
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

/// Guards against a task that runs twice, as an idle endpoint restarted unnoticed, took a start
/// with a deadline on its former clock, and is cut off before it is asked for a report.
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

/// Guards against the bound of a predecessor that knew of no restart, where one is registered now.
TEST(RestartedEndpoint, OutlivesTheNoticeOfAPredecessorThatKnewOfNoRestart) {
  Harness before;
  before.Register({Harness::Endpoint("a")});
  before.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  ASSERT_EQ(before.StartAll().size(), 1U);
  before.Store();
  Harness after{{}, 2};
  EndpointRecord restarted = Harness::Endpoint("a");
  restarted.born_ms = 2;
  after.scheduler.SetEndpoints({restarted, Harness::Endpoint("b")}, after.now);
  after.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, *DecodeProgress(before.stored.at(JobId{1})));
  after.scheduler.RestoreLapseNotices({{"a", 1, seconds(3)}});
  after.AnswerRenewal("b", {}, {});
  const SchedulerOptions options;
  after.AdvanceTime(options.TimeToLapse(options.lease_limit));
  after.AnswerRenewal("b", {}, {});
  EXPECT_TRUE(after.Round().starts.empty());
  after.AdvanceTime(options.order_delay_limit + options.predecessor_grace);
  after.AnswerRenewal("b", {}, {});
  EXPECT_EQ(after.Round().starts.size(), 1U);
}

/// What an endpoint's registration and its answers say of its birth, in Unix milliseconds.
struct BirthCase {
  const char* name;
  std::int64_t registered_ms;
  std::int64_t answered_ms;
};

/// Guards against an endpoint that gets no work, or whose dead runs are kept, as its registration
/// is from another writer or its wall clock was set back before it restarted.
class OddBirth : public ::testing::TestWithParam<BirthCase> {};

TEST_P(OddBirth, EndpointsThatAnswerGetWork) {
  Harness harness;
  EndpointRecord record = Harness::Endpoint("a");
  record.born_ms = 100;
  harness.scheduler.SetEndpoints({record}, harness.now);
  harness.AnswerRenewal("a", {}, {}, 100);
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  const std::vector<StartOrder> starts = harness.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  record.born_ms = GetParam().registered_ms;
  for (int update = 0; update < 3; ++update) {
    harness.AdvanceTime(milliseconds(100));
    harness.scheduler.SetEndpoints({record}, harness.now);
    harness.AnswerRenewal("a", {}, {}, GetParam().answered_ms);
  }
  const std::vector<StartOrder> again = harness.Round().starts;
  ASSERT_EQ(again.size(), 1U);
  EXPECT_TRUE(harness.scheduler.MaySendStart(again[0], harness.now));
}

INSTANTIATE_TEST_SUITE_P(Births, OddBirth,
                         ::testing::Values(BirthCase{"registered_later", 200, 200},
                                           BirthCase{"registered_in_the_far_future",
                                                     std::int64_t{1} << 50, 200},
                                           BirthCase{"wall_clock_set_back", 100, 50}),
                         [](const auto& info) { return info.param.name; });

/// Late orders, restarts, cuts, lost answers and changes of owner, as pairs of an event's kind and
/// a figure that it depends on.
using LateOrderEvents = std::vector<std::pair<int, int>>;

void Happen(RestartWorld& world, const LateOrderEvents& events) {
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
        endpoint.is_registration_stale = value % 4 < 2;
        world.Run(milliseconds(4000 + value * 500));
        endpoint.is_cut = endpoint.is_registration_stale = false;
        break;
      case 4:
      case 5:
        DelayOrders(world, endpoint, milliseconds(value % 7 * 100), milliseconds(value * 300));
        break;
      case 6:
        world.TakeOver();
        break;
      case 7:
        LoseAnswers(world, endpoint, milliseconds(value * 50));
        break;
      default:
        world.Run(milliseconds(20 + value * value * 5));
    }
  }
}

void CheckLateOrders(RestartWorld& world) {
  world.Submit(3);
  Happen(world, *rc::gen::container<LateOrderEvents>(
                    rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 40))));
  RC_ASSERT(world.second_runs == 0);
  // Late orders are executed, and their long leases lapse.
  world.Run(seconds(30));
  world.Recover();
  RC_ASSERT(world.second_runs == 0);
  RC_ASSERT(world.ActiveRuns() == world.Tasks());
}

/// Guards against a task that runs twice under any sequence of late orders, restarts, cuts, lost
/// answers and changes of owner, where incarnations execute starts before they are heard.
RC_GTEST_PROP(LateOrderProperty, EachTaskRunsOnceWithUnheardIncarnations, ()) {
  SchedulerOptions options;
  options.unheard_order_delay_limit = options.order_delay_limit;
  RestartWorld world(options);
  CheckLateOrders(world);
}

/// The same under the default assumption on incarnations that nobody has heard.
RC_GTEST_PROP(LateOrderProperty, EachTaskRunsOnce, ()) {
  RestartWorld world;
  world.drops_unheard_starts = true;
  CheckLateOrders(world);
}

}  // namespace
}  // namespace chervilspar::jobs
