#include "chervilspar/jobs/job_terms.h"

namespace chervilspar::jobs {

namespace {

template <typename Terms>
void UpdatePart(std::optional<Terms>& part, const std::optional<Terms>& other) {
  if (!other || (part && part->version > other->version)) {
    return;
  }
  std::optional<Terms> same_version = part;
  if (same_version) {
    same_version->version = other->version;
  }
  if (same_version != other) {
    part = other;
  }
}

}  // namespace

void JobTerms::Update(const JobTerms& other) {
  UpdatePart(this->queue, other.queue);
  UpdatePart(this->team, other.team);
}

}  // namespace chervilspar::jobs
