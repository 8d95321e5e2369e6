#include "chervilspar/retry/retry_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::retry {
namespace {

using admission::Idempotency;
using load_balancing::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Outcome kAllOutcomes[] = {Outcome::kCompleted, Outcome::kFailed,      Outcome::kLost,
                                    Outcome::kFull,      Outcome::kDraining,    Outcome::kLate,
                                    Outcome::kUnfit,     Outcome::kUnreachable, Outcome::kStopped};

struct RetryCase {
  const char* name;
  FinishedAttempt ended;
  RetryDecision expected;
};

class RetryPolicyTest : public testing::TestWithParam<RetryCase> {};

// The response to a request that changes state, such as a deposit, is lost. A retry would apply it
// twice, so the caller gets the answer that it may have run. Only idempotent requests are retried.
TEST_P(RetryPolicyTest, RetriesOnlyWhatIsSafe) {
  RetryBudget budget{RetryOptions{}};
  EXPECT_EQ(Decide(GetParam().ended, RetryOptions{}, budget), GetParam().expected);
}

constexpr auto kOnce = Idempotency::kNotIdempotent;
constexpr auto kAny = Idempotency::kIdempotent;

INSTANTIATE_TEST_SUITE_P(
    Outcomes, RetryPolicyTest,
    testing::Values(RetryCase{"Completed",
                              {kAny, Outcome::kCompleted, 1, seconds(9), milliseconds(1)},
                              RetryDecision::kAnswer},
                    RetryCase{"LostNotIdempotent",
                              {kOnce, Outcome::kLost, 1, seconds(9), milliseconds(1)},
                              RetryDecision::kAnswer},
                    RetryCase{"LostIdempotent",
                              {kAny, Outcome::kLost, 1, seconds(9), milliseconds(1)},
                              RetryDecision::kRetry},
                    RetryCase{"FailedNotIdempotent",
                              {kOnce, Outcome::kFailed, 1, seconds(9), milliseconds(1)},
                              RetryDecision::kAnswer},
                    RetryCase{"FailedThreeTimes",
                              {kAny, Outcome::kFailed, 3, seconds(9), milliseconds(1)},
                              RetryDecision::kAnswer},
                    RetryCase{"FullNotIdempotent",
                              {kOnce, Outcome::kFull, 0, seconds(9), milliseconds(1)},
                              RetryDecision::kRetry},
                    RetryCase{"UnreachableNotIdempotent",
                              {kOnce, Outcome::kUnreachable, 1, seconds(9), milliseconds(1)},
                              RetryDecision::kRetry},
                    RetryCase{"FullTooLate",
                              {kAny, Outcome::kFull, 0, milliseconds(5), milliseconds(50)},
                              RetryDecision::kRefuse},
                    RetryCase{"LostTooLate",
                              {kAny, Outcome::kLost, 1, milliseconds(5), milliseconds(50)},
                              RetryDecision::kAnswer},
                    RetryCase{"Unfit",
                              {kAny, Outcome::kUnfit, 0, seconds(9), milliseconds(1)},
                              RetryDecision::kRefuse}),
    [](const auto& info) { return std::string(info.param.name); });

// Regardless of the outcome, a request that may have run and is not idempotent is never retried.
RC_GTEST_PROP(RetryPolicyProperty, NeverRetriesWhatMayHaveRun, ()) {
  const auto outcome =
      *rc::gen::elementOf(std::vector<Outcome>(std::begin(kAllOutcomes), std::end(kAllOutcomes)));
  const auto mode = *rc::gen::element(BudgetMode::kBounded, BudgetMode::kUnlimited);
  RetryOptions options;
  options.mode = mode;
  RetryBudget budget(options);
  const FinishedAttempt ended{kOnce, outcome, *rc::gen::inRange(0u, 5u), seconds(9),
                              milliseconds(1)};
  const RetryDecision decision = Decide(ended, options, budget);
  if (VerdictOf(outcome) != Verdict::kNotRun) {
    RC_ASSERT(decision == RetryDecision::kAnswer);
  }
  if (decision == RetryDecision::kRefuse) {
    RC_ASSERT(VerdictOf(outcome) == Verdict::kNotRun);
  }
}

// All endpoints fail at once. Without a budget every request is attempted three times, which
// triples the load while capacity is lowest.
TEST(RetryBudgetTest, LimitsRetriesInALastingFailure) {
  for (const auto mode : {BudgetMode::kBounded, BudgetMode::kUnlimited}) {
    RetryOptions options;
    options.mode = mode;
    RetryBudget budget(options);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
      budget.OnFirstAttempt();
      for (std::uint32_t attempts = 1; attempts <= 2; ++attempts) {
        const FinishedAttempt ended{kAny, Outcome::kFailed, attempts, seconds(9), milliseconds(1)};
        retries += Decide(ended, options, budget) == RetryDecision::kRetry ? 1 : 0;
      }
    }
    if (mode == BudgetMode::kBounded) {
      EXPECT_LE(retries, 1000 * options.retry_ratio + options.max_saved_retries);
    } else {
      EXPECT_EQ(retries, 2000);
    }
  }
}

}  // namespace
}  // namespace chervilspar::retry
