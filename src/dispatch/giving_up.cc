#include <algorithm>

#include "dispatch/service_shard_state.h"

namespace chervilspar::dispatch {

using admission::RefusalCode;

void ServiceShard::State::Forget(admission::TicketId id) {
  const auto found = this->known.find(id);
  if (found == this->known.end()) {
    return;
  }
  this->by_latest_start.erase({found->second.latest_start, id});
  this->known.erase(found);
}

void ServiceShard::State::SetDoomedAside(TimePoint now) {
  while (!this->by_latest_start.empty() && this->by_latest_start.begin()->first < now) {
    const admission::TicketId id = this->by_latest_start.begin()->second;
    const auto ticket = this->queue.Remove(id);
    this->Forget(id);
    if (ticket) {
      this->doomed.push_back(*ticket);
    }
  }
}

GivenUp ServiceShard::State::GiveUp(const admission::Ticket& ticket, Random& random) {
  const Duration ahead = this->queue.CostAhead(ticket.team, scheduling::Lane::kShort);
  const double slots = this->SlotsWithin(ticket.team);
  const auto wait =
      Duration(static_cast<Duration::rep>(static_cast<double>(ahead.count()) / slots));
  return {ticket.id,
          {RefusalCode::kDeadlineUnreachable, "no slot came free in time for the deadline",
           this->admission.RetryAfter(wait, random)}};
}

void ServiceShard::State::RefuseTails(TimePoint now, Random& random,
                                      std::vector<GivenUp>& given_up) {
  if (this->options.admission.wait_bound == admission::WaitBound::kOff ||
      this->options.scheduling.order == scheduling::QueueOrder::kFifo) {
    return;
  }
  for (const scheduling::TeamUsage& use : this->queue.ActiveTeams()) {
    const double slots = this->SlotsWithin(use.team);
    for (const auto lane : {scheduling::Lane::kShort, scheduling::Lane::kLong}) {
      while (const auto last = this->queue.LastWaiting(use.team, lane)) {
        const KnownTicket& known = this->known.at(last->id);
        const Duration ahead = this->queue.CostAhead(use.team, lane) - known.estimate.mean;
        const double left = static_cast<double>((known.latest_start - now).count());
        if (static_cast<double>(ahead.count()) <= left * slots) {
          break;
        }
        this->queue.Remove(last->id);
        this->Forget(last->id);
        given_up.push_back(this->GiveUp(*last, random));
      }
    }
  }
}

retry::RetryDecision ServiceShard::State::DecideRetry(const KnownTicket& ticket,
                                                      load_balancing::Outcome outcome,
                                                      TimePoint now) {
  const bool may_repeat = ticket.ticket.idempotency == admission::Idempotency::kIdempotent;
  if (ticket.is_cancelled) {
    return retry::RetryDecision::kAnswer;
  }
  const Duration left = ticket.ticket.deadline - now;
  if (outcome == load_balancing::Outcome::kStopped) {
    // Stopped for urgent work: it is no fault of the request, so the budget is not asked.
    const bool can_repeat = ticket.is_preempted && may_repeat && left > ticket.estimate.mean;
    return can_repeat ? retry::RetryDecision::kRetry : retry::RetryDecision::kAnswer;
  }
  const retry::FinishedAttempt ended{ticket.ticket.idempotency, outcome, ticket.tries, left,
                                     ticket.estimate.mean};
  return retry::Decide(ended, this->options.retry, this->budget);
}

}  // namespace chervilspar::dispatch
