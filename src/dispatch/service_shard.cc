#include "chervilspar/dispatch/service_shard.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

#include "dispatch/service_shard_state.h"

namespace chervilspar::dispatch {

using admission::RefusalCode;
using admission::TicketId;
using load_balancing::Outcome;

namespace {

/// A task speaks against its endpoint when it runs this many times the 99th percentile.
constexpr int kOverdueFactor = 3;
/// Measurements of like requests before a task is judged by them.
constexpr std::uint32_t kSamplesToJudge = 8;
/// A first wait for the caller of a request that ran out of tries: the balancer's first probe.
constexpr Duration kRetryLater = std::chrono::seconds(2);

/// Joins the fair queue's question to the balancer, which also wants randomness.
class BalancerFinder final : public scheduling::SlotFinder {
 public:
  BalancerFinder(load_balancing::Balancer& balancer, Random& random)
      : balancer(balancer), random(random) {}
  scheduling::Slot Find(const admission::Ticket& ticket, TimePoint now) override {
    return this->balancer.Find(ticket, now, this->random);
  }

 private:
  load_balancing::Balancer& balancer;
  Random& random;
};

}  // namespace

ServiceShard::ServiceShard(ServiceId service, EntryId self, ZoneId zone, ShardOptions options)
    : state(
          std::make_unique<State>(std::move(service), std::move(self), std::move(zone), options)) {}

ServiceShard::~ServiceShard() = default;

void ServiceShard::SetTeams(const std::vector<scheduling::TeamShare>& teams, TimePoint now) {
  for (const admission::Ticket& ticket : this->state->queue.SetTeams(teams)) {
    this->state->Forget(ticket.id);
    this->state->orphans.push_back(ticket);
  }
  this->state->Divide(now);
}

void ServiceShard::SetEndpoints(const std::vector<load_balancing::Endpoint>& endpoints,
                                TimePoint now) {
  this->state->balancer.SetEndpoints(endpoints, now);
  this->state->must_hear_peers = true;
  this->state->Divide(now);
}

void ServiceShard::SetShapes(std::vector<admission::Requirement> shapes) {
  this->state->shapes = std::move(shapes);
}

Admission ServiceShard::Admit(const admission::Ticket& ticket, TimePoint now, Random& random) {
  State& shard = *this->state;
  CHERVILSPAR_ASSERT(!shard.known.contains(ticket.id));
  const auto team = shard.queue.FindTeam(ticket.team);
  if (!team) {
    return {admission::Refusal{RefusalCode::kUnknownTeam, "the team is not configured", {}}};
  }
  const bool is_urgent = ticket.work_class == admission::WorkClass::kUrgent;
  if (is_urgent && team->urgent == scheduling::UrgentPermission::kDenied) {
    return {admission::Refusal{
        RefusalCode::kUrgentNotAllowed, "the team may not mark requests as urgent", {}}};
  }
  if (shard.FitsNowhere(ticket.requirement)) {
    return {admission::Refusal{
        RefusalCode::kUnfit, "no VM in the service's pools is large enough", {}}};
  }
  const auto estimate = shard.Estimate(ticket);
  const auto lane = shard.LaneOf(ticket, estimate);
  const auto prediction = shard.Predict(ticket, estimate, lane, now);
  auto refusal = shard.admission.Decide(ticket, prediction, now, random);
  if (refusal) {
    return {std::move(refusal)};
  }
  KnownTicket known;
  known.ticket = ticket;
  known.estimate = estimate;
  known.lane = lane;
  known.latest_start = shard.LatestStart(ticket, estimate);
  shard.by_latest_start.emplace(known.latest_start, ticket.id);
  shard.known.emplace(ticket.id, std::move(known));
  shard.SetIdleWeight(*team);
  shard.queue.Push(ticket, estimate.mean, lane);
  return {};
}

std::optional<Start> ServiceShard::Next(TimePoint now, scheduling::QuotaGate& gate,
                                        Random& random) {
  State& shard = *this->state;
  shard.DivideIfDue(now);
  shard.SetDoomedAside(now);
  if (shard.queue.WaitingCount() == 0) {
    return std::nullopt;
  }
  if (!shard.balancer.HasFreeSlot(now) && shard.queue.UrgentWaiting() == 0) {
    return std::nullopt;
  }
  BalancerFinder finder(shard.balancer, random);
  auto picked = shard.queue.Next(now, gate, finder);
  if (!picked) {
    return std::nullopt;
  }
  KnownTicket& known = shard.known.at(picked->ticket.id);
  CHERVILSPAR_ASSERT(!known.is_running);
  shard.by_latest_start.erase({known.latest_start, picked->ticket.id});
  known.is_running = true;
  known.is_preempted = false;
  known.is_stopped = false;
  known.endpoint = picked->endpoint;
  known.started = now;
  if (known.tries == 0) {
    shard.budget.OnFirstAttempt();
  }
  // Before run times are known, only the deadline says that an answer is overdue.
  const bool is_known = known.estimate.samples >= kSamplesToJudge;
  const TimePoint overdue_at =
      is_known ? now + known.estimate.p99 * kOverdueFactor : picked->ticket.deadline;
  shard.balancer.OnSent(picked->endpoint, picked->ticket, overdue_at, now);
  return Start{std::move(picked->ticket), std::move(picked->endpoint), picked->expected};
}

TryResult ServiceShard::OnFinished(TicketId ticket, const VmId& endpoint, Outcome outcome,
                                   Duration measured, TimePoint now, Random& random) {
  State& shard = *this->state;
  const auto found = shard.known.find(ticket);
  CHERVILSPAR_ASSERT(found != shard.known.end() && found->second.is_running);
  KnownTicket& known = found->second;
  CHERVILSPAR_ASSERT(known.endpoint == endpoint);
  known.is_running = false;
  shard.preempting -= known.is_preempted ? 1 : 0;
  const bool was_not_run = retry::VerdictOf(outcome) == Verdict::kNotRun;
  const bool is_full = was_not_run && outcome != Outcome::kUnreachable;
  known.tries += is_full ? 0 : 1;
  const auto estimate = shard.Estimate(known.ticket);
  shard.balancer.OnEnded(endpoint, known.ticket, outcome, measured, estimate.mean, now, random);
  if (outcome == Outcome::kCompleted) {
    shard.estimator.Observe(known.ticket.team, known.ticket.declared_run_time, measured);
  }
  shard.ReviewIfDue(now, random);
  const Duration used = was_not_run ? Duration::zero() : measured;
  const retry::RetryDecision decision = shard.DecideRetry(known, outcome, now);
  if (decision == retry::RetryDecision::kRetry) {
    shard.queue.Requeue(ticket, used);
    shard.by_latest_start.emplace(known.latest_start, ticket);
    return {AfterTry::kWaitsAgain, std::nullopt};
  }
  shard.queue.Finish(ticket, used);
  shard.known.erase(found);
  if (decision == retry::RetryDecision::kAnswer) {
    return {};
  }
  const bool is_unfit = outcome == Outcome::kUnfit;
  const Duration later = shard.admission.RetryAfter(kRetryLater, random);
  return {AfterTry::kAnswer,
          admission::Refusal{is_unfit ? RefusalCode::kUnfit : RefusalCode::kRetriesExhausted,
                             is_unfit ? "the endpoint is too small for the request"
                                      : "no endpoint took the request in time",
                             is_unfit ? Duration::zero() : later}};
}

CancelResult ServiceShard::Cancel(TicketId ticket, TimePoint) {
  const auto found = this->state->known.find(ticket);
  if (found == this->state->known.end()) {
    return CancelResult::kUnknown;
  }
  if (found->second.is_running) {
    found->second.is_cancelled = true;
    return CancelResult::kRunning;
  }
  this->state->queue.Remove(ticket);
  this->state->Forget(ticket);
  return CancelResult::kForgotten;
}

std::vector<GivenUp> ServiceShard::Expire(TimePoint now, Random& random) {
  State& shard = *this->state;
  shard.DivideIfDue(now);
  shard.SetDoomedAside(now);
  std::vector<GivenUp> given_up;
  for (const admission::Ticket& ticket : shard.orphans) {
    given_up.push_back({ticket.id, {RefusalCode::kUnknownTeam, "the team was withdrawn", {}}});
  }
  shard.orphans.clear();
  for (const admission::Ticket& ticket : shard.doomed) {
    given_up.push_back(shard.GiveUp(ticket, random));
  }
  shard.doomed.clear();
  shard.ReviewIfDue(now, random);
  if (now - shard.tails_seen_at >= kReviewPeriod) {
    shard.tails_seen_at = now;
    shard.RefuseTails(now, random, given_up);
  }
  return given_up;
}

void ServiceShard::State::ReviewIfDue(TimePoint now, Random& random) {
  if (now - this->reviewed_at >= kReviewPeriod) {
    this->reviewed_at = now;
    this->queue.ChargeOverdue(now);
    this->balancer.EjectOutliers(now, random);
  }
}

void ServiceShard::OnLimitFreed(const TeamId& team) { this->state->queue.OnLimitFreed(team); }

void ServiceShard::OnPeerReport(const EntryId& peer, const ZoneId& peer_zone,
                                const scheduling::ShardReport& report, Duration age,
                                TimePoint now) {
  this->state->shares.OnReport(peer, {peer_zone, report, now - age});
  this->state->must_divide = true;
  this->state->must_hear_peers = true;
}

std::size_t ServiceShard::WaitingCount() const {
  return this->state->queue.WaitingCount() + this->state->doomed.size() +
         this->state->orphans.size();
}

std::size_t ServiceShard::RunningCount() const { return this->state->queue.RunningCount(); }

std::vector<VmId> ServiceShard::EjectedEndpoints(TimePoint) const {
  return this->state->balancer.Ejected();
}

std::size_t ServiceShard::WaitingCount(const TeamId& team) const {
  return this->state->queue.Usage(team).waiting;
}

}  // namespace chervilspar::dispatch
