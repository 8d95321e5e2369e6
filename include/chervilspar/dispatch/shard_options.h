#pragma once

#include "chervilspar/admission/admission_controller.h"
#include "chervilspar/base/time.h"
#include "chervilspar/load_balancing/balancer_options.h"
#include "chervilspar/retry/retry_options.h"
#include "chervilspar/scheduling/scheduling_options.h"

namespace chervilspar::dispatch {

/// All settings of a shard. The defaults are those in use; the others take a mechanism out, for
/// tests and baselines.
struct ShardOptions {
  admission::AdmissionOptions admission;
  scheduling::SchedulingOptions scheduling;
  load_balancing::BalancerOptions balancer;
  retry::RetryOptions retry;
  /// How often a report is sent at most, and at least. A burst needs the first: until peers know of
  /// it, its entry can only borrow. The second is for steady load: shares are as near as with more
  /// reports, and a busy service with five peers costs 1.1 KB/s instead of 1.8
  /// (docs/MEASUREMENTS.md).
  Duration report_period = std::chrono::milliseconds(250);
  Duration longest_report_period = std::chrono::seconds(1);
  /// Change in demand, as a part of the service's slots, that is reported early.
  double report_change = 0.2;
  /// A peer that is silent for longer no longer has a part of the slots: it is gone or cut off,
  /// and its slots would idle. Long enough to miss several reports.
  Duration peer_timeout = std::chrono::seconds(3);

  friend bool operator==(const ShardOptions&, const ShardOptions&) = default;
};

}  // namespace chervilspar::dispatch
