#include "entry/service_host.h"

#include <utility>

#include "chervilspar/base/assert.h"
#include "chervilspar/base/hash.h"

namespace chervilspar::entry {

ServiceHost::ServiceHost(const EntryContext& context, LimitKeeper& limits, ServiceId service)
    : context(context),
      limits(limits),
      service(std::move(service)),
      random(StableHash(this->service.text, context.self.incarnation.nonce)),
      shard(this->service, context.self.id, context.self.zone) {}

void ServiceHost::Configure(const ServiceConfig& config) {
  const std::lock_guard lock(this->mutex);
  if (config == this->config) {
    return;
  }
  const TimePoint now = this->context.Now();
  this->shard.SetTeams(config.teams, now);
  this->shard.SetShapes(config.shapes);
  this->shard.SetEndpoints(config.endpoints, now);
  this->config = config;
  this->PumpLocked();
}

ServiceHost::Admitted ServiceHost::Admit(admission::Ticket ticket,
                                         const std::shared_ptr<PendingRequest>& pending) {
  const std::lock_guard lock(this->mutex);
  ticket.id = admission::TicketId{++this->last_ticket};
  dispatch::Admission admission = this->shard.Admit(ticket, ticket.arrived, this->random);
  if (!admission.IsAccepted()) {
    return {ticket.id, std::move(admission.refusal)};
  }
  this->held.emplace(ticket.id, Held{pending, ticket.team, TaskId{}, VmId{}});
  this->PumpLocked();
  return {ticket.id, std::nullopt};
}

dispatch::TryResult ServiceHost::OnFinished(const StartOrder& order,
                                            load_balancing::Outcome outcome, Duration measured) {
  const std::lock_guard lock(this->mutex);
  const admission::TicketId ticket = order.start.ticket.id;
  dispatch::TryResult result = this->shard.OnFinished(ticket, order.start.endpoint, outcome,
                                                      measured, this->context.Now(), this->random);
  if (result.after == dispatch::AfterTry::kAnswer) {
    this->Forget(ticket);
  }
  this->PumpLocked();
  return result;
}

dispatch::CancelResult ServiceHost::Cancel(admission::TicketId ticket) {
  const std::lock_guard lock(this->mutex);
  const dispatch::CancelResult result = this->shard.Cancel(ticket, this->context.Now());
  if (result == dispatch::CancelResult::kForgotten) {
    this->Forget(ticket);
  }
  return result;
}

void ServiceHost::Pump() {
  const std::lock_guard lock(this->mutex);
  this->PumpLocked();
}

void ServiceHost::ExpireAndPump() {
  const std::lock_guard lock(this->mutex);
  if (this->shard.WaitingCount() == 0) {
    return;
  }
  for (dispatch::GivenUp& given_up : this->shard.Expire(this->context.Now(), this->random)) {
    const auto found = this->held.find(given_up.ticket);
    CHERVILSPAR_ASSERT(found != this->held.end());
    found->second.pending->OnGivenUp(std::move(given_up.refusal));
    this->Forget(given_up.ticket);
  }
  this->PumpLocked();
}

void ServiceHost::PumpLocked() {
  while (this->shard.WaitingCount() > 0) {
    LimitKeeper::Session session(this->limits);
    const TimePoint now = this->context.Now();
    std::optional<dispatch::Start> start = this->shard.Next(now, session, this->random);
    if (!start) {
      return;
    }
    const auto found = this->held.find(start->ticket.id);
    CHERVILSPAR_ASSERT(found != this->held.end());
    Held& held = found->second;
    TakenUnit unit = session.Use(start->ticket.team);
    held.task = unit.task;
    held.endpoint = start->endpoint;
    held.pending->OnStart({*std::move(start), unit.task, unit.permit});
  }
}

std::vector<ServiceHost::Preemption> ServiceHost::Preemptions() {
  const std::lock_guard lock(this->mutex);
  std::vector<Preemption> preemptions;
  for (const scheduling::Preempt& preempt : this->shard.Preemptions(this->context.Now())) {
    const auto found = this->held.find(preempt.ticket);
    const auto address = this->config.addresses.find(preempt.endpoint);
    if (found == this->held.end() || address == this->config.addresses.end()) {
      continue;
    }
    if (preempt.kind == scheduling::PreemptKind::kStop) {
      found->second.pending->OnStopping();
    }
    preemptions.push_back({preempt, found->second.task, address->second});
  }
  return preemptions;
}

void ServiceHost::OnLimitFreed(const TeamId& team) {
  const std::lock_guard lock(this->mutex);
  this->shard.OnLimitFreed(team);
  this->PumpLocked();
}

void ServiceHost::OnPeerReport(const EntryId& peer, const ZoneId& zone,
                               const scheduling::ShardReport& report) {
  const std::lock_guard lock(this->mutex);
  this->shard.OnPeerReport(peer, zone, report, Duration::zero(), this->context.Now());
  this->PumpLocked();
}

bool ServiceHost::IsReportDue() {
  const std::lock_guard lock(this->mutex);
  return this->shard.IsReportDue(this->context.Now());
}

scheduling::ShardReport ServiceHost::LocalReport() {
  const std::lock_guard lock(this->mutex);
  return this->shard.LocalReport(this->context.Now());
}

void ServiceHost::AddWaiting(std::map<TeamId, std::uint32_t>& waiting) {
  const std::lock_guard lock(this->mutex);
  if (this->shard.WaitingCount() == 0) {
    return;
  }
  for (const scheduling::TeamShare& team : this->config.teams) {
    const std::size_t count = this->shard.WaitingCount(team.team);
    if (count > 0) {
      waiting[team.team] += static_cast<std::uint32_t>(count);
    }
  }
}

std::string ServiceHost::AddressOf(const VmId& endpoint) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->config.addresses.find(endpoint);
  return found == this->config.addresses.end() ? std::string() : found->second;
}

std::vector<VmId> ServiceHost::EjectedEndpoints() {
  const std::lock_guard lock(this->mutex);
  return this->shard.EjectedEndpoints(this->context.Now());
}

std::size_t ServiceHost::WaitingCount() {
  const std::lock_guard lock(this->mutex);
  return this->shard.WaitingCount();
}

std::size_t ServiceHost::RunningCount() {
  const std::lock_guard lock(this->mutex);
  return this->shard.RunningCount();
}

void ServiceHost::Forget(admission::TicketId ticket) { this->held.erase(ticket); }

}  // namespace chervilspar::entry
