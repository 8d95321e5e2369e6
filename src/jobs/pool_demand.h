#pragma once

#include "chervilspar/jobs/pool_sizer.h"

namespace chervilspar::jobs {

/// One resource of a pool and of its VMs.
struct ResourceSupply {
  /// The usable amount of the pool's VMs.
  double serving = 0;
  /// The usable amount of the largest VM.
  double per_vm = 0;
};

/// The amounts of a resource that a pool needs besides what expected arrivals use.
struct ResourceDemand {
  double long_running = 0;
  /// With on-time waiting work within shares.
  double on_time = 0;
  /// With all on-time waiting work.
  double beyond_share = 0;
  /// What long-running and running tasks use.
  double in_use = 0;
};

/// Computes what running and waiting work needs. Running tasks need the room that they use until
/// they end: more VMs don't make them faster. On-time work needs the room that they don't free
/// before its latest start, as far as VMs ordered now take work by then. Late work needs no room.
ResourceDemand ComputeDemand(const ResourceLoad& load, const ResourceSupply& supply,
                             const SizerOptions& options);

}  // namespace chervilspar::jobs
