#include "chervilspar/retry/retry_budget.h"

#include <algorithm>

namespace chervilspar::retry {

void RetryBudget::OnFirstAttempt() {
  this->saved = std::min(this->saved + this->options.part_of_first_tries, this->options.most_saved);
}

bool RetryBudget::TakeIfAvailable() {
  if (this->options.mode == BudgetMode::kUnlimited) {
    return true;
  }
  if (this->saved < 1.0) {
    return false;
  }
  this->saved -= 1.0;
  return true;
}

}  // namespace chervilspar::retry
