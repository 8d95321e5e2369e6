#include "chervilspar/jobs/policy.h"

namespace chervilspar::jobs {

const Queue* Policy::FindQueue(std::string_view host, std::string_view path) const {
  const Queue* best = nullptr;
  for (const auto& [name, queue] : this->queues) {
    const bool matches = queue.host == host && path.starts_with(queue.path_prefix);
    if (matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace chervilspar::jobs
