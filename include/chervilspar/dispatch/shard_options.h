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
  /// How often `LocalReport` is sent.
  Duration report_period = std::chrono::milliseconds(250);
  /// A peer that is silent for longer no longer has a part of the slots: it is gone or cut off,
  /// and its slots would idle. Long enough to miss several reports.
  Duration peer_timeout = std::chrono::seconds(3);

  friend bool operator==(const ShardOptions&, const ShardOptions&) = default;
};

}  // namespace chervilspar::dispatch
