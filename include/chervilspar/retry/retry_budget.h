#pragma once

#include "chervilspar/retry/retry_options.h"

namespace chervilspar::retry {

/// Limits retries to a fraction of the first attempts.
///
/// When an endpoint or the network fails some attempts, or everything is slow, unlimited retries
/// multiply the load just when there is no free capacity, and the overload outlasts its cause.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options)
      : options(options), saved_retries(options.max_saved_retries) {}

  /// Adds `retry_ratio` to the budget, up to `max_saved_retries`.
  void OnFirstAttempt();
  /// Takes one retry from the budget. Returns false if the budget is empty.
  bool TryAcquire();

 private:
  RetryOptions options;
  double saved_retries;
};

}  // namespace chervilspar::retry
