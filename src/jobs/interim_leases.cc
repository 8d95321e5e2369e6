#include "chervilspar/jobs/interim_leases.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// After a try without answer.
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
/// So many renewals in the time of one lease.
constexpr int kRenewalsPerLease = 4;

}  // namespace

void InterimLeases::SetEndpoints(const std::vector<EndpointRecord>& endpoints) {
  for (const EndpointRecord& endpoint : endpoints) {
    this->endpoints[endpoint.id].address = endpoint.address;
  }
}

void InterimLeases::SetProof(TimePoint proof) { this->proof = std::max(this->proof, proof); }

std::vector<RenewalOrder> InterimLeases::Plan(TimePoint now) {
  std::vector<RenewalOrder> orders;
  for (auto& [id, held] : this->endpoints) {
    if (held.has_runs && !held.is_asked && now >= held.due) {
      orders.push_back(this->OrderFor(id, held, now));
    }
  }
  return orders;
}

RenewalOrder InterimLeases::OrderFor(const std::string& id, Held& held, TimePoint now) {
  held.is_asked = true;
  RenewalOrder order;
  order.endpoint = id;
  order.address = held.address;
  order.token = this->token;
  if (held.clock_ms && now - this->proof < this->options.predecessor_grace) {
    // The least that its clock may show: a lease ends early rather than late.
    const auto passed = std::chrono::duration_cast<Duration>(
        (now - held.clock_at) * (1.0 - this->options.endpoint_clock_slowness));
    const Duration ahead = passed + this->options.lease;
    order.lease_end_ms =
        *held.clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(ahead).count();
    TimePoint& lease_end = this->lease_ends[id];
    lease_end = std::max(lease_end, now + this->options.LongestLease());
  }
  return order;
}

void InterimLeases::OnAnswered(const std::string& endpoint,
                               const std::optional<RenewalReport>& report, TimePoint now) {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  Held& held = found->second;
  held.is_asked = false;
  if (!report) {
    // Another life may answer next, with another clock.
    held.clock_ms.reset();
    held.due = now + kRetryPause;
    return;
  }
  const bool is_renewed = held.clock_ms.has_value();
  held.clock_ms = report->clock_ms;
  held.clock_at = now;
  held.has_runs = !report->active.empty();
  held.due = is_renewed ? now + this->options.lease / kRenewalsPerLease : now;
}

bool InterimLeases::IsPollDone() const {
  return std::none_of(this->endpoints.begin(), this->endpoints.end(), [](const auto& entry) {
    return entry.second.is_asked && !entry.second.clock_ms;
  });
}

}  // namespace chervilspar::jobs
