#pragma once

#include <string>
#include <vector>

#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/scheduler.h"

namespace chervilspar::job_entry {

/// Logs the serving and the wanted number of VMs of each pool, and the use of its capacity,
/// whenever a number has changed.
class PoolSizesLog {
 public:
  PoolSizesLog(const jobs::Scheduler& scheduler, const jobs::PoolSizer& sizer)
      : scheduler(scheduler), sizer(sizer) {}

  /// `standby`: the pool of VMs that are switched off, which is left out.
  void LogIfChanged(const std::vector<jobs::SizerVm>& vms, const ServiceId& standby);

 private:
  /// CPU and memory use of a pool, such as "34%/20%".
  std::string UseText(const ServiceId& pool) const;

  const jobs::Scheduler& scheduler;
  const jobs::PoolSizer& sizer;
  /// The numbers as logged last.
  std::string last_logged;
};

}  // namespace chervilspar::job_entry
