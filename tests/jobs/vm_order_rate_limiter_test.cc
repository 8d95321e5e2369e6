#include "chervilspar/jobs/vm_order_rate_limiter.h"

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

struct RateCase {
  const char* name;
  double rate;
  int wanted_each_round;
  /// Orders that are sent in the first round, and in five seconds of rounds.
  int at_once;
  int in_five_seconds;
};

class RateLimits : public ::testing::TestWithParam<RateCase> {};

/// A peak needs a hundred VMs at once, more than the platform accepts orders for in a second.
/// Orders beyond the rate are refused, repeated and refused again, and each costs money.
TEST_P(RateLimits, AllowAsManyOrdersAsThePlatformAccepts) {
  VmOrderRateLimiter limiter(GetParam().rate);
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  int sent = 0;
  for (int round = 0; round < 50; ++round) {
    for (int i = 0; i < GetParam().wanted_each_round; ++i) {
      sent += limiter.TryAcquire(now) ? 1 : 0;
    }
    if (round == 0) {
      EXPECT_EQ(sent, GetParam().at_once);
    }
    now += milliseconds(100);
  }
  EXPECT_NEAR(sent, GetParam().in_five_seconds, 2);
}

INSTANTIATE_TEST_SUITE_P(Rates, RateLimits,
                         ::testing::Values(RateCase{"a_few", 64, 3, 3, 150},
                                           RateCase{"far_too_many", 64, 100, 32, 345},
                                           RateCase{"a_slow_platform", 1, 100, 1, 5}),
                         [](const auto& info) { return info.param.name; });

/// Orders of other entries or of operators share the same rate. Without a pause after a refusal,
/// the next round would be refused as well.
TEST(VmOrderRateLimiter, PausesAfterARefusal) {
  VmOrderRateLimiter limiter(64);
  const TimePoint now = TimePoint{} + std::chrono::hours(1);
  EXPECT_TRUE(limiter.TryAcquire(now));
  limiter.OnRefused(now);
  EXPECT_FALSE(limiter.TryAcquire(now));
  EXPECT_TRUE(limiter.TryAcquire(now + milliseconds(100)));
}

}  // namespace
}  // namespace chervilspar::jobs
