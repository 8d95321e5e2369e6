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
    this->lent_loans.OnReturn(returned, message.from, message.from_incarnation);
    this->MessageTo(message.from).returns_seen.push_back({returned.loan, returned.still_held});
  }
  for (const LoanReturnSeen& seen : message.returns_seen) {
    this->borrowed_loans.OnReturnSeen(seen);
  }
  for (const LoanGrant& grant : message.grants) {
    this->OnGrant(grant, message.from, now);
  }
  for (const LoanRequest& request : message.requests) {
    this->AnswerRequest(request, message, now);
  }
  this->ReturnUnneededUnits(now);
}

void Quota::State::AnswerRequest(const LoanRequest& request, const LendingMessage& message,
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
  grant.units = this->UnitsToLend(request);
  grant.lease = this->limits.loan_lease;
  grant.task_lease = this->limits.max_task_lease;
  if (grant.units > 0) {
    const TimePoint counts_until = this->guards.lender_expiry == Guard::kOn
                                       ? this->CountsUntil(grant.lease, grant.task_lease, now)
                                       : now + grant.lease;
    grant.loan = this->lent_loans.Lend(message.from, message.from_incarnation, request.team,
                                       grant.units, counts_until);
    CHERVILSPAR_ASSERT(this->UsedOfOwn(request.team) <= this->Owned(request.team));
  }
  if (grant.units == 0 && !this->is_shutting_down) {
    this->declined_borrowers[request.team].insert(message.from);
  }
  this->MessageTo(message.from).grants.push_back(grant);
}

void Quota::State::NotifyDeclinedBorrowers() {
  for (auto team = this->declined_borrowers.begin(); team != this->declined_borrowers.end();) {
    const bool can_lend = this->FreeOfOwn(team->first) > 0 && !this->waiting.contains(team->first);
    if (!can_lend) {
      ++team;
      continue;
    }
    for (const EntryId& borrower : team->second) {
      LoanGrant hint;
      hint.team = team->first;
      this->MessageTo(borrower).grants.push_back(hint);
    }
    team = this->declined_borrowers.erase(team);
  }
}

std::uint32_t Quota::State::UnitsToLend(const LoanRequest& request) const {
  const std::uint32_t idle = this->FreeOfOwn(request.team);
  const bool needs_them = this->waiting.contains(request.team);
  if (idle == 0 || needs_them || this->is_shutting_down) {
    return 0;
  }
  const auto max_units =
      static_cast<std::uint32_t>(std::ceil(static_cast<double>(idle) * this->policy.lend_fraction));
  return std::min({request.units, std::max(max_units, 1U), idle});
}

void Quota::State::OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now) {
  if (grant.request_number == 0) {
    this->lender_selector.OnOffer(grant.team, from);
    this->RequestLoan(grant.team, now);
    return;
  }
  switch (this->borrowed_loans.OnGrant(grant, from, now)) {
    case GrantOutcome::kAccepted:
      this->lender_selector.OnOffer(grant.team, from);
      return;
    case GrantOutcome::kDeclined:
      this->lender_selector.OnDeclined(grant.team, from, now);
      this->RequestLoan(grant.team, now);
      return;
    case GrantOutcome::kLate:
      this->Count(QuotaRefusal::kLateGrant);
      return;
    case GrantOutcome::kDuplicate:
    case GrantOutcome::kOtherIncarnation:
      this->Count(QuotaRefusal::kUnknownLoan);
      return;
  }
}

void Quota::State::RequestLoan(const TeamId& team, TimePoint now) {
  const auto found = this->waiting.find(team);
  if (found == this->waiting.end() || this->is_shutting_down ||
      this->borrowed_loans.HasOpenRequest(team)) {
    return;
  }
  const std::uint32_t need = found->second + this->policy.extra_units;
  const std::uint32_t has = this->FreeOfOwn(team) + this->borrowed_loans.Free(team, now);
  if (has >= found->second) {
    return;
  }
  const EntryId* lender = this->lender_selector.Next(team, this->lenders, now);
  if (lender == nullptr) {
    return;
  }
  const std::uint64_t number = this->borrowed_loans.AddRequest(team, *lender, need - has, now);
  this->MessageTo(*lender).requests.push_back({number, team, need - has});
}

void Quota::State::Tick(TimePoint now) {
  this->Expire(now);
  for (const EntryId& lender :
       this->borrowed_loans.RemoveTimedOutRequests(now, this->policy.request_timeout)) {
    for (const auto& [team, count] : this->waiting) {
      this->lender_selector.OnDeclined(team, lender, now);
    }
  }
  for (const auto& [team, count] : this->waiting) {
    this->MoveTasksToOwnUnits(team, now);
    this->RequestLoan(team, now);
  }
  this->NotifyDeclinedBorrowers();
  this->ReturnUnneededUnits(now);
}

void Quota::State::ReturnUnneededUnits(TimePoint now) {
  std::set<TeamId> keep;
  for (const auto& [team, count] : this->waiting) {
    keep.insert(team);
  }
  const Duration idle_for =
      this->is_shutting_down ? Duration::zero() : this->policy.return_after_idle;
  this->borrowed_loans.ReleaseUnneeded(now, idle_for, keep);
  for (auto& [lender, returns] : this->borrowed_loans.TakeDueReturns(now)) {
    std::vector<LoanReturn>& to = this->MessageTo(lender).returns;
    to.insert(to.end(), returns.begin(), returns.end());
  }
}

LendingMessage& Quota::State::MessageTo(const EntryId& entry) {
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
