#pragma once

#include "chervilspar/base/time.h"

namespace chervilspar::jobs {

/// How many orders for VMs may leave now, by the rate that the platform takes.
///
/// The load that it answers: a peak for which a hundred VMs are to move at once. All ordered in one
/// go, most are refused, ordered anew 150 ms later and refused again; each call is paid for, and
/// reboots of a wave wait behind them.
class VmOrderRateLimiter {
 public:
  /// `rate`: orders a second.
  explicit VmOrderRateLimiter(double rate);

  /// Takes one order from the budget; false when there is none left at this time.
  bool TryAcquire(TimePoint now);
  /// The platform refused an order as one too many: others use the rate as well.
  void OnRefused(TimePoint now);

 private:
  void Refill(TimePoint now);

  const double rate;
  double left;
  TimePoint refilled{};
};

}  // namespace chervilspar::jobs
