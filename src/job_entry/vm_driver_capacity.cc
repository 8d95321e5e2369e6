#include "job_entry/vm_driver.h"

namespace chervilspar::job_entry {

std::optional<jobs::Resources> VmDriver::ListedCapacity() const {
  if (this->context.links.vms == nullptr) {
    return jobs::Resources{};
  }
  if (this->vms.empty()) {
    return std::nullopt;
  }
  const std::set<ZoneId> cordoned = this->operators.CordonedZones();
  jobs::Resources sum;
  for (const jobs::VmRecord& vm : this->vms) {
    if (!cordoned.contains(vm.zone)) {
      sum = sum + vm.capacity;
    }
  }
  return sum;
}

}  // namespace chervilspar::job_entry
