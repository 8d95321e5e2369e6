#include "lent_loans.h"

#include <utility>

#include "chervilspar/base/assert.h"

namespace chervilspar::quota {

LentLoans::LentLoans(EntryId self, membership::Incarnation incarnation)
    : self(std::move(self)), incarnation(incarnation) {}

LoanKey LentLoans::Lend(const EntryId& borrower,
                        const membership::Incarnation& borrower_incarnation, const TeamId& team,
                        std::uint32_t units, TimePoint counts_until) {
  CHERVILSPAR_ASSERT(units > 0);
  const std::uint64_t number = ++this->last_number;
  this->loans.emplace(number, Loan{borrower, borrower_incarnation, team, units, counts_until});
  this->lent[team] += units;
  return {this->self, this->incarnation, number};
}

void LentLoans::OnReturn(const LoanReturn& returned, const EntryId& from,
                         const membership::Incarnation& from_incarnation) {
  const LoanKey& key = returned.loan;
  if (key.lender != this->self || key.lender_incarnation != this->incarnation) {
    return;
  }
  const auto found = this->loans.find(key.number);
  if (found == this->loans.end() || found->second.borrower != from ||
      found->second.borrower_incarnation != from_incarnation) {
    return;
  }
  Loan& loan = found->second;
  if (returned.still_held >= loan.units) {
    return;
  }
  this->SubtractLent(loan.team, loan.units - returned.still_held);
  loan.units = returned.still_held;
  if (loan.units == 0) {
    this->loans.erase(found);
  }
}

void LentLoans::RemoveExpired(TimePoint now) {
  for (auto loan = this->loans.begin(); loan != this->loans.end();) {
    if (loan->second.counts_until > now) {
      ++loan;
      continue;
    }
    this->SubtractLent(loan->second.team, loan->second.units);
    loan = this->loans.erase(loan);
  }
}

void LentLoans::SubtractLent(const TeamId& team, std::uint32_t units) {
  const auto found = this->lent.find(team);
  CHERVILSPAR_ASSERT(found != this->lent.end() && found->second >= units);
  found->second -= units;
  if (found->second == 0) {
    this->lent.erase(found);
  }
}

std::uint32_t LentLoans::Lent(const TeamId& team) const {
  const auto found = this->lent.find(team);
  return found == this->lent.end() ? 0 : found->second;
}

std::set<TeamId> LentLoans::Teams() const {
  std::set<TeamId> ids;
  for (const auto& [id, units] : this->lent) {
    ids.insert(id);
  }
  return ids;
}

}  // namespace chervilspar::quota
