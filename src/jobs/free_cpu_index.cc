#include "jobs/free_cpu_index.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

void FreeCpuIndex::Rebuild(const std::vector<EndpointState*>& endpoints) {
  this->entries.clear();
  this->entries.reserve(endpoints.size());
  for (std::size_t position = 0; position < endpoints.size(); ++position) {
    this->entries.push_back({endpoints[position]->FreeCapacity().cpu, position});
  }
  std::sort(this->entries.begin(), this->entries.end());
}

void FreeCpuIndex::Move(std::size_t position, std::int64_t former, std::int64_t current) {
  if (former == current) {
    return;
  }
  const Entry old_entry{former, position};
  const Entry new_entry{current, position};
  const auto from = std::lower_bound(this->entries.begin(), this->entries.end(), old_entry);
  CHERVILSPAR_ASSERT(from != this->entries.end() && *from == old_entry);
  const auto to = std::lower_bound(this->entries.begin(), this->entries.end(), new_entry);
  if (from < to) {
    std::move(from + 1, to, from);
    *(to - 1) = new_entry;
  } else {
    std::move_backward(to, from, from + 1);
    *to = new_entry;
  }
}

std::size_t FreeCpuIndex::FirstWith(std::int64_t cpu) const {
  const auto first = std::lower_bound(this->entries.begin(), this->entries.end(), Entry{cpu, 0});
  return static_cast<std::size_t>(first - this->entries.begin());
}

}  // namespace chervilspar::jobs
