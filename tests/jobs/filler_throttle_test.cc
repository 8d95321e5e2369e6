#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

/// Response times of the serving task, whose target is 100 ms.
constexpr std::int64_t kNearTarget = 95;
constexpr std::int64_t kBetween = 75;
constexpr std::int64_t kFarBelow = 40;

/// A serving task and a filler beside it on one endpoint.
class ThrottledWorld {
 public:
  explicit ThrottledWorld(std::uint64_t token = 1) : world({}, token) {}

  void AddJobs() {
    Step serving = World::MakeStep(1);
    serving.is_long_running = true;
    serving.target_ms = 100;
    Step filler = World::MakeStep(1);
    filler.is_filler = true;
    filler.is_long_running = true;
    this->world.scheduler.AddJob(World::MakeJob(1, {serving}), WallTime{});
    this->world.scheduler.AddJob(World::MakeJob(2, {filler}), WallTime{});
  }

  void Start() {
    this->world.Register({World::Endpoint("a")});
    this->AddJobs();
    this->starts = this->world.StartAll();
  }

  /// The endpoint reports the response time; returns the resulting throttle orders.
  std::vector<ThrottleOrder> Report(std::int64_t response_ms) {
    std::vector<ActiveRun> active;
    for (const StartOrder& start : this->starts) {
      active.push_back(World::Active(start, 100));
      active.back().gauge = start.task.job == JobId{1} ? response_ms : 0;
    }
    this->world.AnswerRenewal("a", active, {});
    return this->world.Round().paces;
  }

  World world;
  std::vector<StartOrder> starts;
};

/// The outcome of the order that sets the last speed of a filler.
struct LastSpeedCase {
  const char* name;
  std::int64_t response_ms;
  int last_speed;
  OrderOutcome outcome;
  bool is_ordered_again;
};

/// Guards against a filler that keeps slowing down others, or stays halted, because the order for
/// its speed was lost and taken as executed.
class LastSpeed : public ::testing::TestWithParam<LastSpeedCase> {};

TEST_P(LastSpeed, IsOrderedUntilItIsDone) {
  ThrottledWorld throttled;
  throttled.Start();
  ASSERT_EQ(throttled.starts.size(), 2U);
  throttled.Report(kNearTarget);
  std::vector<ThrottleOrder> orders;
  for (int i = 0; i < 10; ++i) {
    orders = throttled.Report(GetParam().response_ms);
    ASSERT_EQ(orders.size(), 1U);
    if (orders[0].percent == GetParam().last_speed) {
      break;
    }
    throttled.world.scheduler.OnThrottleAnswered(orders[0], OrderOutcome::kDone);
  }
  ASSERT_EQ(orders[0].percent, GetParam().last_speed);
  throttled.world.scheduler.OnThrottleAnswered(orders[0], GetParam().outcome);
  const std::vector<ThrottleOrder> again = throttled.Report(GetParam().response_ms);
  EXPECT_EQ(!again.empty(), GetParam().is_ordered_again);
  EXPECT_TRUE(again.empty() || again[0] == orders[0]);
}

INSTANTIATE_TEST_SUITE_P(
    Speeds, LastSpeed,
    ::testing::Values(
        LastSpeedCase{"halted", kNearTarget, 0, OrderOutcome::kDone, false},
        LastSpeedCase{"halt_unanswered", kNearTarget, 0, OrderOutcome::kNoAnswer, true},
        LastSpeedCase{"halt_not_sent", kNearTarget, 0, OrderOutcome::kNotSent, true},
        LastSpeedCase{"halt_refused", kNearTarget, 0, OrderOutcome::kRefused, true},
        LastSpeedCase{"halt_late_at_a_carrier", kNearTarget, 0, OrderOutcome::kTooLate, true},
        LastSpeedCase{"full_speed", kFarBelow, 100, OrderOutcome::kDone, false},
        LastSpeedCase{"full_speed_unanswered", kFarBelow, 100, OrderOutcome::kNoAnswer, true}),
    [](const auto& info) { return info.param.name; });

/// The first response time of the serving task that a successor receives.
struct FirstReportCase {
  const char* name;
  std::int64_t response_ms;
  std::vector<int> speeds;
};

/// Guards against a successor that assumes full speed for a filler that its predecessor had slowed
/// down or halted.
class SpeedSetByAPredecessor : public ::testing::TestWithParam<FirstReportCase> {};

TEST_P(SpeedSetByAPredecessor, IsUnknown) {
  ThrottledWorld before;
  before.Start();
  ThrottledWorld after(2);
  after.starts = before.starts;
  after.AddJobs();
  for (const auto& [id, text] : before.world.stored) {
    after.world.scheduler.RestoreProgress(id, *DecodeProgress(text));
  }
  after.world.scheduler.SetEndpoints(before.world.endpoints, after.world.now);
  std::vector<int> speeds;
  for (const ThrottleOrder& order : after.Report(GetParam().response_ms)) {
    EXPECT_EQ(order.task.job, JobId{2});
    speeds.push_back(order.percent);
  }
  EXPECT_EQ(speeds, GetParam().speeds);
}

INSTANTIATE_TEST_SUITE_P(
    Reports, SpeedSetByAPredecessor,
    ::testing::Values(FirstReportCase{"far_below_the_target", kFarBelow, {100}},
                      // In the steady state, any speed is kept.
                      FirstReportCase{"between", kBetween, {}},
                      FirstReportCase{"near_the_target", kNearTarget, {50}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
