#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/messages.h"

namespace chervilspar::quota {

/// The loans that this entry has granted, kept until no task on them can still run.
class LentLoans {
 public:
  LentLoans(EntryId self, membership::Incarnation incarnation);

  /// Adds a loan, which counts until `counts_until` unless it is returned earlier.
  LoanKey Lend(const EntryId& borrower, const membership::Incarnation& borrower_incarnation,
               const TeamId& team, std::uint32_t units, TimePoint counts_until);
  /// Applies a return if it comes from the incarnation to which the loan was granted. A restarted
  /// borrower doesn't know the loan and reports that it holds nothing, while tasks of its
  /// predecessor may still run on the units.
  void OnReturn(const LoanReturn& returned, const EntryId& from,
                const membership::Incarnation& from_incarnation);
  /// Removes the loans that no longer count.
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
