#include "chervilspar/maintenance/observations.h"

namespace chervilspar::maintenance {

bool IsSeenLive(const Observations& observations, const VmId& vm) {
  if (observations.vm_list_age > kMaxViewAge) {
    return false;
  }
  const auto found = observations.vms.find(vm);
  if (found == observations.vms.end()) {
    return false;
  }
  return found->second.listing == VmListing::kLive && found->second.age <= kMaxViewAge;
}

}  // namespace chervilspar::maintenance
