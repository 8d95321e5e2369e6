#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;
using Seconds = std::chrono::duration<double>;

/// The rate of the slowest clock that an endpoint may have.
constexpr double kSlowest = 0.98;

/// Guards against a lease that lasts longer than the owner assumes, because it was computed from an
/// old reading of the endpoint's clock: its runs would be started elsewhere while they are active.
class IdleEndpoint : public ::testing::TestWithParam<int> {
 protected:
  IdleEndpoint() {
    this->world.Register({World::Endpoint("a")});
    this->read = this->world.now;
    this->world.AdvanceTime(std::chrono::seconds(GetParam()));
  }

  /// How long a lease lasts from now on the owner's clock if the endpoint's clock is the slowest.
  Duration LeaseDuration(std::int64_t end_ms) const {
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
  EXPECT_LE(this->LeaseDuration(start.lease_end_ms), longest);
  EXPECT_GE(this->LeaseDuration(start.lease_end_ms), std::chrono::seconds(2))
      << "the run needs time to start";
  this->world.scheduler.OnStartAnswered(start, OrderOutcome::kDone, this->world.now);
  const RenewalPlan plan = this->world.scheduler.PlanRenewal("a", this->world.now);
  ASSERT_TRUE(plan.order.lease_end_ms);
  EXPECT_LE(this->LeaseDuration(*plan.order.lease_end_ms), longest);
}

INSTANTIATE_TEST_SUITE_P(Seconds, IdleEndpoint, ::testing::Values(0, 1, 10, 20, 40, 59));

/// Guards against a reading of an endpoint's clock so old that no lease can be computed from it.
/// Each status request costs money, so there are few.
TEST(IdleEndpoints, ReportTheirClocksOnceAMinute) {
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
