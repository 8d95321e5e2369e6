#include "borrowed_loans.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

namespace chervilspar::quota {

namespace {

/// A return that the lender hasn't acknowledged is repeated after this. It is many round trips, and
/// far shorter than the time after which the lender counts the loan as free without a return.
constexpr Duration kReturnRepeat = std::chrono::milliseconds(500);

}  // namespace

BorrowedLoans::BorrowedLoans(membership::Incarnation incarnation, QuotaGuards guards)
    : incarnation(incarnation), guards(guards) {}

std::uint64_t BorrowedLoans::AddRequest(const TeamId& team, const EntryId& lender,
                                        std::uint32_t units, TimePoint now) {
  const std::uint64_t number = ++this->last_request;
  this->requests.emplace(number, Request{team, lender, units, now});
  return number;
}

GrantOutcome BorrowedLoans::OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now) {
  if (grant.borrower_incarnation != this->incarnation) {
    return GrantOutcome::kOtherIncarnation;
  }
  const auto request = this->requests.find(grant.request_number);
  const bool is_open = request != this->requests.end() && request->second.lender == from &&
                       request->second.team == grant.team;
  // Without an open request, only a test that disables `grant_once` uses the loan. Its lease is
  // then counted from the arrival of the grant, which is too late to be safe.
  const TimePoint requested_at = is_open ? request->second.sent_at : now;
  if (is_open) {
    this->requests.erase(request);
  }
  if (grant.units == 0) {
    return is_open ? GrantOutcome::kDeclined : GrantOutcome::kDuplicate;
  }
  if (!is_open && this->guards.grant_once == membership::Guard::kOn) {
    if (!this->loans.contains(grant.loan)) {
      this->AddLateLoan(grant, now);
      return GrantOutcome::kLate;
    }
    return GrantOutcome::kDuplicate;
  }
  if (this->loans.contains(grant.loan)) {
    return GrantOutcome::kDuplicate;
  }
  this->AddLoan(grant, requested_at, now);
  return GrantOutcome::kAccepted;
}

void BorrowedLoans::AddLateLoan(const LoanGrant& grant, TimePoint now) {
  this->AddLoan(grant, now, now);
  Loan& loan = this->loans.at(grant.loan);
  loan.units = 0;
  loan.return_due = now;
}

void BorrowedLoans::AddLoan(const LoanGrant& grant, TimePoint requested_at, TimePoint now) {
  Loan loan;
  loan.team = grant.team;
  loan.units = grant.units;
  loan.usable_until = requested_at + grant.lease;
  loan.last_used_at = now;
  loan.task_lease = grant.task_lease;
  loan.forget_at = now + grant.lease + grant.task_lease;
  this->loans.emplace(grant.loan, loan);
  this->by_team[grant.team].insert(grant.loan);
}

void BorrowedLoans::OnReturnSeen(const LoanReturnSeen& seen) {
  const auto found = this->loans.find(seen.loan);
  if (found == this->loans.end() || found->second.units != seen.still_held) {
    return;
  }
  found->second.return_due.reset();
  if (found->second.units > 0) {
    return;
  }
  const auto team = this->by_team.find(found->second.team);
  team->second.erase(seen.loan);
  if (team->second.empty()) {
    this->by_team.erase(team);
  }
  this->loans.erase(found);
}

std::vector<EntryId> BorrowedLoans::RemoveTimedOutRequests(TimePoint now, Duration timeout) {
  std::vector<EntryId> timed_out_lenders;
  for (auto request = this->requests.begin(); request != this->requests.end();) {
    if (now - request->second.sent_at < timeout) {
      ++request;
      continue;
    }
    timed_out_lenders.push_back(request->second.lender);
    request = this->requests.erase(request);
  }
  return timed_out_lenders;
}

bool BorrowedLoans::IsUsable(const Loan& loan, TimePoint now) const {
  return this->guards.borrower_lease == membership::Guard::kOff || now < loan.usable_until;
}

std::optional<BorrowedUnit> BorrowedLoans::TakeUnit(const TeamId& team, TimePoint now) {
  const auto held = this->by_team.find(team);
  if (held == this->by_team.end()) {
    return std::nullopt;
  }
  for (const LoanKey& key : held->second) {
    Loan& loan = this->loans.at(key);
    if (loan.used >= loan.units || !this->IsUsable(loan, now)) {
      continue;
    }
    ++loan.used;
    loan.last_used_at = now;
    return BorrowedUnit{key, loan.usable_until, loan.task_lease};
  }
  return std::nullopt;
}

void BorrowedLoans::ReleaseUnit(const LoanKey& key, TimePoint now) {
  const auto found = this->loans.find(key);
  CHERVILSPAR_ASSERT(found != this->loans.end());
  CHERVILSPAR_ASSERT(found->second.used > 0);
  CHERVILSPAR_ASSERT(found->second.used <= found->second.units);
  --found->second.used;
  found->second.last_used_at = now;
}

void BorrowedLoans::ReleaseUnneeded(TimePoint now, Duration idle_for,
                                    const std::set<TeamId>& keep) {
  for (auto& [key, loan] : this->loans) {
    const bool is_idle = now - loan.last_used_at >= idle_for && !keep.contains(loan.team);
    const bool is_over = !this->IsUsable(loan, now);
    if (loan.units > loan.used && (is_idle || is_over)) {
      loan.units = loan.used;
      loan.return_due = now;
    }
  }
}

std::map<EntryId, std::vector<LoanReturn>> BorrowedLoans::TakeDueReturns(TimePoint now) {
  std::map<EntryId, std::vector<LoanReturn>> due;
  for (auto loan = this->loans.begin(); loan != this->loans.end();) {
    if (loan->second.units == 0 && now >= loan->second.forget_at) {
      this->by_team[loan->second.team].erase(loan->first);
      loan = this->loans.erase(loan);
      continue;
    }
    if (loan->second.return_due && *loan->second.return_due <= now) {
      due[loan->first.lender].push_back({loan->first, loan->second.units});
      loan->second.return_due = now + kReturnRepeat;
    }
    ++loan;
  }
  return due;
}

std::uint32_t BorrowedLoans::Borrowed(const TeamId& team, TimePoint now) const {
  std::uint32_t units = 0;
  const auto held = this->by_team.find(team);
  if (held == this->by_team.end()) {
    return 0;
  }
  for (const LoanKey& key : held->second) {
    const Loan& loan = this->loans.at(key);
    units += now < loan.usable_until ? loan.units : 0;
  }
  return units;
}

std::uint32_t BorrowedLoans::Free(const TeamId& team, TimePoint now) const {
  std::uint32_t units = 0;
  const auto held = this->by_team.find(team);
  if (held == this->by_team.end()) {
    return 0;
  }
  for (const LoanKey& key : held->second) {
    const Loan& loan = this->loans.at(key);
    units += this->IsUsable(loan, now) ? loan.units - loan.used : 0;
  }
  return units;
}

std::uint32_t BorrowedLoans::RequestedUnits(const TeamId& team) const {
  std::uint32_t units = 0;
  for (const auto& [number, request] : this->requests) {
    units += request.team == team ? request.units : 0;
  }
  return units;
}

bool BorrowedLoans::HasExpiredLoan(const TeamId& team, TimePoint now) const {
  const auto held = this->by_team.find(team);
  if (held == this->by_team.end()) {
    return false;
  }
  return std::any_of(held->second.begin(), held->second.end(), [&](const LoanKey& key) {
    const Loan& loan = this->loans.at(key);
    return loan.used < loan.units && now >= loan.usable_until;
  });
}

}  // namespace chervilspar::quota
