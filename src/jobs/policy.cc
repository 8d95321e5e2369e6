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

JobTerms Policy::TermsFor(const std::string& queue, const TeamId& team) const {
  JobTerms terms;
  if (const auto found = this->queues.find(queue); found != this->queues.end()) {
    const Queue& rules = found->second;
    terms.queue = QueueTerms{.version = this->version,
                             .service = rules.service,
                             .priority = rules.priority,
                             .attempts = rules.attempts,
                             .slack_factor = rules.slack_factor,
                             .target = rules.target,
                             .advice = rules.advice};
  }
  if (const auto found = this->teams.find(team); found != this->teams.end()) {
    terms.team = TeamTerms{this->version, found->second.weight, found->second.cap};
  }
  return terms;
}

}  // namespace chervilspar::jobs
