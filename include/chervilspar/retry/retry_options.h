#pragma once

#include <cstdint>

namespace chervilspar::retry {

/// Whether repeated tries are bounded by a part of the first tries. `kUnlimited` is the baseline.
enum class BudgetMode { kBounded, kUnlimited };

struct RetryOptions {
  BudgetMode mode = BudgetMode::kBounded;
  /// Repeated tries allowed for each first try: with 0.1 an outage multiplies load by 1.1 at most.
  double part_of_first_tries = 0.1;
  /// Tries saved up, so that a quiet service can repeat a few at once.
  double most_saved = 10.0;
  /// Tries of one request that may have run, the first included.
  std::uint32_t most_tries = 3;

  friend bool operator==(const RetryOptions&, const RetryOptions&) = default;
};

}  // namespace chervilspar::retry
