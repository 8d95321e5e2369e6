#pragma once

#include <string>
#include <vector>

#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/scheduler.h"

namespace chervilspar::job_entry {

/// Logs how many VMs each pool has and wants, and how much of them is in use, whenever a size has
/// changed.
class PoolSizesLog {
 public:
  PoolSizesLog(const jobs::Scheduler& scheduler, const jobs::PoolSizer& sizer)
      : scheduler(scheduler), sizer(sizer) {}

  /// `standby`: the pool that is left out, as its VMs are switched off.
  void Tell(const std::vector<jobs::SizerVm>& vms, const ServiceId& standby);

 private:
  /// Parts of a pool's cpu and memory in use, as "34%/20%".
  std::string UseText(const ServiceId& pool) const;

  const jobs::Scheduler& scheduler;
  const jobs::PoolSizer& sizer;
  /// The sizes as logged last.
  std::string last;
};

}  // namespace chervilspar::job_entry
