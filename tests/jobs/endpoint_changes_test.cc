#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

std::vector<EndpointRecord> MakeEndpoints(int count) {
  std::vector<EndpointRecord> records;
  records.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    records.push_back(World::Endpoint("e" + std::to_string(10000 + i)));
  }
  return records;
}

class CostOfAChange : public ::testing::TestWithParam<int> {};

/// Guards against an owner that takes over all registrations for each VM that moves.
TEST_P(CostOfAChange, DoesNotGrowWithTheEndpoints) {
  World world;
  world.Register(MakeEndpoints(GetParam()));
  const std::uint64_t before = world.scheduler.EndpointsUpdated();
  world.scheduler.UpdateEndpoints({{World::Endpoint("e10000"), World::Endpoint("new")}, {"e10001"}},
                                  world.now);
  EXPECT_EQ(world.scheduler.EndpointsUpdated() - before, 2U);
}

INSTANTIATE_TEST_SUITE_P(Endpoints, CostOfAChange, ::testing::Values(100, 1000),
                         [](const auto& info) { return std::to_string(info.param); });

/// Guards against work for an endpoint that has left, and against a new one that gets none.
TEST(EndpointChanges, MoveWorkToTheNewEndpoint) {
  World world;
  world.Register({World::Endpoint("a", 4)});
  world.scheduler.UpdateEndpoints({{World::Endpoint("b", 4)}, {"a"}}, world.now);
  world.Register({World::Endpoint("b", 4)});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2, 1000)}), WallTime{});
  world.StartAll();
  ASSERT_TRUE(world.scheduler.UsageOf("b"));
  EXPECT_EQ(world.scheduler.UsageOf("b")->used.cpu, 2000);
}

/// An endpoint that is gone with a run is known until the run's claim is released, as its lease may
/// last.
TEST(EndpointChanges, KeepAnEndpointWithClaims) {
  World world;
  world.Register({World::Endpoint("a", 4)});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1, 1000)}), WallTime{});
  world.StartAll();
  EXPECT_TRUE(world.scheduler.UpdateEndpoints({{}, {"a"}}, world.now).empty());
  EXPECT_TRUE(world.scheduler.UsageOf("a"));
}

/// Guards against leases by the clock of a former incarnation: its answer may arrive after the new
/// one has registered.
TEST(EndpointChanges, RememberARestartThatALateAnswerHides) {
  World world;
  world.Register({World::Endpoint("a", 4)});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1, 1000)}), WallTime{});
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  const RenewalOrder former = world.scheduler.PlanRenewal("a", world.now).order;
  const TimePoint sent = world.now;
  EndpointRecord restarted = World::Endpoint("a", 4);
  restarted.born_ms = 2;
  world.scheduler.UpdateEndpoints({{restarted}, {}}, world.now);
  EXPECT_TRUE(world.scheduler.UsageOf("a")->is_silent);
  world.AdvanceTime(std::chrono::milliseconds(1));
  const RenewalReport late{
      .clock_ms = 1000, .born_ms = 1, .active = {World::Active(starts[0])}, .ended = {}};
  world.scheduler.OnRenewalAnswered(former, late, sent, world.now);
  EXPECT_TRUE(world.scheduler.UsageOf("a")->is_silent);
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).order.lease_end_ms);
  world.scheduler.UpdateEndpoints({{World::Endpoint("b", 4)}, {}}, world.now);
  EXPECT_TRUE(world.scheduler.UsageOf("a")->is_silent);
}

/// What an endpoint without claims leaves behind is dropped with it.
TEST(EndpointChanges, ForgetAnEndpointWithoutClaims) {
  World world;
  world.Register({World::Endpoint("a", 4), World::Endpoint("b", 4)});
  EXPECT_EQ(world.scheduler.UpdateEndpoints({{}, {"a"}}, world.now),
            (std::vector<std::string>{"a"}));
  EXPECT_FALSE(world.scheduler.UsageOf("a"));
  EXPECT_TRUE(world.scheduler.UsageOf("b"));
}

}  // namespace
}  // namespace chervilspar::jobs
