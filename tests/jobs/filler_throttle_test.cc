#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerWorld;

/// Response times of the serving task, whose target is 100 ms.
constexpr std::int64_t kNearTarget = 95;
constexpr std::int64_t kBetween = 75;
constexpr std::int64_t kFarBelow = 40;

/// A serving task and a filler beside it on one endpoint.
class PacedWorld {
 public:
  explicit PacedWorld(std::uint64_t token = 1) : world({}, token) {}

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

  /// The endpoint tells the response time; gives the orders for the filler that follow.
  std::vector<ThrottleOrder> Hear(std::int64_t response_ms) {
    std::vector<ActiveRun> active;
    for (const StartOrder& start : this->starts) {
      active.push_back(World::Active(start, 100));
      active.back().gauge = start.task.job == JobId{1} ? response_ms : 0;
    }
    this->world.Hold("a", active, {});
    return this->world.Round().paces;
  }

  World world;
  std::vector<StartOrder> starts;
};

/// What came of the order that brings a filler to its last pace.
struct LastPaceCase {
  const char* name;
  std::int64_t response_ms;
  int last_pace;
  OrderOutcome outcome;
  bool is_ordered_again;
};

/// Guards against a filler that goes on disturbing, or stays halted, as the order for its pace was
/// lost and taken for done.
class LastPace : public ::testing::TestWithParam<LastPaceCase> {};

TEST_P(LastPace, IsOrderedUntilItIsDone) {
  PacedWorld paced;
  paced.Start();
  ASSERT_EQ(paced.starts.size(), 2U);
  paced.Hear(kNearTarget);
  std::vector<ThrottleOrder> orders;
  for (int i = 0; i < 10; ++i) {
    orders = paced.Hear(GetParam().response_ms);
    ASSERT_EQ(orders.size(), 1U);
    if (orders[0].percent == GetParam().last_pace) {
      break;
    }
    paced.world.scheduler.OnPaceAnswered(orders[0], OrderOutcome::kDone);
  }
  ASSERT_EQ(orders[0].percent, GetParam().last_pace);
  paced.world.scheduler.OnPaceAnswered(orders[0], GetParam().outcome);
  const std::vector<ThrottleOrder> again = paced.Hear(GetParam().response_ms);
  EXPECT_EQ(!again.empty(), GetParam().is_ordered_again);
  EXPECT_TRUE(again.empty() || again[0] == orders[0]);
}

INSTANTIATE_TEST_SUITE_P(
    Paces, LastPace,
    ::testing::Values(
        LastPaceCase{"halted", kNearTarget, 0, OrderOutcome::kDone, false},
        LastPaceCase{"halt_unanswered", kNearTarget, 0, OrderOutcome::kNoAnswer, true},
        LastPaceCase{"halt_not_sent", kNearTarget, 0, OrderOutcome::kNotSent, true},
        LastPaceCase{"halt_refused", kNearTarget, 0, OrderOutcome::kRefused, true},
        LastPaceCase{"halt_late_at_a_carrier", kNearTarget, 0, OrderOutcome::kTooLate, true},
        LastPaceCase{"full_speed", kFarBelow, 100, OrderOutcome::kDone, false},
        LastPaceCase{"full_speed_unanswered", kFarBelow, 100, OrderOutcome::kNoAnswer, true}),
    [](const auto& info) { return info.param.name; });

/// What a successor hears first of the serving task.
struct FirstLookCase {
  const char* name;
  std::int64_t response_ms;
  std::vector<int> paces;
};

/// Guards against a successor that takes a filler for working at full speed, which its predecessor
/// had slowed down or halted.
class PaceOfAPredecessor : public ::testing::TestWithParam<FirstLookCase> {};

TEST_P(PaceOfAPredecessor, IsNotKnown) {
  PacedWorld before;
  before.Start();
  PacedWorld after(2);
  after.starts = before.starts;
  after.AddJobs();
  for (const auto& [id, text] : before.world.stored) {
    after.world.scheduler.RestoreProgress(id, *DecodeProgress(text));
  }
  after.world.scheduler.SetEndpoints(before.world.endpoints, after.world.now);
  std::vector<int> paces;
  for (const ThrottleOrder& order : after.Hear(GetParam().response_ms)) {
    EXPECT_EQ(order.task.job, JobId{2});
    paces.push_back(order.percent);
  }
  EXPECT_EQ(paces, GetParam().paces);
}

INSTANTIATE_TEST_SUITE_P(Looks, PaceOfAPredecessor,
                         ::testing::Values(FirstLookCase{"far_below_the_target", kFarBelow, {100}},
                                           // Whatever the pace is, it is right.
                                           FirstLookCase{"between", kBetween, {}},
                                           FirstLookCase{"near_the_target", kNearTarget, {50}}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
