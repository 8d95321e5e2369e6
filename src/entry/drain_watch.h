#pragma once

#include <mutex>
#include <set>

#include "chervilspar/base/ids.h"

namespace chervilspar::entry {

/// Endpoints that refused a task as draining and have not taken one since. Thread-safe.
///
/// What can go wrong: the executor of a step dies between draining an endpoint and recording it,
/// the step is withdrawn by another, and the endpoint refuses work for good. The planner undrains
/// what is in here while no step holds it.
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
