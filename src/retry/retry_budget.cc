#include "chervilspar/retry/retry_budget.h"

#include <algorithm>

namespace chervilspar::retry {

void RetryBudget::OnFirstAttempt() {
  this->saved_retries =
      std::min(this->saved_retries + this->options.retry_ratio, this->options.max_saved_retries);
}

bool RetryBudget::TryAcquire() {
  if (this->options.mode == BudgetMode::kUnlimited) {
    return true;
  }
  if (this->saved_retries < 1.0) {
    return false;
  }
  this->saved_retries -= 1.0;
  return true;
}

}  // namespace chervilspar::retry
