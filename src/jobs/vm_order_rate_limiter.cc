#include "chervilspar/jobs/vm_order_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace chervilspar::jobs {

namespace {

/// Part of a second's orders that may leave at once after a pause. The platform counts over some
/// span that isn't known; half a second's orders and the rate itself stay below it in any second.
constexpr double kBurstSeconds = 0.5;

}  // namespace

VmOrderRateLimiter::VmOrderRateLimiter(double rate)
    : rate(rate), left(std::max(1.0, rate * kBurstSeconds)) {}

void VmOrderRateLimiter::Refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->refilled;
  const double most = std::max(1.0, this->rate * kBurstSeconds);
  this->left = std::min(most, this->left + std::max(0.0, passed.count()) * this->rate);
  this->refilled = std::max(this->refilled, now);
}

bool VmOrderRateLimiter::TryAcquire(TimePoint now) {
  this->Refill(now);
  if (this->left < 1.0) {
    return false;
  }
  this->left -= 1.0;
  return true;
}

void VmOrderRateLimiter::OnRefused(TimePoint now) {
  this->Refill(now);
  this->left = std::min(this->left, 0.0);
}

}  // namespace chervilspar::jobs
