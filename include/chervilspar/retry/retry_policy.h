#pragma once

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/retry/retry_budget.h"
#include "chervilspar/retry/retry_options.h"

/// Decides after each try whether the request is sent again.
namespace chervilspar::retry {

/// Whether a request that ended so may have run. Kept beside the wire's own verdict: a try is
/// repeated only when both allow it.
Verdict VerdictOf(load_balancing::Outcome outcome);

enum class RetryDecision {
  /// The try is the answer.
  kAnswer,
  /// Send it again, elsewhere if possible.
  kRetry,
  /// Not run, and not to be tried again: refuse.
  kRefuse,
};

/// One ended try.
struct FinishedAttempt {
  admission::Idempotency idempotency = admission::Idempotency::kNotIdempotent;
  load_balancing::Outcome outcome = load_balancing::Outcome::kCompleted;
  /// Tries so far that may have run or found no endpoint, this one included.
  std::uint32_t tries = 1;
  /// Until the deadline.
  Duration left = Duration::zero();
  Duration expected_run_time = Duration::zero();

  friend bool operator==(const FinishedAttempt&, const FinishedAttempt&) = default;
};

/// Never sends again what may have run and is not idempotent; never past the deadline; within the
/// budget. An endpoint that was full, draining or too late did no work, so trying elsewhere costs
/// no capacity and takes nothing from the budget; the balancer's pauses bound how often that
/// happens.
RetryDecision Decide(const FinishedAttempt& ended, const RetryOptions& options,
                     RetryBudget& budget);

}  // namespace chervilspar::retry
