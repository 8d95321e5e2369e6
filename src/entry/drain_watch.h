#pragma once

#include <mutex>
#include <set>

#include "chervilspar/base/ids.h"

namespace chervilspar::entry {

/// Endpoints that refused a task as draining and have not taken one since. Thread-safe.
///
/// If the executor of a step dies between draining an endpoint and recording it, and another
/// withdraws the step, the endpoint would refuse work for good. The planner undrains the endpoints
/// in here that no step holds.
class DrainWatch {
 public:
  void OnDraining(const VmId& vm) {
    const std::lock_guard lock(this->mutex);
    this->draining.insert(vm);
  }

  void OnOpen(const VmId& vm) {
    const std::lock_guard lock(this->mutex);
    this->draining.erase(vm);
  }

  std::set<VmId> Draining() const {
    const std::lock_guard lock(this->mutex);
    return this->draining;
  }

 private:
  mutable std::mutex mutex;
  std::set<VmId> draining;
};

}  // namespace chervilspar::entry
