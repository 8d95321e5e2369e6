#include "chervilspar/jobs/interim_leases.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// Delay after an unanswered request.
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
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
  for (auto& [id, lease] : this->endpoints) {
    if (lease.has_runs && !lease.is_request_pending && now >= lease.next_request) {
      orders.push_back(this->OrderFor(id, lease, now));
    }
  }
  return orders;
}

RenewalOrder InterimLeases::OrderFor(const std::string& id, EndpointLease& lease, TimePoint now) {
  lease.is_request_pending = true;
  RenewalOrder order;
  order.endpoint = id;
  order.address = lease.address;
  order.token = this->token;
  if (lease.clock_ms && now - this->proof < this->options.predecessor_grace) {
    // The lowest value that its clock may show, so that a lease ends early rather than late.
    const auto passed = std::chrono::duration_cast<Duration>(
        (now - lease.clock_at) * (1.0 - this->options.endpoint_clock_slowness));
    const Duration ahead = passed + this->options.lease;
    order.lease_end_ms =
        *lease.clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(ahead).count();
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
  EndpointLease& lease = found->second;
  lease.is_request_pending = false;
  if (!report) {
    // The next answer may come from another incarnation with another clock.
    lease.clock_ms.reset();
    lease.next_request = now + kRetryPause;
    return;
  }
  const bool has_restarted = lease.born_ms != 0 && report->born_ms != lease.born_ms;
  lease.born_ms = report->born_ms;
  const auto granted = this->lease_ends.find(endpoint);
  if (has_restarted && granted != this->lease_ends.end()) {
    // The new incarnation may have taken an order for the former one, with the end of the lease on
    // the former clock.
    granted->second =
        std::max(granted->second, now + this->options.TimeToLapse(this->options.lease_limit));
  }
  const bool is_renewed = lease.clock_ms.has_value();
  lease.clock_ms = report->clock_ms;
  lease.clock_at = now;
  lease.has_runs = !report->active.empty();
  lease.next_request = is_renewed ? now + this->options.lease / kRenewalsPerLease : now;
}

bool InterimLeases::IsPollDone() const {
  return std::none_of(this->endpoints.begin(), this->endpoints.end(), [](const auto& entry) {
    return entry.second.is_request_pending && !entry.second.clock_ms;
  });
}

}  // namespace chervilspar::jobs
