#pragma once

#include "chervilspar/retry/retry_options.h"

namespace chervilspar::retry {

/// Bounds repeated tries by a part of the first ones.
///
/// Load pattern: an endpoint or the network fails part of all tries, or everything is slow. Without
/// this module each failure makes another try, tries multiply just when there is no room, and the
/// overload outlasts its cause.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options) : options(options), saved(options.most_saved) {}

  void OnFirstAttempt();
  /// Takes one repeated try, if there is one.
  bool TakeIfAvailable();

 private:
  RetryOptions options;
  double saved;
};

}  // namespace chervilspar::retry
