#include "chervilspar/retry/retry_policy.h"

namespace chervilspar::retry {

using load_balancing::Outcome;

Verdict VerdictOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
    case Outcome::kFailed:
      return Verdict::kCompleted;
    case Outcome::kLost:
    case Outcome::kStopped:
      return Verdict::kMayHaveRun;
    case Outcome::kFull:
    case Outcome::kDraining:
    case Outcome::kLate:
    case Outcome::kUnfit:
    case Outcome::kUnreachable:
      return Verdict::kNotRun;
  }
  return Verdict::kMayHaveRun;
}

RetryDecision Decide(const FinishedAttempt& ended, const RetryOptions& options,
                     RetryBudget& budget) {
  if (ended.outcome == Outcome::kCompleted) {
    return RetryDecision::kAnswer;
  }
  if (ended.outcome == Outcome::kUnfit) {
    return RetryDecision::kRefuse;
  }
  const bool was_not_run = VerdictOf(ended.outcome) == Verdict::kNotRun;
  if (!was_not_run && ended.idempotency == admission::Idempotency::kNotIdempotent) {
    return RetryDecision::kAnswer;
  }
  const RetryDecision give_up = was_not_run ? RetryDecision::kRefuse : RetryDecision::kAnswer;
  if (ended.left < ended.expected_run_time) {
    return give_up;
  }
  if (was_not_run && ended.outcome != Outcome::kUnreachable) {
    return RetryDecision::kRetry;
  }
  if (options.mode == BudgetMode::kBounded && ended.tries >= options.most_tries) {
    return give_up;
  }
  return budget.TakeIfAvailable() ? RetryDecision::kRetry : give_up;
}

}  // namespace chervilspar::retry
