#include <algorithm>
#include <cmath>

#include "chervilspar/base/assert.h"

#include "quota_state.h"

namespace chervilspar::quota {

using membership::Guard;

void Quota::State::OnMessage(const LendingMessage& message, TimePoint now) {
  if (message.to != this->self.id) {
    return;
  }
  this->Expire(now);
  for (const LoanReturn& returned : message.returns) {
    this->lent.OnReturn(returned, message.from, message.from_incarnation);
    this->To(message.from).returns_seen.push_back({returned.loan, returned.still_held});
  }
  for (const LoanReturnSeen& seen : message.returns_seen) {
    this->borrowed.OnReturnSeen(seen);
  }
  for (const LoanGrant& grant : message.grants) {
    this->OnGrant(grant, message.from, now);
  }
  for (const LoanRequest& request : message.requests) {
    this->Answer(request, message, now);
  }
  this->Return(now);
}

void Quota::State::Answer(const LoanRequest& request, const LendingMessage& message,
                          TimePoint now) {
  auto& last = this->last_requests[message.from];
  if (last.first != message.from_incarnation) {
    last = {message.from_incarnation, 0};
  }
  if (request.number <= last.second) {
    return;
  }
  last.second = request.number;
  LoanGrant grant;
  grant.request_number = request.number;
  grant.borrower_incarnation = message.from_incarnation;
  grant.team = request.team;
  grant.units = this->Offer(request);
  grant.lease = this->limits.loan_lease;
  grant.task_lease = this->limits.max_task_lease;
  if (grant.units > 0) {
    const TimePoint counts_until = this->guards.lender_hold == Guard::kOn
                                       ? this->CountsUntil(grant.lease, grant.task_lease, now)
                                       : now + grant.lease;
    grant.loan = this->lent.Lend(message.from, message.from_incarnation, request.team, grant.units,
                                 counts_until);
    CHERVILSPAR_ASSERT(this->UsedOfOwn(request.team) <= this->Owned(request.team));
  }
  if (grant.units == 0 && !this->is_shutting_down) {
    this->declined_borrowers[request.team].insert(message.from);
  }
  this->To(message.from).grants.push_back(grant);
}

void Quota::State::TellWhoWasDeclined() {
  for (auto team = this->declined_borrowers.begin(); team != this->declined_borrowers.end();) {
    const bool can_lend = this->FreeOfOwn(team->first) > 0 && !this->waiting.contains(team->first);
    if (!can_lend) {
      ++team;
      continue;
    }
    for (const EntryId& borrower : team->second) {
      LoanGrant hint;
      hint.team = team->first;
      this->To(borrower).grants.push_back(hint);
    }
    team = this->declined_borrowers.erase(team);
  }
}

std::uint32_t Quota::State::Offer(const LoanRequest& request) const {
  const std::uint32_t idle = this->FreeOfOwn(request.team);
  const bool needs_them = this->waiting.contains(request.team);
  if (idle == 0 || needs_them || this->is_shutting_down) {
    return 0;
  }
  const auto most =
      static_cast<std::uint32_t>(std::ceil(static_cast<double>(idle) * this->policy.lend_fraction));
  return std::min({request.units, std::max(most, 1U), idle});
}

void Quota::State::OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now) {
  if (grant.request_number == 0) {
    this->choice.OnWilling(grant.team, from);
    this->AskFor(grant.team, now);
    return;
  }
  switch (this->borrowed.OnGrant(grant, from, now)) {
    case GrantUse::kTaken:
      this->choice.OnWilling(grant.team, from);
      return;
    case GrantUse::kDeclined:
      this->choice.OnDeclined(grant.team, from, now);
      this->AskFor(grant.team, now);
      return;
    case GrantUse::kLate:
      this->Count(QuotaRefusal::kLateGrant);
      return;
    case GrantUse::kRepeated:
    case GrantUse::kForeign:
      this->Count(QuotaRefusal::kUnknownLoan);
      return;
  }
}

void Quota::State::AskFor(const TeamId& team, TimePoint now) {
  const auto found = this->waiting.find(team);
  if (found == this->waiting.end() || this->is_shutting_down || this->borrowed.IsAsking(team)) {
    return;
  }
  const std::uint32_t need = found->second + this->policy.ask_ahead;
  const std::uint32_t has = this->FreeOfOwn(team) + this->borrowed.Free(team, now);
  if (has >= found->second) {
    return;
  }
  const EntryId* lender = this->choice.Next(team, this->lenders, now);
  if (lender == nullptr) {
    return;
  }
  const std::uint64_t number = this->borrowed.Ask(team, *lender, need - has, now);
  this->To(*lender).requests.push_back({number, team, need - has});
}

void Quota::State::Tick(TimePoint now) {
  this->Expire(now);
  for (const EntryId& silent : this->borrowed.ForgetUnanswered(now, this->policy.request_timeout)) {
    for (const auto& [team, count] : this->waiting) {
      this->choice.OnDeclined(team, silent, now);
    }
  }
  for (const auto& [team, count] : this->waiting) {
    this->MoveTasksToOwnUnits(team, now);
    this->AskFor(team, now);
  }
  this->TellWhoWasDeclined();
  this->Return(now);
}

void Quota::State::Return(TimePoint now) {
  std::set<TeamId> keep;
  for (const auto& [team, count] : this->waiting) {
    keep.insert(team);
  }
  const Duration idle_for =
      this->is_shutting_down ? Duration::zero() : this->policy.return_after_idle;
  this->borrowed.GiveBack(now, idle_for, keep);
  for (auto& [lender, returns] : this->borrowed.DueReturns(now)) {
    std::vector<LoanReturn>& to = this->To(lender).returns;
    to.insert(to.end(), returns.begin(), returns.end());
  }
}

LendingMessage& Quota::State::To(const EntryId& entry) {
  LendingMessage& message = this->outbox[entry];
  message.from = this->self.id;
  message.from_incarnation = this->self.incarnation;
  message.to = entry;
  return message;
}

std::vector<LendingMessage> Quota::State::TakeOutbox() {
  std::vector<LendingMessage> messages;
  for (auto& [entry, message] : this->outbox) {
    if (!message.IsEmpty()) {
      messages.push_back(std::move(message));
    }
  }
  this->outbox.clear();
  return messages;
}

}  // namespace chervilspar::quota
