#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/messages.h"
#include "chervilspar/quota/quota.h"

namespace chervilspar::quota {

/// What became of a grant.
enum class GrantUse { kTaken, kDeclined, kRepeated, kLate, kForeign };

/// A unit of a loan on which a task may start.
struct BorrowedUnit {
  LoanKey loan;
  TimePoint usable_until;
  Duration task_lease = Duration::zero();
};

/// The requests that this entry has made for loans, and the loans that it holds.
class BorrowerBook {
 public:
  BorrowerBook(membership::Incarnation incarnation, QuotaGuards guards);

  /// Notes a request that is sent now; its number.
  std::uint64_t Ask(const TeamId& team, const EntryId& lender, std::uint32_t units, TimePoint now);
  GrantUse OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now);
  void OnReturnSeen(const LoanReturnSeen& seen);
  /// Gives up requests without an answer; their lenders.
  std::vector<EntryId> ForgetUnanswered(TimePoint now, Duration timeout);

  /// Takes a free unit on which a task may start now.
  std::optional<BorrowedUnit> TakeUnit(const TeamId& team, TimePoint now);
  void ReleaseUnit(const LoanKey& loan, TimePoint now);

  /// Gives back what can't or need not be used any more. `idle_for` is how long a free unit is
  /// kept; free units of teams in `keep` are kept while their lease lasts.
  void GiveBack(TimePoint now, Duration idle_for, const std::set<TeamId>& keep);
  /// Returns that the lenders have not confirmed, by lender, each due for (another) sending.
  std::map<EntryId, std::vector<LoanReturn>> DueReturns(TimePoint now);

  /// Units of loans whose lease lasts.
  std::uint32_t Borrowed(const TeamId& team, TimePoint now) const;
  std::uint32_t Free(const TeamId& team, TimePoint now) const;
  std::uint32_t AskedFor(const TeamId& team) const;
  /// Whether a request for the team is on its way.
  bool IsAsking(const TeamId& team) const { return this->AskedFor(team) > 0; }
  /// Whether the last lease of the team's free units has lapsed while they were held.
  bool HasLapsed(const TeamId& team, TimePoint now) const;
  bool IsEmpty() const { return this->loans.empty(); }

 private:
  struct Request {
    TeamId team;
    EntryId lender;
    std::uint32_t units = 0;
    TimePoint sent_at;
  };
  struct Loan {
    TeamId team;
    /// What the lender has to count on: free and used units.
    std::uint32_t units = 0;
    std::uint32_t used = 0;
    TimePoint usable_until;
    TimePoint used_last;
    Duration task_lease = Duration::zero();
    /// When the return is to be sent next; none while there is nothing to tell.
    std::optional<TimePoint> return_due;
    /// After this the lender counts nothing any more, and the loan can be forgotten.
    TimePoint over_at;
  };

  bool IsUsable(const Loan& loan, TimePoint now) const;
  void HoldNothingOf(const LoanGrant& grant, TimePoint now);
  void Keep(const LoanGrant& grant, TimePoint asked_at, TimePoint now);

  membership::Incarnation incarnation;
  QuotaGuards guards;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, Request> requests;
  std::map<LoanKey, Loan> loans;
  std::map<TeamId, std::set<LoanKey>> by_team;
};

}  // namespace chervilspar::quota
