#include "chervilspar/jobs/vm_order_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace chervilspar::jobs {

namespace {

/// The largest burst, in seconds of the rate. The platform counts orders over an interval of
/// unknown length; half a second's orders on top of the rate stay below its limit in any second.
constexpr double kBurstSeconds = 0.5;

}  // namespace

VmOrderRateLimiter::VmOrderRateLimiter(double rate)
    : rate(rate), available(std::max(1.0, rate * kBurstSeconds)) {}

void VmOrderRateLimiter::Refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->refilled;
  const double max_burst = std::max(1.0, this->rate * kBurstSeconds);
  this->available =
      std::min(max_burst, this->available + std::max(0.0, passed.count()) * this->rate);
  this->refilled = std::max(this->refilled, now);
}

bool VmOrderRateLimiter::TryAcquire(TimePoint now) {
  this->Refill(now);
  if (this->available < 1.0) {
    return false;
  }
  this->available -= 1.0;
  return true;
}

void VmOrderRateLimiter::OnRefused(TimePoint now) {
  this->Refill(now);
  this->available = std::min(this->available, 0.0);
}

}  // namespace chervilspar::jobs
