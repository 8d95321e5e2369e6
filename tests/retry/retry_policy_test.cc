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

// A deposit is charged and the answer is lost on the way. A second try would charge it twice, so
// the caller is told that it may have run; only work that may run twice is sent again.
TEST_P(RetryPolicyTest, SendsAgainOnlyWhatIsSafe) {
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

// Whatever the outcome, a request that may have run and is not idempotent is never sent again.
RC_GTEST_PROP(RetryPolicyProperty, NeverRepeatsWhatMayHaveRun, ()) {
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

// All endpoints fail at once. Without a budget every request is tried three times, and the fleet
// gets three times the load just when it can bear least.
TEST(RetryBudgetTest, BoundsRepeatedTriesInALastingFailure) {
  for (const auto mode : {BudgetMode::kBounded, BudgetMode::kUnlimited}) {
    RetryOptions options;
    options.mode = mode;
    RetryBudget budget(options);
    int repeated = 0;
    for (int request = 0; request < 1000; ++request) {
      budget.OnFirstAttempt();
      for (std::uint32_t tries = 1; tries <= 2; ++tries) {
        const FinishedAttempt ended{kAny, Outcome::kFailed, tries, seconds(9), milliseconds(1)};
        repeated += Decide(ended, options, budget) == RetryDecision::kRetry ? 1 : 0;
      }
    }
    if (mode == BudgetMode::kBounded) {
      EXPECT_LE(repeated, 1000 * options.part_of_first_tries + options.most_saved);
    } else {
      EXPECT_EQ(repeated, 2000);
    }
  }
}

}  // namespace
}  // namespace chervilspar::retry
