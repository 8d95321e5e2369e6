#include "chervilspar/jobs/vm_order_rate_limiter.h"

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

struct BudgetCase {
  const char* name;
  double rate;
  int wanted_each_round;
  /// Orders that leave in the first round, and in five seconds of rounds.
  int at_once;
  int in_five_seconds;
};

class Budgets : public ::testing::TestWithParam<BudgetCase> {};

/// A peak wants a hundred VMs at once, more than the platform takes orders for in a second. What
/// leaves beyond the rate is refused and paid for, again and again.
TEST_P(Budgets, LetAsManyLeaveAsThePlatformTakes) {
  VmOrderRateLimiter budget(GetParam().rate);
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  int sent = 0;
  for (int round = 0; round < 50; ++round) {
    for (int i = 0; i < GetParam().wanted_each_round; ++i) {
      sent += budget.TryAcquire(now) ? 1 : 0;
    }
    if (round == 0) {
      EXPECT_EQ(sent, GetParam().at_once);
    }
    now += milliseconds(100);
  }
  EXPECT_NEAR(sent, GetParam().in_five_seconds, 2);
}

INSTANTIATE_TEST_SUITE_P(Rates, Budgets,
                         ::testing::Values(BudgetCase{"a_few", 64, 3, 3, 150},
                                           BudgetCase{"far_too_many", 64, 100, 32, 345},
                                           BudgetCase{"a_slow_platform", 1, 100, 1, 5}),
                         [](const auto& info) { return info.param.name; });

/// Another entry's orders, or a person's, use the same rate. Without a pause after a refusal, the
/// next round is refused as well.
TEST(VmOrderRateLimiter, PausesAfterARefusal) {
  VmOrderRateLimiter budget(64);
  const TimePoint now = TimePoint{} + std::chrono::hours(1);
  EXPECT_TRUE(budget.TryAcquire(now));
  budget.OnRefused(now);
  EXPECT_FALSE(budget.TryAcquire(now));
  EXPECT_TRUE(budget.TryAcquire(now + milliseconds(100)));
}

}  // namespace
}  // namespace chervilspar::jobs
