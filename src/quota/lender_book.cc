#include "lender_book.h"

#include <utility>

#include "chervilspar/base/assert.h"

namespace chervilspar::quota {

LenderBook::LenderBook(EntryId self, membership::Incarnation incarnation)
    : self(std::move(self)), incarnation(incarnation) {}

LoanKey LenderBook::Lend(const EntryId& borrower,
                         const membership::Incarnation& borrower_incarnation, const TeamId& team,
                         std::uint32_t units, TimePoint counts_until) {
  CHERVILSPAR_ASSERT(units > 0);
  const std::uint64_t number = ++this->last_number;
  this->loans.emplace(number, Loan{borrower, borrower_incarnation, team, units, counts_until});
  this->lent[team] += units;
  return {this->self, this->incarnation, number};
}

void LenderBook::OnReturn(const LoanReturn& returned, const EntryId& from,
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
  this->Uncount(loan.team, loan.units - returned.still_held);
  loan.units = returned.still_held;
  if (loan.units == 0) {
    this->loans.erase(found);
  }
}

void LenderBook::ForgetEnded(TimePoint now) {
  for (auto loan = this->loans.begin(); loan != this->loans.end();) {
    if (loan->second.counts_until > now) {
      ++loan;
      continue;
    }
    this->Uncount(loan->second.team, loan->second.units);
    loan = this->loans.erase(loan);
  }
}

void LenderBook::Uncount(const TeamId& team, std::uint32_t units) {
  const auto found = this->lent.find(team);
  CHERVILSPAR_ASSERT(found != this->lent.end() && found->second >= units);
  found->second -= units;
  if (found->second == 0) {
    this->lent.erase(found);
  }
}

std::uint32_t LenderBook::Lent(const TeamId& team) const {
  const auto found = this->lent.find(team);
  return found == this->lent.end() ? 0 : found->second;
}

std::set<TeamId> LenderBook::Teams() const {
  std::set<TeamId> ids;
  for (const auto& [id, units] : this->lent) {
    ids.insert(id);
  }
  return ids;
}

}  // namespace chervilspar::quota
