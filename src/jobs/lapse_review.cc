#include "jobs/lapse_review.h"

#include <algorithm>

#include "jobs/former_leases.h"

namespace chervilspar::jobs {

namespace {

/// Interval between two notices about one endpoint. A successor waits at most this much longer than
/// the previous owner would have.
constexpr Duration kNoticeInterval = std::chrono::milliseconds(1000);

}  // namespace

bool LapseReview::IsLeftToLapse(const EndpointState& endpoint) const {
  const bool is_unreachable = endpoint.is_silent || !endpoint.clock_ms.has_value();
  const TimePoint last_response = std::max(endpoint.last_response, this->state.term_start);
  return is_unreachable && !endpoint.claims.empty() &&
         this->now - last_response >= this->state.options.unresponsive_after &&
         this->now < FormerLeases(this->state).LastRunEnd(endpoint);
}

void LapseReview::Run() {
  for (const auto& [id, endpoint] : this->state.endpoints) {
    const bool is_left = this->IsLeftToLapse(*endpoint);
    if (is_left && (!endpoint->has_lapse_notice ||
                    this->now - endpoint->last_lapse_notice >= kNoticeInterval)) {
      endpoint->has_lapse_notice = true;
      endpoint->last_lapse_notice = this->now;
      this->state.lapse_changes[id] = EncodeLapseNotice(
          {id, this->state.token, FormerLeases(this->state).LastRunEnd(*endpoint) - this->now});
    } else if (!is_left && endpoint->has_lapse_notice) {
      this->state.lapse_changes[id] = std::nullopt;
    }
  }
}

void LapseReview::Restore(const std::vector<LapseNotice>& notices) {
  for (const LapseNotice& notice : notices) {
    this->state.lapse_changes[notice.endpoint] = std::nullopt;
    EndpointState* const endpoint = this->state.FindEndpoint(notice.endpoint);
    // An owner between the two may have renewed the leases without a record.
    const bool is_from_predecessor = notice.token + 1 == this->state.token;
    if (endpoint == nullptr || endpoint->claims.empty()) {
      continue;
    }
    const TimePoint noticed_end = this->state.term_start + notice.remaining;
    // A predecessor that counted the usual lease didn't know of a restart that is registered now.
    const bool has_restarted =
        std::any_of(endpoint->claims.begin(), endpoint->claims.end(), [&](const TaskKey& key) {
          return this->state.Find(key).task->progress.endpoint_born_ms != endpoint->born_ms;
        });
    endpoint->lease_end = is_from_predecessor && !has_restarted
                              ? noticed_end
                              : std::max(endpoint->lease_end, noticed_end);
  }
}

}  // namespace chervilspar::jobs
