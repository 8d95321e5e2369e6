#include "jobs/former_leases.h"

#include <algorithm>

namespace chervilspar::jobs {

void FormerLeases::OnStartOrdered(EndpointState& endpoint) {
  ++endpoint.pending_starts;
  endpoint.has_lease_orders = true;
}

void FormerLeases::OnStartSettled(EndpointState& endpoint, TimePoint now) {
  endpoint.pending_starts = std::max(endpoint.pending_starts - 1, 0);
  endpoint.last_start_settled = now;
}

void FormerLeases::OnInterimLease(EndpointState& endpoint, const InterimLease& lease) {
  endpoint.lease_end = std::max(endpoint.lease_end, lease.end);
  endpoint.long_lease_end = std::max(endpoint.long_lease_end, lease.end);
  endpoint.has_lease_orders = true;
  endpoint.has_former_lease_orders |= lease.born_ms != endpoint.born_ms;
}

void FormerLeases::OnRestart(EndpointState& endpoint, TimePoint now) {
  const SchedulerOptions& options = this->state.options;
  endpoint.order_token = this->state.order_tokens.Next();
  endpoint.is_fenced = false;
  endpoint.clock_ms.reset();
  endpoint.is_silent = true;
  endpoint.has_former_lease_orders |= endpoint.has_lease_orders;
  if (endpoint.has_former_lease_orders) {
    this->StoreNotice(endpoint, now + options.LongestLeaseOfLateOrder(options.order_delay_limit),
                      now);
  }
}

void FormerLeases::OnRestartBeforeFirstAnswer(EndpointState& endpoint) {
  const SchedulerOptions& options = this->state.options;
  endpoint.lease_end =
      std::max(endpoint.lease_end, this->state.term_start + options.predecessor_grace +
                                       options.LongestLeaseOfLateOrder(options.order_delay_limit));
}

bool FormerLeases::HasFormerOrders(const EndpointState& endpoint,
                                   const RenewalReport& report) const {
  const bool is_first_answer = endpoint.last_response == TimePoint{};
  return endpoint.has_former_lease_orders ||
         (is_first_answer &&
          std::any_of(endpoint.claims.begin(), endpoint.claims.end(), [&](const TaskKey& key) {
            return this->state.Find(key).task->progress.endpoint_born_ms != report.born_ms;
          }));
}

/// A predecessor stores a notice when it learns of a restart. It may not have known of one shortly
/// before its end, and then no run that is stored may tell of it.
bool FormerLeases::MayHaveRestartedUnnoticed(const EndpointState& endpoint,
                                             const RenewalReport& report, TimePoint now) const {
  const SchedulerOptions& options = this->state.options;
  const bool is_first_answer = endpoint.last_response == TimePoint{};
  if (!is_first_answer || !endpoint.claims.empty() || this->state.jobs.empty()) {
    return false;
  }
  const auto longest_age = std::chrono::duration_cast<Duration>(
      std::chrono::milliseconds(report.clock_ms) / (1.0 - options.endpoint_clock_slowness));
  const TimePoint last_former_order = this->state.term_start + options.predecessor_grace;
  return now - longest_age >= this->state.term_start - options.order_delay_limit &&
         now <= last_former_order + options.order_delay_limit;
}

void FormerLeases::OnFenced(EndpointState& endpoint, const RenewalReport& report, TimePoint now) {
  const SchedulerOptions& options = this->state.options;
  const TimePoint usual = now + options.LongestLease();
  const TimePoint limit = now + options.TimeToLapse(options.lease_limit);
  const bool has_former_orders = this->HasFormerOrders(endpoint, report);
  endpoint.has_former_lease_orders = false;
  // A notice was made before orders for former incarnations were refused.
  const TimePoint longest = has_former_orders ? limit : std::min(endpoint.long_lease_end, limit);
  endpoint.lease_end = std::max(usual, longest);
  if (longest > usual) {
    this->StoreNotice(endpoint, longest, now);
    this->state.ReportEvent({"lease_may_be_long",
                             {},
                             {},
                             endpoint.record.id,
                             "it restarted and may have executed an order for its former "
                             "incarnation; its leases may last " +
                                 std::to_string(ToMilliseconds(longest - now)) + " ms"});
    return;
  }
  endpoint.long_lease_end = longest;
  if (this->MayHaveRestartedUnnoticed(endpoint, report, now)) {
    endpoint.lease_end = limit;
  }
}

bool FormerLeases::MayStartLate(const Task& task) {
  // Of several tries, a delayed one may arrive after the run was reported.
  const bool is_settled = task.is_reported && task.start_tries <= 1;
  return !task.is_adopted && !is_settled && task.state != RunState::kRecording;
}

bool FormerLeases::MayStartUnheard(const Task& task, TimePoint now) const {
  const SchedulerOptions& options = this->state.options;
  if (task.is_adopted) {
    return !task.is_reported && options.unheard_order_delay_limit > Duration::zero() &&
           now < this->state.term_start + options.predecessor_grace +
                     options.unheard_order_delay_limit;
  }
  return MayStartLate(task) && now < task.last_start_sent + options.unheard_order_delay_limit;
}

TimePoint FormerLeases::LastRunEnd(const EndpointState& endpoint, const Task& task) const {
  const SchedulerOptions& options = this->state.options;
  // Until the first answer, all claims are a predecessor's.
  const bool is_restart_known = !endpoint.is_fenced && endpoint.last_response != TimePoint{};
  if (is_restart_known && task.is_adopted) {
    // How often the predecessor sent its start isn't known.
    return std::max(endpoint.lease_end,
                    this->state.term_start + options.predecessor_grace +
                        options.LongestLeaseOfLateOrder(options.order_delay_limit));
  }
  if (!MayStartLate(task)) {
    return endpoint.lease_end;
  }
  const Duration delay =
      is_restart_known ? options.order_delay_limit : options.unheard_order_delay_limit;
  if (delay == Duration::zero()) {
    return endpoint.lease_end;
  }
  return std::max(endpoint.lease_end,
                  task.last_start_sent + options.LongestLeaseOfLateOrder(delay));
}

TimePoint FormerLeases::LastRunEnd(const EndpointState& endpoint) const {
  TimePoint last = endpoint.lease_end;
  for (const TaskKey& key : endpoint.claims) {
    last = std::max(last, this->LastRunEnd(endpoint, *this->state.Find(key).task));
  }
  return last;
}

void FormerLeases::StoreNotice(EndpointState& endpoint, TimePoint end, TimePoint now) {
  const std::string& id = endpoint.record.id;
  endpoint.long_lease_end = end;
  endpoint.has_long_lease_notice = true;
  this->state.long_lease_changes[id] = EncodeLapseNotice({id, this->state.token, end - now});
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
      // Its registration may have expired for a moment.
      const TimePoint end = this->state.term_start + notice.remaining;
      this->state.forgotten_endpoints[notice.endpoint] = {end, end, 0};
      this->state.long_lease_changes[notice.endpoint] = std::nullopt;
      continue;
    }
    endpoint->has_long_lease_notice = true;
    endpoint->long_lease_end = this->state.term_start + notice.remaining;
    endpoint->lease_end = std::max(endpoint->lease_end, endpoint->long_lease_end);
  }
}

}  // namespace chervilspar::jobs
