#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;
using Seconds = std::chrono::duration<double>;

/// The slowest clock that an endpoint may have.
constexpr double kSlowest = 0.98;

/// Guards against a lease that outlives our reckoning, as it was reckoned from a reading of the
/// endpoint's clock that is old: what runs under it would be started elsewhere beside it.
class IdleEndpoint : public ::testing::TestWithParam<int> {
 protected:
  IdleEndpoint() {
    this->world.Register({World::Endpoint("a")});
    this->read = this->world.now;
    this->world.AdvanceTime(std::chrono::seconds(GetParam()));
  }

  /// How long a lease lasts from now on by our clock, if the endpoint's is as slow as may be.
  Duration LeaseUntil(std::int64_t end_ms) const {
    const Duration passed = this->world.now - this->read;
    const auto clock =
        this->read.time_since_epoch() + std::chrono::duration_cast<Duration>(passed * kSlowest);
    return std::chrono::duration_cast<Duration>((std::chrono::milliseconds(end_ms) - clock) /
                                                kSlowest);
  }

  World world;
  TimePoint read{};
};

TEST_P(IdleEndpoint, GetsLeasesThatEndInTime) {
  const Duration longest = this->world.options.LongestLease();
  this->world.scheduler.SetProof(this->world.now);
  this->world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  const StartOrder start = this->world.Round().starts.at(0);
  EXPECT_LE(this->LeaseUntil(start.lease_end_ms), longest);
  EXPECT_GE(this->LeaseUntil(start.lease_end_ms), std::chrono::seconds(2)) << "it has to begin";
  this->world.scheduler.OnStartAnswered(start, OrderOutcome::kDone, this->world.now);
  const RenewalPlan plan = this->world.scheduler.PlanRenewal("a", this->world.now);
  ASSERT_TRUE(plan.order.lease_end_ms);
  EXPECT_LE(this->LeaseUntil(*plan.order.lease_end_ms), longest);
}

INSTANTIATE_TEST_SUITE_P(Seconds, IdleEndpoint, ::testing::Values(0, 1, 10, 20, 40, 59));

/// Guards against an endpoint whose clock was read so long ago that no lease can be reckoned from
/// it. Each look is priced, so that there are few.
TEST(IdleEndpoints, TellTheirClocksOnceAMinute) {
  World world;
  world.Register({World::Endpoint("a")});
  world.AdvanceTime(std::chrono::seconds(59));
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).is_needed);
  world.AdvanceTime(std::chrono::seconds(2));
  EXPECT_TRUE(world.scheduler.PlanRenewal("a", world.now).is_needed);
  world.AnswerRenewal("a", {}, {});
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).is_needed);
}

}  // namespace
}  // namespace chervilspar::jobs
