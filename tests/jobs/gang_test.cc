#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerWorld;

/// Endpoints end a member that has waited this long for the others.
constexpr Duration kMembersWait = std::chrono::seconds(3);
/// Between two renewals of the member that is at work.
constexpr Duration kRenewal = milliseconds(100);

/// A gang of two, each of which fills an endpoint.
Job MakeGang() {
  Step step = World::MakeStep(2, 8000);
  step.is_gang = true;
  return World::MakeJob(1, {step});
}

const StartOrder& At(const std::vector<StartOrder>& starts, const std::string& endpoint) {
  return *std::find_if(starts.begin(), starts.end(),
                       [&](const StartOrder& start) { return start.endpoint == endpoint; });
}

/// What becomes of the member at "b" while the one at "a" is at work.
struct MemberCase {
  const char* name;
  /// Is called with each renewal; `start`: the member's.
  std::function<void(World&, const StartOrder&)> happen;
  /// Until the member's claim is given up.
  Duration settled;
};

void Answer(World& world, const StartOrder& start, OrderOutcome outcome) {
  world.scheduler.OnStartAnswered(start, outcome, world.now);
}

void Confirm(World& world, const StartOrder& start) { Answer(world, start, OrderOutcome::kDone); }

/// Guards against members that wait for one that was ordered and never came, until their endpoints
/// end them as left alone.
class GangWithoutAMember : public ::testing::TestWithParam<MemberCase> {};

TEST_P(GangWithoutAMember, IsStopped) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(MakeGang(), WallTime{});
  const std::vector<StartOrder> starts = world.Round().starts;
  ASSERT_EQ(starts.size(), 2U);
  Confirm(world, At(starts, "a"));
  bool is_stopped = false;
  const TimePoint end = world.now + GetParam().settled;
  while (world.now < end && !is_stopped) {
    world.scheduler.SetProof(world.now);
    GetParam().happen(world, At(starts, "b"));
    world.Pass(kRenewal);
    world.Hold("a", {World::Active(At(starts, "a"))}, {});
    const Orders orders = world.Round();
    is_stopped = std::any_of(orders.stops.begin(), orders.stops.end(),
                             [](const StopOrder& stop) { return stop.endpoint == "a"; });
  }
  EXPECT_TRUE(is_stopped);
}

INSTANTIATE_TEST_SUITE_P(
    Members, GangWithoutAMember,
    ::testing::Values(MemberCase{"refused",
                                 [](World& world, const StartOrder& start) {
                                   Answer(world, start, OrderOutcome::kNoCapacity);
                                 },
                                 kMembersWait},
                      MemberCase{"never_answered",
                                 [](World& world, const StartOrder& start) {
                                   Answer(world, start, OrderOutcome::kNoAnswer);
                                 },
                                 kMembersWait},
                      MemberCase{"refused_after_a_lost_answer",
                                 [](World& world, const StartOrder& start) {
                                   Answer(world, start, OrderOutcome::kNoAnswer);
                                   world.Pass(SchedulerOptions{}.start_retry);
                                   world.Round();
                                   Answer(world, start, OrderOutcome::kNoCapacity);
                                 },
                                 kMembersWait},
                      MemberCase{"confirmed_and_not_listed",
                                 [](World& world, const StartOrder& start) {
                                   Confirm(world, start);
                                   world.Pass(kRenewal);
                                   world.Hold("b", {}, {});
                                 },
                                 kMembersWait},
                      MemberCase{"its_endpoint_started_anew",
                                 [](World& world, const StartOrder& start) {
                                   Confirm(world, start);
                                   world.Hold("b", {}, {}, 2);
                                 },
                                 kMembersWait},
                      MemberCase{"another_endpoint_at_its_address",
                                 [](World& world, const StartOrder& start) {
                                   Answer(world, start, OrderOutcome::kOtherIncarnation);
                                 },
                                 kMembersWait},
                      MemberCase{"lease_lapsed",
                                 [](World& world, const StartOrder& start) {
                                   Confirm(world, start);
                                   world.scheduler.OnHoldFailed("b", OrderOutcome::kNoAnswer,
                                                                world.now);
                                 },
                                 SchedulerOptions{}.LongestLease() + std::chrono::seconds(1)}),
    [](const auto& info) { return info.param.name; });

/// Guards against a successor that keeps members whose gang its predecessor didn't bring together.
TEST(Gang, ASuccessorStopsMembersOfOneThatNeverCame) {
  World before;
  before.Register({World::Endpoint("a"), World::Endpoint("b")});
  before.scheduler.AddJob(MakeGang(), WallTime{});
  const std::vector<StartOrder> starts = before.Round().starts;
  ASSERT_EQ(starts.size(), 2U);
  World after{{}, 2};
  after.scheduler.SetEndpoints(before.endpoints, after.now);
  after.scheduler.AddJob(MakeGang(), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, *DecodeProgress(before.stored.at(JobId{1})));
  after.Hold("a", {World::Active(At(starts, "a"))}, {});
  after.Hold("b", {}, {});
  const Orders orders = after.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].endpoint, "a");
}

/// What happens to one endpoint while a gang's placement is being stored.
struct WithdrawalCase {
  const char* name;
  std::function<void(World&, const std::string&)> happen;
};

/// Guards against starting the rest of a gang of which one member's start is withdrawn.
class GangBeingStored : public ::testing::TestWithParam<WithdrawalCase> {};

TEST_P(GangBeingStored, StartsTogetherOrNotAtAll) {
  for (const char* endpoint : {"a", "b"}) {
    World world;
    world.Register({World::Endpoint("a"), World::Endpoint("b")});
    world.scheduler.AddJob(MakeGang(), WallTime{});
    world.Decide();
    ASSERT_FALSE(world.scheduler.TakeBatch().IsEmpty());
    GetParam().happen(world, endpoint);
    EXPECT_TRUE(world.scheduler.ConfirmBatch(world.now).starts.empty()) << endpoint;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Changes, GangBeingStored,
    ::testing::Values(WithdrawalCase{"emptied",
                                     [](World& world, const std::string& id) {
                                       world.scheduler.BeginEvacuation(id);
                                     }},
                      WithdrawalCase{"draining",
                                     [](World& world, const std::string& id) {
                                       for (EndpointRecord& record : world.endpoints) {
                                         record.is_draining = record.id == id;
                                       }
                                       world.scheduler.SetEndpoints(world.endpoints, world.now);
                                     }},
                      WithdrawalCase{"unregistered",
                                     [](World& world, const std::string& id) {
                                       std::erase_if(world.endpoints,
                                                     [&](const EndpointRecord& record) {
                                                       return record.id == id;
                                                     });
                                       world.scheduler.SetEndpoints(world.endpoints, world.now);
                                     }},
                      WithdrawalCase{"another_endpoint_at_its_address",
                                     [](World& world, const std::string& id) {
                                       world.scheduler.OnHoldFailed(
                                           id, OrderOutcome::kOtherIncarnation, world.now);
                                     }},
                      WithdrawalCase{
                          "started_anew",
                          [](World& world, const std::string& id) { world.Hold(id, {}, {}, 2); }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
