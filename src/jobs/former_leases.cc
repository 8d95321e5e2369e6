#include "jobs/former_leases.h"

#include <algorithm>
#include <utility>

namespace chervilspar::jobs {

namespace {

/// An order that is pending is answered or fails within this time.
constexpr Duration kMaxOrderTime = std::chrono::seconds(2);
/// Later than any end of a lease, and small enough to be counted in a `Duration`.
constexpr std::int64_t kUnknownEndMs = std::int64_t{1} << 50;

void RecordEnd(EndpointState& endpoint, std::int64_t end_ms) {
  endpoint.asked_lease_end_ms = std::max(endpoint.asked_lease_end_ms.value_or(end_ms), end_ms);
}

}  // namespace

void FormerLeases::OnRenewalPlanned(EndpointState& endpoint, std::int64_t end_ms) {
  RecordEnd(endpoint, end_ms);
  endpoint.is_renewal_pending = true;
}

void FormerLeases::OnStartOrdered(EndpointState& endpoint, std::int64_t end_ms) {
  RecordEnd(endpoint, end_ms);
  ++endpoint.pending_starts;
}

void FormerLeases::OnRenewalSettled(EndpointState& endpoint, TimePoint now) {
  if (std::exchange(endpoint.is_renewal_pending, false)) {
    endpoint.last_order_settled = now;
  }
}

void FormerLeases::OnStartSettled(EndpointState& endpoint, TimePoint now) {
  endpoint.pending_starts = std::max(endpoint.pending_starts - 1, 0);
  endpoint.last_order_settled = now;
  endpoint.last_start_settled = now;
}

void FormerLeases::OnGrantedBefore(EndpointState& endpoint, TimePoint lease_end,
                                   const SchedulerOptions& options) {
  endpoint.long_lease_end = std::max(endpoint.long_lease_end, lease_end);
  endpoint.asked_lease_end_ms = kUnknownEndMs;
  endpoint.last_order_settled = lease_end - options.LongestLease();
}

void FormerLeases::OnNewIncarnation(EndpointState& endpoint) {
  if (endpoint.asked_lease_end_ms) {
    endpoint.former_lease_end_ms =
        std::max(endpoint.former_lease_end_ms.value_or(0), *endpoint.asked_lease_end_ms);
  }
  endpoint.asked_lease_end_ms.reset();
  // Before the first answer, it is a predecessor's notice of the incarnation that is found now.
  if (endpoint.last_response != TimePoint{}) {
    endpoint.long_lease_end = TimePoint{};
  }
}

void FormerLeases::OnUnansweredRestart(EndpointState& endpoint, TimePoint now) const {
  const SchedulerOptions& options = this->state.options;
  TimePoint last_arrival = endpoint.last_order_settled;
  if (endpoint.last_response == TimePoint{}) {
    last_arrival = this->state.term_start + options.predecessor_grace;
  } else if (endpoint.HasPendingLeaseOrders()) {
    last_arrival = now + kMaxOrderTime;
  }
  endpoint.lease_end =
      std::max(endpoint.lease_end, last_arrival + options.TimeToLapse(options.lease_limit));
}

TimePoint FormerLeases::LongestLeaseEnd(const EndpointState& endpoint, const RenewalReport& report,
                                        TimePoint sent, TimePoint now) const {
  const SchedulerOptions& options = this->state.options;
  const Duration clock = std::chrono::milliseconds(report.clock_ms);
  // Its clock may be slow.
  const auto max_age =
      std::chrono::duration_cast<Duration>(clock / (1.0 - options.endpoint_clock_slowness));
  const TimePoint earliest_start = sent - max_age;
  const Duration limit = options.TimeToLapse(options.lease_limit);
  TimePoint longest{};
  // A predecessor's orders are refused from this answer on.
  if (endpoint.has_former_orders_of_predecessor &&
      this->state.term_start + options.predecessor_grace >= earliest_start) {
    longest = now + limit;
  }
  const bool is_pending = endpoint.HasPendingLeaseOrders();
  if (endpoint.former_lease_end_ms &&
      (is_pending || endpoint.last_order_settled >= earliest_start)) {
    const Duration left = std::chrono::milliseconds(*endpoint.former_lease_end_ms) - clock;
    const TimePoint last_arrival = is_pending ? now + kMaxOrderTime : now;
    longest = std::max(longest, std::min(now + options.TimeToLapse(left), last_arrival + limit));
  }
  return longest;
}

void FormerLeases::OnFirstAnswer(EndpointState& endpoint, const RenewalReport& report,
                                 TimePoint sent, TimePoint now) {
  const std::string& id = endpoint.record.id;
  const TimePoint usual = now + this->state.options.LongestLease();
  const TimePoint longest = this->LongestLeaseEnd(endpoint, report, sent, now);
  endpoint.former_lease_end_ms.reset();
  endpoint.has_former_orders_of_predecessor = false;
  if (longest > usual) {
    endpoint.long_lease_end = std::max(endpoint.long_lease_end, longest);
    endpoint.has_long_lease_notice = true;
    this->state.long_lease_changes[id] = EncodeLapseNotice({id, this->state.token, longest - now});
    this->state.ReportEvent({"lease_may_be_long",
                             {},
                             {},
                             id,
                             "it restarted and may have taken an order for its former incarnation; "
                             "its leases may last " +
                                 std::to_string(ToMilliseconds(longest - now)) + " ms"});
  }
  // A predecessor's orders are refused from now on, so no other lease exceeds one of this owner.
  endpoint.lease_end = std::max(usual, endpoint.long_lease_end);
}

void FormerLeases::Review(TimePoint now) {
  for (const auto& [id, endpoint] : this->state.endpoints) {
    if (endpoint->has_long_lease_notice && now > endpoint->long_lease_end) {
      endpoint->has_long_lease_notice = false;
      this->state.long_lease_changes[id] = std::nullopt;
    }
  }
}

void FormerLeases::Restore(const std::vector<LapseNotice>& notices) {
  for (const LapseNotice& notice : notices) {
    EndpointState* const endpoint = this->state.FindEndpoint(notice.endpoint);
    if (endpoint == nullptr) {
      this->state.long_lease_changes[notice.endpoint] = std::nullopt;
      continue;
    }
    endpoint->has_long_lease_notice = true;
    endpoint->long_lease_end = this->state.term_start + notice.remaining;
    endpoint->lease_end = std::max(endpoint->lease_end, endpoint->long_lease_end);
  }
}

}  // namespace chervilspar::jobs
