#pragma once

#include <vector>

#include "chervilspar/jobs/pool_sizer.h"

namespace chervilspar::jobs {

/// Counts the VMs of a pool that take work or soon will.
int CountServing(const std::vector<SizerVm>& vms, const ServiceId& pool);

/// Lists the VMs that may be moved out of a pool: empty ones first, then by rising cpu use.
std::vector<const SizerVm*> Releasable(const std::vector<SizerVm>& vms, const ServiceId& pool);

}  // namespace chervilspar::jobs
