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
    EndpointLease& lease = this->endpoints[endpoint.id];
    lease.address = endpoint.address;
    if (lease.token == 0) {
      lease.token = this->tokens.Next();
    }
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
  order.token = lease.token;
  if (lease.clock_ms && now - this->proof < this->options.predecessor_grace) {
    // The lowest value that its clock may show, so that a lease ends early rather than late.
    const auto passed = std::chrono::duration_cast<Duration>(
        (now - lease.clock_at) * (1.0 - this->options.endpoint_clock_slowness));
    const Duration ahead = passed + this->options.lease;
    order.lease_end_ms =
        *lease.clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(ahead).count();
    InterimLease& granted = this->leases[id];
    granted.end = std::max(granted.end, now + this->options.LongestLease());
    granted.born_ms = lease.born_ms;
  }
  return order;
}

void InterimLeases::OnAnswered(const RenewalOrder& order,
                               const std::optional<RenewalReport>& report, TimePoint now) {
  const auto found = this->endpoints.find(order.endpoint);
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
  lease.has_runs = !report->active.empty();
  if (has_restarted && lease.is_fenced) {
    this->OnRestart(order.endpoint, lease, now);
    return;
  }
  const auto granted = this->leases.find(order.endpoint);
  if (!lease.is_fenced && granted != this->leases.end()) {
    // No order for a former incarnation is executed from now on.
    granted->second.end = now + this->options.TimeToLapse(this->options.lease_limit);
  }
  lease.is_fenced = true;
  const bool is_renewed = lease.clock_ms.has_value();
  lease.clock_ms = report->clock_ms;
  lease.clock_at = now;
  lease.next_request = is_renewed ? now + this->options.lease / kRenewalsPerLease : now;
}

/// The new incarnation may execute an order for the former one, with the end of the lease on the
/// former clock, until it has answered one with a new token.
void InterimLeases::OnRestart(const std::string& id, EndpointLease& lease, TimePoint now) {
  lease.token = this->tokens.Next();
  lease.is_fenced = false;
  lease.has_runs = true;
  lease.clock_ms.reset();
  lease.next_request = now;
  if (const auto granted = this->leases.find(id); granted != this->leases.end()) {
    granted->second.end =
        now + this->options.LongestLeaseOfLateOrder(this->options.order_delay_limit);
  }
}

bool InterimLeases::IsTokenOfLaterOwner(const RenewalOrder& refused) const {
  const auto found = this->endpoints.find(refused.endpoint);
  return found != this->endpoints.end() && refused.token >= found->second.token;
}

bool InterimLeases::IsPollDone() const {
  return std::none_of(this->endpoints.begin(), this->endpoints.end(), [](const auto& entry) {
    return entry.second.is_request_pending && !entry.second.clock_ms;
  });
}

}  // namespace chervilspar::jobs
