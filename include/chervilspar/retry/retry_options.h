#pragma once

#include <cstdint>

namespace chervilspar::retry {

/// Whether retries are limited by a budget. `kUnlimited` is the baseline for comparison.
enum class BudgetMode { kBounded, kUnlimited };

struct RetryOptions {
  BudgetMode mode = BudgetMode::kBounded;
  /// Retries allowed per first attempt. With 0.1, an outage multiplies the load by at most 1.1.
  double retry_ratio = 0.1;
  /// Maximum number of unused retries kept, so that a service with little load can make a few at
  /// once.
  double max_saved_retries = 10.0;
  /// Maximum number of attempts of one request, the first included. Attempts that an endpoint
  /// declined don't count.
  std::uint32_t max_attempts = 3;

  friend bool operator==(const RetryOptions&, const RetryOptions&) = default;
};

}  // namespace chervilspar::retry
