#include "jobs/pool_vms.h"

#include <algorithm>

namespace chervilspar::jobs {

int CountServing(const std::vector<SizerVm>& vms, const ServiceId& pool) {
  return static_cast<int>(std::count_if(
      vms.begin(), vms.end(), [&](const SizerVm& vm) { return vm.pool == pool && vm.is_serving; }));
}

std::vector<const SizerVm*> Releasable(const std::vector<SizerVm>& vms, const ServiceId& pool) {
  std::vector<const SizerVm*> found;
  for (const SizerVm& vm : vms) {
    if (vm.pool == pool && vm.is_serving && !vm.has_long_running && !vm.is_pinned) {
      found.push_back(&vm);
    }
  }
  std::stable_sort(found.begin(), found.end(), [](const SizerVm* one, const SizerVm* other) {
    return std::pair(!one->is_empty, one->used) < std::pair(!other->is_empty, other->used);
  });
  return found;
}

}  // namespace chervilspar::jobs
