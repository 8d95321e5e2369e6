#include "entry/request_ledger.h"

#include <utility>

#include "chervilspar/base/hash.h"

namespace chervilspar::entry {

RequestLedger::RequestLedger(const EntryContext& context, PeerSender& sender)
    : context(context),
      sender(sender),
      registry(context.self, inventory::ServiceRules{}.max_clock_skew),
      client(context.self),
      random(StableHash(context.self.id.text, context.self.incarnation.nonce)) {}

void RequestLedger::OnState(const config_log::FleetState& state) {
  const membership::EntryList list = membership::EntryListOf(state);
  {
    const std::lock_guard lock(this->registry_mutex);
    this->registry.OnConfiguration(list, state.inventory.service_rules.max_clock_skew);
  }
  const std::lock_guard lock(this->client_mutex);
  this->client.OnConfiguration(list);
}

void RequestLedger::OnMayOwn() {
  const std::lock_guard lock(this->registry_mutex);
  this->registry.OnMayOwn();
}

void RequestLedger::OnApplied(const membership::Agreement& applied) {
  const std::lock_guard lock(this->registry_mutex);
  this->registry.OnApplied(applied, this->context.WallNow());
}

void RequestLedger::Tick() {
  {
    const std::lock_guard lock(this->registry_mutex);
    this->registry.Tick(this->context.WallNow());
  }
  std::vector<idempotency::OutgoingOutcome> outcomes;
  {
    const std::lock_guard lock(this->client_mutex);
    outcomes = this->client.Tick(this->context.Now());
  }
  for (const idempotency::OutgoingOutcome& outcome : outcomes) {
    this->SendOutcome(outcome);
  }
}

RequestId RequestLedger::MakeOwnId() {
  const std::lock_guard lock(this->client_mutex);
  return this->client.MakeOwnId(this->context.WallNow(), this->random).id;
}

std::optional<idempotency::Attempt> RequestLedger::Begin(
    const RequestId& id, const std::shared_ptr<PendingRequest>& pending) {
  std::optional<idempotency::OutgoingRegister> outgoing;
  {
    const std::lock_guard lock(this->client_mutex);
    outgoing = this->client.Begin(id, this->context.Now());
    if (!outgoing) {
      return std::nullopt;
    }
    this->waiting.emplace(outgoing->request.attempt.number, pending);
  }
  if (outgoing->to == this->context.self.id) {
    this->OnRegister(this->context.self.id, outgoing->request);
  } else if (!this->sender.IsHeard(outgoing->to)) {
    // The caller is better off with its answer now than after a timeout that is certain to come.
    this->GiveUp(outgoing->request.attempt);
    return std::nullopt;
  } else {
    this->sender.SendTo(outgoing->to, outgoing->request);
  }
  return outgoing->request.attempt;
}

void RequestLedger::GiveUp(const idempotency::Attempt& attempt) {
  std::optional<idempotency::OutgoingOutcome> outcome;
  {
    const std::lock_guard lock(this->client_mutex);
    // The owner's leave may have come between the caller's last look and this lock.
    const bool is_unanswered = this->waiting.erase(attempt.number) > 0;
    const TimePoint now = this->context.Now();
    outcome = is_unanswered ? this->client.GiveUp(attempt, now)
                            : this->client.Finish(attempt, Verdict::kNotRun, now);
  }
  this->SendOutcome(outcome);
}

void RequestLedger::Finish(const idempotency::Attempt& attempt, Verdict verdict) {
  std::optional<idempotency::OutgoingOutcome> outcome;
  {
    const std::lock_guard lock(this->client_mutex);
    outcome = this->client.Finish(attempt, verdict, this->context.Now());
  }
  this->SendOutcome(outcome);
}

void RequestLedger::SendOutcome(const std::optional<idempotency::OutgoingOutcome>& outcome) {
  if (!outcome) {
    return;
  }
  if (outcome->to == this->context.self.id) {
    this->OnOutcome(this->context.self.id, outcome->report);
  } else {
    this->sender.SendTo(outcome->to, outcome->report);
  }
}

void RequestLedger::OnRegister(const EntryId& from, const idempotency::RegisterRequest& request) {
  idempotency::RegisterReply reply;
  {
    const std::lock_guard lock(this->registry_mutex);
    reply = this->registry.OnRegister(request, this->context.WallNow());
  }
  if (from == this->context.self.id) {
    this->DeliverReply(reply);
  } else {
    this->sender.SendTo(from, reply);
  }
}

void RequestLedger::OnReply(const idempotency::RegisterReply& reply) { this->DeliverReply(reply); }

void RequestLedger::DeliverReply(const idempotency::RegisterReply& reply) {
  std::shared_ptr<PendingRequest> pending;
  {
    const std::lock_guard lock(this->client_mutex);
    if (this->client.OnReply(reply) == idempotency::ReplyUse::kIgnore) {
      return;
    }
    const auto found = this->waiting.find(reply.attempt.number);
    if (found == this->waiting.end()) {
      return;
    }
    pending = std::move(found->second);
    this->waiting.erase(found);
  }
  pending->OnRegistration(reply.registration);
}

void RequestLedger::OnOutcome(const EntryId& from, const idempotency::OutcomeReport& report) {
  idempotency::OutcomeSeen seen;
  {
    const std::lock_guard lock(this->registry_mutex);
    seen = this->registry.OnOutcome(report);
  }
  if (from == this->context.self.id) {
    this->OnOutcomeSeen(seen);
  } else {
    this->sender.SendTo(from, seen);
  }
}

void RequestLedger::OnOutcomeSeen(const idempotency::OutcomeSeen& seen) {
  const std::lock_guard lock(this->client_mutex);
  this->client.OnOutcomeSeen(seen);
}

std::size_t RequestLedger::RememberedIds() {
  const std::lock_guard lock(this->registry_mutex);
  return this->registry.Size();
}

}  // namespace chervilspar::entry
