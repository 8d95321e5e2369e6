#pragma once

#include "chervilspar/base/time.h"

namespace chervilspar::jobs {

/// A token bucket that limits VM orders to the rate that the platform accepts.
///
/// During a peak, a hundred VMs may have to move at once. Without a limit, most orders would be
/// refused, repeated 150 ms later and refused again; each call costs money, and the reboots of a
/// wave would wait behind them.
class VmOrderRateLimiter {
 public:
  /// `rate`: orders per second.
  explicit VmOrderRateLimiter(double rate);

  /// Takes permission for one order; false if the rate allows none at `now`.
  bool TryAcquire(TimePoint now);
  /// The platform refused an order for its rate, as other clients share it: empties the bucket.
  void OnRefused(TimePoint now);

 private:
  void Refill(TimePoint now);

  const double rate;
  /// Orders that may be sent at `refilled`.
  double available;
  TimePoint refilled{};
};

}  // namespace chervilspar::jobs
