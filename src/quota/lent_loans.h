#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/messages.h"

namespace chervilspar::quota {

/// The loans that this entry has given, until no task on them can still run.
class LentLoans {
 public:
  LentLoans(EntryId self, membership::Incarnation incarnation);

  /// A new loan, counted until `counts_until` unless it is returned earlier.
  LoanKey Lend(const EntryId& borrower, const membership::Incarnation& borrower_incarnation,
               const TeamId& team, std::uint32_t units, TimePoint counts_until);
  /// Takes a return into account, if it comes from the life that the loan was given to.
  ///
  /// What goes wrong otherwise: the borrower is replaced, its successor knows nothing of the loan
  /// and says that it holds nothing, while tasks of the predecessor run on.
  void OnReturn(const LoanReturn& returned, const EntryId& from,
                const membership::Incarnation& from_incarnation);
  void RemoveExpired(TimePoint now);

  std::uint32_t Lent(const TeamId& team) const;
  /// Teams with units lent.
  std::set<TeamId> Teams() const;
  bool IsEmpty() const { return this->loans.empty(); }

 private:
  struct Loan {
    EntryId borrower;
    membership::Incarnation borrower_incarnation;
    TeamId team;
    std::uint32_t units = 0;
    TimePoint counts_until;
  };

  void SubtractLent(const TeamId& team, std::uint32_t units);

  EntryId self;
  membership::Incarnation incarnation;
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, Loan> loans;
  std::map<TeamId, std::uint32_t> lent;
};

}  // namespace chervilspar::quota
