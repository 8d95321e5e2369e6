#pragma once

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/retry/retry_budget.h"
#include "chervilspar/retry/retry_options.h"

/// Decides after each attempt whether the request is sent again.
namespace chervilspar::retry {

/// Returns whether a request with this outcome may have run. The verdict on the wire is separate: a
/// request is retried only if both allow it.
Verdict VerdictOf(load_balancing::Outcome outcome);

enum class RetryDecision {
  /// The outcome of the attempt is the response to the caller.
  kAnswer,
  /// Send the request again, to another endpoint if possible.
  kRetry,
  /// The request was not run and is not retried: refuse it.
  kRefuse,
};

/// One finished attempt to run a request.
struct FinishedAttempt {
  admission::Idempotency idempotency = admission::Idempotency::kNotIdempotent;
  load_balancing::Outcome outcome = load_balancing::Outcome::kCompleted;
  /// Attempts so far that may have run or did not reach an endpoint, this one included.
  std::uint32_t attempts = 1;
  /// Time until the deadline.
  Duration time_left = Duration::zero();
  Duration expected_run_time = Duration::zero();

  friend bool operator==(const FinishedAttempt&, const FinishedAttempt&) = default;
};

/// Never retries a request that may have run and is not idempotent, nor one that is not
/// expected to finish before its deadline. Other retries take from the budget, except after an
/// endpoint was full, draining or too late: that endpoint did no work, so an attempt elsewhere
/// costs no capacity. The balancer's backoff limits how often that happens.
RetryDecision Decide(const FinishedAttempt& attempt, const RetryOptions& options,
                     RetryBudget& budget);

}  // namespace chervilspar::retry
