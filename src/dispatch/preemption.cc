#include <algorithm>
#include <cmath>

#include "dispatch/service_shard_state.h"

namespace chervilspar::dispatch {

namespace {

/// From stopping a task until its slot is given back to normal work if nobody urgent came: the
/// stop, and two tries of an entry that finds the endpoint still full.
constexpr Duration kHoldAfterStop = std::chrono::milliseconds(600);

std::size_t RunningOf(const scheduling::ShardReport& report) {
  std::size_t running = 0;
  for (const scheduling::EndpointLoad& load : report.endpoints) {
    running += load.in_flight;
  }
  return running;
}

}  // namespace

std::vector<admission::TicketId> ServiceShard::State::PreemptibleYoungestFirst() const {
  std::vector<std::pair<TimePoint, admission::TicketId>> found;
  for (const auto& [id, ticket] : this->known) {
    const bool is_normal = ticket.ticket.work_class == admission::WorkClass::kNormal;
    const bool may_repeat = ticket.ticket.idempotency == admission::Idempotency::kIdempotent;
    if (ticket.is_running && is_normal && may_repeat && !ticket.is_cancelled &&
        !ticket.is_preempted) {
      found.emplace_back(ticket.started, id);
    }
  }
  // The youngest has the least work to lose. Ids break ties, so that the same run gives the same
  // choice.
  std::sort(found.rbegin(), found.rend());
  std::vector<admission::TicketId> ids;
  ids.reserve(found.size());
  for (const auto& [started, id] : found) {
    ids.push_back(id);
  }
  return ids;
}

std::size_t ServiceShard::State::SlotsToClear(TimePoint now) const {
  const Duration after = this->options.scheduling.preempt_after;
  const auto oldest = this->queue.OldestUrgent();
  std::size_t slots = 0;
  if (oldest && now - *oldest >= after) {
    slots += this->queue.UrgentWaiting();
  }
  const auto own = static_cast<double>(this->queue.RunningCount());
  for (const auto& [peer, report] : this->shares.Peers()) {
    const Duration age = report.report.urgent_age + (now - report.created_at);
    if (report.report.urgent_waiting == 0 || age < after) {
      continue;
    }
    double running = own;
    for (const auto& [other, other_report] : this->shares.Peers()) {
      running += other == peer ? 0.0 : static_cast<double>(RunningOf(other_report.report));
    }
    const double part = running > 0.0 ? own / running : 0.0;
    slots += static_cast<std::size_t>(std::ceil(report.report.urgent_waiting * part));
  }
  return slots;
}

std::vector<scheduling::Preempt> ServiceShard::Preemptions(TimePoint now) {
  State& shard = *this->state;
  std::vector<scheduling::Preempt> actions;
  if (shard.options.scheduling.preemption == scheduling::Preemption::kOff) {
    return actions;
  }
  const std::size_t wanted = shard.SlotsToClear(now);
  if (wanted == 0 && shard.preempting == 0) {
    return actions;
  }
  std::size_t asked = 0;
  for (auto& [id, ticket] : shard.known) {
    if (!ticket.is_running || !ticket.is_preempted) {
      continue;
    }
    if (asked >= wanted && !ticket.is_stopped) {
      ticket.is_preempted = false;
      --shard.preempting;
      continue;
    }
    ++asked;
    if (!ticket.is_stopped &&
        now - ticket.preempted_at >= shard.options.scheduling.checkpoint_timeout) {
      ticket.is_stopped = true;
      actions.push_back({id, ticket.endpoint, scheduling::PreemptKind::kStop});
      shard.balancer.ReserveForUrgent(ticket.endpoint, now + kHoldAfterStop, now);
    }
  }
  if (asked >= wanted) {
    return actions;
  }
  for (const admission::TicketId& id : shard.PreemptibleYoungestFirst()) {
    if (asked >= wanted) {
      break;
    }
    KnownTicket& ticket = shard.known.at(id);
    ticket.is_preempted = true;
    ++shard.preempting;
    ticket.preempted_at = now;
    ++asked;
    actions.push_back({id, ticket.endpoint, scheduling::PreemptKind::kCheckpoint});
  }
  return actions;
}

bool ServiceShard::IsReportDue(TimePoint now) const {
  const State& shard = *this->state;
  const Duration since = now - shard.reported_at;
  if (since >= shard.options.longest_report_period) {
    return true;
  }
  return since >= shard.options.report_period &&
         (shard.queue.UrgentWaiting() > 0 || shard.HasLoadChanged());
}

scheduling::ShardReport ServiceShard::LocalReport(TimePoint now) {
  State& shard = *this->state;
  scheduling::ShardReport report;
  report.service = shard.service;
  report.teams = shard.ReportLoads(now);
  report.endpoints = shard.balancer.OwnLoads();
  report.ejected = shard.balancer.Ejected();
  report.urgent_running = static_cast<std::uint32_t>(shard.queue.UrgentRunning());
  const std::size_t urgent = shard.queue.UrgentWaiting();
  if (urgent == 0) {
    return report;
  }
  const std::size_t own_victims = shard.PreemptibleYoungestFirst().size() + shard.preempting;
  if (urgent > own_victims) {
    report.urgent_waiting = static_cast<std::uint32_t>(urgent - own_victims);
    report.urgent_age = now - *shard.queue.OldestUrgent();
  }
  return report;
}

}  // namespace chervilspar::dispatch
