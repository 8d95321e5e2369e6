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

RetryDecision Decide(const FinishedAttempt& attempt, const RetryOptions& options,
                     RetryBudget& budget) {
  if (attempt.outcome == Outcome::kCompleted) {
    return RetryDecision::kAnswer;
  }
  if (attempt.outcome == Outcome::kUnfit) {
    return RetryDecision::kRefuse;
  }
  const bool was_not_run = VerdictOf(attempt.outcome) == Verdict::kNotRun;
  if (!was_not_run && attempt.idempotency == admission::Idempotency::kNotIdempotent) {
    return RetryDecision::kAnswer;
  }
  const RetryDecision decision_without_retry =
      was_not_run ? RetryDecision::kRefuse : RetryDecision::kAnswer;
  if (attempt.time_left < attempt.expected_run_time) {
    return decision_without_retry;
  }
  if (was_not_run && attempt.outcome != Outcome::kUnreachable) {
    return RetryDecision::kRetry;
  }
  if (options.mode == BudgetMode::kBounded && attempt.attempts >= options.max_attempts) {
    return decision_without_retry;
  }
  return budget.TryAcquire() ? RetryDecision::kRetry : decision_without_retry;
}

}  // namespace chervilspar::retry
